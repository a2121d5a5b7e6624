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

// Intervals of the dial loop and back-off after failed dials.
const (
	dialInterval = 50 * time.Millisecond
	// ticksPerReport is the number of dial intervals between reports of member states.
	ticksPerReport = 5
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// stableLinkAge is the age from which a link counts as stable: the back-off is
	// reset when it closes. A link that closes earlier counts as a failure, because a
	// peer may accept each hello and close the link right after it.
	stableLinkAge = time.Second
)

// target is the dial state of an address to which a link is wanted.
type target struct {
	vm       string // empty for a seed whose VM is not known yet
	nextDial time.Time
	failures int
	active   bool // a dial is in progress, or the link that it opened is served
}

// maintainLinks dials every known daemon without a link until ctx ends. The daemon
// with the lower VM identifier dials at once; the other one waits two heartbeat
// intervals and then dials too, because the first one may not know the address of the
// other.
func (m *Mesh) maintainLinks(ctx context.Context) {
	ticker := time.NewTicker(dialInterval)
	defer ticker.Stop()
	reporter := &stateReporter{mesh: m}
	for tick := 0; ; tick++ {
		if tick%ticksPerReport == 0 {
			reporter.report()
		}
		for address, t := range m.dueTargets(time.Now()) {
			//nolint:contextcheck // runInBackground passes the context of Run, which is ctx.
			if !m.runInBackground(func(ctx context.Context) { m.dialTarget(ctx, address, t) }) {
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

// dueTargets returns the targets to dial now, by address, and marks them as active.
func (m *Mesh) dueTargets(now time.Time) map[string]*target {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members.recordTick(now)
	unlinked := m.unlinkedAddresses()
	for address := range m.targets {
		if _, found := unlinked[address]; !found && !m.targets[address].active {
			delete(m.targets, address)
		}
	}
	due := map[string]*target{}
	for address, vm := range unlinked {
		t := m.targets[address]
		if t == nil || t.vm != vm {
			t = &target{vm: vm, nextDial: now.Add(m.dialDelay(vm))}
			m.targets[address] = t
		}
		if !t.active && !now.Before(t.nextDial) {
			t.active = true
			due[address] = t
		}
	}
	return due
}

// unlinkedAddresses returns the known addresses without a link, mapped to their VM
// or to "" while it is unknown.
func (m *Mesh) unlinkedAddresses() map[string]string {
	unlinked := map[string]string{}
	linked := map[string]bool{}
	for vm, r := range m.members.members {
		switch {
		case vm == m.config.VM:
			m.ownAddresses[r.Address] = true
		case m.links[vm] != nil:
			linked[r.Address] = true
		case r.Address != "":
			unlinked[r.Address] = vm
		}
	}
	for _, seed := range m.config.Seeds {
		if _, known := unlinked[seed]; known || linked[seed] || m.links[m.vmByAddress[seed]] != nil {
			continue
		}
		unlinked[seed] = ""
	}
	for address := range m.ownAddresses {
		delete(unlinked, address)
	}
	return unlinked
}

// dialDelay returns the delay before a dial. It is shorter on the daemon with the
// lower VM identifier, so that normally only one side dials.
func (m *Mesh) dialDelay(vm string) time.Duration {
	if vm == "" || m.config.VM < vm {
		return rand.N(dialInterval)
	}
	return 2*m.config.HeartbeatEvery + rand.N(m.config.HeartbeatEvery)
}

// dialTarget dials a target, serves the link until it closes and schedules the next
// dial.
func (m *Mesh) dialTarget(ctx context.Context, address string, t *target) {
	l, err := m.dial(ctx, address)
	if err == nil {
		l.serve(ctx)
		m.unregister(l)
		if time.Since(l.openedAt) >= stableLinkAge {
			m.finishDial(t, -t.failures)
			return
		}
	} else {
		m.logger.Debug("Dial to peer failed.", zap.String("address", address), zap.Error(err))
	}
	if errors.Is(err, errSelf) {
		m.mu.Lock()
		m.ownAddresses[address] = true
		m.mu.Unlock()
	}
	m.finishDial(t, 1)
}

// finishDial changes the failure count of a target and schedules its next dial.
func (m *Mesh) finishDial(t *target, change int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.active = false
	t.failures += change
	t.nextDial = time.Now().Add(m.dialDelay(t.vm))
	if t.failures > 0 {
		t.nextDial = t.nextDial.Add(backoff(t.failures - 1))
	}
}

// backoff returns a delay that doubles with each failure. Jitter keeps daemons that
// were disconnected at the same time from dialling at the same time.
func backoff(failures int) time.Duration {
	const maxDoublings = 8
	wait := min(initialBackoff<<min(failures, maxDoublings), maxBackoff)
	return wait/2 + rand.N(wait/2)
}

// dial connects to an address and exchanges hellos.
func (m *Mesh) dial(ctx context.Context, address string) (*link, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, eris.Wrapf(err, "invalid peer address %q", address)
	}
	dialCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DialContext: m.config.Dial, DisableKeepAlives: true}}
	conn, response, err := websocket.Dial(dialCtx, "ws://"+address+endpointPath, &websocket.DialOptions{
		HTTPClient: client, CompressionMode: websocket.CompressionDisabled,
	})
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, eris.Wrap(err, "open the WebSocket connection")
	}
	l, err := m.exchangeHellos(ctx, conn, address)
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	return l, nil
}

// exchangeHellos sends a hello on a dialled connection, waits for that of the peer and
// establishes the link.
func (m *Mesh) exchangeHellos(ctx context.Context, conn *websocket.Conn, address string) (*link, error) {
	if err := m.writeHello(ctx, conn); err != nil {
		return nil, err
	}
	hello, revision, err := m.readHello(ctx, conn)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	m.vmByAddress[address] = hello.VM
	m.mu.Unlock()
	return m.establish(conn, hello, revision, address, true)
}

// followVMList polls the VM list until ctx ends.
func (m *Mesh) followVMList(ctx context.Context) {
	if m.config.VMs == nil {
		return
	}
	ticker := time.NewTicker(m.config.VMListEvery)
	defer ticker.Stop()
	failing := false
	for {
		list, err := m.readVMList(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			m.mu.Lock()
			m.members.applyVMList(list, time.Now())
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

func (m *Mesh) readVMList(ctx context.Context) (api.VMList, error) {
	const timeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return m.config.VMs.List(ctx)
}

func (m *Mesh) logListState(err error) {
	if err != nil {
		m.logger.Warn("Reading the VM list failed.", zap.Error(err))
		return
	}
	m.logger.Info("Reading the VM list works again.")
}
