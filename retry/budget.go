// Package retry limits the retries of failed calls with a budget that is filled by
// first attempts and an exponential back-off with jitter.
package retry

import "sync"

const (
	// DefaultPercent is the default number of retries per 100 first attempts.
	DefaultPercent = 10
	// DefaultAdvance is the default number of retries that a new budget holds.
	// Without an advance, a process with little traffic could not retry its first
	// failed call.
	DefaultAdvance = 10
	// DefaultCapacity is the default maximum number of retries that a budget
	// accumulates. It bounds the burst of retries when all calls begin to fail at
	// once.
	DefaultCapacity = 100

	// unitsPerToken is the number of units of a token, which stands for one retry.
	// Balances are whole numbers of units, so that percentages add up exactly.
	unitsPerToken = 1000
	// repayDivisor sets the share of each deposit that repays the advance,
	// 1/repayDivisor.
	repayDivisor = 10
)

// BudgetConfig configures a Budget. 0 means the default; a negative Advance means no
// advance.
type BudgetConfig struct {
	Percent  int // retries per 100 first attempts
	Advance  int // retries held at the start, repaid out of later deposits
	Capacity int // maximum number of retries held
}

// Budget is a token bucket of retries that is filled by first attempts. Retries
// never exceed Advance plus Percent of the first attempts. Because a tenth of each
// deposit repays the advance, retries stay within Percent of the first attempts
// after 1000·Advance/Percent first attempts. It is safe for concurrent use.
type Budget struct {
	mu           sync.Mutex
	depositUnits int // units earned by a first attempt
	capacity     int // in units
	balance      int // in units
	advanceOwed  int // units of the advance that are not repaid yet
}

// NewBudget returns a budget that holds its advance.
func NewBudget(config BudgetConfig) *Budget {
	if config.Percent == 0 {
		config.Percent = DefaultPercent
	}
	if config.Advance == 0 {
		config.Advance = DefaultAdvance
	}
	if config.Capacity == 0 {
		config.Capacity = DefaultCapacity
	}
	advance := max(0, min(config.Advance, config.Capacity)) * unitsPerToken
	return &Budget{
		depositUnits: max(0, config.Percent) * unitsPerToken / 100,
		capacity:     config.Capacity * unitsPerToken,
		balance:      advance,
		advanceOwed:  advance,
	}
}

// Deposit records a first attempt and adds its share of a retry to the budget.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	earned := b.depositUnits
	if b.advanceOwed > 0 {
		repaid := min(b.advanceOwed, earned/repayDivisor)
		b.advanceOwed -= repaid
		earned -= repaid
	}
	b.balance = min(b.balance+earned, b.capacity)
}

// TryWithdraw takes one retry from the budget. It returns false if less than one is
// left.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < unitsPerToken {
		return false
	}
	b.balance -= unitsPerToken
	return true
}

// Balance returns the number of retries that are left, rounded down.
func (b *Budget) Balance() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance / unitsPerToken
}
