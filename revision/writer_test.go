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

// fakeStore is a table in memory that loses answers, delays them, lets commits
// take effect after their answer was lost, and can be down.
type fakeStore struct {
	mu      sync.Mutex
	rows    map[string]table.Row
	version int64
	faults  func() fault
}

type fault int

const (
	none fault = iota
	down
	lostAfter  // the commit takes effect, its answer is lost
	lostBefore // the commit does not take effect, its answer is lost
	lostLate   // the commit takes effect some time after its answer was lost
)

func newFakeStore() *fakeStore {
	return &fakeStore{rows: map[string]table.Row{}, faults: func() fault { return none }}
}

func (s *fakeStore) Get(_ context.Context, key string) (table.Row, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults() != none {
		return table.Row{}, false, errors.New("store is down")
	}
	row, found := s.rows[key]
	return row, found, nil
}

func (s *fakeStore) List(context.Context, string, int64) (table.Listing, error) {
	return table.Listing{}, errors.New("not used")
}

func (s *fakeStore) Commit(_ context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := table.CommitResult{Status: table.Unknown, Err: errors.New("answer lost")}
	switch s.faults() {
	case down:
		return table.CommitResult{Status: table.Unavailable, Err: errors.New("store is down")}
	case lostBefore:
		return lost
	case lostAfter:
		s.apply(conditions, writes)
		return lost
	case lostLate:
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

// sequence gives the faults in order, then none.
func sequence(faults ...fault) func() fault {
	return func() fault {
		if len(faults) == 0 {
			return none
		}
		next := faults[0]
		faults = faults[1:]
		return next
	}
}

// silentCommits loses the answer to every commit, conflicts included.
type silentCommits struct{ *fakeStore }

func (s silentCommits) Commit(ctx context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	s.fakeStore.Commit(ctx, conditions, writes)
	return table.CommitResult{Status: table.Unknown, Err: errors.New("answer lost")}
}

func headOnly(r revision.Metadata) (revision.Rows, error) {
	head, err := json.Marshal(r)
	return revision.Rows{Head: head}, err
}

var _ = Describe("Holder", func() {
	It("never steps back, whatever the order of offers", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var h revision.Latest[int64]
			highest := int64(0)
			for _, r := range rapid.SliceOf(rapid.Int64Range(-3, 20)).Draw(t, "offers") {
				changed := h.Changed()
				taken := h.Update(r, r)
				if taken != (r > highest) {
					t.Fatalf("offer of %d at %d: taken %v", r, highest, taken)
				}
				highest = max(highest, r)
				if v, held := h.Get(); v != held || held != highest {
					t.Fatalf("holds %d of revision %d, want %d", v, held, highest)
				}
				select {
				case <-changed:
					if !taken {
						t.Fatal("signalled without a change")
					}
				default:
					if taken {
						t.Fatal("change not signalled")
					}
				}
			}
		})
	})
})

var _ = Describe("Writer", func() {
	DescribeTable("settles faults of the store", func(want revision.Status, faults ...fault) {
		store := newFakeStore()
		writer := revision.NewWriter(store, "c/")
		store.faults = sequence(faults...)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		result := writer.Write(ctx, revision.Head{}, headOnly)
		Expect(result.Status).To(Equal(want))
		store.faults = sequence()
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
		Entry("down at first", revision.NotApplied, down),
		Entry("answer lost after the effect", revision.Accepted, lostAfter),
		Entry("answer lost before the effect", revision.Accepted, lostBefore),
		Entry("answer lost twice", revision.Accepted, lostBefore, lostAfter),
		Entry("effect after the answer was lost", revision.Accepted, lostLate),
		Entry("answer lost, then down while reading back", revision.Accepted, lostAfter, none, down, down),
	)

	It("tells the loser of a race the current revision", func() {
		writer := revision.NewWriter(newFakeStore(), "c/")
		ctx := context.Background()
		Expect(writer.Write(ctx, revision.Head{}, headOnly).Status).To(Equal(revision.Accepted))
		lost := writer.Write(ctx, revision.Head{}, headOnly)
		Expect(lost.Status).To(Equal(revision.Conflict))
		Expect(lost.Current.Revision).To(Equal(int64(1)))
	})

	// Repeated commits alone never settle a write when each of their answers is lost.
	It("reads back a write when the answer to every commit is lost", func() {
		store := silentCommits{newFakeStore()}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		result := revision.NewWriter(store, "c/").Write(ctx, revision.Head{}, headOnly)
		Expect(result.Status).To(Equal(revision.Accepted))
		Expect(result.Current.Version).To(Equal(int64(1)))
		lost := revision.NewWriter(store, "c/").Write(ctx, revision.Head{}, headOnly)
		Expect(lost.Status).To(Equal(revision.Conflict))
		Expect(lost.Current.Revision).To(Equal(int64(1)))
	})

	It("says unknown when the answer stays lost", func() {
		store := newFakeStore()
		store.faults = func() fault { return lostBefore }
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(revision.NewWriter(store, "c/").Write(ctx, revision.Head{}, headOnly).Status).To(Equal(revision.Unknown))
	})

	It("is linearizable over a store that loses and delays answers", func() {
		var group sync.WaitGroup
		for seed := range uint64(20) {
			group.Go(func() {
				defer GinkgoRecover()
				history := runRace(seed)
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

// observation is what an operation saw.
type observation struct {
	status   revision.Status // of a write
	revision int64
}

// headModel is the head as a counter: a write succeeds exactly when its base is current.
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

// runRace lets several writers race and returns what they saw.
func runRace(seed uint64) []porcupine.Operation {
	const writers, rounds = 4, 6
	store := newFakeStore()
	random := rand.New(rand.NewPCG(seed, 1))
	store.faults = func() fault {
		if random.IntN(3) > 0 {
			return none
		}
		return fault(random.IntN(int(lostLate) + 1))
	}
	writer := revision.NewWriter(store, "c/")
	begin := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	note := func(client int, in operation, call time.Time, out observation) {
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
				note(client, operation{}, call, observation{revision: head.Revision})
				call = time.Now()
				result := writer.Write(context.Background(), head, headOnly)
				note(client, operation{write: true, base: head.Revision}, call,
					observation{status: result.Status, revision: result.Current.Revision})
			}
		})
	}
	group.Wait()
	return history
}
