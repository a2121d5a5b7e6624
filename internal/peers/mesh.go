package peers

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/ingress"
	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/revision"
)

// otherZoneFactor multiplies the heartbeat interval and the silence timeout for peers
// in other zones. Latency between zones varies more, and no daemon takes over work
// from another zone within a second.
const otherZoneFactor = 4

// Config holds the settings and dependencies of a mesh.
type Config struct {
	VM   string
	Zone string
	// Incarnation distinguishes this process from earlier ones on the same VM. It
	// should come from NewIncarnation, which is also the default.
	Incarnation string
	// Listen is the IP address and port on which other daemons connect. If Listener
	// is set, it is used instead and Run closes it.
	Listen   string
	Listener net.Listener
	Token    string
	Seeds    []string
	// VMs reads the VM list of the platform. If it is nil, daemons are found only
	// through Seeds and incoming links.
	VMs            refplatform.VMs
	VMListEvery    time.Duration // default 1 s
	HeartbeatEvery time.Duration // default 250 ms
	LostAfter      time.Duration // silence after which a peer in this daemon's zone is Silent, default 1 s
	MaxFrameBytes  int64         // default DefaultMaxFrameBytes
	// HighestRevision is the highest configuration revision known. Each frame sent
	// contains it and each frame received may raise it.
	HighestRevision *revision.HighWaterMark
	// Heartbeat returns the content of this daemon's next heartbeat. If it is nil,
	// heartbeats are empty.
	Heartbeat HeartbeatFunc
	// Dial opens connections, by default over TCP.
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Logger *zap.Logger
	Scope  tally.Scope
	Tracer trace.Tracer
}

// NewIncarnation returns a unique identifier for this process. Identifiers are
// ordered by time, which shows the newer of two processes that claim the same VM.
func NewIncarnation() string { return uuid.Must(uuid.NewV7()).String() }

// Mesh implements Network with one WebSocket link to each other daemon.
type Mesh struct {
	config   Config
	logger   *zap.Logger
	metrics  *metrics
	handlers map[Kind]Handler
	// smallSlots and bulkSlots limit the handlers that run concurrently. Bulk messages
	// have their own slots, so that they cannot block the others.
	smallSlots   chan struct{}
	bulkSlots    chan struct{}
	helloSlots   chan struct{} // limits accepted connections that have not sent a hello
	draining     atomic.Bool
	drainStarted chan struct{} // closed by Drain
	drainOnce    sync.Once
	lastCallID   atomic.Uint64

	mu           sync.RWMutex
	runCtx       context.Context // nil before Run
	goroutines   sync.WaitGroup
	members      *membership
	links        map[string]*link   // by VM
	targets      map[string]*target // by address
	ownAddresses map[string]bool    // addresses that reach this daemon itself
	// vmByAddress holds the VM that last answered a dial to an address.
	vmByAddress map[string]string
}

var _ Network = (*Mesh)(nil)

// Limits of concurrent work.
const (
	maxSmallHandlers = 256
	maxBulkHandlers  = 1024
	maxPendingHellos = 64
	// maxConnections bounds the accepted connections: one from each daemon, and those that have
	// not sent a hello.
	maxConnections = 256
	// maxHeaderBytes bounds the header of a request to open a link, which has few fields.
	maxHeaderBytes = 16 << 10
)

// New returns a mesh; it is started by Run.
func New(config Config) *Mesh {
	setDefaults(&config)
	return &Mesh{
		config:       config,
		logger:       config.Logger,
		metrics:      newMetrics(config.Scope),
		handlers:     map[Kind]Handler{},
		smallSlots:   make(chan struct{}, maxSmallHandlers),
		bulkSlots:    make(chan struct{}, maxBulkHandlers),
		helloSlots:   make(chan struct{}, maxPendingHellos),
		drainStarted: make(chan struct{}),
		members:      newMembership(config.VM, config.Zone, config.LostAfter),
		links:        map[string]*link{},
		targets:      map[string]*target{},
		ownAddresses: map[string]bool{config.Listen: true},
		vmByAddress:  map[string]string{},
	}
}

func setDefaults(c *Config) {
	setDefaultDuration(&c.VMListEvery, time.Second)
	setDefaultDuration(&c.HeartbeatEvery, 250*time.Millisecond)
	setDefaultDuration(&c.LostAfter, time.Second)
	if c.Incarnation == "" {
		c.Incarnation = NewIncarnation()
	}
	if c.MaxFrameBytes == 0 {
		c.MaxFrameBytes = DefaultMaxFrameBytes
	}
	if c.HighestRevision == nil {
		c.HighestRevision = &revision.HighWaterMark{}
	}
	if c.Heartbeat == nil {
		c.Heartbeat = func() api.PeerHeartbeat { return api.PeerHeartbeat{} }
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	c.Logger = telemetry.LoggerOrNop(c.Logger)
	c.Scope = telemetry.ScopeOrNoop(c.Scope)
	c.Tracer = telemetry.TracerOrNoop(c.Tracer)
}

func setDefaultDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Handle registers the handler of a kind. It must be called before Run.
func (m *Mesh) Handle(kind Kind, handler Handler) { m.handlers[kind] = handler }

// Run accepts and opens links and follows the VM list until ctx ends. It returns
// when all links are closed and all handlers have returned.
func (m *Mesh) Run(ctx context.Context) error {
	listener := m.config.Listener
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", m.config.Listen); err != nil {
			return eris.Wrap(err, "listen for peers")
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	m.mu.Lock()
	m.runCtx = ctx
	m.ownAddresses[listener.Addr().String()] = true
	m.mu.Unlock()
	server := &http.Server{Handler: m, ReadHeaderTimeout: helloTimeout, MaxHeaderBytes: maxHeaderBytes}
	guard := ingress.New(ingress.BodyLimits(maxConnections, maxHelloBytes, 0), time.Now, m.logger, m.config.Scope.Tagged(map[string]string{"listener": "peers"}))
	guard.Attach(server)
	group.Go(func() error {
		if err := server.Serve(guard.Listener(listener)); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve peers")
		}
		return nil
	})
	group.Go(func() error { <-ctx.Done(); return server.Close() })
	group.Go(func() error { m.followVMList(ctx); return nil })
	group.Go(func() error { m.maintainLinks(ctx); return nil })
	group.Go(func() error { m.announceRevisions(ctx); return nil })
	err := group.Wait()
	m.closeLinks()
	m.goroutines.Wait()
	return eris.Wrap(err, "run the peer links")
}

// runInBackground runs f on a goroutine that Run waits for. It returns false if the
// mesh is not running.
func (m *Mesh) runInBackground(f func(ctx context.Context)) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runCtx == nil || m.runCtx.Err() != nil {
		return false
	}
	ctx := m.runCtx
	m.goroutines.Add(1)
	go func() {
		defer m.goroutines.Done()
		f(ctx)
	}()
	return true
}

// Drain announces to all peers that this daemon accepts no new work. It cannot be
// undone.
func (m *Mesh) Drain() {
	m.draining.Store(true)
	m.drainOnce.Do(func() { close(m.drainStarted) })
	m.triggerHeartbeats()
}

// announceRevisions sends a heartbeat to all peers whenever a higher revision becomes
// known.
func (m *Mesh) announceRevisions(ctx context.Context) {
	for {
		changed := m.config.HighestRevision.Changed()
		m.triggerHeartbeats()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (m *Mesh) triggerHeartbeats() {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, l := range m.links {
		l.triggerHeartbeat()
	}
}

func (m *Mesh) closeLinks() {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, l := range m.links {
		l.close(context.Canceled)
	}
}

// Self returns this daemon as a member.
func (m *Mesh) Self() Member {
	heartbeat := m.config.Heartbeat()
	state := Live
	m.mu.RLock()
	leaving := m.members.isSelfLeaving()
	m.mu.RUnlock()
	if leaving {
		state = Leaving
	} else if m.draining.Load() {
		state = Draining
	}
	return Member{
		VM: m.config.VM, Zone: m.config.Zone, Address: m.config.Listen,
		Incarnation: m.config.Incarnation, State: state,
		Revision: m.config.HighestRevision.Value(), FreeSlots: heartbeat.FreeSlots,
		PlannerEpoch: heartbeat.PlannerEpoch, TableVersion: heartbeat.TableVersion,
		StoreAge: time.Duration(heartbeat.StoreAgeMs) * time.Millisecond, LastSeen: time.Now(),
	}
}

// Members returns all other known daemons, ordered by VM.
func (m *Mesh) Members() []Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.members.list(time.Now())
}

// LiveVMs returns the VMs of the live daemons of a zone in ascending order.
func (m *Mesh) LiveVMs(zone string) []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.members.liveVMs(zone, !m.draining.Load(), time.Now())
}

// member returns the member of a VM. An unknown member has the state Silent.
func (m *Mesh) member(vm string) Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.members.get(vm, time.Now())
}

// heartbeatInterval returns the interval of heartbeats to daemons in a zone.
func (m *Mesh) heartbeatInterval(zone string) time.Duration {
	if zone == m.config.Zone {
		return m.config.HeartbeatEvery
	}
	return otherZoneFactor * m.config.HeartbeatEvery
}
