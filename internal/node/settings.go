package node

import "time"

// Settings describes the machine of a daemon and the bounds that apply to the daemon.
type Settings struct {
	Name              string // name of the machine
	Zone              string
	FrontAddress      string // for callers
	ReadyAddress      string // for the load balancer's checks
	PeerAddress       string // for other daemons
	MetricsAddress    string
	StoreAddress      string
	MaxWorkerLease    time.Duration // longest lease that a worker accepts
	MaxStopTime       time.Duration // longest time that a worker takes to stop a task
	ReclaimLimit      time.Duration // time within which urgent work that a guarantee covers has to start
	StopGrace         time.Duration // time between SIGTERM and SIGKILL
	FinishedRetention time.Duration // how long the rows of finished jobs are kept
	Cores             float64       // share of a core that the daemon may use
	LinkMbps          float64
	MemoryMB          float64 // 0 if it is not known
	MaxFDs            int     // descriptors that the daemon may have open
}
