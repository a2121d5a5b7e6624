package placement

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/planner"
)

// Scale holds the dimensions of a generated snapshot.
type Scale struct {
	Seed         uint64
	Workers      int
	Accelerators int // 8 on each of the first workers of each rack
	Running      int // tasks of running jobs
	Teams        int
	Waiting      int // waiting jobs
}

// WholeSystem is the target scale of all zones in one snapshot. OneZone has a fifth of
// its workers, accelerators and running tasks.
var (
	WholeSystem = Scale{Seed: 1, Workers: 480, Accelerators: 880, Running: 4500, Teams: 330, Waiting: 100}
	OneZone     = Scale{Seed: 1, Workers: 96, Accelerators: 176, Running: 900, Teams: 330, Waiting: 60}
)

const workersPerRack = 8

// Snapshot returns a planner snapshot in which running gangs of up to 32 tasks fill the
// workers, most of them without accelerators, and many of the waiting jobs do not fit.
func (scale Scale) Snapshot() planner.Snapshot {
	random := rand.New(rand.NewPCG(scale.Seed, 1))
	s := planner.Snapshot{Now: epoch, Zone: zoneName, ZoneState: api.In, Catalogue: catalogue()}
	for i := range scale.Teams {
		s.Catalogue.Teams = append(s.Catalogue.Teams, api.Team{
			Name: fmt.Sprintf("t%03d", i), Organisation: organisations[i%len(organisations)], QuotaAccelerators: 64,
		})
	}
	s.Workers = newWorkers(Options{Workers: scale.Workers, PerRack: workersPerRack})
	remaining := scale.Accelerators
	for position := range workersPerRack {
		for i := position; i < scale.Workers; i += workersPerRack {
			n := min(remaining, acceleratorsPerWorker)
			s.Workers[i].Accelerators = n
			remaining -= n
		}
	}
	scale.placeRunningJobs(&s, random)
	for i := range scale.Waiting {
		s.Jobs = append(s.Jobs, scale.newJob(random, fmt.Sprintf("waiting%04d", i), 1+random.IntN(8), random.IntN(3) == 0))
	}
	return s
}

// placeRunningJobs places jobs with first fit until scale.Running tasks run or a job without
// accelerators does not fit.
func (scale Scale) placeRunningJobs(s *planner.Snapshot, random *rand.Rand) {
	for tasks, n := 0, 0; tasks < scale.Running; n++ {
		size := min(1+random.IntN(32), scale.Running-tasks)
		j := scale.newJob(random, fmt.Sprintf("running%04d", n), size, n%3 == 0)
		if j.Spec.Resources.Accelerators > 0 {
			j.Spec.Tasks = min(size, 1+random.IntN(4))
		}
		s.Jobs = append(s.Jobs, j)
		last := &s.Jobs[len(s.Jobs)-1]
		plan := FirstFit(*s)
		if len(plan.Placements) == 0 {
			last.Spec.Resources.Accelerators, last.Spec.Resources.Cores = 0, 1
			plan = FirstFit(*s)
		}
		if len(plan.Placements) == 0 {
			s.Jobs = s.Jobs[:len(s.Jobs)-1]
			return
		}
		last.State, last.Placement, last.Attempt = api.JobStateRunning, plan.Placements[0].Tasks, 1
		last.PlacedMs = epoch.Add(-time.Duration(random.IntN(7200)) * time.Second).UnixMilli()
		tasks += last.Spec.Tasks
	}
}

func (scale Scale) newJob(random *rand.Rand, id string, tasks int, withAccelerators bool) api.Job {
	organisation := random.IntN(len(organisations))
	team := random.IntN(max(1, scale.Teams/len(organisations)))*len(organisations) + organisation
	j := api.Job{
		ID: id, Organisation: organisations[organisation], State: api.JobStateWaiting, Adjacency: api.AdjacencyZone,
		Urgency:     []api.Urgency{api.Urgent, api.Standard, api.Batch}[random.IntN(3)],
		SubmittedMs: epoch.Add(-time.Duration(random.IntN(3600)) * time.Second).UnixMilli(),
		Spec: api.JobSpec{Name: id, Team: fmt.Sprintf("t%03d", team), Tasks: tasks, RunTimeS: int64(600 + random.IntN(7200)),
			Resources: api.Resources{Cores: 1 + random.IntN(4), MemoryMb: 1024}},
	}
	if withAccelerators {
		j.Spec.Resources.Accelerators = []int{1, 2, 4, 8}[random.IntN(4)]
		j.Adjacency = []api.Adjacency{api.AdjacencyWorker, api.AdjacencyRack, api.AdjacencyZone}[random.IntN(3)]
	}
	return j
}
