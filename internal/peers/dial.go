package peers

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
)

// Times between attempts to dial.
const (
	dialTick = 50 * time.Millisecond
	// reportTicks is the number of ticks between reports of the states of members.
	reportTicks  = 5
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// stableAfter is the life of a link after which a new dial needs no back-off.
	// A peer may close a link right after the hello, and does so each time.
	stableAfter = time.Second
)

// target is an address to which a link is wanted.
type target struct {
	vm       string // empty while a seed has not said who it is
	next     time.Time
	failures int
	dialling bool // also while a link that was dialled to it is served
}

// keepLinks dials every known daemon without a link until ctx ends. The daemon
// with the lower VM identifier dials at once; the other one waits two heartbeats
// and then dials too, because the first may not know of it.
func (m *Mesh) keepLinks(ctx context.Context) {
	ticker := time.NewTicker(dialTick)
	defer ticker.Stop()
	states := &stateReporter{mesh: m}
	for tick := 0; ; tick++ {
		if tick%reportTicks == 0 {
			states.report()
		}
		for address, t := range m.dueTargets(time.Now()) {
			//nolint:contextcheck // goRun passes the context of Run, which is ctx.
			if !m.goRun(func(ctx context.Context) { m.dialTarget(ctx, address, t) }) {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// dueTargets returns the targets to dial now and marks them as being dialled.
func (m *Mesh) dueTargets(now time.Time) map[string]*target {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members.tick(now)
	wanted := m.wanted()
	for address := range m.targets {
		if _, still := wanted[address]; !still && !m.targets[address].dialling {
			delete(m.targets, address)
		}
	}
	due := map[string]*target{}
	for address, vm := range wanted {
		t := m.targets[address]
		if t == nil || t.vm != vm {
			t = &target{vm: vm, next: now.Add(m.firstWait(vm))}
			m.targets[address] = t
		}
		if !t.dialling && !now.Before(t.next) {
			t.dialling = true
			due[address] = t
		}
	}
	return due
}

// wanted returns the addresses without a link, with the VM if it is known.
func (m *Mesh) wanted() map[string]string {
	wanted := map[string]string{}
	linked := map[string]bool{}
	for vm, r := range m.members.members {
		switch {
		case vm == m.config.VM:
			m.ownAddr[r.Address] = true
		case m.links[vm] != nil:
			linked[r.Address] = true
		case r.Address != "":
			wanted[r.Address] = vm
		}
	}
	for _, seed := range m.config.Seeds {
		if _, known := wanted[seed]; known || linked[seed] || m.links[m.answered[seed]] != nil {
			continue
		}
		wanted[seed] = ""
	}
	for address := range m.ownAddr {
		delete(wanted, address)
	}
	return wanted
}

// firstWait gives the lower VM identifier the first chance to dial.
func (m *Mesh) firstWait(vm string) time.Duration {
	if vm == "" || m.config.VM < vm {
		return rand.N(dialTick)
	}
	return 2*m.config.HeartbeatEvery + rand.N(m.config.HeartbeatEvery)
}

func (m *Mesh) dialTarget(ctx context.Context, address string, t *target) {
	l, err := m.dial(ctx, address)
	if err == nil {
		l.serve(ctx)
		m.unregister(l)
		if time.Since(l.opened) >= stableAfter {
			m.finishDial(t, -t.failures)
			return
		}
	} else {
		m.logger.Debug("Peer not reached.", zap.String("address", address), zap.Error(err))
	}
	if errors.Is(err, errSelf) {
		m.mu.Lock()
		m.ownAddr[address] = true
		m.mu.Unlock()
	}
	m.finishDial(t, 1)
}

// finishDial sets the time of the next dial after a number of further failures.
func (m *Mesh) finishDial(t *target, failures int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.dialling = false
	t.failures += failures
	t.next = time.Now().Add(m.firstWait(t.vm))
	if t.failures > 0 {
		t.next = t.next.Add(backoff(t.failures - 1))
	}
}

// backoff doubles with each failure, with jitter so that daemons that lost the
// same switch do not dial in step.
func backoff(failures int) time.Duration {
	const maxDoublings = 8
	wait := min(firstBackoff<<min(failures, maxDoublings), maxBackoff)
	return wait/2 + rand.N(wait/2)
}

// dial connects to an address and exchanges hellos.
func (m *Mesh) dial(ctx context.Context, address string) (*link, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, eris.Wrapf(err, "peer address %q", address)
	}
	dialCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DialContext: m.config.Dial, DisableKeepAlives: true}}
	conn, response, err := websocket.Dial(dialCtx, "ws://"+address+path, &websocket.DialOptions{
		HTTPClient: client, CompressionMode: websocket.CompressionDisabled,
	})
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, eris.Wrap(err, "dial")
	}
	l, err := m.greet(ctx, conn, address)
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	return l, nil
}

func (m *Mesh) greet(ctx context.Context, conn *websocket.Conn, address string) (*link, error) {
	if err := m.writeHello(ctx, conn); err != nil {
		return nil, err
	}
	hello, revision, err := m.readHello(ctx, conn)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	m.answered[address] = hello.VM
	m.mu.Unlock()
	return m.establish(conn, hello, revision, address, true)
}

// followVMs reads the VM list until ctx ends.
func (m *Mesh) followVMs(ctx context.Context) {
	if m.config.VMs == nil {
		return
	}
	ticker := time.NewTicker(m.config.VMListEvery)
	defer ticker.Stop()
	failing := false
	for {
		list, err := m.readVMs(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			m.mu.Lock()
			m.members.takeList(list, time.Now())
			m.mu.Unlock()
		}
		if (err != nil) != failing {
			failing = err != nil
			m.logListState(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Mesh) readVMs(ctx context.Context) (api.VMList, error) {
	const timeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return m.config.VMs.List(ctx)
}

func (m *Mesh) logListState(err error) {
	if err != nil {
		m.logger.Warn("VM list cannot be read.", zap.Error(err))
		return
	}
	m.logger.Info("VM list is read again.")
}
