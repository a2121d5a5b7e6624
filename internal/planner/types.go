// Package planner decides which waiting jobs of one availability zone start
// where, and which running ones make room. It is a pure function from a
// snapshot to a plan and does no I/O.
package planner

import (
	"time"

	"github.com/samphirepath/samphirepath/api"
)

// WorkerState tells whether the planner may place tasks on a worker.
type WorkerState string

// States of a worker.
const (
	WorkerLive        WorkerState = "live"
	WorkerLeaving     WorkerState = "leaving"
	WorkerSilent      WorkerState = "silent"
	WorkerQuarantined WorkerState = "quarantined"
)

// Worker is a worker of the zone.
type Worker struct {
	ID               string
	Rack             string
	State            WorkerState
	Cores            int
	MemoryMB         int64
	Accelerators     int
	AcceleratorModel string
	// Orphans lists what reported tasks hold that are in no job row. They
	// occupy their place until the worker says that they have ended.
	Orphans []TaskAllocation
}

// TaskAllocation is what one task holds on a worker.
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
	// Jobs holds the waiting jobs that the zone may run and all jobs whose
	// placement it holds (placed, running, stopping).
	Jobs []api.Job
	// UsageElsewhere gives the accelerators that each team and organisation holds
	// in other zones, for quotas.
	TeamUsageElsewhere         map[string]int
	OrganisationUsageElsewhere map[string]int
	// Pending is Plan.Pending of the previous plan. Without it (after a failover) a
	// reclaim may choose other victims than the previous plan did.
	Pending []Placement
	// Incomplete says that workers of the zone may be missing from Workers (after
	// a start, or while a rack is lost). No job is refused for lack of capacity.
	Incomplete bool
	// LastCheckpoint gives the time of the newest checkpoint by job, where it is
	// known. Without it the time is estimated from the progress of the job.
	LastCheckpoint map[string]time.Time
}

// Placement reserves places for all tasks of a waiting job.
type Placement struct {
	JobID   string
	Tasks   []api.TaskPlacement
	Covered bool // inside the guarantee of its organisation
}

// Preemption ends a running job to make room.
type Preemption struct {
	JobID  string
	ForJob string // job that needs the place; empty if the worker or the zone goes
	Reason string // one of the PreemptionReason constants
	Detail string // plain sentence
}

// Reasons of preemptions, which are also the stop reasons of jobs.
const (
	PreemptionPreempted = "preempted"
	PreemptionZoneOut   = "zone_out"
)

// Refusal ends a job that can never run.
type Refusal struct {
	JobID  string
	Reason string
}

// Shortfall says whose guarantee cannot be met by the live workers, and by how much.
type Shortfall struct {
	Organisation        string
	MissingTasks        int
	MissingAccelerators int
	Reason              string
	Shape               api.Shape // the whole guaranteed shape
}

// Reservation is the concrete place of a guaranteed shape.
type Reservation struct {
	Organisation string
	Tasks        []api.TaskPlacement
	Shape        api.Shape // the guaranteed shape; Tasks has fewer tasks if it is short
}

// Plan is the outcome of one planning round.
type Plan struct {
	Placements  []Placement
	Preemptions []Preemption
	Refusals    []Refusal
	// Pending lists the places that are being reclaimed for waiting jobs. They are
	// not committed; pass them on to the next plan in Snapshot.Pending.
	Pending      []Placement
	Reservations []Reservation
	Shortfalls   []Shortfall
	// Demoted lists jobs that are marked as covered, but lie outside the
	// reservations of this plan, because workers or guarantees have changed. They
	// are borrowers from now on: preemptions of this plan may name them, and the
	// applier clears their mark, so that they do not compete for the reservation
	// with jobs that are covered later.
	Demoted []string
	// Reasons says in a plain sentence why each job that still waits does so.
	Reasons map[string]string
}
