package placement

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/planner"
)

// Scale describes a snapshot at the target scale.
type Scale struct {
	Seed         uint64
	Workers      int
	Accelerators int // 8 on each of the first workers of each rack
	Running      int // tasks
	Teams        int
	Waiting      int // jobs
}

// WholeSystem is the target scale in one snapshot, and OneZone a fifth of it.
var (
	WholeSystem = Scale{Seed: 1, Workers: 480, Accelerators: 880, Running: 4500, Teams: 330, Waiting: 100}
	OneZone     = Scale{Seed: 1, Workers: 96, Accelerators: 176, Running: 900, Teams: 330, Waiting: 60}
)

// scaleRack is the number of workers in a rack.
const scaleRack = 8

// Snapshot fills workers with running gangs of up to 32 tasks, most of them
// without accelerators, and adds waiting jobs, of which many do not fit.
func (c Scale) Snapshot() planner.Snapshot {
	random := rand.New(rand.NewPCG(c.Seed, 1))
	s := planner.Snapshot{Now: epoch, Zone: zoneName, ZoneState: api.In, Catalogue: catalogue()}
	for i := range c.Teams {
		s.Catalogue.Teams = append(s.Catalogue.Teams, api.Team{
			Name: fmt.Sprintf("t%03d", i), Organisation: organisations[i%len(organisations)], QuotaAccelerators: 64,
		})
	}
	s.Workers = newWorkers(Options{Workers: c.Workers, PerRack: scaleRack})
	left := c.Accelerators
	for k := range scaleRack {
		for i := k; i < c.Workers; i += scaleRack {
			n := min(left, acceleratorsPerWorker)
			s.Workers[i].Accelerators = n
			left -= n
		}
	}
	c.fill(&s, random)
	for i := range c.Waiting {
		s.Jobs = append(s.Jobs, c.job(random, fmt.Sprintf("waiting%04d", i), 1+random.IntN(8), random.IntN(3) == 0))
	}
	return s
}

// fill starts jobs with first fit until enough tasks run.
func (c Scale) fill(s *planner.Snapshot, random *rand.Rand) {
	for tasks, n := 0, 0; tasks < c.Running; n++ {
		size := min(1+random.IntN(32), c.Running-tasks)
		j := c.job(random, fmt.Sprintf("running%04d", n), size, n%3 == 0)
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

func (c Scale) job(random *rand.Rand, id string, tasks int, accelerated bool) api.Job {
	organisation := random.IntN(len(organisations))
	team := random.IntN(max(1, c.Teams/len(organisations)))*len(organisations) + organisation
	j := api.Job{
		ID: id, Organisation: organisations[organisation], State: api.JobStateWaiting, Adjacency: api.AdjacencyZone,
		Urgency:     []api.Urgency{api.Urgent, api.Standard, api.Batch}[random.IntN(3)],
		SubmittedMs: epoch.Add(-time.Duration(random.IntN(3600)) * time.Second).UnixMilli(),
		Spec: api.JobSpec{Name: id, Team: fmt.Sprintf("t%03d", team), Tasks: tasks, RunTimeS: int64(600 + random.IntN(7200)),
			Resources: api.Resources{Cores: 1 + random.IntN(4), MemoryMb: 1024}},
	}
	if accelerated {
		j.Spec.Resources.Accelerators = []int{1, 2, 4, 8}[random.IntN(4)]
		j.Adjacency = []api.Adjacency{api.AdjacencyWorker, api.AdjacencyRack, api.AdjacencyZone}[random.IntN(3)]
	}
	return j
}
