package lease_test

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/samphirepath/samphirepath/lease"
	"github.com/samphirepath/samphirepath/table"
)

// faultyStore loses answers, refuses commits and applies commits late, as drawn.
type faultyStore struct {
	*fakeStore
	t       *rapid.T
	delayed []func()
}

func (s *faultyStore) Commit(ctx context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	switch rapid.SampledFrom([]string{"answered", "answered", "lost", "refused", "delayed"}).Draw(s.t, "commit") {
	case "lost":
		s.fakeStore.Commit(ctx, conditions, writes)
	case "refused":
		return table.CommitResult{Status: table.Unavailable, Err: context.DeadlineExceeded}
	case "delayed":
		s.delayed = append(s.delayed, func() { s.fakeStore.Commit(ctx, conditions, writes) })
	default:
		return s.fakeStore.Commit(ctx, conditions, writes)
	}
	return table.CommitResult{Status: table.Unknown, Err: context.DeadlineExceeded}
}

func (s *faultyStore) applyDelayed() {
	for _, commit := range s.delayed {
		commit()
	}
	s.delayed = nil
}

// TestOneHolder guards against two holders at the same time, and against a holder
// whose fence condition no longer holds, in any order of renewals, pauses, lost answers
// and commits that are applied late.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, clk := context.Background(), &fakeClock{now: time.Now()}
		store := &faultyStore{fakeStore: newFakeStore(), t: t}
		var all []*lease.Lease
		for _, name := range []string{"a", "b", "c"} {
			l, err := lease.New(lease.Config{Store: store, Prefix: "p/", Holder: name, Incarnation: name, Now: func() time.Time { return clk.now }})
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, l)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				clk.advance(time.Duration(rapid.IntRange(100, 2000).Draw(t, "ms")) * time.Millisecond)
			case 1:
				store.applyDelayed()
			default:
				rapid.SampledFrom(all).Draw(t, "who").Step(ctx)
			}
			checkHolders(t, store, all)
		}
	})
}

func checkHolders(t *rapid.T, store *faultyStore, all []*lease.Lease) {
	held := 0
	for _, l := range all {
		fence, ok := l.FenceCondition()
		if !ok {
			continue
		}
		held++
		if row := store.rows[fence.Key]; row.Version != fence.Version {
			t.Fatalf("the fence row is at version %d and the holder expects %d", row.Version, fence.Version)
		}
	}
	if held > 1 {
		t.Fatalf("%d processes hold the lease at the same time", held)
	}
}
