package standin

import (
	"reflect"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/refplatform"
)

var errSetHash = eris.New("hash does not fit the tasks of the set")

// taskSet is the set of tasks that a holder has defined.
type taskSet struct {
	hash string
	ids  []string
}

// renewSet renews the tasks of a set. The tasks that have their own lease in the
// message are left out of the common expiry.
func (w *worker) renewSet(message api.RenewTasks) (api.TaskReports, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	asked := message.Set
	if len(asked.TaskIds) > 0 {
		if refplatform.TaskSetHash(asked.TaskIds) != asked.Hash {
			return api.TaskReports{}, errSetHash
		}
		w.sets[asked.Holder] = taskSet{asked.Hash, slices.Clone(asked.TaskIds)}
	}
	set, known := w.sets[asked.Holder]
	if !known || set.hash != asked.Hash {
		return api.TaskReports{Tasks: []api.TaskReport{}, UnknownSet: true}, nil
	}
	own := map[string]bool{}
	for _, id := range w.extend(message.Leases) {
		own[id] = true
	}
	for _, id := range set.ids {
		if t := w.live[id]; t != nil && !own[id] {
			t.lease = max(t.lease, asked.ExpiresMs)
		}
	}
	return w.setAnswer(set, *asked), nil
}

// setAnswer lists the tasks that do not run or have changed since the answer that
// the holder has seen. An ended task is listed as long as it is in the set, so a
// lost answer loses no end. It needs the lock.
func (w *worker) setAnswer(set taskSet, asked api.RenewSet) api.TaskReports {
	answer := api.TaskReports{Tasks: []api.TaskReport{}, Set: set.hash}
	for _, id := range set.ids {
		t := w.find(id)
		if t == nil {
			answer.Missing = append(answer.Missing, id)
			continue
		}
		w.noteChange(t)
		if len(asked.TaskIds) > 0 || t.state != api.TaskStateRunning || t.change > asked.Seen {
			answer.Tasks = append(answer.Tasks, t.report())
		}
	}
	answer.Change = w.changes
	return answer
}

// noteChange numbers the change of a task since it was last looked at. The expiry
// of its lease is no change. It needs the lock.
func (w *worker) noteChange(t *task) {
	now := t.report()
	now.LeaseExpiresMs = 0
	if t.change > 0 && reflect.DeepEqual(now, t.noted) {
		return
	}
	w.changes++
	t.change, t.noted = w.changes, now
}
