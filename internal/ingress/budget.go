package ingress

// Budget counts the bytes of request bodies in flight, in total and by source. It is not
// safe for concurrent use.
type Budget struct {
	limit       int64
	sourceLimit int64
	used        int64
	sources     map[string]int64 // only sources with bytes in flight
}

// NewBudget returns an empty budget.
func NewBudget(limit, sourceLimit int64) *Budget {
	return &Budget{limit: limit, sourceLimit: sourceLimit, sources: map[string]int64{}}
}

// RaiseTo raises the limits to hold bodies of up to maxBody bytes: minBodies of them in total,
// one of a source. A lower limit would refuse a single request without any load.
func (b *Budget) RaiseTo(maxBody int64) {
	b.limit, b.sourceLimit = max(b.limit, minBodies*(maxBody+1)), max(b.sourceLimit, maxBody+1)
}

// Charge adds n bytes of a source. If a limit does not allow them, it changes nothing and
// returns ErrSource or ErrExhausted.
func (b *Budget) Charge(source string, n int64) error {
	if n > b.sourceLimit-b.sources[source] {
		return ErrSource
	}
	if n > b.limit-b.used {
		return ErrExhausted
	}
	b.used += n
	b.sources[source] += n
	return nil
}

// Release removes n bytes that were charged to a source.
func (b *Budget) Release(source string, n int64) {
	b.used -= n
	if b.sources[source] -= n; b.sources[source] <= 0 {
		delete(b.sources, source)
	}
}

// Used returns the bytes in flight.
func (b *Budget) Used() int64 { return b.used }
