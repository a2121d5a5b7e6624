package node

import "time"

// Settings is what a daemon needs to know about its machine and the bounds that
// it has to keep.
type Settings struct {
	Name         string // of the machine
	Zone         string
	FrontAddress string // for callers
	ReadyAddress string // for the load balancer's checks
	PeerAddress  string // for other daemons
	MetricsAddr  string
	StoreAddress string
	MaxHold      time.Duration // longest lease that a worker accepts
	StopTime     time.Duration // longest time that a worker takes to stop a task
	Grace        time.Duration // time between SIGTERM and SIGKILL
	KeepFinished time.Duration // how long finished jobs stay known
	Cores        float64       // share of a core that the daemon may use
	LinkMbps     float64
}
