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

var errSilent = errors.New("no answer")

// fleet records renewals and answers for the tasks that it knows.
type fleet struct {
	refplatform.Workers
	mu     sync.Mutex
	tasks  map[string]map[string]api.TaskReport
	silent map[string]bool
	renews map[string][][]api.TaskLease
}

func (f *fleet) Report(_ context.Context, address string) (api.WorkerReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out api.WorkerReport
	if f.silent[address] {
		return out, errSilent
	}
	for _, t := range f.tasks[address] {
		if t.State != api.TaskStateEnded {
			out.Tasks = append(out.Tasks, t)
		}
	}
	return out, nil
}

func (f *fleet) Renew(_ context.Context, address string, leases []api.TaskLease) ([]api.TaskReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent[address] {
		return nil, errSilent
	}
	f.renews[address] = append(f.renews[address], leases)
	var out []api.TaskReport
	for _, l := range leases {
		if t, ok := f.tasks[address][l.TaskID]; ok {
			out = append(out, t)
		}
	}
	return out, nil
}

// network holds daemon a and, when announced is not negative, daemon b.
type network struct {
	peers.Network
	announced int64
}

func (*network) Self() peers.Member { return peers.Member{VM: "a", Zone: "z"} }

func (n *network) Members() []peers.Member {
	return []peers.Member{{VM: "b", Zone: "z", State: peers.Live, TableVersion: n.announced}}
}

func (n *network) LiveVMs(string) []string {
	if n.announced < 0 {
		return []string{"a"}
	}
	return []string{"a", "b"}
}

var _ = Describe("Keeper", func() {
	var (
		f        *fleet
		k        *Keeper
		follower *jobs.Follower
		net      *network
		told     map[string]api.TaskReport
		ctx      = context.Background()
	)
	// gangOf stores a running job with one task on each worker.
	gangOf := func(id string, workers ...string) {
		job := api.Job{ID: id, State: api.JobStateRunning, Zone: "z", Attempt: 1, PlacedMs: time.Now().Add(-time.Minute).UnixMilli()}
		for i, w := range workers {
			job.Placement = append(job.Placement, api.TaskPlacement{Index: i, Worker: w})
			if f.tasks[w] == nil {
				f.tasks[w] = map[string]api.TaskReport{}
			}
			task := jobs.TaskID(id, 1, i)
			f.tasks[w][task] = api.TaskReport{TaskID: task, State: api.TaskStateRunning}
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
		f = &fleet{tasks: map[string]map[string]api.TaskReport{}, silent: map[string]bool{}, renews: map[string][][]api.TaskLease{}}
		follower = jobs.NewFollower(jobs.FollowerConfig{})
		net = &network{announced: -1}
		told = map[string]api.TaskReport{}
		k = New(Config{Zone: "z", Follower: follower, Network: net, Workers: f,
			Address: func(w string) (string, bool) { return w, true }, Planning: func() bool { return true },
			LocalUpdate: func(_ string, tasks []api.TaskReport) {
				for _, t := range tasks {
					told[t.TaskID] = t
				}
			}})
	})

	// Guards against a keeper that extends a part of a gang after taking it over.
	It("extends no member before all have answered once", func() {
		gangOf("j", "w1", "w2")
		f.silent["w2"] = true
		for range 3 {
			round()
		}
		Expect(f.renews).To(BeEmpty())
		f.silent["w2"] = false
		round()
		round()
		Expect(f.renews).To(HaveLen(2))
	})

	// Guards against a member that is renewed past a silent one.
	It("gives all members the expiry of the member heard last", func() {
		gangOf("j", "w1", "w2")
		round()
		round()
		f.silent["w2"] = true
		for range 3 {
			round()
		}
		sent := f.renews["w1"]
		last := sent[len(sent)-1][0].LeaseExpiresMs
		Expect(sent[len(sent)-2][0].LeaseExpiresMs).To(Equal(last))
		Expect(last).To(Equal(k.gangs["j"].lease.Acknowledged(1).Add(defaultTaskLease).UnixMilli()))
	})

	It("sends one message for all jobs on a worker", func() {
		for i := range 5 {
			gangOf(fmt.Sprintf("j%d", i), "w1")
		}
		round()
		round()
		Expect(f.renews["w1"]).To(HaveLen(1))
		Expect(f.renews["w1"][0]).To(HaveLen(5))
	})

	// Guards against a gang that lapses because one member was done early.
	It("goes on renewing after a member has succeeded", func() {
		gangOf("j", "w1", "w2")
		round()
		round()
		id := jobs.TaskID("j", 1, 1)
		f.mu.Lock()
		f.tasks["w2"][id] = api.TaskReport{TaskID: id, State: api.TaskStateEnded, Exit: api.TaskExitSucceeded}
		f.mu.Unlock()
		round()
		round()
		Expect(k.gangs["j"].lease.Expiry()).To(Equal(k.gangs["j"].lease.Acknowledged(0).Add(defaultTaskLease)))
		Expect(told[id].Exit).To(Equal(api.TaskExitSucceeded))
	})

	// Guards against a success that is taken for a loss after a rehash.
	It("learns of an end that happened before it took over", func() {
		gangOf("j", "w1")
		id := jobs.TaskID("j", 1, 0)
		f.tasks["w1"][id] = api.TaskReport{TaskID: id, State: api.TaskStateEnded, Exit: api.TaskExitSucceeded}
		round()
		round()
		Expect(told[id].Exit).To(Equal(api.TaskExitSucceeded))
	})

	// Guards against a job that waits for ever for a task its worker has forgotten.
	It("declares a task lost that its worker does not know", func() {
		gangOf("j", "w1")
		delete(f.tasks["w1"], jobs.TaskID("j", 1, 0))
		round()
		Expect(told[jobs.TaskID("j", 1, 0)]).To(HaveField("Reason", jobs.ReasonTaskUnknown))
	})

	// Guards against jobs that nobody renews because their keeper came up during an
	// outage of the store and has no rows.
	It("leaves no job to a daemon that has not followed its row", func() {
		for i := range 10 {
			gangOf(fmt.Sprintf("j%d", i), "w1")
		}
		net.announced = 0
		round()
		Expect(k.gangs).To(HaveLen(10))
		net.announced = 1
		round()
		Expect(len(k.gangs)).To(BeNumerically("~", 5, 4))
	})

	// Guards against renewals that go on after the row says stopping.
	It("drops a job that is being stopped", func() {
		gangOf("j", "w1")
		round()
		job := follower.Get("j").Job
		job.State = api.JobStateStopping
		follower.Observe(job, 2)
		round()
		Expect(k.gangs).To(BeEmpty())
		Expect(f.renews).To(BeEmpty())
	})
})

// Guards against keepers that all change when one daemon leaves.
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
