package dispatch

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/fleet"
	"github.com/samphirepath/samphirepath/internal/placement"
	"github.com/samphirepath/samphirepath/lease"
	"github.com/samphirepath/samphirepath/table"
)

// lossyStore loses the answers to commits while a mode is set.
type lossyStore struct {
	*table.Memory
	mu sync.Mutex
	// applyUnanswered applies commits at once and loses their answers.
	applyUnanswered bool
	// refuse makes commits fail without effect.
	refuse bool
	// holdNext is the prefix of a row: the next commit that writes such a row is not
	// answered, and applied by applyHeld only. It is empty while none is to be held.
	holdNext string
	held     func() table.CommitResult
	// pending is set until takePending has returned that a commit is held.
	pending bool
}

// takePending reports once that a commit is held.
func (s *lossyStore) takePending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.pending && s.held != nil
	s.pending = s.pending && !held
	return held
}

func (s *lossyStore) Commit(ctx context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply := func() table.CommitResult { return s.Memory.Commit(context.WithoutCancel(ctx), conditions, writes) }
	if s.holdNext != "" {
		for _, w := range writes {
			if strings.HasPrefix(w.Key, s.holdNext) {
				s.holdNext, s.held = "", apply
				return table.CommitResult{Status: table.Unknown, Err: errors.New("no answer")}
			}
		}
	}
	if s.refuse {
		return table.CommitResult{Status: table.Unavailable, Err: errors.New("the store is down")}
	}
	if s.applyUnanswered {
		apply()
		return table.CommitResult{Status: table.Unknown, Err: errors.New("the answer is lost")}
	}
	return apply()
}

// applyHeld applies the commit that was held, as the store may seconds later.
func (s *lossyStore) applyHeld() table.CommitResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held()
}

func (s *lossyStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// newLossyTerm returns a term that knows that there are no jobs, and its store.
func newLossyTerm(g *gomega.WithT, cfg Config) (*term, *lossyStore) {
	store := &lossyStore{Memory: table.NewMemory()}
	t := newLeasedTerm(g, store.Memory, cfg, time.Now)
	t.cfg.Store = store
	t.jobsListed, t.workersListed = true, true
	return t, store
}

// storeAll commits until nothing is left to be stored.
func storeAll(t *term) {
	for range 20 {
		t.countedAt, t.commitRetryAt = time.Time{}, time.Time{}
		t.flush()
		if !t.committing {
			return
		}
		nextEvent(t)()
	}
}

// storedStateOf returns the state of a job that a caller reads from the store.
func storedStateOf(g *gomega.WithT, store table.Store, id string) batch.State {
	row, found, err := store.Get(context.Background(), ProgressPrefix+id)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	if !found {
		return batch.Queued
	}
	state, err := batch.DecodeState(row.Value)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return state
}

// Guards against changes of a large job, such as ends and starts of its tasks, that are never
// stored: they came while a commit of a part of its rows was in flight.
func TestChangesDuringTheCommitsOfALargeJobAreStored(t *testing.T) {
	g := gomega.NewWithT(t)
	term, _ := newLossyTerm(g, Config{})
	for n := range 2 * maxCommitRows {
		id := fmt.Sprint(n)
		value, err := batch.EncodeJob(batch.Job{ID: id, Queue: "q", Steps: []batch.Step{{Tasks: 150}}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		term.addJob(id, table.Row{Key: JobsPrefix + id, Value: value, Version: 1}, nil)
		startTask(term, term.jobs[id])
	}
	term.flush()
	for _, j := range term.jobs {
		j.tracker.Assign(j.tracker.Units[0], 1, batch.WorkerIncarnation{ID: "w"})
		term.markChanged(j)
	}
	nextEvent(term)()
	storeAll(term)
	for id, j := range term.jobs {
		g.Expect(j.storedRevision).To(gomega.Equal(j.revision), "job "+id)
	}
}

// Guards against a caller that is told "running" after another one has read "completed" in
// the store: the answer to the term's own commit is outstanding or lost.
func TestStateIsNotCertainWhileACommitOfItIsUnanswered(t *testing.T) {
	g := gomega.NewWithT(t)
	term, store := newLossyTerm(g, Config{})
	j := addTestJob(g, term, "j")
	ref := startTask(term, j)
	storeAll(term)
	g.Expect(term.knownState("j")).To(gomega.Equal(batch.Running))

	store.set(func() { store.applyUnanswered = true })
	j.tracker.Finish(ref)
	term.updateJobState(j)
	term.flush()
	event := nextEvent(term)
	g.Expect(storedStateOf(g, store, "j")).To(gomega.Equal(batch.Completed))
	g.Expect(term.knownState("j")).NotTo(gomega.Equal(batch.Running), "while the commit is unanswered")
	event()
	g.Expect(term.knownState("j")).NotTo(gomega.Equal(batch.Running), "after the answer was lost")

	store.set(func() { store.applyUnanswered, store.refuse = false, true })
	term.commitRetryAt = time.Time{}
	storeProgress(g, term)
	g.Expect(term.knownState("j")).NotTo(gomega.Equal(batch.Running), "after a repeat was refused")
	store.set(func() { store.refuse = false })
	storeAll(term)
	g.Expect(term.knownState("j")).To(gomega.Equal(batch.Completed))
}

// Guards against a job that is shown as "completed" and runs again: after an internal error a
// daemon began a term under the epoch of the one before, whose last commit was applied after
// the new term had listed the progress, and was overwritten.
func TestNoTermFollowsUnderTheEpochOfOneThatHasCommitted(t *testing.T) {
	g := gomega.NewWithT(t)
	store := &lossyStore{Memory: table.NewMemory()}
	l, err := lease.New(lease.Config{Store: store, Prefix: LeasePrefix, Holder: "a", Incarnation: "a", LeaseTime: time.Second, RenewEvery: 100 * time.Millisecond})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	d := New(Config{Store: store, Lease: l, Holder: "a", Log: zap.NewNop(),
		Workers: Discovery{Prefix: "servers/", Decode: func(table.Row) (fleet.Worker, error) { return fleet.Worker{}, nil }},
		Plan: func(placement.Snapshot) placement.Result {
			if store.takePending() {
				panic("internal error")
			}
			return placement.Result{}
		},
		Follower: table.Follower{Wait: 50 * time.Millisecond, Grace: 200 * time.Millisecond, RetryDelay: 20 * time.Millisecond}})
	value, err := batch.EncodeJob(batch.Job{ID: "j", Queue: "q", Steps: []batch.Step{{Tasks: 1}}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(store.Commit(t.Context(), nil, []table.Write{{Key: JobsPrefix + "j", Value: value}}).Status).To(gomega.Equal(table.Committed))
	store.set(func() { store.holdNext, store.pending = PendingKey, true })
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = l.Run(ctx) }()
	go func() { _ = d.Run(ctx) }()
	g.Eventually(func() int64 { return l.Status().Epoch }).WithTimeout(5 * time.Second).Should(gomega.Equal(int64(2)))
	g.Eventually(d.Leading).WithTimeout(5 * time.Second).Should(gomega.BeTrue())
	g.Expect(store.applyHeld().Status).To(gomega.Equal(table.Conflict))
}

// Guards against a caller that is told "running" after another one has read the end of a large
// job in the store: its head is stored by an earlier commit than the last of its pages.
func TestStateOfALargeJobIsNotCertainUntilAllItsRowsAreStored(t *testing.T) {
	g := gomega.NewWithT(t)
	term, store := newLossyTerm(g, Config{})
	for n := range 2 * maxCommitRows {
		id := fmt.Sprint(n)
		value, err := batch.EncodeJob(batch.Job{ID: id, Queue: "q", Steps: []batch.Step{{Tasks: 150}}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		term.addJob(id, table.Row{Key: JobsPrefix + id, Value: value, Version: 1}, nil)
		startTask(term, term.jobs[id])
	}
	storeAll(term)
	divided := 0
	for id, j := range term.jobs {
		j.tracker.Units[0].Tasks[0].Checkpoint = "c"
		if len(id)%2 == 0 { // rows of the jobs do not divide a commit evenly
			j.tracker.Units[0].Tasks[120].Checkpoint = "c"
		}
		j.tracker.Cancel(time.Now())
		term.markChanged(j)
		g.Expect(term.knownState(id)).To(gomega.Equal(batch.Running))
	}
	for len(term.changedJobs) > 0 {
		storeProgress(g, term)
		for id, j := range term.jobs {
			if len(j.backlog) > 0 {
				divided++
			}
			if storedStateOf(g, store, id).Final() {
				g.Expect(term.knownState(id)).To(gomega.BeElementOf(batch.Cancelled, batch.State("")), id)
			}
		}
	}
	g.Expect(divided).To(gomega.BeNumerically(">", 0))
}
