package admission_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/internal/admission"
	"github.com/samphirepath/samphirepath/internal/batch"
)

const mb = 1 << 20

func TestBudgetIsThatOfTheSmallestMachine(t *testing.T) {
	if got := admission.Budget([]int64{536 * mb, 144 * mb, 284 * mb}); got != 18*mb {
		t.Errorf("got %d", got)
	}
	if got := admission.Budget(nil); got != 12*mb {
		t.Errorf("without machines: got %d", got)
	}
}

func TestCheck(t *testing.T) {
	load := admission.Load{BudgetBytes: 100 * mb, HeldBytes: 60 * mb, Organisations: map[string]int64{"large": 35 * mb}}
	own := func(all, organisation int64) admission.Pending {
		amount := admission.Amount{All: all, Organisation: organisation}
		return admission.Pending{Amount: amount, Window: amount}
	}
	for _, c := range []struct {
		name         string
		pending      admission.Pending
		organisation string
		bytes        int64
		want         error
	}{
		{"an organisation without jobs", own(0, 0), "small", 8 * mb, nil},
		{"an organisation with as much as is left", own(0, 0), "large", 6 * mb, admission.ErrOrganisation},
		{"a small job of that organisation", own(0, 0), "large", 4 * mb, nil},
		{"more than is left", own(0, 0), "small", 41 * mb, admission.ErrFull},
		{"more than the window", own(0, 0), "small", 11 * mb, admission.ErrDaemon},
		{"what this daemon has just accepted", own(9*mb, 0), "small", 2 * mb, admission.ErrDaemon},
		{"the same with room", own(8*mb, 0), "small", 2 * mb, nil},
		{"the same of one organisation", own(6*mb, 6*mb), "small", 2 * mb, admission.ErrDaemon},
		{"what the dispatcher has granted", admission.Pending{Amount: admission.Amount{All: 9 * mb}}, "small", 2 * mb, nil},
	} {
		if got := admission.Check(load, c.pending, 10*mb, c.organisation, c.bytes); !eris.Is(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestWindows(t *testing.T) {
	calm, busy := admission.Load{BudgetBytes: 64 * mb, HeldBytes: 16 * mb}, admission.Load{BudgetBytes: 64 * mb, HeldBytes: 48 * mb}
	for _, c := range []struct {
		name      string
		got, want int64
	}{
		{"daemons that do not know each other", admission.DaemonWindow(calm, 1), 48 * mb / 4 / 8},
		{"many daemons", admission.DaemonWindow(calm, 147), 128 << 10},
		{"very many daemons", admission.DaemonWindow(calm, 480), 48 * mb / 2 / 480},
		{"many daemons, most of the budget held", admission.DaemonWindow(busy, 64), 16 * mb / 4 / 64},
		{"the dispatcher", admission.GrantWindow(calm, 8), 12 * mb},
		{"nothing left", admission.GrantWindow(admission.Load{BudgetBytes: mb, HeldBytes: 2 * mb}, 8), 0},
	} {
		if c.got != c.want {
			t.Errorf("%s: %d, want %d", c.name, c.got, c.want)
		}
	}
}

// fleet is several daemons that accept jobs, and the dispatcher that counts them late.
type fleet struct {
	ledgers []*admission.Ledger
	grants  *admission.Ledger
	away    bool // the dispatcher does not answer
	notice  []byte
	version int64
	held    map[string]int64 // accepted and not ended
	now     time.Time
}

const memory = 144 * mb

func newFleet(t *testing.T, daemons int) *fleet {
	t.Helper()
	f := &fleet{held: map[string]int64{}, now: time.Now()}
	config := admission.Config{Notice: func() []byte { return f.notice }, Daemons: func() int { return daemons },
		Budget: func() int64 { return admission.Budget([]int64{memory}) }, Now: func() time.Time { return f.now }}
	grants := config
	grants.Window, grants.BeyondWindow = admission.GrantWindow, true
	f.grants = admission.NewLedger(grants)
	config.Ask = func(ctx context.Context, organisation string, bytes int64) error {
		if f.away {
			return eris.New("no answer")
		}
		return f.grants.Grant(ctx, organisation, bytes)
	}
	for range daemons {
		f.ledgers = append(f.ledgers, admission.NewLedger(config))
	}
	f.publish(t)
	return f
}

// publish publishes the load, a second after the last time.
func (f *fleet) publish(t *testing.T) {
	t.Helper()
	notice, err := admission.EncodeLoad(admission.NewLoad(f.version, admission.Budget([]int64{memory}), f.held))
	if err != nil {
		t.Fatal(err)
	}
	f.notice = notice
	f.now = f.now.Add(time.Second)
}

func (f *fleet) submit(ctx context.Context, daemon int, organisation string, bytes int64) error {
	r, err := f.ledgers[daemon].Reserve(ctx, organisation, bytes)
	if err != nil {
		return err
	}
	f.version++
	f.held[organisation] += bytes
	r.Stored(f.version)
	return nil
}

func (f *fleet) total() (sum int64) {
	for _, bytes := range f.held {
		sum += bytes
	}
	return sum
}

// Guards against jobs that do not fit into the dispatcher, and against organisations that
// leave nothing to others, while they submit without end at all daemons.
func TestOrganisationsWithoutRestraintLeaveRoom(t *testing.T) {
	for _, daemons := range []int{1, 3, 40, 147} {
		for attackers := 1; attackers <= 7; attackers += 3 {
			t.Run(fmt.Sprintf("%d daemons, %d organisations", daemons, attackers), func(t *testing.T) {
				f := newFleet(t, daemons)
				random := rand.New(rand.NewPCG(1, uint64(daemons))) //nolint:gosec // a seeded test
				for range 60 {
					for range 50 * daemons {
						_ = f.submit(t.Context(), random.IntN(daemons), fmt.Sprintf("o%d", random.IntN(attackers)), 1000+random.Int64N(400_000))
					}
					f.publish(t)
				}
				if budget := admission.Budget([]int64{memory}); f.total() > budget {
					t.Errorf("%d bytes are held of %d", f.total(), budget)
				}
				for d := range daemons {
					f.publish(t)
					if err := f.submit(t.Context(), d, "other", 3000); err != nil {
						t.Errorf("a small job of another organisation at daemon %d: %v", d, err)
					}
				}
			})
		}
	}
}

// Guards against single jobs of the largest size that are refused in calm because the windows of
// a daemon and of the dispatcher are smaller.
func TestLargestJobIsAcceptedInCalm(t *testing.T) {
	largest := batch.Job{Repeats: 100}
	for range batch.MaxSteps {
		largest.Steps = append(largest.Steps, batch.Step{Tasks: batch.MaxTasks / batch.MaxSteps})
	}
	for _, daemons := range []int{1, 147} {
		f := newFleet(t, daemons)
		if err := f.submit(t.Context(), 0, "o", batch.Weight(&largest, batch.MaxRowBytes)); err != nil {
			t.Errorf("%d daemons: %v", daemons, err)
		}
		if err := f.submit(t.Context(), 0, "o", batch.Weight(&largest, batch.MaxRowBytes)); err == nil {
			t.Errorf("%d daemons: a second one is accepted at the same time", daemons)
		}
	}
}

// Guards against a daemon without word from the dispatcher that accepts without end, and
// against one that counts jobs twice once the load includes them.
func TestLedgerCountsWhatTheLoadDoesNotInclude(t *testing.T) {
	f := newFleet(t, 8)
	f.away = true
	accepted := 0
	for range 1000 {
		if f.submit(t.Context(), 0, "o", 10_000) == nil {
			accepted++
		}
	}
	if window := 18 * mb / 4 / 8 / 10_000; accepted == 0 || accepted > window {
		t.Errorf("%d jobs were accepted without a word, the window has %d", accepted, window)
	}
	f.publish(t)
	if err := f.submit(t.Context(), 0, "o", 10_000); err != nil {
		t.Errorf("after the load includes the jobs: %v", err)
	}
}

// Guards against daemons that refuse all jobs until a dispatcher of an earlier version, which
// publishes no load, is replaced.
func TestJobsGoOnWithoutAnyLoad(t *testing.T) {
	f := newFleet(t, 8)
	f.notice, f.away = nil, true
	accept := func() (accepted int) {
		for range 1000 {
			if f.submit(t.Context(), 0, "o", 10_000) == nil {
				accepted++
			}
		}
		return accepted
	}
	first := accept()
	if first == 0 || first > 18*mb/4/8/10_000 {
		t.Errorf("%d jobs were accepted", first)
	}
	f.now = f.now.Add(11 * time.Second)
	if later := accept(); later != first {
		t.Errorf("%d jobs were accepted later, %d at first", later, first)
	}
}

// Guards against submissions of unknown outcome that count for ever, or not at all.
func TestUnknownOutcomeCountsForAWhile(t *testing.T) {
	f := newFleet(t, 8)
	f.away = true
	const bytes = 250 << 10
	reserve := func() (*admission.Reservation, error) { return f.ledgers[0].Reserve(t.Context(), "o", bytes) }
	first, err := reserve()
	if err != nil {
		t.Fatal(err)
	}
	first.Unknown()
	if _, err := reserve(); !eris.Is(err, admission.ErrDaemon) {
		t.Errorf("beside a submission that may be stored: %v", err)
	}
	f.now = f.now.Add(11 * time.Second)
	second, err := reserve()
	if err != nil {
		t.Fatalf("later: %v", err)
	}
	second.Release()
	if _, err := reserve(); err != nil {
		t.Errorf("after a submission that was not stored: %v", err)
	}
}

// Guards against a malformed notice that stops the acceptance of jobs or lifts its bound.
func TestInvalidLoadIsIgnored(t *testing.T) {
	f := newFleet(t, 8)
	f.notice, f.away = []byte{0xff, 0x00}, true
	accepted := 0
	for range 1000 {
		if f.submit(t.Context(), 0, "o", 10_000) == nil {
			accepted++
		}
	}
	if accepted == 0 || accepted > 18*mb/4/8/10_000 {
		t.Errorf("%d jobs were accepted", accepted)
	}
}
