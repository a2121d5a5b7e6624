// Package planner decides where the waiting jobs of one availability zone start
// and which running jobs are preempted for them. It is a pure function from a
// snapshot to a plan and does no I/O.
package planner

import (
	"time"

	"github.com/samphirepath/samphirepath/api"
)

// WorkerState is the state of a worker as the planner sees it. Only live
// workers get new tasks.
type WorkerState string

// States of a worker.
const (
	WorkerLive        WorkerState = "live"
	WorkerLeaving     WorkerState = "leaving"     // about to be removed; its jobs are preempted
	WorkerSilent      WorkerState = "silent"      // has not reported yet, or no longer does
	WorkerQuarantined WorkerState = "quarantined" // excluded for a time after failures
)

// Worker is the state and the total capacity of a worker.
type Worker struct {
	ID               string
	Rack             string
	State            WorkerState
	Cores            int
	MemoryMB         int64
	Accelerators     int
	AcceleratorModel string
	// Orphans lists what orphaned tasks hold: tasks that the worker reports and
	// that are in no job row. Their capacity is taken until the worker reports
	// that they have ended.
	Orphans []TaskAllocation
}

// TaskAllocation is the capacity that one task holds on a worker.
type TaskAllocation struct {
	Resources    api.Resources
	Accelerators []int
}

// Snapshot is the input of a plan. The planner does not change it.
type Snapshot struct {
	Now       time.Time
	Zone      string
	ZoneState api.ZoneState
	Catalogue api.Catalogue
	Workers   []Worker
	// Jobs holds the waiting jobs that may run in the zone and all jobs that are
	// placed, running or stopping in it.
	Jobs []api.Job
	// TeamUsageElsewhere and OrganisationUsageElsewhere give the accelerators that
	// each team and organisation holds in other zones, for quotas.
	TeamUsageElsewhere         map[string]int
	OrganisationUsageElsewhere map[string]int
	// Pending is Plan.Pending of the previous plan. Without it (after a failover) a
	// reclaim may choose other victims than the previous plan did.
	Pending []Placement
	// Incomplete is set while workers of the zone may be missing from Workers
	// (after a start, or while a rack is lost). No job is refused for lack of
	// capacity then.
	Incomplete bool
	// LastCheckpoint gives the time of the newest checkpoint by job, where it is
	// known. Otherwise the time is estimated from the progress of the job.
	LastCheckpoint map[string]time.Time
}

// Placement assigns workers and accelerators to all tasks of a waiting job.
type Placement struct {
	JobID   string
	Tasks   []api.TaskPlacement
	Covered bool // inside the guarantee of its organisation
}

// Preemption stops a running job to free its capacity.
type Preemption struct {
	JobID  string
	ForJob string // job that needs the capacity; empty if the worker or the zone goes out of service
	Reason string // PreemptionPreempted or PreemptionZoneOut
	Detail string // sentence for users
}

// Reasons of preemptions, which also become the stop reasons of the jobs.
const (
	PreemptionPreempted = "preempted"
	PreemptionZoneOut   = "zone_out"
)

// Refusal ends a job that can never run.
type Refusal struct {
	JobID  string
	Reason string
}

// Shortfall reports a guarantee that the live workers cannot meet, and by how
// much.
type Shortfall struct {
	Organisation        string
	MissingTasks        int
	MissingAccelerators int
	Reason              string
	Shape               api.Shape // the whole guaranteed shape
}

// Reservation assigns workers and accelerators to a guaranteed shape.
type Reservation struct {
	Organisation string
	Tasks        []api.TaskPlacement
	Shape        api.Shape // the guaranteed shape, which has more tasks than Tasks if there is a shortfall
}

// Plan is the result of one planning round.
type Plan struct {
	Placements  []Placement
	Preemptions []Preemption
	Refusals    []Refusal
	// Pending lists the placements for which capacity is being reclaimed. They are
	// not committed; pass them to the next plan in Snapshot.Pending.
	Pending      []Placement
	Reservations []Reservation
	Shortfalls   []Shortfall
	// Demoted lists jobs that are marked as covered but lie outside the
	// reservations of this plan, because workers or guarantees have changed. They
	// are borrowers from now on: preemptions of this plan may name them, and the
	// caller that applies the plan clears their mark, so that they do not compete
	// for the reservation with jobs that are covered later.
	Demoted []string
	// Reasons gives a sentence for each job that keeps waiting: why it waits.
	Reasons map[string]string
}
