package dispatch

import (
	"bytes"
	"slices"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/table"
)

// storedRow is a row of a job's progress as the store has it.
type storedRow struct {
	version int64
	value   []byte // nil if the value is not known
}

// storedProgress holds the rows of a job's progress by key below ProgressPrefix.
type storedProgress map[string]table.Row

// rowChange is a row of a job's progress that differs from the stored one.
type rowChange struct {
	key    string
	value  []byte
	delete bool // the row is a page of an occurrence that is no longer open
}

// progressCommit collects the progress that one commit stores.
type progressCommit struct {
	conditions []table.Condition
	writes     []table.Write
	size       int // bytes of all values
	jobs       map[string]*jobCommit
	single     bool // the commit has one job, which the store may not accept
}

// jobCommit is the part of a commit that belongs to one job.
type jobCommit struct {
	revision int64       // revision of the job that the rows are from
	state    batch.State // state of the job in that revision
	// uncertain means that the outcome of an earlier commit was not known.
	uncertain bool
	rows      []rowChange
	rest      [][]rowChange // groups of rows of that revision that later commits store
}

// changedRows returns the rows of a job that differ from the stored ones, in groups that
// are to be stored together. The first group has the head, if it has changed.
func (j *jobState) changedRows() ([][]rowChange, error) {
	rows, err := j.tracker.EncodeRows()
	if err != nil {
		return nil, err
	}
	current := make(map[string]bool, len(rows))
	groups := [][]rowChange{nil}
	occurrences := map[int64]int{} // positions of the groups
	for _, row := range rows {
		current[row.Key] = true
		if stored, known := j.rows[row.Key]; known && stored.value != nil && bytes.Equal(stored.value, row.Value) {
			continue
		}
		group := 0
		if row.Page {
			known := false
			if group, known = occurrences[row.Occurrence]; !known {
				group = len(groups)
				occurrences[row.Occurrence] = group
				groups = append(groups, nil)
			}
		}
		groups[group] = append(groups[group], rowChange{key: row.Key, value: row.Value})
	}
	for key := range j.rows {
		if !current[key] {
			groups = append(groups, []rowChange{{key: key, delete: true}})
		}
	}
	return slices.DeleteFunc(groups, func(g []rowChange) bool { return len(g) == 0 }), nil
}

// nextRows returns the groups of rows that are to be stored next, and the revision and the
// state of the job that they are from. Those of a large job may take several commits; the
// changes of the job in the meantime wait until all of them are stored.
func (j *jobState) nextRows() ([][]rowChange, int64, batch.State, error) {
	if len(j.backlog) > 0 {
		return j.backlog, j.backlogRevision, j.backlogState, nil
	}
	groups, err := j.changedRows()
	return groups, j.revision, j.tracker.State, err
}

// add adds groups of rows of a job as far as there is room. A group that is too large for
// any commit is divided.
func (c *progressCommit) add(j *jobState, groups [][]rowChange, revision int64, state batch.State) {
	part := &jobCommit{revision: revision, state: state, uncertain: j.uncertain}
	for i, group := range groups {
		n := c.room(group)
		if n < len(group) && len(c.writes) > 0 {
			part.rest = groups[i:]
			break
		}
		for _, change := range group[:n] {
			c.addRow(j, change)
		}
		part.rows = append(part.rows, group[:n]...)
		if n < len(group) {
			part.rest = append([][]rowChange{group[n:]}, groups[i+1:]...)
			break
		}
	}
	c.jobs[j.tracker.Job.ID] = part
	j.uncertain = true
}

func (c *progressCommit) addRow(j *jobState, change rowChange) {
	key := ProgressPrefix + change.key
	c.conditions = append(c.conditions, table.Condition{Key: key, Version: j.rows[change.key].version})
	c.writes = append(c.writes, table.Write{Key: key, Value: change.value, Delete: change.delete})
	c.size += len(change.value)
}

// room returns how many of the rows fit into the commit.
func (c *progressCommit) room(rows []rowChange) int {
	size := c.size
	for i, row := range rows {
		size += len(row.value)
		if len(c.writes)+i >= maxCommitRows || size > maxCommitBytes && size > len(row.value) {
			return i
		}
	}
	return len(rows)
}

func (c *progressCommit) full() bool {
	return len(c.writes) >= maxCommitRows || c.size >= maxCommitBytes
}

// applyStored records what a commit has stored of a job, and reports whether all rows of
// its revision are stored.
func (j *jobState) applyStored(part *jobCommit, version int64) (complete bool) {
	for _, row := range part.rows {
		if row.delete {
			delete(j.rows, row.key)
			continue
		}
		stored := storedRow{version: version}
		if j.tracker.Paged() {
			stored.value = row.value
		}
		j.rows[row.key] = stored
	}
	j.backlog, j.backlogRevision, j.backlogState = part.rest, part.revision, part.state
	return len(part.rest) == 0
}

// setVersion records the version of a stored row, 0 for one that does not exist, after it
// was found to differ from what the term knew.
func (j *jobState) setVersion(key string, version int64) {
	if version == 0 {
		delete(j.rows, key)
		return
	}
	j.rows[key] = storedRow{version: version}
}

// restore sets the progress of a job to the stored rows, if it has any.
func (j *jobState) restore(stored storedProgress) error {
	id := j.tracker.Job.ID
	var pages [][]byte
	for key, row := range stored {
		j.rows[key] = storedRow{version: row.Version}
		if key != id {
			pages = append(pages, row.Value)
		}
	}
	head, found := stored[id]
	if !found {
		return nil
	}
	return j.tracker.Restore(head.Value, pages...)
}
