package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Faults selects the faults of one service, worker or minion. The zero value selects
// none.
type Faults struct {
	// Refuse closes the listener and its connections, so that connections are refused.
	Refuse bool `json:"refuse,omitempty"`
	// Down answers every call with 503 and the header for a call that took no effect.
	Down bool `json:"down,omitempty"`
	// Silent blocks every call before it takes effect. Once the fault is cleared, the
	// blocked calls take effect even if their clients have disconnected, as in a
	// process that was paused and continues.
	Silent bool `json:"silent,omitempty"`
	// DelayMs delays each call before it takes effect. The call takes effect even if its
	// client has disconnected.
	DelayMs int64 `json:"delay_ms,omitempty"`
	// LoseEvery closes the connection instead of answering each n-th mutating call, after
	// the call was handled; 0 means never.
	LoseEvery int `json:"lose_every,omitempty"`
	// LoseProbability is the probability, 0 to 1, with which the answer to a mutating call
	// is lost in the same way.
	LoseProbability float64 `json:"lose_probability,omitempty"`
	// Truncate ends each answer in the middle of its body.
	Truncate bool `json:"truncate,omitempty"`

	// FailStarts makes a worker fail every task that it starts.
	FailStarts bool `json:"fail_starts,omitempty"`
	// IgnoreSets makes a worker renew only the listed leases, like a worker that does
	// not support task sets.
	IgnoreSets bool `json:"ignore_sets,omitempty"`

	// SlowMs extends the time for which each request occupies its slot on a minion.
	SlowMs int64 `json:"slow_ms,omitempty"`
	// Fail makes a minion answer every request with 500 after running it.
	Fail bool `json:"fail,omitempty"`
	// Leaving makes a minion announce that it accepts no new work. It still runs every
	// request that it receives.
	Leaving bool `json:"leaving,omitempty"`
	// MismatchAnswers makes a minion send the answer to an earlier request, or if there is
	// none, the current answer with the identifier of another request.
	MismatchAnswers bool `json:"cross,omitempty"`
	// WrongChecksum makes a minion send a wrong checksum in the header.
	WrongChecksum bool `json:"wrong_checksum,omitempty"`
}

// faultInjector holds the active faults of a target and decides which calls they affect.
type faultInjector struct {
	mu        sync.Mutex
	faults    Faults
	updated   chan struct{} // closed and replaced by each update of the faults
	random    *rand.Rand
	mutations int   // mutating calls since the last update
	lost      int64 // answers lost so far
	refused   int64 // calls refused by Down so far
}

func newFaultInjector(seed, stream uint64) *faultInjector {
	return &faultInjector{updated: make(chan struct{}), random: rand.New(rand.NewPCG(seed, stream))}
}

func (f *faultInjector) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

func (f *faultInjector) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults, f.mutations = faults, 0
	close(f.updated)
	f.updated = make(chan struct{})
}

// delay blocks a call as the faults Silent and DelayMs demand. It returns false if the
// context ends first.
func (f *faultInjector) delay(ctx context.Context) bool {
	for {
		f.mu.Lock()
		faults, updated := f.faults, f.updated
		f.mu.Unlock()
		if !faults.Silent {
			return sleep(ctx, time.Duration(faults.DelayMs)*time.Millisecond)
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return false
		}
	}
}

// shouldRefuse reports whether to refuse a call without effect, and counts refusals.
func (f *faultInjector) shouldRefuse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.Down {
		f.refused++
	}
	return f.faults.Down
}

// shouldLoseAnswer reports whether to lose the answer to a mutating call, and counts the
// calls and the lost answers.
func (f *faultInjector) shouldLoseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mutations++
	lose := f.faults.LoseEvery > 0 && f.mutations%f.faults.LoseEvery == 0
	if f.faults.LoseProbability > 0 && f.random.Float64() < f.faults.LoseProbability {
		lose = true
	}
	if lose {
		f.lost++
	}
	return lose
}

func (f *faultInjector) counters() (lost, refused int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost, f.refused
}

// sleep waits for a duration. It returns false if the context ends first.
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
