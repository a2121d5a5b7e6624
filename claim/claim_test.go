package claim_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/claim"
	"github.com/samphirepath/samphirepath/retry"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var fast = retry.Backoff{Base: 50 * time.Microsecond, Max: 200 * time.Microsecond}

func newClaims(store *faultyStore, incarnation string) *claim.Claims {
	return claim.New(claim.Config{Store: store, Objects: &memoryObjects{}, VM: "vm-" + incarnation, Incarnation: incarnation, Backoff: fast})
}

func within(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

// Guards against a second dispatch, and against not_run for a dispatched key,
// when the store refuses, loses answers and applies writes late.
func TestAtMostOneDispatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		store := newStore(seed, rapid.IntRange(0, 90).Draw(t, "percent of faults"))
		daemons := rapid.IntRange(1, 3).Draw(t, "daemons")
		keys := rapid.IntRange(1, 3).Draw(t, "keys")
		run := &dispatchRun{dispatched: map[string]int{}}
		ctx, stop := context.WithCancel(context.Background())
		var background, callers sync.WaitGroup
		for d := range daemons {
			claims := newClaims(store, fmt.Sprint(d))
			run.claims = append(run.claims, claims)
			background.Go(func() { _ = claims.Run(ctx) })
			callers.Go(func() { run.submit(claims, rand.New(rand.NewPCG(seed, uint64(d))), keys) })
		}
		callers.Wait()
		store.heal()
		for _, claims := range run.claims {
			for claims.Unsettled() > 0 {
				time.Sleep(100 * time.Microsecond)
			}
		}
		stop()
		background.Wait()
		run.check(t)
	})
}

// dispatchRun counts dispatches by key.
type dispatchRun struct {
	mu         sync.Mutex
	claims     []*claim.Claims
	dispatched map[string]int
}

func (r *dispatchRun) submit(claims *claim.Claims, random *rand.Rand, keys int) {
	for range 6 {
		ctx, cancel := within(time.Duration(random.IntN(2000)) * time.Microsecond)
		key := fmt.Sprint("key", random.IntN(keys))
		out := claims.Claim(ctx, claim.Request{Organisation: "o", Key: key, BodyHash: "h"})
		if out.Status == claim.Acquired {
			r.act(ctx, claims, key, out.Held, random.IntN(3))
		}
		cancel()
	}
}

// act dispatches and completes, dispatches and crashes, or releases undispatched.
func (r *dispatchRun) act(ctx context.Context, claims *claim.Claims, key string, held claim.Held, action int) {
	if action == 0 {
		_ = claims.Release(ctx, held)
		return
	}
	r.mu.Lock()
	r.dispatched[key]++
	r.mu.Unlock()
	if action == 1 {
		_ = claims.Complete(ctx, held, api.RequestResult{Key: key, Outcome: api.OutcomeRan})
	}
}

func (r *dispatchRun) check(t *rapid.T) {
	for key, n := range r.dispatched {
		if n > 1 {
			t.Fatalf("%s was dispatched %d times", key, n)
		}
		row, exists, err := r.claims[0].Lookup(context.Background(), "o", key)
		if err != nil || !exists || row.State == api.ClaimStateNotRun {
			t.Fatalf("%s was dispatched and its row is %+v (%v, %v)", key, row, exists, err)
		}
	}
}

// Guards against wrong outcomes of a claim after each fault of the insert.
func TestInsertFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults []string
		status claim.Status
	}{
		{"none", nil, claim.Acquired},
		{"answer lost", []string{"answer lost"}, claim.Acquired},
		{"dropped, then repeated", []string{"dropped"}, claim.Acquired},
		{"delayed, then repeated", []string{"delayed"}, claim.Acquired},
		{"unavailable once", []string{"unavailable"}, claim.Acquired},
		{"unavailable for longer", []string{"unavailable", "unavailable", "unavailable"}, claim.NotAcquired},
		{"lost, then unavailable", []string{"answer lost", "unavailable"}, claim.Acquired},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := newStore(1, 0)
			store.force(c.faults...)
			ctx, cancel := within(time.Second)
			defer cancel()
			out := newClaims(store, "1").Claim(ctx, claim.Request{Organisation: "o", Key: "k", BodyHash: "h"})
			NewWithT(t).Expect(out.Status).To(Equal(c.status))
		})
	}
}

// Guards against a key that stays blocked, or that runs twice, after an insert
// whose answer stayed lost until the deadline.
func TestUnsettledInsertBecomesNotRun(t *testing.T) {
	g := NewWithT(t)
	store := newStore(7, 100)
	claims := newClaims(store, "1")
	request := claim.Request{Organisation: "o", Key: "k", BodyHash: "h"}
	store.force("delayed")
	short, cancel := within(time.Millisecond)
	defer cancel()
	g.Expect(claims.Claim(short, request).Status).To(Equal(claim.NotAcquired))

	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = claims.Run(ctx) }()
	store.heal()
	g.Eventually(claims.Unsettled).Should(BeZero())
	row, exists, err := claims.Lookup(ctx, "o", "k")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(exists).To(BeTrue())
	g.Expect(row.State).To(Equal(api.ClaimStateNotRun))
	g.Expect(claims.Claim(ctx, request).Status).To(Equal(claim.Acquired))
	g.Expect(claims.Claim(ctx, request).Status).To(Equal(claim.InProgress))
	stop()
	<-ended
}

// Guards against results that are lost or mixed up between keys.
func TestOutcomesOfARepeatedKey(t *testing.T) {
	g := NewWithT(t)
	store := newStore(1, 0)
	objects := &memoryObjects{}
	claims := claim.New(claim.Config{Store: store, Objects: objects, VM: "a", Incarnation: "1", Backoff: fast})
	ctx := context.Background()
	for name, size := range map[string]int{"small": 10, "large/with slash": 5000} {
		request := claim.Request{Organisation: "o", Key: name, BodyHash: "h"}
		held := claims.Claim(ctx, request).Held
		busy := claims.Claim(ctx, request)
		g.Expect(busy.Status).To(Equal(claim.InProgress))
		g.Expect(busy.Row.Incarnation).To(Equal("1"))
		result := api.RequestResult{RequestID: "r", Key: name, Outcome: api.OutcomeRan, Body: bytes.Repeat([]byte{7}, size)}
		g.Expect(claims.Complete(ctx, held, result)).To(Succeed())
		done := claims.Claim(ctx, request)
		g.Expect(done.Status).To(Equal(claim.Done))
		g.Expect(done.Row.Result).To(Equal(result))
		request.BodyHash = "other"
		g.Expect(claims.Claim(ctx, request).Status).To(Equal(claim.DifferentBody))
	}
	g.Expect(objects.objects).To(HaveLen(1))
	g.Expect(claim.RowKey("a/b", "c")).NotTo(Equal(claim.RowKey("a", "b/c")))
}

func Example() {
	claims := claim.New(claim.Config{Store: newStore(1, 0), VM: "vm-1", Incarnation: "1"})
	ctx := context.Background()
	request := claim.Request{Organisation: "rescue", Key: "plan-7", BodyHash: "f00d"}

	out := claims.Claim(ctx, request)
	if out.Status == claim.Acquired {
		// Dispatch the request here, then store its result.
		_ = claims.Complete(ctx, out.Held, api.RequestResult{Key: "plan-7", Outcome: api.OutcomeRan})
	}
	again := claims.Claim(ctx, request)
	fmt.Println(again.Status == claim.Done, again.Row.Result.Outcome)
	// Output: true ran
}
