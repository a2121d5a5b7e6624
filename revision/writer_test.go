package revision_test

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/samphirepath/samphirepath/revision"
	"github.com/samphirepath/samphirepath/table"
)

func TestRevision(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "revision")
}

// fakeStore is an in-memory table with injected faults: it can be unavailable, lose
// answers, and apply commits after their answer was lost.
type fakeStore struct {
	mu        sync.Mutex
	rows      map[string]table.Row
	version   int64
	nextFault func() fault
}

type fault int

const (
	noFault fault = iota
	unavailable
	appliedAnswerLost     // the commit takes effect and its answer is lost
	notAppliedAnswerLost  // the commit does not take effect and its answer is lost
	appliedLateAnswerLost // the commit takes effect 1 ms after its answer was lost
)

func newFakeStore() *fakeStore {
	return &fakeStore{rows: map[string]table.Row{}, nextFault: func() fault { return noFault }}
}

func (s *fakeStore) Get(_ context.Context, key string) (table.Row, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextFault() != noFault {
		return table.Row{}, false, errors.New("store is down")
	}
	row, found := s.rows[key]
	return row, found, nil
}

func (s *fakeStore) List(context.Context, string, int64) (table.Listing, error) {
	return table.Listing{}, errors.New("fakeStore does not implement List")
}

func (s *fakeStore) Commit(_ context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := table.CommitResult{Status: table.Unknown, Err: errors.New("answer lost")}
	switch s.nextFault() {
	case unavailable:
		return table.CommitResult{Status: table.Unavailable, Err: errors.New("store is down")}
	case notAppliedAnswerLost:
		return lost
	case appliedAnswerLost:
		s.apply(conditions, writes)
		return lost
	case appliedLateAnswerLost:
		time.AfterFunc(time.Millisecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.apply(conditions, writes)
		})
		return lost
	}
	return s.apply(conditions, writes)
}

func (s *fakeStore) apply(conditions []table.Condition, writes []table.Write) table.CommitResult {
	var conflicts []string
	for _, c := range conditions {
		if s.rows[c.Key].Version != c.Version {
			conflicts = append(conflicts, c.Key)
		}
	}
	if conflicts != nil {
		return table.CommitResult{Status: table.Conflict, Conflicts: conflicts}
	}
	s.version++
	for _, w := range writes {
		s.rows[w.Key] = table.Row{Key: w.Key, Value: w.Value, Version: s.version}
	}
	return table.CommitResult{Status: table.Committed, Version: s.version}
}

// faultSequence returns a function that yields the faults in order and then noFault.
func faultSequence(faults ...fault) func() fault {
	return func() fault {
		if len(faults) == 0 {
			return noFault
		}
		next := faults[0]
		faults = faults[1:]
		return next
	}
}

// noAnswerStore loses the answer to every commit, also to those that conflict.
type noAnswerStore struct{ *fakeStore }

func (s noAnswerStore) Commit(ctx context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	s.fakeStore.Commit(ctx, conditions, writes)
	return table.CommitResult{Status: table.Unknown, Err: errors.New("answer lost")}
}

func headOnly(r revision.Metadata) (revision.Rows, error) {
	head, err := json.Marshal(r)
	return revision.Rows{Head: head}, err
}

var _ = Describe("Latest", func() {
	It("never decreases its revision, whatever the order of updates", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var latest revision.Latest[int64]
			highest := int64(0)
			for _, r := range rapid.SliceOf(rapid.Int64Range(-3, 20)).Draw(t, "revisions") {
				changed := latest.Changed()
				updated := latest.Update(r, r)
				if updated != (r > highest) {
					t.Fatalf("update to %d at %d: updated %v", r, highest, updated)
				}
				highest = max(highest, r)
				if v, current := latest.Get(); v != current || current != highest {
					t.Fatalf("value %d at revision %d, want %d", v, current, highest)
				}
				select {
				case <-changed:
					if !updated {
						t.Fatal("Changed fired without an update")
					}
				default:
					if updated {
						t.Fatal("Changed did not fire after an update")
					}
				}
			}
		})
	})
})

var _ = Describe("Writer", func() {
	DescribeTable("resolves the outcome of a write despite faults of the store", func(want revision.Status, faults ...fault) {
		store := newFakeStore()
		writer := revision.NewWriter(store, "c/")
		store.nextFault = faultSequence(faults...)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		result := writer.Write(ctx, revision.Head{}, headOnly)
		Expect(result.Status).To(Equal(want))
		store.nextFault = faultSequence()
		head, err := writer.Read(context.Background())
		Expect(err).NotTo(HaveOccurred())
		if want == revision.Accepted {
			Expect(head.Metadata).To(Equal(result.Current.Metadata))
			Expect(head.Version).To(Equal(result.Current.Version))
		} else {
			Expect(head.Revision).To(BeZero())
		}
	},
		Entry("none", revision.Accepted),
		Entry("unavailable at first", revision.NotApplied, unavailable),
		Entry("applied, answer lost", revision.Accepted, appliedAnswerLost),
		Entry("not applied, answer lost", revision.Accepted, notAppliedAnswerLost),
		Entry("answer lost twice", revision.Accepted, notAppliedAnswerLost, appliedAnswerLost),
		Entry("applied after the answer was lost", revision.Accepted, appliedLateAnswerLost),
		Entry("applied, answer lost, then unavailable for reads", revision.Accepted, appliedAnswerLost, noFault, unavailable, unavailable),
	)

	It("returns the current revision after a conflict", func() {
		writer := revision.NewWriter(newFakeStore(), "c/")
		ctx := context.Background()
		Expect(writer.Write(ctx, revision.Head{}, headOnly).Status).To(Equal(revision.Accepted))
		conflicting := writer.Write(ctx, revision.Head{}, headOnly)
		Expect(conflicting.Status).To(Equal(revision.Conflict))
		Expect(conflicting.Current.Revision).To(Equal(int64(1)))
	})

	// Guards against a writer that only repeats the commit: while every answer to a
	// commit is lost, that never reveals the outcome.
	It("reads back a write when the answer to every commit is lost", func() {
		store := noAnswerStore{newFakeStore()}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		result := revision.NewWriter(store, "c/").Write(ctx, revision.Head{}, headOnly)
		Expect(result.Status).To(Equal(revision.Accepted))
		Expect(result.Current.Version).To(Equal(int64(1)))
		conflicting := revision.NewWriter(store, "c/").Write(ctx, revision.Head{}, headOnly)
		Expect(conflicting.Status).To(Equal(revision.Conflict))
		Expect(conflicting.Current.Revision).To(Equal(int64(1)))
	})

	It("returns Unknown when every answer is lost", func() {
		store := newFakeStore()
		store.nextFault = func() fault { return notAppliedAnswerLost }
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(revision.NewWriter(store, "c/").Write(ctx, revision.Head{}, headOnly).Status).To(Equal(revision.Unknown))
	})

	It("is linearizable over a store that loses and delays answers", func() {
		var group sync.WaitGroup
		for seed := range uint64(20) {
			group.Go(func() {
				defer GinkgoRecover()
				history := runConcurrentWriters(seed)
				Expect(porcupine.CheckOperationsTimeout(headModel, history, 10*time.Second)).
					To(Equal(porcupine.Ok), "seed %d", seed)
			})
		}
		group.Wait()
	})
})

// operation is a read, or a write on top of a base revision.
type operation struct {
	write bool
	base  int64
}

// observation is the result of an operation.
type observation struct {
	status   revision.Status // of a write
	revision int64
}

// headModel models the head as a counter: a write is accepted exactly if its base is
// the current revision.
var headModel = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(int64), input.(operation), output.(observation)
		switch {
		case !in.write:
			return out.revision == current, current
		case out.status == revision.Accepted:
			return in.base == current && out.revision == current+1, current + 1
		case out.status == revision.Conflict:
			return in.base != current, current
		default:
			return true, current
		}
	},
}

// runConcurrentWriters runs several writers over a faulty store and returns the
// history of their operations.
func runConcurrentWriters(seed uint64) []porcupine.Operation {
	const writers, rounds = 4, 6
	store := newFakeStore()
	random := rand.New(rand.NewPCG(seed, 1))
	store.nextFault = func() fault {
		if random.IntN(3) > 0 {
			return noFault
		}
		return fault(random.IntN(int(appliedLateAnswerLost) + 1))
	}
	writer := revision.NewWriter(store, "c/")
	begin := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	record := func(client int, in operation, call time.Time, out observation) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{
			ClientId: client, Input: in, Call: call.Sub(begin).Nanoseconds(),
			Output: out, Return: time.Since(begin).Nanoseconds(),
		})
	}
	var group sync.WaitGroup
	for client := range writers {
		group.Go(func() {
			for range rounds {
				call := time.Now()
				head, err := writer.Read(context.Background())
				if err != nil {
					continue
				}
				record(client, operation{}, call, observation{revision: head.Revision})
				call = time.Now()
				result := writer.Write(context.Background(), head, headOnly)
				record(client, operation{write: true, base: head.Revision}, call,
					observation{status: result.Status, revision: result.Current.Revision})
			}
		})
	}
	group.Wait()
	return history
}
