package keeper

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/jobs"
	"github.com/samphirepath/samphirepath/internal/peers"
	"github.com/samphirepath/samphirepath/internal/refplatform"
)

func TestKeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "keeper")
}

var errNoAnswer = errors.New("no answer")

// fakeWorkers is a client of workers that records renewals and answers for the
// tasks in its map.
type fakeWorkers struct {
	refplatform.Workers
	mu       sync.Mutex
	tasks    map[string]map[string]api.TaskReport
	silent   map[string]bool
	renewals map[string][][]api.TaskLease
}

func (f *fakeWorkers) Report(_ context.Context, address string) (api.WorkerReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out api.WorkerReport
	if f.silent[address] {
		return out, errNoAnswer
	}
	for _, t := range f.tasks[address] {
		if t.State != api.TaskStateEnded {
			out.Tasks = append(out.Tasks, t)
		}
	}
	return out, nil
}

func (f *fakeWorkers) Renew(_ context.Context, address string, leases []api.TaskLease) ([]api.TaskReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent[address] {
		return nil, errNoAnswer
	}
	f.renewals[address] = append(f.renewals[address], leases)
	var out []api.TaskReport
	for _, l := range leases {
		if t, ok := f.tasks[address][l.TaskID]; ok {
			out = append(out, t)
		}
	}
	return out, nil
}

// fakeNetwork consists of daemon a and, unless version is negative, of daemon b,
// which announces that it knows the rows up to version.
type fakeNetwork struct {
	peers.Network
	version int64
}

func (*fakeNetwork) Self() peers.Member { return peers.Member{VM: "a", Zone: "z"} }

func (n *fakeNetwork) Members() []peers.Member {
	return []peers.Member{{VM: "b", Zone: "z", State: peers.Live, TableVersion: n.version}}
}

func (n *fakeNetwork) LiveVMs(string) []string {
	if n.version < 0 {
		return []string{"a"}
	}
	return []string{"a", "b"}
}

var _ = Describe("Keeper", func() {
	var (
		fake     *fakeWorkers
		k        *Keeper
		follower *jobs.Follower
		net      *fakeNetwork
		updates  map[string]api.TaskReport
		ctx      = context.Background()
	)
	// addGang adds a running job with one task on each worker.
	addGang := func(id string, workers ...string) {
		job := api.Job{ID: id, State: api.JobStateRunning, Zone: "z", Attempt: 1, PlacedMs: time.Now().Add(-time.Minute).UnixMilli()}
		for i, w := range workers {
			job.Placement = append(job.Placement, api.TaskPlacement{Index: i, Worker: w})
			if fake.tasks[w] == nil {
				fake.tasks[w] = map[string]api.TaskReport{}
			}
			task := jobs.TaskID(id, 1, i)
			fake.tasks[w][task] = api.TaskReport{TaskID: task, State: api.TaskStateRunning}
		}
		follower.Observe(job, 1)
	}
	// round makes all gangs due and runs one round.
	round := func() {
		for _, g := range k.gangs {
			g.nextRenew, g.nextUpdate = time.Time{}, time.Time{}
		}
		k.round(ctx)
	}
	BeforeEach(func() {
		fake = &fakeWorkers{tasks: map[string]map[string]api.TaskReport{}, silent: map[string]bool{}, renewals: map[string][][]api.TaskLease{}}
		follower = jobs.NewFollower(jobs.FollowerConfig{})
		net = &fakeNetwork{version: -1}
		updates = map[string]api.TaskReport{}
		k = New(Config{Zone: "z", Follower: follower, Network: net, Workers: fake,
			Address: func(w string) (string, bool) { return w, true }, Leading: func() bool { return true },
			LocalUpdate: func(_ string, tasks []api.TaskReport) {
				for _, t := range tasks {
					updates[t.TaskID] = t
				}
			}})
	})

	// Guards against a keeper that takes over a gang and extends only some members.
	It("extends no member before all have answered once", func() {
		addGang("j", "w1", "w2")
		fake.silent["w2"] = true
		for range 3 {
			round()
		}
		Expect(fake.renewals).To(BeEmpty())
		fake.silent["w2"] = false
		round()
		round()
		Expect(fake.renewals).To(HaveLen(2))
	})

	// Guards against a member that keeps running after the lease of a member that does
	// not answer has expired.
	It("gives all members the expiry of the member whose last answer is oldest", func() {
		addGang("j", "w1", "w2")
		round()
		round()
		fake.silent["w2"] = true
		for range 3 {
			round()
		}
		renewals := fake.renewals["w1"]
		last := renewals[len(renewals)-1][0].LeaseExpiresMs
		Expect(renewals[len(renewals)-2][0].LeaseExpiresMs).To(Equal(last))
		Expect(last).To(Equal(k.gangs["j"].commonLease.Acknowledged(1).Add(defaultTaskLease).UnixMilli()))
	})

	It("sends one message for all jobs on a worker", func() {
		for i := range 5 {
			addGang(fmt.Sprintf("j%d", i), "w1")
		}
		round()
		round()
		Expect(fake.renewals["w1"]).To(HaveLen(1))
		Expect(fake.renewals["w1"][0]).To(HaveLen(5))
	})

	// Guards against a gang whose leases expire because one member succeeded early.
	It("keeps renewing after a member has succeeded", func() {
		addGang("j", "w1", "w2")
		round()
		round()
		id := jobs.TaskID("j", 1, 1)
		fake.mu.Lock()
		fake.tasks["w2"][id] = api.TaskReport{TaskID: id, State: api.TaskStateEnded, Exit: api.TaskExitSucceeded}
		fake.mu.Unlock()
		round()
		round()
		Expect(k.gangs["j"].commonLease.Expiry()).To(Equal(k.gangs["j"].commonLease.Acknowledged(0).Add(defaultTaskLease)))
		Expect(updates[id].Exit).To(Equal(api.TaskExitSucceeded))
	})

	// Guards against a success that is reported as a loss after the job has moved to
	// another keeper.
	It("reports an end that happened before the takeover", func() {
		addGang("j", "w1")
		id := jobs.TaskID("j", 1, 0)
		fake.tasks["w1"][id] = api.TaskReport{TaskID: id, State: api.TaskStateEnded, Exit: api.TaskExitSucceeded}
		round()
		round()
		Expect(updates[id].Exit).To(Equal(api.TaskExitSucceeded))
	})

	// Guards against a job that waits for ever for a task that its worker has lost.
	It("declares a task lost that its worker does not know", func() {
		addGang("j", "w1")
		delete(fake.tasks["w1"], jobs.TaskID("j", 1, 0))
		round()
		Expect(updates[jobs.TaskID("j", 1, 0)]).To(HaveField("Reason", jobs.ReasonTaskUnknown))
	})

	// Guards against jobs that no keeper renews because their owner started during an
	// outage of the store and has no rows.
	It("assigns no job to a daemon that does not know its row", func() {
		for i := range 10 {
			addGang(fmt.Sprintf("j%d", i), "w1")
		}
		net.version = 0
		round()
		Expect(k.gangs).To(HaveLen(10))
		net.version = 1
		round()
		Expect(len(k.gangs)).To(BeNumerically("~", 5, 4))
	})

	// Guards against renewals that continue after the row is in state stopping.
	It("drops a job that is being stopped", func() {
		addGang("j", "w1")
		round()
		job := follower.Get("j").Job
		job.State = api.JobStateStopping
		follower.Observe(job, 2)
		round()
		Expect(k.gangs).To(BeEmpty())
		Expect(fake.renewals).To(BeEmpty())
	})
})

// Guards against reassigning the jobs of all daemons when one daemon leaves.
var _ = It("moves only the jobs of a daemon that leaves", func() {
	all, fewer := []string{"a", "b", "c", "d"}, []string{"d", "a", "c"}
	counts, moved := map[string]int{}, 0
	for i := range 4000 {
		id := fmt.Sprintf("job%d", i)
		owner := Owner(id, all)
		counts[owner]++
		if owner != "b" && Owner(id, fewer) != owner {
			moved++
		}
	}
	Expect(moved).To(BeZero())
	for _, vm := range all {
		Expect(counts[vm]).To(BeNumerically("~", 1000, 120))
	}
	Expect(Owner("job", nil)).To(BeEmpty())
})
