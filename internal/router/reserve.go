package router

import "math"

const (
	// reserveShare is the largest share, as a divisor, of the slots that is kept
	// for urgent requests.
	reserveShare = 8
	// reserveDecay is the factor on the reserve at each tick: it halves in about
	// ten seconds after the last urgent request.
	reserveDecay = 0.99827
)

// reserve keeps slots for urgent requests: as many as they used together lately,
// and none when there were none. Requests that start together also end together,
// so that without a reserve an urgent request may wait for a whole service time
// behind a burst, which doubles its time. It is guarded by the pool.
type reserve struct {
	busy int     // slots that hold urgent requests
	peak float64 // most of them, decaying
}

func (r *reserve) add() {
	r.busy++
	r.peak = max(r.peak, float64(r.busy))
}

func (r *reserve) decay() { r.peak = max(r.peak*reserveDecay, float64(r.busy)) }

// kept returns the number of free slots that other requests must leave.
func (r *reserve) kept(capacity int) int {
	return max(0, min(int(math.Round(r.peak)), capacity/reserveShare)-r.busy)
}
