package placement

import (
	"slices"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// boundAmounts returns the snapshot with all capacities within batch.MaxAmount of zero, so
// that no sum of them overflows. It copies what it changes.
func boundAmounts(s Snapshot) Snapshot {
	if slices.ContainsFunc(s.Workers, func(w Worker) bool { return !w.bounded() }) {
		s.Workers = slices.Clone(s.Workers)
		for i := range s.Workers {
			w := &s.Workers[i]
			w.Free, w.Releasing = bound(w.Free), bound(w.Releasing)
			w.Releases = slices.Clone(w.Releases)
			for r := range w.Releases {
				w.Releases[r].Need = bound(w.Releases[r].Need)
			}
		}
	}
	if slices.ContainsFunc(s.Groups, func(g EvictionGroup) bool { return !g.bounded() }) {
		s.Groups = slices.Clone(s.Groups)
		for i := range s.Groups {
			g := &s.Groups[i]
			g.Tasks = slices.Clone(g.Tasks)
			for t := range g.Tasks {
				g.Tasks[t].Need = bound(g.Tasks[t].Need)
			}
		}
	}
	return s
}

func (w *Worker) bounded() bool {
	return isBounded(w.Free) && isBounded(w.Releasing) && !slices.ContainsFunc(w.Releases, func(r Release) bool { return !isBounded(r.Need) })
}

func (g *EvictionGroup) bounded() bool {
	return !slices.ContainsFunc(g.Tasks, func(t EvictionTask) bool { return !isBounded(t.Need) })
}

func isBounded(n batch.Need) bool { return n == bound(n) }

func bound(n batch.Need) batch.Need {
	limit := func(amount int64) int64 { return max(-batch.MaxAmount, min(batch.MaxAmount, amount)) }
	return batch.Need{MilliCPU: limit(n.MilliCPU), MemoryMb: limit(n.MemoryMb), Accelerators: limit(n.Accelerators)}
}
