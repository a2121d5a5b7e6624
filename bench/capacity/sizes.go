package main

import (
	"fmt"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/harness"
)

// size holds the dimensions of a cluster and its load.
type size struct {
	Zones          int
	DaemonsPerZone int
	WorkersPerZone int
	TasksPerZone   int
	Teams          int
	ChangesPerMin  float64
	MeasureAll     bool // also measure load variants, urgent starts and disruptions
}

// series varies one dimension of the base size; a line is fitted to the measurements.
type series struct {
	name   string
	unit   string
	target float64 // value at the target size, for extrapolation
	values []float64
	apply  func(*size, float64)
	points []point
}

const (
	// targetOnly as the value of Only measures just the target size.
	targetOnly = "target"
	// tasksPerJob is the gang size of the load: the 4,500 tasks of the target are 450
	// gangs.
	tasksPerJob = 10
	// acceleratorsPerWorker yields 960 accelerators on the 480 workers of the target
	// size, slightly more than the required 880.
	acceleratorsPerWorker = 2
	workersPerRack        = 8
)

func baseSize() size {
	return size{Zones: 2, DaemonsPerZone: 2, WorkersPerZone: 24, TasksPerZone: 200, Teams: 50}
}

// changesPerMin is about 30 times the target rate of 560 changes a day, so that a
// short window contains several. The report gives the cost per change.
const changesPerMin = 12

// targetSize returns the size that the scheduler is designed for, with two daemons in
// each zone and without configuration changes.
func targetSize() size {
	return size{Zones: 5, DaemonsPerZone: 2, WorkersPerZone: 96, TasksPerZone: 900, Teams: 330, MeasureAll: true}
}

func allSeries() []series {
	return []series{
		{name: "tasks", unit: "task in the zone", target: 900, values: []float64{50, 200, 450, 900},
			apply: func(s *size, v float64) { s.TasksPerZone = int(v) }},
		{name: "workers", unit: "worker in the zone", target: 96, values: []float64{24, 48, 96},
			apply: func(s *size, v float64) { s.WorkersPerZone = int(v) }},
		{name: "teams", unit: "team", target: 330, values: []float64{10, 150, 330},
			apply: func(s *size, v float64) { s.Teams = int(v) }},
		{name: "peers", unit: "daemon in all zones", target: 10, values: []float64{4, 8, 16},
			apply: func(s *size, v float64) { s.DaemonsPerZone = int(v) / s.Zones }},
		{name: "changes", unit: "configuration change a minute", target: 560.0 / 24 / 60, values: []float64{0, 12, 60},
			apply: func(s *size, v float64) { s.ChangesPerMin = v }},
	}
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i+1) }

func (s size) options() harness.Options {
	var zones []harness.Zone
	for i := range s.Zones {
		zones = append(zones, harness.Zone{
			Name: zoneName(i), Region: fmt.Sprintf("region-%d", i%2+1), Daemons: s.DaemonsPerZone,
			Workers: s.WorkersPerZone, Minions: 2,
			Worker: standin.WorkerConfig{
				Rack: zoneName(i) + "-rack", PerRack: workersPerRack,
				Cores: 64, MemoryMB: 131072, Accelerators: acceleratorsPerWorker,
			},
		})
	}
	return harness.Options{Zones: zones, Seed: 1}
}

const (
	callerToken  = "capacity-token"
	organisation = "capacity"
	batchEntry   = "load"
	urgentEntry  = "urgent"
)

// catalogue returns a catalogue of one organisation with the entries of the load and
// the teams of the size, each with the given quota.
func (s size) catalogue(quota int) api.Catalogue {
	c := api.Catalogue{
		Organisations: []api.Organisation{{Name: organisation, TokenSha256: harness.TokenHash(callerToken)}},
		Teams:         []api.Team{},
		Classes: []api.Class{
			{Name: "load", Urgency: api.Batch, Adjacency: api.AdjacencyZone},
			{Name: "urgent", Urgency: api.Urgent, Adjacency: api.AdjacencyRack},
		},
		Entries: []api.Entry{
			{Name: batchEntry, Kind: api.EntryKindJob, Owner: organisation, Class: "load"},
			{Name: urgentEntry, Kind: api.EntryKindJob, Owner: organisation, Class: "urgent"},
		},
	}
	for i := range s.Teams {
		c.Teams = append(c.Teams, api.Team{Name: teamName(i), Organisation: organisation, QuotaAccelerators: quota})
	}
	return c
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i+1) }

// jobSpec returns the n-th gang of the load in a zone. Every fifth gang uses
// accelerators while the zone has enough; at the target size they use 180 of the 192
// of a zone.
func (s size) jobSpec(zone string, n int) api.JobSpec {
	accelerators := 0
	if n%5 == 0 && (n/5+1)*tasksPerJob <= s.WorkersPerZone*acceleratorsPerWorker {
		accelerators = 1
	}
	return api.JobSpec{
		Key: fmt.Sprintf("%s-%d", zone, n), Name: "load", Entry: batchEntry, Team: teamName(n % s.Teams), Tasks: tasksPerJob,
		Resources: api.Resources{Cores: 1, MemoryMb: 64, Accelerators: accelerators}, Zones: []string{zone},
		RunTimeS: 3600, Checkpoint: true, Parameters: map[string]string{standin.ParamRunMs: "3600000"},
	}
}

func urgentJobSpec(zone string, n int) api.JobSpec {
	return api.JobSpec{
		Key: fmt.Sprintf("urgent-%s-%d", zone, n), Name: "urgent", Entry: urgentEntry, Tasks: 4,
		Resources: api.Resources{Cores: 1, MemoryMb: 64}, Zones: []string{zone},
		RunTimeS: 60, Parameters: map[string]string{standin.ParamRunMs: "300"},
	}
}
