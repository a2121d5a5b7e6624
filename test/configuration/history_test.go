package configuration

import (
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// checkWait bounds the check of a history.
const checkWait = 10 * time.Second

// operation is a read of the head, or a write on top of an expected revision.
type operation struct {
	write    bool
	expected int64
}

// observation is what an operator saw; status 0 means that there was no answer.
type observation struct {
	status   int
	revision int64
}

// headModel is the head as a counter: a write is accepted exactly when its
// expected revision is current, and a loser is told the current one.
var headModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, output any) []any {
		current, in, out := state.(int64), input.(operation), output.(observation)
		switch {
		case !in.write && out.revision == current:
			return []any{current}
		case !in.write:
			return nil
		case out.status == 200 && in.expected == current && out.revision == current+1:
			return []any{current + 1}
		case out.status == 409 && in.expected != current && out.revision == current:
			return []any{current}
		case out.status == 503:
			return []any{current}
		case (out.status == 0 || out.status == 504) && in.expected == current:
			return []any{current, current + 1}
		case out.status == 0 || out.status == 504:
			return []any{current}
		}
		return nil
	},
}

// history records operations of all operators.
type history struct {
	mu         sync.Mutex
	began      time.Time
	base       int64
	operations []porcupine.Operation
}

// newHistory counts revisions from base.
func newHistory(base int64) *history { return &history{began: time.Now(), base: base} }

// note records an operation that was called at a time and has returned now.
func (h *history) note(operator int, called time.Time, in operation, out observation) {
	returned := time.Since(h.began).Nanoseconds()
	if in.write && (out.status == 0 || out.status == 504) {
		returned = math.MaxInt64 // it may take effect at any time
	}
	in.expected -= h.base
	out.revision -= h.base
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: operator, Input: in, Output: out, Call: called.Sub(h.began).Nanoseconds(), Return: returned,
	})
}

func (h *history) check() porcupine.CheckResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	return porcupine.CheckOperationsTimeout(headModel.ToModel(), h.operations, checkWait)
}
