package router

import "math"

const (
	// maxReserveDivisor bounds the reserve to 1/maxReserveDivisor of all slots.
	maxReserveDivisor = 8
	// reserveDecay is the factor on the reserve at each refresh. With a refresh
	// every 25 ms the reserve halves in about ten seconds after the last urgent
	// request.
	reserveDecay = 0.99827
)

// reserve reserves slots for urgent requests: as many as recent urgent requests
// used at the same time, and none if there were none. Requests that start together
// also end together. Without a reserve, an urgent request may wait for a whole
// service time behind a burst, which doubles its latency. It is guarded by the mutex of
// the pool.
type reserve struct {
	inUse int     // slots that hold urgent requests
	peak  float64 // decaying maximum of inUse
}

func (r *reserve) acquire() {
	r.inUse++
	r.peak = max(r.peak, float64(r.inUse))
}

func (r *reserve) decay() { r.peak = max(r.peak*reserveDecay, float64(r.inUse)) }

// reservedSlots returns the number of free slots that requests of lower urgency must
// leave free.
func (r *reserve) reservedSlots(capacity int) int {
	return max(0, min(int(math.Round(r.peak)), capacity/maxReserveDivisor)-r.inUse)
}
