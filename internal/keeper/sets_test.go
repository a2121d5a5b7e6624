package keeper

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/jobs"
	"github.com/samphirepath/samphirepath/internal/peers"
	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/internal/standin"
)

// recorder is a client of workers that records renewals.
type recorder struct {
	*refplatform.WorkersClient
	mu    sync.Mutex
	sets  []api.RenewTasks
	full  [][]api.TaskLease
	asked []api.TaskReports // answers to sets
}

func (r *recorder) Renew(ctx context.Context, address string, leases []api.TaskLease) ([]api.TaskReport, error) {
	r.mu.Lock()
	r.full = append(r.full, leases)
	r.mu.Unlock()
	return r.WorkersClient.Renew(ctx, address, leases)
}

func (r *recorder) RenewSet(ctx context.Context, address string, message api.RenewTasks) (api.TaskReports, error) {
	answer, err := r.WorkersClient.RenewSet(ctx, address, message)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sets, r.asked = append(r.sets, message), append(r.asked, answer)
	return answer, err
}

// clear forgets the recorded calls.
func (r *recorder) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sets, r.full, r.asked = nil, nil, nil
}

// namedNetwork is the network of one daemon that is alone or shares the zone.
type namedNetwork struct {
	network
	self string
}

func (n *namedNetwork) Self() peers.Member { return peers.Member{VM: n.self, Zone: "z"} }

func (n *namedNetwork) LiveVMs(string) []string { return []string{n.self} }

// setRig is a stand-in with two workers and the job rows of a zone.
type setRig struct {
	host     *standin.Standin
	follower *jobs.Follower
	version  int64
}

func newSetRig() *setRig {
	GinkgoHelper()
	r := &setRig{follower: jobs.NewFollower(jobs.FollowerConfig{})}
	var err error
	r.host, err = standin.New(standin.Config{Workers: []standin.WorkerConfig{{ID: "w1", Zone: "z"}, {ID: "w2", Zone: "z"}}})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.host.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(ended, "5s").Should(Receive(BeNil()))
	})
	return r
}

func (r *setRig) address(worker string) (string, bool) {
	a, ok := r.host.Addresses().Workers[worker]
	return a, ok
}

// keeper returns a keeper with its recorder and the ended tasks that it has told.
func (r *setRig) keeper() (*Keeper, *recorder, map[string]api.TaskReport) {
	client := &recorder{WorkersClient: refplatform.NewWorkers(refplatform.Config{})}
	DeferCleanup(client.Close)
	told := map[string]api.TaskReport{}
	k := New(Config{Zone: "z", Follower: r.follower, Network: &network{announced: -1}, Workers: client, Address: r.address,
		Planning: func() bool { return true },
		LocalUpdate: func(_ string, tasks []api.TaskReport) {
			for _, t := range tasks {
				told[t.TaskID] = t
			}
		}})
	return k, client, told
}

// run starts a job with one task on each worker and stores its row.
func (r *setRig) run(id string, parameters map[string]string, workers ...string) {
	GinkgoHelper()
	client := refplatform.NewWorkers(refplatform.Config{})
	defer client.Close()
	job := api.Job{ID: id, State: api.JobStateRunning, Zone: "z", Attempt: 1, PlacedMs: time.Now().Add(-time.Minute).UnixMilli()}
	for i, w := range workers {
		job.Placement = append(job.Placement, api.TaskPlacement{Index: i, Worker: w})
		address, _ := r.address(w)
		reply, err := client.Start(context.Background(), address, api.StartTask{
			TaskID: jobs.TaskID(id, 1, i), JobID: id, StartBeforeMs: time.Now().Add(time.Second).UnixMilli(),
			LeaseExpiresMs: time.Now().Add(time.Minute).UnixMilli(), Parameters: parameters,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Accepted).To(BeTrue())
	}
	r.version++
	r.follower.Observe(job, r.version)
}

// lease returns the expiry of a task on w1.
func (r *setRig) lease(task string) int64 {
	GinkgoHelper()
	client := refplatform.NewWorkers(refplatform.Config{})
	defer client.Close()
	address, _ := r.address("w1")
	reports, err := client.Renew(context.Background(), address, []api.TaskLease{{TaskID: task}})
	Expect(err).NotTo(HaveOccurred())
	Expect(reports).To(HaveLen(1))
	return reports[0].LeaseExpiresMs
}

// rounds makes all gangs due and runs rounds, each in a millisecond of its own:
// expiries have that resolution.
func rounds(k *Keeper, n int) {
	for range n {
		time.Sleep(2 * time.Millisecond)
		for _, g := range k.gangs {
			g.nextRenew, g.nextUpdate = time.Time{}, time.Time{}
		}
		k.round(context.Background())
	}
}

var _ = Describe("Renewal of sets", func() {
	var (
		r      *setRig
		k      *Keeper
		client *recorder
		told   map[string]api.TaskReport
	)
	BeforeEach(func() {
		r = newSetRig()
		k, client, told = r.keeper()
	})
	// settle makes w1 know the set.
	settle := func() {
		rounds(k, 3)
		client.clear()
	}

	// Guards against renewals that go on repeating the whole list, and against
	// answers that do.
	It("names a known set and lists nothing while nothing changes", func() {
		for i := range 4 {
			r.run(fmt.Sprintf("j%d", i), nil, "w1")
		}
		settle()
		rounds(k, 2)
		Expect(client.full).To(BeEmpty())
		Expect(client.sets).To(HaveLen(2))
		for i := range client.sets {
			Expect(client.sets[i].Set.TaskIds).To(BeEmpty())
			Expect(client.sets[i].Leases).To(BeEmpty())
			Expect(client.asked[i].Tasks).To(BeEmpty())
		}
		Expect(client.sets[1].Set.ExpiresMs).To(BeNumerically(">", client.sets[0].Set.ExpiresMs))
	})

	It("defines the set again when a task joins or leaves", func() {
		r.run("j0", nil, "w1")
		settle()
		r.run("j1", nil, "w1")
		settle()
		job := r.follower.Get("j0").Job
		job.State = api.JobStateStopping
		r.version++
		r.follower.Observe(job, r.version)
		rounds(k, 2)
		Expect(client.sets[0].Set.TaskIds).To(Equal([]string{jobs.TaskID("j1", 1, 0)}))
		Expect(client.sets[1].Set.TaskIds).To(BeEmpty())
	})

	// Guards against a set that extends a member of a gang past a silent one.
	It("gives a gang with a silent member its older expiry, and the others theirs", func() {
		r.run("whole1", nil, "w1")
		r.run("whole2", nil, "w1")
		r.run("split", nil, "w1", "w2")
		settle()
		Expect(r.host.SetFaults("workers/w2", standin.Faults{Down: true})).To(Succeed())
		rounds(k, 4)
		var sent []api.RenewTasks // those to w1 have three tasks
		hash := k.sets["w1"].hash
		for _, m := range client.sets {
			if m.Set.Hash == hash {
				sent = append(sent, m)
			}
		}
		last := sent[len(sent)-1]
		older := k.gangs["split"].lease.Acknowledged(1).Add(defaultTaskLease).UnixMilli()
		Expect(last.Leases).To(Equal([]api.TaskLease{{TaskID: jobs.TaskID("split", 1, 0), LeaseExpiresMs: older}}))
		Expect(last.Set.ExpiresMs).To(BeNumerically(">", older))
	})

	// Guards against acknowledgements for tasks that a restarted worker has lost.
	It("sends the list at once to a restarted worker and counts its tasks as lost", func() {
		r.run("j0", nil, "w1")
		settle()
		Expect(r.host.RestartWorker("w1")).To(Succeed())
		before := k.gangs["j0"].lease.Acknowledged(0)
		rounds(k, 1)
		Expect(client.asked).To(HaveLen(2))
		Expect(client.asked[0].UnknownSet).To(BeTrue())
		Expect(client.asked[1].Missing).To(Equal([]string{jobs.TaskID("j0", 1, 0)}))
		Expect(k.gangs["j0"].lease.Acknowledged(0)).To(Equal(before))
		Expect(told[jobs.TaskID("j0", 1, 0)].Reason).To(Equal(jobs.ReasonTaskUnknown))
	})

	// Guards against an end that is lost with the answer that told it.
	It("learns of an end although the first answer about it is lost", func() {
		r.run("good", map[string]string{standin.ParamRunMs: "300"}, "w1")
		r.run("long", nil, "w1")
		settle()
		id := jobs.TaskID("good", 1, 0)
		Eventually(func() api.TaskState { return r.host.TaskHistory()[0].State }, "3s", "10ms").Should(Equal(api.TaskStateEnded))
		Expect(r.host.SetFaults("workers/w1", standin.Faults{LoseEvery: 1})).To(Succeed())
		before := k.gangs["long"].lease.Acknowledged(0)
		rounds(k, 1)
		Expect(told).To(BeEmpty())
		Expect(k.gangs["long"].lease.Acknowledged(0)).To(Equal(before), "a lost answer acknowledges nothing")
		Expect(r.host.SetFaults("workers/w1", standin.Faults{})).To(Succeed())
		rounds(k, 1)
		Expect(told[id].Exit).To(Equal(api.TaskExitSucceeded))
		Expect(k.gangs["long"].lease.Acknowledged(0)).To(BeTemporally(">", before))
	})

	// Guards against an end between two renewals that passes for a running task.
	It("lists a task that ended between two renewals until the set is without it", func() {
		r.run("good", map[string]string{standin.ParamRunMs: "300"}, "w1")
		r.run("long", nil, "w1")
		settle()
		id := jobs.TaskID("good", 1, 0)
		Eventually(func() api.TaskState { return r.host.TaskHistory()[0].State }, "3s", "10ms").Should(Equal(api.TaskStateEnded))
		rounds(k, 3)
		Expect(client.asked[0].Tasks).To(HaveLen(1))
		Expect(client.asked[0].Tasks[0].TaskID).To(Equal(id))
		Expect(told[id].Exit).To(Equal(api.TaskExitSucceeded))
		Expect(client.sets[1].Set.TaskIds).To(Equal([]string{jobs.TaskID("long", 1, 0)}))
		Expect(client.sets[2].Set.TaskIds).To(BeEmpty())
	})

	// Guards against a keeper whose set replaces that of another one, and against a
	// lease that gets shorter when the other one has an older acknowledgement.
	It("keeps the sets of two keepers apart, and no renewal shortens a lease", func() {
		r.run("j0", nil, "w1")
		r.run("j1", nil, "w1")
		other, second, _ := r.keeper()
		other.cfg.Network = &namedNetwork{network{announced: -1}, "b"}
		settle()
		rounds(other, 3)
		second.clear()
		id := jobs.TaskID("j0", 1, 0)
		for range 2 {
			before := r.lease(id)
			rounds(k, 1)
			rounds(other, 1)
			Expect(r.lease(id)).To(BeNumerically(">=", before))
		}
		for _, m := range append(client.sets, second.sets...) {
			Expect(m.Set.TaskIds).To(BeEmpty())
		}
		address, _ := r.address("w1")
		before := r.lease(id)
		_, err := client.WorkersClient.RenewSet(context.Background(), address, api.RenewTasks{Set: &api.RenewSet{
			Holder: "a", Hash: client.sets[0].Set.Hash, ExpiresMs: time.Now().UnixMilli(),
		}})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.lease(id)).To(Equal(before))
	})

	// Guards against leases that lapse on workers of an older release.
	It("takes the full form with a worker that does not know sets", func() {
		Expect(r.host.SetFaults("workers/w1", standin.Faults{IgnoreSets: true})).To(Succeed())
		r.run("j0", nil, "w1")
		rounds(k, 3)
		Expect(client.sets).To(HaveLen(1))
		Expect(client.full).To(HaveLen(2))
		Expect(k.gangs["j0"].lease.Acknowledged(0)).To(BeTemporally("~", time.Now(), time.Second))
	})

	// Guards against calls that multiply with the times at which gangs were placed.
	It("renews gangs on one worker together", func() {
		r.run("j0", nil, "w1")
		r.run("j1", nil, "w1")
		settle()
		now := time.Now()
		k.gangs["j0"].nextRenew, k.gangs["j1"].nextRenew = now, now.Add(k.cfg.RenewEvery/3)
		k.round(context.Background())
		Expect(k.gangs["j0"].nextRenew).To(Equal(k.gangs["j1"].nextRenew))
	})
})
