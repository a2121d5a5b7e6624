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
	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/revision"
)

// remoteFactor stretches heartbeats and the time until a loss for peers in
// other zones: their latency varies more, and nobody there takes over within a second.
const remoteFactor = 4

// Config holds the dependencies of a mesh.
type Config struct {
	VM   string
	Zone string
	// Incarnation tells this process from earlier ones on the same VM; use
	// NewIncarnation. Empty chooses one.
	Incarnation string
	// Listen is the IP address and port for other daemons. Listener, when set,
	// is used instead and is closed by Run.
	Listen   string
	Listener net.Listener
	Token    string
	Seeds    []string
	// VMs is the list of the platform; nil leaves only seeds and direct contact.
	VMs            refplatform.VMs
	VMListEvery    time.Duration // default 1 s
	HeartbeatEvery time.Duration // default 250 ms
	LostAfter      time.Duration // default 1 s
	MaxFrameBytes  int64         // default DefaultMaxFrameBytes
	// HighestRevision is the highest configuration revision heard of. Frames carry it and raise it.
	HighestRevision *revision.HighWaterMark
	// Announce gives the contents of heartbeats; nil announces nothing.
	Announce Announcer
	// Dial opens connections; nil dials by TCP.
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Logger *zap.Logger
	Scope  tally.Scope
	Tracer trace.Tracer
}

// NewIncarnation returns an identifier for this process. Later ones sort after
// earlier ones, so that of two processes that claim one VM the newer is known.
func NewIncarnation() string { return uuid.Must(uuid.NewV7()).String() }

// Mesh implements Network.
type Mesh struct {
	config   Config
	logger   *zap.Logger
	metrics  *metrics
	handlers map[Kind]Handler
	// smallWork and bulkWork bound the handlers that run at a time. Bulk
	// messages have slots of their own so that they cannot hold up the others.
	smallWork chan struct{}
	bulkWork  chan struct{}
	hellos    chan struct{} // bounds accepted connections without a hello
	draining  atomic.Bool
	drained   chan struct{} // closed by Drain
	drainOnce sync.Once
	nextCall  atomic.Uint64

	mu      sync.RWMutex
	run     context.Context // nil before Run
	work    sync.WaitGroup
	members *membership
	links   map[string]*link // by VM
	targets map[string]*target
	ownAddr map[string]bool // addresses that turned out to be this daemon
	// answered holds who answered at an address last.
	answered map[string]string
}

var _ Network = (*Mesh)(nil)

// Limits of concurrent work.
const (
	maxSmallHandlers = 256
	maxBulkHandlers  = 1024
	maxOpenHellos    = 64
)

// New returns a mesh that does nothing until Run.
func New(config Config) *Mesh {
	setDefaults(&config)
	return &Mesh{
		config:    config,
		logger:    config.Logger,
		metrics:   newMetrics(config.Scope),
		handlers:  map[Kind]Handler{},
		smallWork: make(chan struct{}, maxSmallHandlers),
		bulkWork:  make(chan struct{}, maxBulkHandlers),
		hellos:    make(chan struct{}, maxOpenHellos),
		drained:   make(chan struct{}),
		members:   newMembership(config.VM, config.Zone, config.LostAfter),
		links:     map[string]*link{},
		targets:   map[string]*target{},
		ownAddr:   map[string]bool{config.Listen: true},
		answered:  map[string]string{},
	}
}

func setDefaults(c *Config) {
	setDuration(&c.VMListEvery, time.Second)
	setDuration(&c.HeartbeatEvery, 250*time.Millisecond)
	setDuration(&c.LostAfter, time.Second)
	if c.Incarnation == "" {
		c.Incarnation = NewIncarnation()
	}
	if c.MaxFrameBytes == 0 {
		c.MaxFrameBytes = DefaultMaxFrameBytes
	}
	if c.HighestRevision == nil {
		c.HighestRevision = &revision.HighWaterMark{}
	}
	if c.Announce == nil {
		c.Announce = func() api.PeerHeartbeat { return api.PeerHeartbeat{} }
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	c.Logger = telemetry.LoggerOrNop(c.Logger)
	c.Scope = telemetry.ScopeOrNoop(c.Scope)
	c.Tracer = telemetry.TracerOrNoop(c.Tracer)
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Handle registers the handler of a kind; call it before Run.
func (m *Mesh) Handle(kind Kind, handler Handler) { m.handlers[kind] = handler }

// Run listens, dials and follows the VM list until ctx ends. It returns when
// all links are closed and all handlers have returned.
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
	m.run = ctx
	m.ownAddr[listener.Addr().String()] = true
	m.mu.Unlock()
	server := &http.Server{Handler: m, ReadHeaderTimeout: helloTimeout}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve peers")
		}
		return nil
	})
	group.Go(func() error { <-ctx.Done(); return server.Close() })
	group.Go(func() error { m.followVMs(ctx); return nil })
	group.Go(func() error { m.keepLinks(ctx); return nil })
	group.Go(func() error { m.spreadRevisions(ctx); return nil })
	err := group.Wait()
	m.closeLinks()
	m.work.Wait()
	return eris.Wrap(err, "run the peer links")
}

// goRun runs f on a goroutine that Run waits for. It returns false when the
// mesh is not running.
func (m *Mesh) goRun(f func(ctx context.Context)) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.run == nil || m.run.Err() != nil {
		return false
	}
	ctx := m.run
	m.work.Add(1)
	go func() {
		defer m.work.Done()
		f(ctx)
	}()
	return true
}

// Drain announces that this daemon takes no new work. It cannot be undone.
func (m *Mesh) Drain() {
	m.draining.Store(true)
	m.drainOnce.Do(func() { close(m.drained) })
	m.kickAll()
}

// spreadRevisions sends a heartbeat at once when a higher revision is heard of.
func (m *Mesh) spreadRevisions(ctx context.Context) {
	for {
		changed := m.config.HighestRevision.Changed()
		m.kickAll()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (m *Mesh) kickAll() {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, l := range m.links {
		l.kickHeartbeat()
	}
}

func (m *Mesh) closeLinks() {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, l := range m.links {
		l.close(context.Canceled)
	}
}

// Self describes this daemon.
func (m *Mesh) Self() Member {
	announced := m.config.Announce()
	state := Live
	m.mu.RLock()
	leaving := m.members.selfLeaving()
	m.mu.RUnlock()
	if leaving {
		state = Leaving
	} else if m.draining.Load() {
		state = Draining
	}
	return Member{
		VM: m.config.VM, Zone: m.config.Zone, Address: m.config.Listen,
		Incarnation: m.config.Incarnation, State: state,
		Revision: m.config.HighestRevision.Value(), FreeSlots: announced.FreeSlots,
		PlannerEpoch: announced.PlannerEpoch, TableVersion: announced.TableVersion,
		StoreAge: time.Duration(announced.StoreAgeMs) * time.Millisecond, LastSeen: time.Now(),
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
	return m.members.live(zone, !m.draining.Load(), time.Now())
}

// member returns the member of a VM.
func (m *Mesh) member(vm string) Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.members.get(vm, time.Now())
}

// heartbeatEvery returns the interval of heartbeats to a zone.
func (m *Mesh) heartbeatEvery(zone string) time.Duration {
	if zone == m.config.Zone {
		return m.config.HeartbeatEvery
	}
	return remoteFactor * m.config.HeartbeatEvery
}
