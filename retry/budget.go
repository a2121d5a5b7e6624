// Package retry limits how often failed calls are tried again: a budget that is
// earned by first attempts, and a back-off with jitter.
package retry

import "sync"

const (
	// DefaultPercent is the number of retries earned by 100 first attempts.
	DefaultPercent = 10
	// DefaultAdvance is the number of retries that a new budget holds. Without it
	// a process with little traffic could not retry its first failed call.
	DefaultAdvance = 10
	// DefaultCapacity is the largest number of retries that a budget saves up. It
	// bounds the burst of retries when all calls begin to fail at once.
	DefaultCapacity = 100

	// units are parts of a token, so that percentages add up exactly.
	unitsPerToken = 1000
	// repayShare is the part of each deposit that pays back the advance: one in ten.
	repayShare = 10
)

// BudgetConfig sets up a Budget. Zero values take the defaults; a negative
// Advance means none.
type BudgetConfig struct {
	Percent  int // retries per 100 first attempts
	Advance  int // tokens held at the start, paid back out of later deposits
	Capacity int // largest number of tokens held
}

// Budget is a token bucket filled by first attempts. Retries never exceed
// Advance plus Percent of the first attempts. Because a tenth of each deposit
// pays back the advance, retries stay within Percent of the first attempts once
// there have been 1000·Advance/Percent of them. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	deposit  int
	capacity int
	units    int
	owed     int
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
		deposit:  max(0, config.Percent) * unitsPerToken / 100,
		capacity: config.Capacity * unitsPerToken,
		units:    advance,
		owed:     advance,
	}
}

// First records a first attempt and earns a part of a retry.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	deposit := b.deposit
	if b.owed > 0 {
		repaid := min(b.owed, deposit/repayShare)
		b.owed -= repaid
		deposit -= repaid
	}
	b.units = min(b.units+deposit, b.capacity)
}

// Take spends one retry. It returns false when the budget is used up.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.units < unitsPerToken {
		return false
	}
	b.units -= unitsPerToken
	return true
}

// Available returns the number of whole retries that are left.
func (b *Budget) Available() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.units / unitsPerToken
}
