package executor_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/control"
	"github.com/samphirepath/samphirepath/internal/executor"
	"github.com/samphirepath/samphirepath/internal/jobs"
	"github.com/samphirepath/samphirepath/internal/keeper"
	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/lease"
	"github.com/samphirepath/samphirepath/table"
)

func TestExecutor(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(10 * time.Second)
	SetDefaultEventuallyPollingInterval(5 * time.Millisecond)
	RunSpecs(t, "executor")
}

// Zone and durations of the tests. The durations are shorter than the defaults.
const (
	zone             = "z"
	taskLease        = 1500 * time.Millisecond
	renewEvery       = 300 * time.Millisecond
	skew             = 50 * time.Millisecond
	zoneConfirmation = 300 * time.Millisecond
	startWait        = 600 * time.Millisecond
	plannerLease     = 600 * time.Millisecond
)

// daemon runs the components of one samphirepathd that place, start and renew jobs.
type daemon struct {
	vm       string
	store    *gatedStore
	net      *daemonNet
	follower *jobs.Follower
	service  *jobs.Service
	control  *control.Control
	lease    *lease.Lease
	cancel   context.CancelFunc
	killed   atomic.Bool
	group    *errgroup.Group
	workers  *daemonWorkers
}

func (d *daemon) isKilled() bool { return d.killed.Load() }

// kill ends the daemon as a crash does, without releasing its planner lease.
func (d *daemon) kill() {
	d.killed.Store(true)
	d.cancel()
	Expect(d.group.Wait()).To(Succeed())
}

// daemonWorkers is one daemon's access to the workers. A test can make one kind of
// action fail.
type daemonWorkers struct {
	*simWorkers
	failAct atomic.Pointer[api.TaskActionKind]
}

func (w *daemonWorkers) Act(ctx context.Context, address string, action api.TaskAction) ([]api.TaskReport, error) {
	if fail := w.failAct.Load(); fail != nil && *fail == action.Action {
		return nil, errNoAnswer
	}
	return w.simWorkers.Act(ctx, address, action)
}

// cluster is a simulated zone: its workers, table store, VM list, network and daemons.
type cluster struct {
	store     *simStore
	workers   *simWorkers
	view      *simView
	net       *simNet
	vms       []api.VM
	removedVM atomic.Pointer[string] // VM that List leaves out
	// checkpointEvery is the interval of periodic checkpoints; 0 means the default.
	checkpointEvery time.Duration
}

func (c *cluster) List(context.Context) (api.VMList, error) {
	list := api.VMList{Vms: slices.Clone(c.vms)}
	if removed := c.removedVM.Load(); removed != nil {
		list.Vms = slices.DeleteFunc(list.Vms, func(vm api.VM) bool { return vm.ID == *removed })
	}
	return list, nil
}

func newCluster(workers int, daemons ...string) *cluster {
	c := &cluster{
		store: &simStore{rows: map[string]table.Row{}}, workers: newWorkers(), net: &simNet{daemons: map[string]*daemon{}},
		view: &simView{state: api.In, revision: 1, cutOff: map[string]bool{}},
	}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		c.vms = append(c.vms, api.VM{ID: id, Kind: api.VMKindWorker, Zone: zone, Address: id, State: api.Live, Instance: "1"})
	}
	for _, vm := range daemons {
		c.vms = append(c.vms, api.VM{ID: vm, Kind: api.VMKindEntry, Zone: zone, State: api.Live, Instance: "1"})
	}
	return c
}

// start starts a daemon. If it is the first, start waits until it plans.
func (c *cluster) start(vm string) *daemon {
	d := &daemon{vm: vm, store: &gatedStore{simStore: c.store}, net: &daemonNet{net: c.net, vm: vm, handlers: map[peersKind]peersHandler{}}}
	d.workers = &daemonWorkers{simWorkers: c.workers}
	view := daemonView{c.view, vm}
	var err error
	d.lease, err = lease.New(lease.Config{Store: d.store, Prefix: "planner/z/", Holder: vm, Incarnation: vm, LeaseTime: plannerLease, RenewEvery: plannerLease / 4})
	Expect(err).NotTo(HaveOccurred())
	d.follower = jobs.NewFollower(jobs.FollowerConfig{Store: d.store, Network: d.net, PollEvery: 50 * time.Millisecond})
	writer := jobs.NewWriter(jobs.WriterConfig{Store: d.store, Follower: d.follower, Limiter: rate.NewLimiter(100, 1), Fence: d.lease.FenceCondition})
	epoch := func() int64 { return d.lease.Status().Epoch }
	applier := jobs.NewApplier(jobs.ApplierConfig{Zone: zone, Writer: writer, Follower: d.follower, Epoch: epoch})
	d.service = jobs.NewService(jobs.ServiceConfig{Writer: writer, Follower: d.follower, View: view})
	var ex *executor.Executor
	d.control = control.New(control.Config{
		Zone: zone, Lease: d.lease, Follower: d.follower, Applier: applier, View: view, VMs: c, Workers: d.workers, Network: d.net,
		Plan: firstFit, PlanEvery: 30 * time.Millisecond, ReportEvery: 400 * time.Millisecond, VMListEvery: 50 * time.Millisecond,
		StopOrphans: func(ctx context.Context, address string, tasks []string) { ex.StopOrphans(ctx, address, tasks) },
	})
	ex = executor.New(executor.Config{
		Zone: zone, Follower: d.follower, Applier: applier, Workers: d.workers, View: view, Network: d.net, Directory: d.control,
		Leading: d.control.Leading, Epoch: epoch, TaskLease: taskLease, ZoneConfirmation: zoneConfirmation, MaxClockSkew: skew,
		CheckpointWait: 300 * time.Millisecond, CheckpointEvery: c.checkpointEvery, StartWait: startWait, StartsPerSecond: 1000,
	})
	leaseKeeper := keeper.New(keeper.Config{
		Zone: zone, Follower: d.follower, Network: d.net, Workers: refplatform.Workers(d.workers), Address: d.control.Address,
		Leading: func() bool { return d.control.Current().HoldsLease }, LocalUpdate: d.control.TaskUpdate,
		RenewEvery: renewEvery, TaskLease: taskLease, MaxClockSkew: skew,
	})
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.group, ctx = errgroup.WithContext(ctx)
	for _, run := range []func(context.Context) error{d.follower.Run, writer.Run, d.control.Run, ex.Run, leaseKeeper.Run} {
		d.group.Go(func() error { return run(ctx) })
	}
	c.net.mu.Lock()
	c.net.daemons[vm] = d
	first := len(c.net.daemons) == 1
	c.net.mu.Unlock()
	DeferCleanup(func() {
		if !d.isKilled() {
			d.kill()
		}
	})
	if first {
		Eventually(d.control.Leading).Should(BeTrue())
	}
	return d
}

// addJob stores a waiting job.
func (c *cluster) addJob(id string, tasks int, change ...func(*api.Job)) {
	job := api.Job{ID: id, Organisation: "org", State: api.JobStateWaiting, SubmittedMs: time.Now().UnixMilli(),
		Spec: api.JobSpec{Key: id, Tasks: tasks, Resources: api.Resources{Cores: 1, Accelerators: 1}}}
	for _, f := range change {
		f(&job)
	}
	w := jobs.NewWriter(jobs.WriterConfig{Store: c.store, Follower: jobs.NewFollower(jobs.FollowerConfig{Store: c.store})})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	go func() { _ = w.Run(ctx) }()
	Expect(w.Apply(ctx, jobs.Change{Job: job})[0].Status).To(BeElementOf(jobs.Committed, jobs.Stale))
}

// job returns a function that reads the job from the rows known to the daemon.
func (d *daemon) job(id string) func() api.Job {
	return func() api.Job {
		if row := d.follower.Get(id); row != nil {
			return row.Job
		}
		return api.Job{}
	}
}

func inState(state api.JobState) OmegaMatcher {
	return HaveField("State", state)
}

// countTasks counts the tasks of all attempts of a job that are in one of the states.
func (c *cluster) countTasks(job string, states ...api.TaskState) int {
	n := 0
	for _, t := range c.workers.tasksOf(job) {
		if slices.Contains(states, t.State) {
			n++
		}
	}
	return n
}
