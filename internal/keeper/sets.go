package keeper

import (
	"context"
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/refplatform"
)

const (
	// setRetention is how long the set of a worker without renewals is retained.
	// Without a limit, sets of removed workers would accumulate over months.
	setRetention = 10 * time.Minute
	// fullFormDuration is how long the full form is used with a worker that does not
	// support the set form. Then the set form is tried again, because the worker may
	// have been upgraded.
	fullFormDuration = 10 * time.Minute
)

// workerSet is the set of tasks that this keeper renews on a worker, as the worker
// knows it. Renewals have two forms. The full form lists every task with its expiry.
// The set form names the set by its hash and has one expiry for all its tasks; it
// lists only tasks that have another expiry. A set is defined by a renewal in the set
// form that also lists the identifiers of all its tasks.
type workerSet struct {
	hash   string // hash of the set in the newest answer; empty when the set must be defined
	change int64  // change number of the newest answer
	// fullUntil is the time until which the full form is used with the worker.
	fullUntil time.Time
	lastUsed  time.Time // newest round with a call to the worker
}

func (s *workerSet) usesFullForm() bool { return s.lastUsed.Before(s.fullUntil) }

// reset makes the next renewal define the set again.
func (s *workerSet) reset() { s.hash, s.change = "", 0 }

func (s *workerSet) switchToFullForm() {
	s.reset()
	s.fullUntil = s.lastUsed.Add(fullFormDuration)
}

// setFor returns the set of a worker, which it creates if there is none, and
// records the time of its use.
func (k *Keeper) setFor(worker string, now time.Time) *workerSet {
	set := k.sets[worker]
	if set == nil {
		set = &workerSet{}
		k.sets[worker] = set
	}
	set.lastUsed = now
	return set
}

func (k *Keeper) dropUnusedSets(now time.Time) {
	for worker, set := range k.sets {
		if now.Sub(set.lastUsed) > setRetention {
			delete(k.sets, worker)
		}
	}
}

// renewSet renews the tasks in the set form, and defines the set when the worker does
// not know it. The state in set changes only with an answer, so the next renewal
// after a lost answer asks for the same changes again.
func (k *Keeper) renewSet(ctx context.Context, renewer refplatform.TaskSetRenewer, set *workerSet, address string, leases []api.TaskLease) ([]api.TaskReport, error) {
	message := setMessage(k.cfg.Network.Self().VM, leases)
	if message.Set.Hash == set.hash {
		message.Set.Seen = set.change
		reports, unknown, err := k.sendSet(ctx, renewer, set, address, message, leases)
		if err != nil || !unknown {
			return reports, err
		}
		k.cfg.Scope.Counter("unknown_sets").Inc(1)
		message.Set.Seen = 0
	}
	for _, l := range leases {
		message.Set.TaskIds = append(message.Set.TaskIds, l.TaskID)
	}
	reports, unknown, err := k.sendSet(ctx, renewer, set, address, message, leases)
	if unknown {
		set.switchToFullForm() // a worker that refuses a definition does not support sets
	}
	return reports, err
}

// sendSet sends one renewal in the set form. unknown reports whether the worker does
// not know the set and has renewed nothing.
func (k *Keeper) sendSet(ctx context.Context, renewer refplatform.TaskSetRenewer, set *workerSet, address string, message api.RenewTasks, leases []api.TaskLease) (reports []api.TaskReport, unknown bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.cfg.Scope.Counter("renewals").Inc(1)
	answer, err := renewer.RenewSet(ctx, address, message)
	switch {
	case err != nil:
		return nil, false, err
	case answer.UnknownSet:
		set.reset()
		return nil, true, nil
	case answer.Set != message.Set.Hash:
		set.switchToFullForm()
		return nil, false, nil
	}
	set.hash, set.change = answer.Set, answer.Change
	return setReports(answer, leases), false, nil
}

// setMessage builds a renewal in the set form. The expiry of the set is the one that
// most tasks have; tasks with another expiry are listed.
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
	message := api.RenewTasks{Leases: []api.TaskLease{}, Set: &api.RenewSet{Holder: holder, Hash: refplatform.TaskSetHash(ids), ExpiresMs: common}}
	for _, l := range leases {
		if l.LeaseExpiresMs != common {
			message.Leases = append(message.Leases, l)
		}
	}
	return message
}

// setReports returns the states of the renewed tasks that the worker knows. A task
// that the answer does not list is running.
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
