package keeper

import (
	"context"
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/refplatform"
)

const (
	// setKeptFor is how long the set of a worker that is no longer renewed is
	// remembered. Workers come and go for months.
	setKeptFor = 10 * time.Minute
	// fullFormFor is how long a worker that does not know the set form gets the full
	// form before it is tried again; it may have been upgraded.
	fullFormFor = 10 * time.Minute
)

// workerSet is the set of tasks that a worker knows from this keeper.
type workerSet struct {
	hash string // of the set in the newest answer, empty without one
	seen int64  // change number of the newest answer
	// fullUntil is the time until which the worker gets the full form.
	fullUntil time.Time
	used      time.Time // newest round with a call to the worker
}

func (s *workerSet) fullForm() bool { return s.used.Before(s.fullUntil) }

// reset forgets what the worker knows.
func (s *workerSet) reset() { s.hash, s.seen = "", 0 }

func (s *workerSet) takeFullForm() {
	s.reset()
	s.fullUntil = s.used.Add(fullFormFor)
}

func (k *Keeper) setOf(worker string, now time.Time) *workerSet {
	set := k.sets[worker]
	if set == nil {
		set = &workerSet{}
		k.sets[worker] = set
	}
	set.used = now
	return set
}

func (k *Keeper) forgetSets(now time.Time) {
	for worker, set := range k.sets {
		if now.Sub(set.used) > setKeptFor {
			delete(k.sets, worker)
		}
	}
}

// renewSet renews the tasks as a set, and defines the set when the worker does
// not know it. What is known of the worker changes only with an answer, so after
// a lost one the worker is asked the same again.
func (k *Keeper) renewSet(ctx context.Context, renewer refplatform.SetRenewer, known *workerSet, address string, leases []api.TaskLease) ([]api.TaskReport, error) {
	message := setMessage(k.cfg.Network.Self().VM, leases)
	if message.Set.Hash == known.hash {
		message.Set.Seen = known.seen
		reports, unknown, err := k.sendSet(ctx, renewer, known, address, message, leases)
		if err != nil || !unknown {
			return reports, err
		}
		k.cfg.Scope.Counter("unknown_sets").Inc(1)
		message.Set.Seen = 0
	}
	for _, l := range leases {
		message.Set.TaskIds = append(message.Set.TaskIds, l.TaskID)
	}
	reports, unknown, err := k.sendSet(ctx, renewer, known, address, message, leases)
	if unknown {
		known.takeFullForm() // a worker that refuses a definition does not keep sets
	}
	return reports, err
}

// sendSet sends one renewal of a set. unknown tells that the worker has renewed nothing.
func (k *Keeper) sendSet(ctx context.Context, renewer refplatform.SetRenewer, known *workerSet, address string, message api.RenewTasks, leases []api.TaskLease) (reports []api.TaskReport, unknown bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.cfg.Scope.Counter("renewals").Inc(1)
	answer, err := renewer.RenewSet(ctx, address, message)
	switch {
	case err != nil:
		return nil, false, err
	case answer.UnknownSet:
		known.reset()
		return nil, true, nil
	case answer.Set != message.Set.Hash:
		known.takeFullForm()
		return nil, false, nil
	}
	known.hash, known.seen = answer.Set, answer.Change
	return setReports(answer, leases), false, nil
}

// setMessage gives the most common expiry to the set and lists the tasks with
// another one.
func setMessage(holder string, leases []api.TaskLease) api.RenewTasks {
	ids := make([]string, 0, len(leases))
	counts := map[int64]int{}
	common := int64(0)
	for _, l := range leases {
		ids = append(ids, l.TaskID)
		counts[l.LeaseExpiresMs]++
		if n := counts[l.LeaseExpiresMs]; n > counts[common] || n == counts[common] && l.LeaseExpiresMs > common {
			common = l.LeaseExpiresMs
		}
	}
	message := api.RenewTasks{Leases: []api.TaskLease{}, Set: &api.RenewSet{Holder: holder, Hash: refplatform.SetHash(ids), ExpiresMs: common}}
	for _, l := range leases {
		if l.LeaseExpiresMs != common {
			message.Leases = append(message.Leases, l)
		}
	}
	return message
}

// setReports gives the states of all tasks that the worker holds: a task that the
// answer leaves out runs.
func setReports(answer api.TaskReports, leases []api.TaskLease) []api.TaskReport {
	listed := map[string]bool{}
	for _, id := range answer.Missing {
		listed[id] = true
	}
	for _, t := range answer.Tasks {
		listed[t.TaskID] = true
	}
	reports := answer.Tasks
	for _, l := range leases {
		if !listed[l.TaskID] {
			reports = append(reports, api.TaskReport{TaskID: l.TaskID, State: api.TaskStateRunning, LeaseExpiresMs: l.LeaseExpiresMs})
		}
	}
	return reports
}
