package ingress

import "time"

// Phase is what happens on a connection.
type Phase int

const (
	// PhaseHeader is a connection whose header has not arrived.
	PhaseHeader Phase = iota
	// PhaseIdle is a connection between two requests.
	PhaseIdle
	// PhaseReceiving is a connection whose request body is arriving.
	PhaseReceiving
	// PhaseRefused is a connection whose request was refused and that is about to be closed.
	PhaseRefused
	// PhaseBusy is a connection whose request is being carried out. It is never closed under
	// pressure.
	PhaseBusy
	// PhaseAnswering is a connection whose handler has returned. The rest of its answer is
	// being sent.
	PhaseAnswering
)

// victimGrace is the age from which a connection may be closed for others while it sends a
// request or receives the rest of an answer. A well-behaved client sends header and body at
// once, and reads its answer.
const victimGrace = 500 * time.Millisecond

// ConnInfo describes a connection for SelectVictim.
type ConnInfo struct {
	Phase    Phase
	Silent   bool      // has sent nothing since it was opened
	Held     int64     // bytes of its body that are in memory
	Since    time.Time // start of the phase
	Progress time.Time // when bytes last arrived
}

// SelectVictim returns the index of the connection to close under pressure. Connections that
// were opened and never used come first, then idle and refused ones, then those with a
// request in flight. Of equals it takes the one that holds most, longest, with least
// progress. It returns false if none may be closed.
func SelectVictim(conns []ConnInfo, now time.Time) (int, bool) {
	best, bestRank, bestCost := -1, 0, 0.0
	for i, c := range conns {
		rank := c.rank(now)
		if rank == 0 {
			continue
		}
		if cost := c.cost(now); best < 0 || rank > bestRank || rank == bestRank && cost > bestCost {
			best, bestRank, bestCost = i, rank, cost
		}
	}
	return best, best >= 0
}

// rank returns 0 if the connection must not be closed; a higher rank is closed first.
func (c ConnInfo) rank(now time.Time) int {
	switch {
	case c.Phase == PhaseIdle || c.Phase == PhaseRefused:
		return 2
	case c.Phase == PhaseBusy || now.Sub(c.Since) < victimGrace:
		return 0
	case c.Silent:
		return 3
	}
	return 1
}

// cost is the memory of the connection times its age. The time without progress counts
// four times as much as other time.
func (c ConnInfo) cost(now time.Time) float64 {
	age, stalled := now.Sub(c.Since), now.Sub(c.Progress)
	return float64(c.Held+connectionBytes) * (age + 3*min(stalled, age)).Seconds()
}
