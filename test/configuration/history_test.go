package configuration

import (
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// checkTimeout bounds the linearizability check of a history.
const checkTimeout = 10 * time.Second

// operation is a read of the configuration head, or a write on top of an expected revision.
type operation struct {
	write    bool
	expected int64
}

// observation is the result of an operation as its operator observes it. Status 0 means
// that there was no answer.
type observation struct {
	status   int
	revision int64
}

// headModel models the head as a counter. A write is accepted exactly if it expects the
// current revision; otherwise it is refused with the current revision. A write without a
// known outcome may have been accepted.
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

// history records the operations of all operators, with revisions relative to base.
type history struct {
	mu         sync.Mutex
	start      time.Time
	base       int64
	operations []porcupine.Operation
}

// newHistory returns an empty history that counts revisions from base.
func newHistory(base int64) *history { return &history{start: time.Now(), base: base} }

// record records an operation that was called at the given time and has just returned.
func (h *history) record(operator int, called time.Time, in operation, out observation) {
	returned := time.Since(h.start).Nanoseconds()
	if in.write && (out.status == 0 || out.status == 504) {
		returned = math.MaxInt64 // it may take effect at any time
	}
	in.expected -= h.base
	out.revision -= h.base
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: operator, Input: in, Output: out, Call: called.Sub(h.start).Nanoseconds(), Return: returned,
	})
}

func (h *history) check() porcupine.CheckResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	return porcupine.CheckOperationsTimeout(headModel.ToModel(), h.operations, checkTimeout)
}
