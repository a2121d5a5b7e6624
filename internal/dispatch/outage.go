package dispatch

// cause is what the runs on a worker say about its silence.
type cause int

const (
	// unexplained means that each run had outlived batch.EarlyLossTime, or that there was none.
	unexplained cause = iota
	// fresh means that a run had not, so that it may be the cause.
	fresh
	// suspected means that this run was of a task that had lost a worker early before.
	suspected
)

// place is where a worker runs. An empty zone or rack is not known.
type place struct{ zone, rack string }

// neighbour is what is known about a worker when the loss of one is judged.
type neighbour struct {
	place
	fallen bool  // it was silent when the lost worker fell silent
	cause  cause // of a fallen one
}

// Tasks that crash their workers leave most workers of a zone or rack alone, and they run
// on each worker that falls. An outage is told from them by the workers that have
// something in common: nearly all of them fall, or such without a run that explains it.
const (
	// minUnexplained and unexplainedShare are the number of unexplained workers of a zone
	// or rack, and their share of these and the live ones, from which it has an outage.
	minUnexplained   = 2
	unexplainedShare = 0.5
	// minFallen and fallenShare are the same for all fallen workers, in a busy fleet each of
	// which has a fresh run. The suspected count only in a zone: suspected tasks get racks to
	// themselves, but after the outage of one zone they run on all workers of the next.
	minFallen   = 3
	fallenShare = 0.8
	// minUnexplainedInFleet and unexplainedShareOfFleet are the number of unexplained
	// workers and their share of all from which losses anywhere have a common cause. Tasks
	// explain almost none, so a small share suffices.
	minUnexplainedInFleet   = 3
	unexplainedShareOfFleet = 0.01
)

// group counts the workers that have something in common.
type group struct{ unexplained, fresh, suspected, live int }

func (g *group) add(n neighbour) {
	switch {
	case !n.fallen:
		g.live++
	case n.cause == unexplained:
		g.unexplained++
	case n.cause == suspected:
		g.suspected++
	default:
		g.fresh++
	}
}

// outage reports whether a cause outside of the work took down these workers, given how many
// of the suspected ones count.
func (g *group) outage(suspected int) bool {
	fallen := g.unexplained + g.fresh + suspected
	return reaches(g.unexplained, g.unexplained+g.live, minUnexplained, unexplainedShare) || reaches(fallen, fallen+g.live, minFallen, fallenShare)
}

// reaches reports whether a part of a whole is large enough by number and by share.
func reaches(part, whole, number int, share float64) bool {
	return part >= number && float64(part) >= share*float64(whole)
}

// widespread reports whether the loss of a worker is part of an outage, given the other
// workers of the fleet. The outage of one zone is no evidence for losses in another.
func widespread(lost neighbour, others []neighbour) bool {
	zone, rack, all := groupsOf(lost, others)
	return zone.outage(zone.suspected) || rack.outage(0) || all.outage(0) ||
		reaches(scattered(others), len(others), minUnexplainedInFleet, unexplainedShareOfFleet)
}

// scattered counts the unexplained workers outside of the zones that have an outage.
func scattered(others []neighbour) int {
	zones := map[string]*group{}
	for _, n := range others {
		if zones[n.zone] == nil {
			zones[n.zone] = &group{}
		}
		zones[n.zone].add(n)
	}
	count := 0
	for name, zone := range zones {
		if name == "" || !zone.outage(zone.suspected) {
			count += zone.unexplained
		}
	}
	return count
}

// groupsOf counts the workers of the same zone, of the same rack, and all.
func groupsOf(lost neighbour, others []neighbour) (zone, rack, all group) {
	for _, n := range others {
		all.add(n)
		if lost.zone != "" && n.zone == lost.zone {
			zone.add(n)
		}
		if lost.rack != "" && n.rack == lost.rack {
			rack.add(n)
		}
	}
	return zone, rack, all
}
