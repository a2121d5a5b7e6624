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

// farFuture is later than any time at which a renewal is sent.
var farFuture = time.Unix(1<<40, 0)

// gangRenewal is the renewal state of a gang. Members are numbered by their
// position in the placement.
type gangRenewal struct {
	job         api.Job
	commonLease *gang.Lease
	ended       map[int]api.TaskReport
	// latestReportedExpiry is the latest expiry that a member has reported.
	latestReportedExpiry time.Time
	adoptedAt            time.Time
	// lastAnswer holds, by member, the send time of the last answered call. Before
	// the first answer it is the time at which this keeper took over the gang.
	lastAnswer []time.Time
	nextRenew  time.Time
	nextUpdate time.Time
}

func newGangRenewal(job api.Job, lease time.Duration, now time.Time) *gangRenewal {
	g := &gangRenewal{job: job, commonLease: gang.New(len(job.Placement), time.Time{}, lease), ended: map[int]api.TaskReport{}, adoptedAt: now}
	g.lastAnswer = make([]time.Time, len(job.Placement))
	for i := range g.lastAnswer {
		g.lastAnswer[i] = now
	}
	return g
}

func (g *gangRenewal) taskID(member int) string {
	return jobs.TaskID(g.job.ID, g.job.Attempt, g.job.Placement[member].Index)
}

// recordEnd records that a member has ended. A member that has succeeded no longer
// holds back the common expiry of the others.
func (g *gangRenewal) recordEnd(member int, report api.TaskReport) {
	g.ended[member] = report
	if report.Exit == api.TaskExitSucceeded {
		g.commonLease.Acknowledge(member, farFuture)
	}
}

// taskRef refers to a member of a gang.
type taskRef struct {
	gang   *gangRenewal
	member int
}

// workerCall holds the renewals that are sent to one worker in a round.
type workerCall struct {
	worker string
	// needsReport makes the call read a report first: a keeper that takes over a
	// gang must not extend the lease of one member before all members have answered.
	needsReport bool
	leases      []api.TaskLease
	tasks       map[string]taskRef
	set         *workerSet
}

// workerAnswer is the result of a workerCall.
type workerAnswer struct {
	call     *workerCall
	sent     time.Time
	complete bool // the answer covers all tasks of the call
	tasks    map[string]api.TaskReport
}

// dueCalls returns one call for each worker that runs a member of a due gang. Each
// call covers all tasks of this keeper on that worker.
func (k *Keeper) dueCalls(now time.Time) []*workerCall {
	calls := map[string]*workerCall{}
	for _, g := range k.gangs {
		if now.Before(g.nextRenew) {
			continue
		}
		k.addCalls(calls, g, now)
	}
	k.addSoonDue(calls, now)
	for _, g := range k.gangs {
		for i, place := range g.job.Placement {
			if c := calls[place.Worker]; c != nil {
				k.addTask(c, g, i)
			}
		}
	}
	out := make([]*workerCall, 0, len(calls))
	for worker, c := range calls {
		c.set = k.setFor(worker, now)
		out = append(out, c)
	}
	k.dropUnusedSets(now)
	return out
}

// addCalls adds calls to the workers of those members of a gang that have not ended.
func (k *Keeper) addCalls(calls map[string]*workerCall, g *gangRenewal, now time.Time) {
	g.nextRenew = now.Add(k.cfg.RenewEvery)
	for i, place := range g.job.Placement {
		if _, ended := g.ended[i]; !ended && calls[place.Worker] == nil {
			calls[place.Worker] = &workerCall{worker: place.Worker, tasks: map[string]taskRef{}}
		}
	}
}

// addSoonDue adds gangs that share a worker with a due one and would be due within
// half an interval. Renewing them early makes gangs on the same workers converge to
// one expiry and one call.
func (k *Keeper) addSoonDue(calls map[string]*workerCall, now time.Time) {
	called := make(map[string]bool, len(calls))
	for worker := range calls {
		called[worker] = true
	}
	for _, g := range k.gangs {
		if g.nextRenew.Sub(now) > k.cfg.RenewEvery/2 {
			continue
		}
		if slices.ContainsFunc(g.job.Placement, func(p api.TaskPlacement) bool { return called[p.Worker] }) {
			k.addCalls(calls, g, now)
		}
	}
}

func (k *Keeper) addTask(c *workerCall, g *gangRenewal, member int) {
	if _, ended := g.ended[member]; ended {
		return
	}
	id := g.taskID(member)
	c.tasks[id] = taskRef{g, member}
	if expiry := g.commonLease.Expiry(); !expiry.IsZero() {
		c.leases = append(c.leases, api.TaskLease{TaskID: id, LeaseExpiresMs: expiry.UnixMilli()})
		return
	}
	c.needsReport = true
}

// sendCalls sends the calls concurrently and returns their answers. The time of the
// round counts as send time of all calls: it is earlier than the real one, which is
// safe, and gives all members renewed in one round the same expiry.
func (k *Keeper) sendCalls(ctx context.Context, now time.Time, calls []*workerCall) []workerAnswer {
	answers := make([]workerAnswer, len(calls))
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

func (k *Keeper) callWorker(ctx context.Context, now time.Time, c *workerCall) workerAnswer {
	a := workerAnswer{call: c, sent: now, tasks: map[string]api.TaskReport{}}
	address, known := k.cfg.Address(c.worker)
	if !known {
		return a
	}
	leases := c.leases
	if c.needsReport {
		report, err := k.report(ctx, address)
		if err != nil {
			return a
		}
		for _, t := range report.Tasks {
			a.tasks[t.TaskID] = t
		}
		leases = append(leases, k.probeRenewals(c, a, leases)...)
	}
	a.complete = true
	if len(leases) == 0 {
		return a
	}
	reports, err := k.renewLeases(ctx, c, address, leases)
	if err != nil {
		a.complete = false
		return a
	}
	for _, l := range leases {
		delete(a.tasks, l.TaskID) // the answer to the renewal is newer than the report
	}
	for _, t := range reports {
		a.tasks[t.TaskID] = t
	}
	return a
}

// probeRenewals returns renewals that extend no lease, for tasks that are missing from
// the report of their worker. A report lists only tasks that have not ended; the
// answer to a renewal also contains the final state of ended ones.
func (k *Keeper) probeRenewals(c *workerCall, a workerAnswer, leases []api.TaskLease) []api.TaskLease {
	listed := map[string]bool{}
	for _, l := range leases {
		listed[l.TaskID] = true
	}
	var out []api.TaskLease
	for id := range c.tasks {
		if _, found := a.tasks[id]; !found && !listed[id] {
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

// renewLeases renews in the set form if the client and the worker support it, else in
// the full form. A call that needs a report uses the full form, because a set must not
// extend the tasks of a gang that has no common expiry yet.
func (k *Keeper) renewLeases(ctx context.Context, c *workerCall, address string, leases []api.TaskLease) ([]api.TaskReport, error) {
	if renewer, ok := k.cfg.Workers.(refplatform.TaskSetRenewer); ok && !c.needsReport && !c.set.usesFullForm() {
		reports, err := k.renewSet(ctx, renewer, c.set, address, leases)
		if err != nil || !c.set.usesFullForm() {
			return reports, err
		}
	}
	return k.renewFull(ctx, address, leases)
}

func (k *Keeper) renewFull(ctx context.Context, address string, leases []api.TaskLease) ([]api.TaskReport, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.cfg.Scope.Counter("renewals").Inc(1)
	return k.cfg.Workers.Renew(ctx, address, leases)
}

// handleAnswer records the answer of a worker. A worker that did not answer is
// called again after half an interval.
func (k *Keeper) handleAnswer(a workerAnswer) {
	if !a.complete {
		for _, ref := range a.call.tasks {
			ref.gang.nextRenew = earlier(ref.gang.nextRenew, a.sent.Add(k.cfg.RenewEvery/2))
		}
		return
	}
	for id, ref := range a.call.tasks {
		task, known := a.tasks[id]
		switch {
		case !known:
			k.handleUnknownTask(ref, a.sent)
		case task.State == api.TaskStateEnded:
			ref.gang.recordEnd(ref.member, task)
		default:
			k.recordAcknowledgement(ref, task, a.sent)
		}
	}
}

// recordAcknowledgement records that a member has not ended. When all members of a
// gang have answered for the first time, the gang is due at once, so that its first
// extension is not delayed.
func (k *Keeper) recordAcknowledgement(ref taskRef, task api.TaskReport, sent time.Time) {
	g := ref.gang
	wasAcknowledged := g.commonLease.AllAcknowledged()
	g.commonLease.Acknowledge(ref.member, sent)
	g.lastAnswer[ref.member] = sent
	if expires := time.UnixMilli(task.LeaseExpiresMs); expires.After(g.latestReportedExpiry) {
		g.latestReportedExpiry = expires
	}
	if !wasAcknowledged && g.commonLease.AllAcknowledged() {
		g.nextRenew = time.Time{}
	}
}

// handleUnknownTask handles a task that its worker does not know. The start may
// still be in flight; otherwise the worker has lost the task, for example by a restart.
func (k *Keeper) handleUnknownTask(ref taskRef, at time.Time) {
	g := ref.gang
	placed := time.UnixMilli(g.job.PlacedMs)
	if g.job.State == api.JobStatePlaced || at.Sub(placed) < startGrace && at.Sub(g.adoptedAt) < startGrace && !g.commonLease.AllAcknowledged() {
		g.nextRenew = earlier(g.nextRenew, at.Add(updateInterval))
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
// lease that they can hold. If the lease of another member has already expired,
// two missed renewals are enough: the member that does not answer held back the
// expiry of the others, and the failure must name it as the cause.
func (k *Keeper) detectLost(now time.Time) {
	for _, g := range k.gangs {
		if g.job.State != api.JobStateRunning {
			continue
		}
		limit := k.cfg.TaskLease + k.cfg.MaxClockSkew
		if g.hasExpiredMember() {
			limit = 2 * k.cfg.RenewEvery
		}
		for i, answered := range g.lastAnswer {
			if _, ended := g.ended[i]; ended || now.Sub(answered) < limit {
				continue
			}
			g.ended[i] = lostReport(g.taskID(i), jobs.ReasonNoAnswer)
			k.cfg.Scope.Counter("lost").Inc(1)
		}
	}
}

// hasExpiredMember reports whether a member has ended because its lease expired.
func (g *gangRenewal) hasExpiredMember() bool {
	for _, report := range g.ended {
		if report.Exit == api.TaskExitLeaseLapsed {
			return true
		}
	}
	return false
}
