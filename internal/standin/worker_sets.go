package standin

import (
	"reflect"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/refplatform"
)

var errSetHashMismatch = eris.New("hash does not fit the tasks of the set")

// taskSet is a set of tasks that a holder has defined for its renewals.
type taskSet struct {
	hash string
	ids  []string
}

// renewSet renews the tasks of a set. The common expiry does not apply to tasks that the
// message lists with their own lease.
func (w *worker) renewSet(message api.RenewTasks) (api.TaskReports, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	request := message.Set
	if len(request.TaskIds) > 0 {
		if refplatform.TaskSetHash(request.TaskIds) != request.Hash {
			return api.TaskReports{}, errSetHashMismatch
		}
		w.sets[request.Holder] = taskSet{request.Hash, slices.Clone(request.TaskIds)}
	}
	set, known := w.sets[request.Holder]
	if !known || set.hash != request.Hash {
		return api.TaskReports{Tasks: []api.TaskReport{}, UnknownSet: true}, nil
	}
	individual := map[string]bool{}
	for _, id := range w.extendLeases(message.Leases) {
		individual[id] = true
	}
	for _, id := range set.ids {
		if t := w.live[id]; t != nil && !individual[id] {
			t.leaseExpires = max(t.leaseExpires, request.ExpiresMs)
		}
	}
	return w.answerForSet(set, *request), nil
}

// answerForSet returns an answer with the tasks that are not running or have changed
// since the last answer that the holder acknowledged. It lists an ended task as long as
// the task is in the set, so that the end is not lost with an answer. The caller must
// hold the lock.
func (w *worker) answerForSet(set taskSet, request api.RenewSet) api.TaskReports {
	answer := api.TaskReports{Tasks: []api.TaskReport{}, Set: set.hash}
	for _, id := range set.ids {
		t := w.find(id)
		if t == nil {
			answer.Missing = append(answer.Missing, id)
			continue
		}
		w.recordChange(t)
		if len(request.TaskIds) > 0 || t.state != api.TaskStateRunning || t.changeNumber > request.Seen {
			answer.Tasks = append(answer.Tasks, t.report())
		}
	}
	answer.Change = w.lastChange
	return answer
}

// recordChange assigns a new change number to a task whose report differs from the last
// one. The lease expiry is not compared. The caller must hold the lock.
func (w *worker) recordChange(t *task) {
	now := t.report()
	now.LeaseExpiresMs = 0
	if t.changeNumber > 0 && reflect.DeepEqual(now, t.lastReport) {
		return
	}
	w.lastChange++
	t.changeNumber, t.lastReport = w.lastChange, now
}
