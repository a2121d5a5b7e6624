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

var fastBackoff = retry.Backoff{Base: 50 * time.Microsecond, Max: 200 * time.Microsecond}

func newClaims(store *faultyStore, incarnation string) *claim.Claims {
	return claim.New(claim.Config{Store: store, Objects: &memoryObjects{}, VM: "vm-" + incarnation, Incarnation: incarnation, Backoff: fastBackoff})
}

func withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

// Guards against a second dispatch, and against not_run for a dispatched key, when the
// store is unavailable, loses answers or applies commits late.
func TestAtMostOneDispatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		store := newStore(seed, rapid.IntRange(0, 90).Draw(t, "percent of faults"))
		daemons := rapid.IntRange(1, 3).Draw(t, "daemons")
		keys := rapid.IntRange(1, 3).Draw(t, "keys")
		recorder := &dispatchRecorder{dispatches: map[string]int{}}
		ctx, stop := context.WithCancel(context.Background())
		var runners, callers sync.WaitGroup
		for d := range daemons {
			claims := newClaims(store, fmt.Sprint(d))
			recorder.claims = append(recorder.claims, claims)
			runners.Go(func() { _ = claims.Run(ctx) })
			callers.Go(func() { recorder.submit(claims, rand.New(rand.NewPCG(seed, uint64(d))), keys) })
		}
		callers.Wait()
		store.clearFaults()
		for _, claims := range recorder.claims {
			for claims.PendingWrites() > 0 {
				time.Sleep(100 * time.Microsecond)
			}
		}
		stop()
		runners.Wait()
		recorder.check(t)
	})
}

// dispatchRecorder submits requests and counts the dispatches of each key.
type dispatchRecorder struct {
	mu         sync.Mutex
	claims     []*claim.Claims
	dispatches map[string]int
}

func (r *dispatchRecorder) submit(claims *claim.Claims, random *rand.Rand, keys int) {
	for range 6 {
		ctx, cancel := withTimeout(time.Duration(random.IntN(2000)) * time.Microsecond)
		key := fmt.Sprint("key", random.IntN(keys))
		out := claims.Claim(ctx, claim.Request{Organisation: "o", Key: key, BodyHash: "h"})
		if out.Status == claim.Acquired {
			r.useClaim(ctx, claims, key, out.Handle, random.IntN(3))
		}
		cancel()
	}
}

// useClaim releases the claim without a dispatch (action 0), dispatches and completes
// it (1), or dispatches without completing it, as in a crash (2).
func (r *dispatchRecorder) useClaim(ctx context.Context, claims *claim.Claims, key string, handle claim.Handle, action int) {
	if action == 0 {
		_ = claims.Release(ctx, handle)
		return
	}
	r.mu.Lock()
	r.dispatches[key]++
	r.mu.Unlock()
	if action == 1 {
		_ = claims.Complete(ctx, handle, api.RequestResult{Key: key, Outcome: api.OutcomeRan})
	}
}

func (r *dispatchRecorder) check(t *rapid.T) {
	for key, n := range r.dispatches {
		if n > 1 {
			t.Fatalf("%s was dispatched %d times", key, n)
		}
		row, exists, err := r.claims[0].Lookup(context.Background(), "o", key)
		if err != nil || !exists || row.State == api.ClaimStateNotRun {
			t.Fatalf("%s was dispatched and its row is %+v (%v, %v)", key, row, exists, err)
		}
	}
}

// Guards against wrong outcomes of a claim after faults of its insertion.
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
			store.inject(c.faults...)
			ctx, cancel := withTimeout(time.Second)
			defer cancel()
			out := newClaims(store, "1").Claim(ctx, claim.Request{Organisation: "o", Key: "k", BodyHash: "h"})
			NewWithT(t).Expect(out.Status).To(Equal(c.status))
		})
	}
}

// Guards against a key that stays blocked, or a request that runs twice, after an
// insertion whose outcome was still unknown at the deadline.
func TestUnresolvedInsertBecomesNotRun(t *testing.T) {
	g := NewWithT(t)
	store := newStore(7, 100)
	claims := newClaims(store, "1")
	request := claim.Request{Organisation: "o", Key: "k", BodyHash: "h"}
	store.inject("delayed")
	shortCtx, cancel := withTimeout(time.Millisecond)
	defer cancel()
	g.Expect(claims.Claim(shortCtx, request).Status).To(Equal(claim.NotAcquired))

	ctx, stop := context.WithCancel(context.Background())
	runDone := make(chan struct{})
	go func() { defer close(runDone); _ = claims.Run(ctx) }()
	store.clearFaults()
	g.Eventually(claims.PendingWrites).Should(BeZero())
	row, exists, err := claims.Lookup(ctx, "o", "k")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(exists).To(BeTrue())
	g.Expect(row.State).To(Equal(api.ClaimStateNotRun))
	g.Expect(claims.Claim(ctx, request).Status).To(Equal(claim.Acquired))
	g.Expect(claims.Claim(ctx, request).Status).To(Equal(claim.InProgress))
	stop()
	<-runDone
}

// Guards against results that are lost or mixed up between keys.
func TestOutcomesOfARepeatedKey(t *testing.T) {
	g := NewWithT(t)
	store := newStore(1, 0)
	objects := &memoryObjects{}
	claims := claim.New(claim.Config{Store: store, Objects: objects, VM: "a", Incarnation: "1", Backoff: fastBackoff})
	ctx := context.Background()
	for name, size := range map[string]int{"small": 10, "large/with slash": 5000} {
		request := claim.Request{Organisation: "o", Key: name, BodyHash: "h"}
		handle := claims.Claim(ctx, request).Handle
		second := claims.Claim(ctx, request)
		g.Expect(second.Status).To(Equal(claim.InProgress))
		g.Expect(second.Row.Incarnation).To(Equal("1"))
		result := api.RequestResult{RequestID: "r", Key: name, Outcome: api.OutcomeRan, Body: bytes.Repeat([]byte{7}, size)}
		g.Expect(claims.Complete(ctx, handle, result)).To(Succeed())
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
		_ = claims.Complete(ctx, out.Handle, api.RequestResult{Key: "plan-7", Outcome: api.OutcomeRan})
	}
	again := claims.Claim(ctx, request)
	fmt.Println(again.Status == claim.Done, again.Row.Result.Outcome)
	// Output: true ran
}
