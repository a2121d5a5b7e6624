package batch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
)

// Limits of what is stored. They keep each row of the progress below MaxRowBytes,
// whatever the sizes of a job and the values that workers report.
const (
	// MaxRowBytes is the size of a row value that each table service accepts.
	MaxRowBytes = 64 << 10
	// MaxCheckpointBytes bounds the name of a checkpoint, which a worker chooses.
	MaxCheckpointBytes = 256
	// MaxWorkerIDBytes and MaxWorkerAddressBytes bound what identifies a worker. A key of
	// a table service has at most 200 bytes.
	MaxWorkerIDBytes      = 200
	MaxWorkerAddressBytes = 64
	// pageTasks is the number of tasks in a page of the progress. A task takes at most
	// 600 bytes: its checkpoint, its worker, and its counts.
	pageTasks = 100
	// maxPresumedBytes bounds the presumed losses in a row, which name their workers. Those
	// beyond it are not taken back by another dispatcher.
	maxPresumedBytes = 4 << 10
	// presumedBytes is the size of a presumed loss without the identifier of its worker.
	presumedBytes = 40
)

// Row is one row of the progress of a job: the head, or a page with the tasks of one
// occurrence. A job of at most pageTasks tasks has them in its head.
//
// The head may be stored before the pages, and those of one occurrence before those of
// another. A page counts only while the head lists its occurrence as open; it must not be
// deleted before. The changed pages of one occurrence have to be stored together, because
// the members of a gang may be in several of them.
type Row struct {
	Key        string // ID of the job; for a page, ID/OCCURRENCE/PAGE
	Occurrence int64  // occurrence of a page
	Page       bool
	Value      []byte
}

// RowJob returns the ID of the job that a row key belongs to, and whether the row is a
// page.
func RowJob(key string) (id string, page bool) {
	id, _, page = strings.Cut(key, "/")
	return id, page
}

// Paged reports whether the tasks of the job are stored in pages.
func (t *Tracker) Paged() bool { return t.occurrences() > 1 || taskCount(t.Job) > pageTasks }

// EncodeRows returns the rows of the progress, the head first. Pages without any progress
// are left out.
func (t *Tracker) EncodeRows() ([]Row, error) {
	head := api.BatchProgress{State: string(t.State), NextOccurrence: t.nextOccurrence, Started: t.Started}
	if !t.EndedAt.IsZero() {
		head.EndedAtMs = t.EndedAt.UnixMilli()
	}
	units := t.Units
	if t.State.Final() && t.Idle() {
		units = nil
	}
	var pages []Row
	if t.Paged() {
		for steps := range slices.Chunk(units, max(len(t.Job.Steps), 1)) {
			head.Open = append(head.Open, steps[0].Occurrence)
			added, err := t.encodePages(steps)
			if err != nil {
				return nil, err
			}
			pages = append(pages, added...)
		}
	} else {
		workers := map[WorkerIncarnation]int{}
		for _, unit := range units {
			head.Units = append(head.Units, encodeUnit(unit, 0, len(unit.Tasks), workers, &head))
		}
	}
	value, err := encodeProgress(head)
	if err != nil {
		return nil, err
	}
	return append([]Row{{Key: t.Job.ID, Value: value}}, pages...), nil
}

// encodePages returns the pages of an occurrence, given the units of all its steps. The
// tasks of all steps are numbered through.
func (t *Tracker) encodePages(steps []*Unit) ([]Row, error) {
	var rows []Row
	for page, first := 0, 0; first < taskCount(t.Job); page, first = page+1, first+pageTasks {
		row, hasProgress := encodePage(steps, first, first+pageTasks)
		if !hasProgress {
			continue
		}
		value, err := encodeProgress(row)
		if err != nil {
			return nil, err
		}
		occurrence := steps[0].Occurrence
		rows = append(rows, Row{Key: fmt.Sprintf("%s/%d/%d", t.Job.ID, occurrence, page), Occurrence: occurrence, Page: true, Value: value})
	}
	return rows, nil
}

// encodePage returns the tasks from first up to but not including end of an occurrence,
// and whether any of them has made progress.
func encodePage(steps []*Unit, first, end int) (row api.BatchProgress, hasProgress bool) {
	workers := map[WorkerIncarnation]int{}
	offset := 0 // number of the first task of the unit
	for _, unit := range steps {
		from, to := max(first-offset, 0), min(end-offset, len(unit.Tasks))
		offset += len(unit.Tasks)
		if from >= to {
			continue
		}
		hasProgress = hasProgress || slices.ContainsFunc(unit.Tasks[from:to], func(task Task) bool { return task != Task{} })
		row.Units = append(row.Units, encodeUnit(unit, from, to, workers, &row))
	}
	return row, hasProgress
}

func encodeUnit(unit *Unit, from, to int, workers map[WorkerIncarnation]int, row *api.BatchProgress) api.BatchUnit {
	encoded := api.BatchUnit{Occurrence: unit.Occurrence, Step: unit.Step, FailedRun: unit.FailedRun, First: from, Tasks: make([]api.BatchTask, to-from)}
	for i, task := range unit.Tasks[from:to] {
		encoded.Tasks[i] = api.BatchTask{Run: task.Run, Failures: task.Failures, Done: task.Done, Saved: task.Checkpoint,
			Losses: task.Losses.All, EarlyLosses: task.Losses.Early, IsolatedLosses: task.Losses.Isolated,
			WidespreadLosses: task.Losses.Widespread, EarlyStops: task.Losses.Stopped, Isolated: task.Isolated, AssignedAtMs: task.AssignedAtMs, FailedRun: task.FailedRun}
		if !task.Assigned() {
			continue
		}
		position, known := workers[task.Worker]
		if !known {
			row.Workers = append(row.Workers, api.BatchWorker{ID: task.Worker.ID, Born: task.Worker.StartedMs, Address: task.Worker.Address})
			position = len(row.Workers)
			workers[task.Worker] = position
		}
		encoded.Tasks[i].Worker = position
	}
	encoded.Presumed = encodePresumed(unit, from, to, workers, row)
	return encoded
}

// encodePresumed returns the presumed losses of some tasks of a unit as far as the row has
// room for them, and adds their workers to it.
func encodePresumed(unit *Unit, from, to int, workers map[WorkerIncarnation]int, row *api.BatchProgress) []api.BatchPresumedLoss {
	var encoded []api.BatchPresumedLoss
	size := 0
	for _, other := range row.Units {
		for _, p := range other.Presumed {
			size += presumedBytes + len(row.Workers[p.Worker-1].ID)
		}
	}
	for _, p := range unit.Presumed {
		if p.Index < from || p.Index >= to {
			continue
		}
		if size += presumedBytes + len(p.ID); size > maxPresumedBytes {
			break
		}
		worker := WorkerIncarnation{ID: p.ID, StartedMs: p.StartedMs}
		if workers[worker] == 0 {
			row.Workers = append(row.Workers, api.BatchWorker{ID: p.ID, Born: p.StartedMs})
			workers[worker] = len(row.Workers)
		}
		encoded = append(encoded, api.BatchPresumedLoss{Task: p.Index, Worker: workers[worker], Early: p.Early, Widespread: p.Widespread})
	}
	return encoded
}

func encodeProgress(row api.BatchProgress) ([]byte, error) {
	value, err := cbor.Marshal(row)
	return value, eris.Wrap(err, "encode the progress of a job")
}

func decodeProgress(value []byte) (row api.BatchProgress, err error) {
	err = cbor.Unmarshal(value, &row)
	return row, eris.Wrap(err, "decode the progress of a job")
}

// DecodeState returns the state of the job from the head of its progress.
func DecodeState(value []byte) (State, error) {
	head, err := decodeProgress(value)
	return State(head.State), err
}

// Restore sets the tracker to the stored progress. Pages of occurrences that are not open
// are ignored.
func (t *Tracker) Restore(headValue []byte, pages ...[]byte) error {
	head, err := decodeProgress(headValue)
	if err != nil {
		return err
	}
	t.State, t.nextOccurrence, t.Started, t.Units = State(head.State), head.NextOccurrence, head.Started, nil
	if head.EndedAtMs != 0 {
		t.EndedAt = time.UnixMilli(head.EndedAtMs)
	}
	for _, occurrence := range head.Open {
		t.addUnits(occurrence)
	}
	for _, encoded := range head.Units {
		if t.Unit(encoded.Occurrence, encoded.Step) == nil {
			t.addUnits(encoded.Occurrence)
		}
	}
	if err := t.restoreUnits(head); err != nil {
		return err
	}
	for _, value := range pages {
		page, err := decodeProgress(value)
		if err != nil {
			return err
		}
		if err := t.restoreUnits(page); err != nil {
			return err
		}
	}
	t.alignRestoredGangs()
	return nil
}

// restoreUnits sets the tasks that a row lists.
func (t *Tracker) restoreUnits(row api.BatchProgress) error {
	for _, encoded := range row.Units {
		if encoded.Step < 0 || encoded.Step >= len(t.Job.Steps) {
			return eris.Errorf("progress of job %s refers to step index %d, but the job has %d steps", t.Job.ID, encoded.Step, len(t.Job.Steps))
		}
		unit := t.Unit(encoded.Occurrence, encoded.Step)
		if unit == nil {
			continue
		}
		if encoded.First < 0 || encoded.First+len(encoded.Tasks) > len(unit.Tasks) {
			return eris.Errorf("progress of job %s lists tasks %d to %d of step index %d, which has %d tasks", t.Job.ID, encoded.First, encoded.First+len(encoded.Tasks)-1, encoded.Step, len(unit.Tasks))
		}
		unit.FailedRun = max(unit.FailedRun, encoded.FailedRun)
		for i, stored := range encoded.Tasks {
			task := Task{Run: stored.Run, Failures: stored.Failures, Done: stored.Done, Checkpoint: stored.Saved,
				Losses: Losses{All: stored.Losses, Early: stored.EarlyLosses, Isolated: stored.IsolatedLosses, Widespread: stored.WidespreadLosses, Stopped: stored.EarlyStops}, Isolated: stored.Isolated, AssignedAtMs: stored.AssignedAtMs, FailedRun: stored.FailedRun}
			if stored.Worker > 0 && stored.Worker <= len(row.Workers) {
				worker := row.Workers[stored.Worker-1]
				task.Worker = WorkerIncarnation{ID: worker.ID, StartedMs: worker.Born, Address: worker.Address}
			}
			unit.Tasks[encoded.First+i] = task
		}
		for _, p := range encoded.Presumed {
			if p.Task < 0 || p.Task >= len(unit.Tasks) || p.Worker <= 0 || p.Worker > len(row.Workers) {
				continue
			}
			worker := row.Workers[p.Worker-1]
			unit.Presumed = append(unit.Presumed, PresumedLoss{Index: p.Task, ID: worker.ID, StartedMs: worker.Born, Early: p.Early, Widespread: p.Widespread})
		}
	}
	return nil
}

// alignRestoredGangs makes the members of each gang agree, whose pages may be from
// different commits if they were too large for one.
func (t *Tracker) alignRestoredGangs() {
	for _, unit := range t.Units {
		if !t.Job.Steps[unit.Step].Gang {
			continue
		}
		if slices.ContainsFunc(unit.Tasks, func(task Task) bool { return task.Done }) {
			unit.finish()
		}
		if !unit.Assigned() {
			t.AlignGang(unit, unit.Tasks[0].Checkpoint)
		}
	}
}
