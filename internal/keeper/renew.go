package keeper

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/gang"
	"github.com/samphirepath/samphirepath/internal/jobs"
	"github.com/samphirepath/samphirepath/internal/refplatform"
)

// endOfTime is later than any send time.
var endOfTime = time.Unix(1<<40, 0)

// kept is a gang that this keeper renews. Members are numbered by their position
// in the placement.
type kept struct {
	job   api.Job
	lease *gang.Lease
	ended map[int]api.TaskReport
	// expires is the latest lease expiry that a member has reported.
	expires time.Time
	adopted time.Time
	// lastHeard is when each member last answered.
	lastHeard  []time.Time
	nextRenew  time.Time
	nextUpdate time.Time
}

func newKept(job api.Job, lease time.Duration, now time.Time) *kept {
	g := &kept{job: job, lease: gang.New(len(job.Placement), time.Time{}, lease), ended: map[int]api.TaskReport{}, adopted: now}
	g.lastHeard = make([]time.Time, len(job.Placement))
	for i := range g.lastHeard {
		g.lastHeard[i] = now
	}
	return g
}

func (g *kept) taskID(member int) string {
	return jobs.TaskID(g.job.ID, g.job.Attempt, g.job.Placement[member].Index)
}

// over records that a member has ended. One that has succeeded no longer holds
// back the common expiry of the others.
func (g *kept) over(member int, report api.TaskReport) {
	g.ended[member] = report
	if report.Exit == api.TaskExitSucceeded {
		g.lease.Acknowledge(member, endOfTime)
	}
}

// taskRef names a member of a kept gang.
type taskRef struct {
	gang   *kept
	member int
}

// call is what one worker is sent in a round.
type call struct {
	worker string
	// contact asks for a report first: a keeper that takes a gang over must not
	// extend the lease of one member before it has heard from all.
	contact bool
	leases  []api.TaskLease
	tasks   map[string]taskRef
	set     *workerSet
}

// answer is what became of a call.
type answer struct {
	call     *call
	sent     time.Time
	reported bool // the worker answered for all tasks of the call
	tasks    map[string]api.TaskReport
}

// due returns one call for each worker that has a member of a due gang. It names
// all kept tasks of that worker.
func (k *Keeper) due(now time.Time) []*call {
	calls := map[string]*call{}
	for _, g := range k.gangs {
		if now.Before(g.nextRenew) {
			continue
		}
		k.contactMembers(calls, g, now)
	}
	k.joinSoonDue(calls, now)
	for _, g := range k.gangs {
		for i, place := range g.job.Placement {
			if c := calls[place.Worker]; c != nil {
				k.addTask(c, g, i)
			}
		}
	}
	out := make([]*call, 0, len(calls))
	for worker, c := range calls {
		c.set = k.setOf(worker, now)
		out = append(out, c)
	}
	k.forgetSets(now)
	return out
}

// contactMembers adds calls for the members of a gang that have not ended.
func (k *Keeper) contactMembers(calls map[string]*call, g *kept, now time.Time) {
	g.nextRenew = now.Add(k.cfg.RenewEvery)
	for i, place := range g.job.Placement {
		if _, over := g.ended[i]; !over && calls[place.Worker] == nil {
			calls[place.Worker] = &call{worker: place.Worker, tasks: map[string]taskRef{}}
		}
	}
}

// joinSoonDue renews gangs early that share a worker with a due one and would be
// due within half an interval. Gangs on the same workers so come to be renewed
// together, with one expiry and in one call.
func (k *Keeper) joinSoonDue(calls map[string]*call, now time.Time) {
	called := make(map[string]bool, len(calls))
	for worker := range calls {
		called[worker] = true
	}
	for _, g := range k.gangs {
		if g.nextRenew.Sub(now) > k.cfg.RenewEvery/2 {
			continue
		}
		if slices.ContainsFunc(g.job.Placement, func(p api.TaskPlacement) bool { return called[p.Worker] }) {
			k.contactMembers(calls, g, now)
		}
	}
}

func (k *Keeper) addTask(c *call, g *kept, member int) {
	if _, over := g.ended[member]; over {
		return
	}
	id := g.taskID(member)
	c.tasks[id] = taskRef{g, member}
	if expiry := g.lease.Expiry(); !expiry.IsZero() {
		c.leases = append(c.leases, api.TaskLease{TaskID: id, LeaseExpiresMs: expiry.UnixMilli()})
		return
	}
	c.contact = true
}

// call sends the calls in parallel and returns the answers that arrived. The time
// of the round counts as send time of all calls: it is earlier than the real one,
// and members renewed in one round get the same expiry.
func (k *Keeper) call(ctx context.Context, now time.Time, calls []*call) []answer {
	answers := make([]answer, len(calls))
	var group errgroup.Group
	group.SetLimit(parallelCalls)
	for i, c := range calls {
		group.Go(func() error {
			answers[i] = k.callWorker(ctx, now, c)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	return answers
}

func (k *Keeper) callWorker(ctx context.Context, now time.Time, c *call) answer {
	a := answer{call: c, sent: now, tasks: map[string]api.TaskReport{}}
	address, known := k.cfg.Address(c.worker)
	if !known {
		return a
	}
	leases := c.leases
	if c.contact {
		report, err := k.report(ctx, address)
		if err != nil {
			return a
		}
		for _, t := range report.Tasks {
			a.tasks[t.TaskID] = t
		}
		leases = append(leases, k.unreported(c, a, leases)...)
	}
	a.reported = true
	if len(leases) == 0 {
		return a
	}
	reports, err := k.renewAny(ctx, c, address, leases)
	if err != nil {
		a.reported = false
		return a
	}
	for _, l := range leases {
		delete(a.tasks, l.TaskID) // the answer to the renewal is newer
	}
	for _, t := range reports {
		a.tasks[t.TaskID] = t
	}
	return a
}

// unreported returns renewals that extend nothing, for tasks that are not in the
// report of their worker: they bring back the state of a task that has ended.
func (k *Keeper) unreported(c *call, a answer, leases []api.TaskLease) []api.TaskLease {
	asked := map[string]bool{}
	for _, l := range leases {
		asked[l.TaskID] = true
	}
	var out []api.TaskLease
	for id := range c.tasks {
		if _, found := a.tasks[id]; !found && !asked[id] {
			out = append(out, api.TaskLease{TaskID: id, LeaseExpiresMs: a.sent.UnixMilli()})
		}
	}
	return out
}

func (k *Keeper) report(ctx context.Context, address string) (api.WorkerReport, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.cfg.Scope.Counter("reports").Inc(1)
	return k.cfg.Workers.Report(ctx, address)
}

// renewAny takes the set form unless the worker has just been asked for a report:
// the tasks of a gang without a common expiry must not be extended by a set.
func (k *Keeper) renewAny(ctx context.Context, c *call, address string, leases []api.TaskLease) ([]api.TaskReport, error) {
	if renewer, ok := k.cfg.Workers.(refplatform.SetRenewer); ok && !c.contact && !c.set.fullForm() {
		reports, err := k.renewSet(ctx, renewer, c.set, address, leases)
		if err != nil || !c.set.fullForm() {
			return reports, err
		}
	}
	return k.renew(ctx, address, leases)
}

func (k *Keeper) renew(ctx context.Context, address string, leases []api.TaskLease) ([]api.TaskReport, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.cfg.Scope.Counter("renewals").Inc(1)
	return k.cfg.Workers.Renew(ctx, address, leases)
}

// take records an answer. The first answers of a gang without a common expiry
// make it due at once, so that its first extension is not delayed.
func (k *Keeper) take(a answer) {
	if !a.reported {
		for _, ref := range a.call.tasks {
			ref.gang.nextRenew = earlier(ref.gang.nextRenew, a.sent.Add(k.cfg.RenewEvery/2))
		}
		return
	}
	for id, ref := range a.call.tasks {
		task, known := a.tasks[id]
		switch {
		case !known:
			k.unknownTask(ref, a.sent)
		case task.State == api.TaskStateEnded:
			ref.gang.over(ref.member, task)
		default:
			k.acknowledged(ref, task, a.sent)
		}
	}
}

func (k *Keeper) acknowledged(ref taskRef, task api.TaskReport, sent time.Time) {
	g := ref.gang
	before := g.lease.AllAcknowledged()
	g.lease.Acknowledge(ref.member, sent)
	g.lastHeard[ref.member] = sent
	if expires := time.UnixMilli(task.LeaseExpiresMs); expires.After(g.expires) {
		g.expires = expires
	}
	if !before && g.lease.AllAcknowledged() {
		g.nextRenew = time.Time{}
	}
}

// unknownTask handles a task that its worker does not know. A start may still be
// under way; after that the worker has lost the task, for example by a restart.
func (k *Keeper) unknownTask(ref taskRef, at time.Time) {
	g := ref.gang
	placed := time.UnixMilli(g.job.PlacedMs)
	if g.job.State == api.JobStatePlaced || at.Sub(placed) < startGrace && at.Sub(g.adopted) < startGrace && !g.lease.AllAcknowledged() {
		g.nextRenew = earlier(g.nextRenew, at.Add(updateEvery))
		return
	}
	g.ended[ref.member] = lostReport(g.taskID(ref.member), jobs.ReasonTaskUnknown)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func lostReport(id, reason string) api.TaskReport {
	return api.TaskReport{TaskID: id, State: api.TaskStateEnded, Exit: api.TaskExitLeaseLapsed, Reason: reason}
}

// detectLost declares members lost that have not answered for longer than any
// lease they can hold. When another member has lapsed already, silence over two
// renewals is enough: the silent member held back the expiry of the others, and
// it is the one to be named in the failure.
func (k *Keeper) detectLost(now time.Time) {
	for _, g := range k.gangs {
		if g.job.State != api.JobStateRunning {
			continue
		}
		limit := k.cfg.TaskLease + k.cfg.MaxClockSkew
		if g.lapsed() {
			limit = 2 * k.cfg.RenewEvery
		}
		for i, heard := range g.lastHeard {
			if _, over := g.ended[i]; over || now.Sub(heard) < limit {
				continue
			}
			g.ended[i] = lostReport(g.taskID(i), jobs.ReasonNoAnswer)
			k.cfg.Scope.Counter("lost").Inc(1)
		}
	}
}

// lapsed tells whether a member has ended because its lease ran out.
func (g *kept) lapsed() bool {
	for _, report := range g.ended {
		if report.Exit == api.TaskExitLeaseLapsed {
			return true
		}
	}
	return false
}
