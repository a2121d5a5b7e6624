package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Faults are the faults of one service, worker or minion. The zero value is healthy.
type Faults struct {
	// Refuse closes the listener, so that connections are refused.
	Refuse bool `json:"refuse,omitempty"`
	// Down answers every call with 503 and says that it took no effect.
	Down bool `json:"down,omitempty"`
	// Silent keeps every call waiting. Once the switch is turned off, the waiting
	// calls take effect even if their clients have gone, as in a paused process.
	Silent bool `json:"silent,omitempty"`
	// DelayMs holds back each call before it takes effect, which it does even if
	// its client has gone.
	DelayMs int64 `json:"delay_ms,omitempty"`
	// LoseEvery cuts the connection instead of answering each n-th call that
	// changes something, after it took effect.
	LoseEvery int `json:"lose_every,omitempty"`
	// LoseProbability does the same by chance, 0 to 1.
	LoseProbability float64 `json:"lose_probability,omitempty"`
	// Truncate cuts each answer in the middle of its body.
	Truncate bool `json:"truncate,omitempty"`

	// FailStarts makes a worker fail every task that it starts.
	FailStarts bool `json:"fail_starts,omitempty"`
	// IgnoreSets makes a worker renew only the listed leases, as one that does not
	// know the set form of renewals.
	IgnoreSets bool `json:"ignore_sets,omitempty"`

	// SlowMs makes each request on a minion take longer while it holds its slot.
	SlowMs int64 `json:"slow_ms,omitempty"`
	// Fail makes a minion answer every request with 500 after running it.
	Fail bool `json:"fail,omitempty"`
	// Leaving makes a minion say that it takes no new work; it still runs what it gets.
	Leaving bool `json:"leaving,omitempty"`
	// Cross makes a minion answer with the identifier and body of another request.
	Cross bool `json:"cross,omitempty"`
	// WrongChecksum makes a minion announce a wrong checksum.
	WrongChecksum bool `json:"wrong_checksum,omitempty"`
}

// faultSwitch holds the faults in force.
type faultSwitch struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed and replaced by each change
	random  *rand.Rand
	changes int   // calls that changed something since the last switch
	lost    int64 // answers lost so far
	refused int64 // calls refused by Down so far
}

func newFaultSwitch(seed, stream uint64) *faultSwitch {
	return &faultSwitch{changed: make(chan struct{}), random: rand.New(rand.NewPCG(seed, stream))}
}

func (f *faultSwitch) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

func (f *faultSwitch) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults, f.changes = faults, 0
	close(f.changed)
	f.changed = make(chan struct{})
}

// hold waits out silence and delay. It returns false when the process ends first.
func (f *faultSwitch) hold(ctx context.Context) bool {
	for {
		f.mu.Lock()
		faults, changed := f.faults, f.changed
		f.mu.Unlock()
		if !faults.Silent {
			return sleep(ctx, time.Duration(faults.DelayMs)*time.Millisecond)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// refuses tells whether a call is to be refused without effect.
func (f *faultSwitch) refuses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.Down {
		f.refused++
	}
	return f.faults.Down
}

// loses tells whether the answer to a call that changed something is to be lost.
func (f *faultSwitch) loses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes++
	lose := f.faults.LoseEvery > 0 && f.changes%f.faults.LoseEvery == 0
	if f.faults.LoseProbability > 0 && f.random.Float64() < f.faults.LoseProbability {
		lose = true
	}
	if lose {
		f.lost++
	}
	return lose
}

func (f *faultSwitch) counts() (lost, refused int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost, f.refused
}

// sleep waits for a duration. It returns false when the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
