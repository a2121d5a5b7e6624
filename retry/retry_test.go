package retry_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/samphirepath/samphirepath/retry"
)

// Guards against retry storms: more retries than the first attempts have earned.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(1, 50).Draw(t, "percent")
		advance := rapid.IntRange(1, 20).Draw(t, "advance")
		b := retry.NewBudget(retry.BudgetConfig{Percent: percent, Advance: advance})
		firstAttempts, retries := 0, 0
		for _, isFirst := range rapid.SliceOfN(rapid.Bool(), 0, 2000).Draw(t, "calls") {
			if isFirst {
				b.Deposit()
				firstAttempts++
			} else if b.TryWithdraw() {
				retries++
			}
			if 100*retries > 100*advance+percent*firstAttempts {
				t.Fatalf("%d retries after %d first attempts", retries, firstAttempts)
			}
		}
	})
}

// Guards against an advance that is never repaid and so raises the retry rate
// permanently.
func TestAdvanceIsRepaid(t *testing.T) {
	g := NewWithT(t)
	b := retry.NewBudget(retry.BudgetConfig{})
	retries := 0
	for range 1000 {
		b.Deposit()
		for b.TryWithdraw() {
			retries++
		}
	}
	g.Expect(retries).To(BeNumerically("<=", 100))
	g.Expect(retries).To(BeNumerically(">=", 99))
}

// Guards against a large burst of retries after a long time without failures.
func TestBalanceIsCapped(t *testing.T) {
	g := NewWithT(t)
	b := retry.NewBudget(retry.BudgetConfig{Capacity: 5})
	for range 10_000 {
		b.Deposit()
	}
	g.Expect(b.Balance()).To(Equal(5))
}

// Guards against delays outside their bounds and against overflow.
func TestBackoffBounds(t *testing.T) {
	g := NewWithT(t)
	b := retry.Backoff{Base: 10 * time.Millisecond, Max: 80 * time.Millisecond}
	for n, bound := range map[int]time.Duration{1: 10, 2: 20, 3: 40, 4: 80, 5: 80, 1000: 80} {
		delay := b.Delay(n)
		g.Expect(delay).To(BeNumerically("<=", bound*time.Millisecond))
		g.Expect(delay).To(BeNumerically(">=", bound*time.Millisecond/2))
	}
}

// Guards against a wait that goes on after its context has ended.
func TestWaitEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	NewWithT(t).Expect(retry.Backoff{Base: time.Hour, Max: time.Hour}.Wait(ctx, 1)).To(MatchError(context.Canceled))
}

func Example() {
	budget := retry.NewBudget(retry.BudgetConfig{Percent: 10, Advance: 1})
	backoff := retry.Backoff{Base: time.Millisecond}
	call := func(attempt int) bool { return attempt == 2 }

	budget.Deposit()
	for attempt := 1; ; attempt++ {
		if call(attempt) {
			fmt.Println("answered at attempt", attempt)
			return
		}
		if !budget.TryWithdraw() {
			fmt.Println("the retry budget is used up")
			return
		}
		if err := backoff.Wait(context.Background(), attempt); err != nil {
			return
		}
	}
	// Output: answered at attempt 2
}
