package node

import "time"

// Settings is what a daemon needs to know about its machine and the bounds that
// it has to keep.
type Settings struct {
	Name              string // of the machine
	Zone              string
	FrontAddress      string // for callers
	ReadyAddress      string // for the load balancer's checks
	PeerAddress       string // for other daemons
	MetricsAddress    string
	StoreAddress      string
	MaxWorkerLease    time.Duration // longest lease that a worker accepts
	MaxStopTime       time.Duration // longest time that a worker takes to stop a task
	StopGrace         time.Duration // time between SIGTERM and SIGKILL
	FinishedRetention time.Duration // how long finished jobs stay known
	Cores             float64       // share of a core that the daemon may use
	LinkMbps          float64
}
