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

// recordingClient is a client of workers that records renewals and their answers.
type recordingClient struct {
	*refplatform.WorkersClient
	mu      sync.Mutex
	sets    []api.RenewTasks
	full    [][]api.TaskLease // renewals in the full form
	answers []api.TaskReports // answers to sets
}

func (r *recordingClient) Renew(ctx context.Context, address string, leases []api.TaskLease) ([]api.TaskReport, error) {
	r.mu.Lock()
	r.full = append(r.full, leases)
	r.mu.Unlock()
	return r.WorkersClient.Renew(ctx, address, leases)
}

func (r *recordingClient) RenewSet(ctx context.Context, address string, message api.RenewTasks) (api.TaskReports, error) {
	answer, err := r.WorkersClient.RenewSet(ctx, address, message)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sets, r.answers = append(r.sets, message), append(r.answers, answer)
	return answer, err
}

// clear drops the recorded calls.
func (r *recordingClient) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sets, r.full, r.answers = nil, nil, nil
}

// namedNetwork is a fakeNetwork whose own daemon has another name.
type namedNetwork struct {
	fakeNetwork
	self string
}

func (n *namedNetwork) Self() peers.Member { return peers.Member{VM: n.self, Zone: "z"} }

func (n *namedNetwork) LiveVMs(string) []string { return []string{n.self} }

// setFixture holds a stand-in with two workers and the job rows of a zone.
type setFixture struct {
	server   *standin.Standin
	follower *jobs.Follower
	version  int64
}

func newSetFixture() *setFixture {
	GinkgoHelper()
	f := &setFixture{follower: jobs.NewFollower(jobs.FollowerConfig{})}
	var err error
	f.server, err = standin.New(standin.Config{Workers: []standin.WorkerConfig{{ID: "w1", Zone: "z"}, {ID: "w2", Zone: "z"}}})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.server.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(ended, "5s").Should(Receive(BeNil()))
	})
	return f
}

func (f *setFixture) address(worker string) (string, bool) {
	a, ok := f.server.Addresses().Workers[worker]
	return a, ok
}

// keeper returns a keeper, its client and the ended tasks that it has reported.
func (f *setFixture) keeper() (*Keeper, *recordingClient, map[string]api.TaskReport) {
	client := &recordingClient{WorkersClient: refplatform.NewWorkers(refplatform.Config{})}
	DeferCleanup(client.Close)
	updates := map[string]api.TaskReport{}
	k := New(Config{Zone: "z", Follower: f.follower, Network: &fakeNetwork{version: -1}, Workers: client, Address: f.address,
		Leading: func() bool { return true },
		LocalUpdate: func(_ string, tasks []api.TaskReport) {
			for _, t := range tasks {
				updates[t.TaskID] = t
			}
		}})
	return k, client, updates
}

// startJob starts one task on each worker and stores the row of their job.
func (f *setFixture) startJob(id string, parameters map[string]string, workers ...string) {
	GinkgoHelper()
	client := refplatform.NewWorkers(refplatform.Config{})
	defer client.Close()
	job := api.Job{ID: id, State: api.JobStateRunning, Zone: "z", Attempt: 1, PlacedMs: time.Now().Add(-time.Minute).UnixMilli()}
	for i, w := range workers {
		job.Placement = append(job.Placement, api.TaskPlacement{Index: i, Worker: w})
		address, _ := f.address(w)
		reply, err := client.Start(context.Background(), address, api.StartTask{
			TaskID: jobs.TaskID(id, 1, i), JobID: id, StartBeforeMs: time.Now().Add(time.Second).UnixMilli(),
			LeaseExpiresMs: time.Now().Add(time.Minute).UnixMilli(), Parameters: parameters,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Accepted).To(BeTrue())
	}
	f.version++
	f.follower.Observe(job, f.version)
}

// leaseExpiry returns the lease expiry of a task on w1.
func (f *setFixture) leaseExpiry(task string) int64 {
	GinkgoHelper()
	client := refplatform.NewWorkers(refplatform.Config{})
	defer client.Close()
	address, _ := f.address("w1")
	reports, err := client.Renew(context.Background(), address, []api.TaskLease{{TaskID: task}})
	Expect(err).NotTo(HaveOccurred())
	Expect(reports).To(HaveLen(1))
	return reports[0].LeaseExpiresMs
}

// rounds runs n rounds in which all gangs are due. They are at least a millisecond
// apart, which is the resolution of expiries.
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
		fixture *setFixture
		k       *Keeper
		client  *recordingClient
		updates map[string]api.TaskReport
	)
	BeforeEach(func() {
		fixture = newSetFixture()
		k, client, updates = fixture.keeper()
	})
	// establishSet runs rounds until w1 knows the set, and clears the recorded calls.
	establishSet := func() {
		rounds(k, 3)
		client.clear()
	}

	// Guards against renewals and answers that list all tasks although nothing has
	// changed.
	It("refers to a known set by its hash and lists no tasks while nothing changes", func() {
		for i := range 4 {
			fixture.startJob(fmt.Sprintf("j%d", i), nil, "w1")
		}
		establishSet()
		rounds(k, 2)
		Expect(client.full).To(BeEmpty())
		Expect(client.sets).To(HaveLen(2))
		for i := range client.sets {
			Expect(client.sets[i].Set.TaskIds).To(BeEmpty())
			Expect(client.sets[i].Leases).To(BeEmpty())
			Expect(client.answers[i].Tasks).To(BeEmpty())
		}
		Expect(client.sets[1].Set.ExpiresMs).To(BeNumerically(">", client.sets[0].Set.ExpiresMs))
	})

	It("defines the set again when a task joins or leaves", func() {
		fixture.startJob("j0", nil, "w1")
		establishSet()
		fixture.startJob("j1", nil, "w1")
		establishSet()
		job := fixture.follower.Get("j0").Job
		job.State = api.JobStateStopping
		fixture.version++
		fixture.follower.Observe(job, fixture.version)
		rounds(k, 2)
		Expect(client.sets[0].Set.TaskIds).To(Equal([]string{jobs.TaskID("j1", 1, 0)}))
		Expect(client.sets[1].Set.TaskIds).To(BeEmpty())
	})

	// Guards against a set that extends a member of a gang although another member
	// does not answer.
	It("gives a gang with a silent member an older expiry than the other gangs", func() {
		fixture.startJob("whole1", nil, "w1")
		fixture.startJob("whole2", nil, "w1")
		fixture.startJob("split", nil, "w1", "w2")
		establishSet()
		Expect(fixture.server.SetFaults("workers/w2", standin.Faults{Down: true})).To(Succeed())
		rounds(k, 4)
		var sent []api.RenewTasks // those to w1 have three tasks
		hash := k.sets["w1"].hash
		for _, m := range client.sets {
			if m.Set.Hash == hash {
				sent = append(sent, m)
			}
		}
		last := sent[len(sent)-1]
		olderExpiry := k.gangs["split"].commonLease.Acknowledged(1).Add(defaultTaskLease).UnixMilli()
		Expect(last.Leases).To(Equal([]api.TaskLease{{TaskID: jobs.TaskID("split", 1, 0), LeaseExpiresMs: olderExpiry}}))
		Expect(last.Set.ExpiresMs).To(BeNumerically(">", olderExpiry))
	})

	// Guards against counting tasks as acknowledged that a restarted worker has lost.
	It("defines the set again at once on a restarted worker and reports its tasks as lost", func() {
		fixture.startJob("j0", nil, "w1")
		establishSet()
		Expect(fixture.server.RestartWorker("w1")).To(Succeed())
		before := k.gangs["j0"].commonLease.Acknowledged(0)
		rounds(k, 1)
		Expect(client.answers).To(HaveLen(2))
		Expect(client.answers[0].UnknownSet).To(BeTrue())
		Expect(client.answers[1].Missing).To(Equal([]string{jobs.TaskID("j0", 1, 0)}))
		Expect(k.gangs["j0"].commonLease.Acknowledged(0)).To(Equal(before))
		Expect(updates[jobs.TaskID("j0", 1, 0)].Reason).To(Equal(jobs.ReasonTaskUnknown))
	})

	// Guards against losing the end of a task with the answer that contained it.
	It("reports an end although the first answer that contained it is lost", func() {
		fixture.startJob("good", map[string]string{standin.ParamRunMs: "300"}, "w1")
		fixture.startJob("long", nil, "w1")
		establishSet()
		id := jobs.TaskID("good", 1, 0)
		Eventually(func() api.TaskState { return fixture.server.TaskHistory()[0].State }, "3s", "10ms").Should(Equal(api.TaskStateEnded))
		Expect(fixture.server.SetFaults("workers/w1", standin.Faults{LoseEvery: 1})).To(Succeed())
		before := k.gangs["long"].commonLease.Acknowledged(0)
		rounds(k, 1)
		Expect(updates).To(BeEmpty())
		Expect(k.gangs["long"].commonLease.Acknowledged(0)).To(Equal(before), "a lost answer acknowledges nothing")
		Expect(fixture.server.SetFaults("workers/w1", standin.Faults{})).To(Succeed())
		rounds(k, 1)
		Expect(updates[id].Exit).To(Equal(api.TaskExitSucceeded))
		Expect(k.gangs["long"].commonLease.Acknowledged(0)).To(BeTemporally(">", before))
	})

	// Guards against a task that ends between two renewals and still counts as running.
	It("lists a task that ended between two renewals until the set no longer contains it", func() {
		fixture.startJob("good", map[string]string{standin.ParamRunMs: "300"}, "w1")
		fixture.startJob("long", nil, "w1")
		establishSet()
		id := jobs.TaskID("good", 1, 0)
		Eventually(func() api.TaskState { return fixture.server.TaskHistory()[0].State }, "3s", "10ms").Should(Equal(api.TaskStateEnded))
		rounds(k, 3)
		Expect(client.answers[0].Tasks).To(HaveLen(1))
		Expect(client.answers[0].Tasks[0].TaskID).To(Equal(id))
		Expect(updates[id].Exit).To(Equal(api.TaskExitSucceeded))
		Expect(client.sets[1].Set.TaskIds).To(Equal([]string{jobs.TaskID("long", 1, 0)}))
		Expect(client.sets[2].Set.TaskIds).To(BeEmpty())
	})

	// Guards against a keeper whose set replaces that of another keeper, and against a
	// lease that is shortened by a keeper with an older acknowledgement.
	It("keeps the sets of two keepers apart, and no renewal shortens a lease", func() {
		fixture.startJob("j0", nil, "w1")
		fixture.startJob("j1", nil, "w1")
		otherKeeper, otherClient, _ := fixture.keeper()
		otherKeeper.cfg.Network = &namedNetwork{fakeNetwork{version: -1}, "b"}
		establishSet()
		rounds(otherKeeper, 3)
		otherClient.clear()
		id := jobs.TaskID("j0", 1, 0)
		for range 2 {
			before := fixture.leaseExpiry(id)
			rounds(k, 1)
			rounds(otherKeeper, 1)
			Expect(fixture.leaseExpiry(id)).To(BeNumerically(">=", before))
		}
		for _, m := range append(client.sets, otherClient.sets...) {
			Expect(m.Set.TaskIds).To(BeEmpty())
		}
		address, _ := fixture.address("w1")
		before := fixture.leaseExpiry(id)
		_, err := client.WorkersClient.RenewSet(context.Background(), address, api.RenewTasks{Set: &api.RenewSet{
			Holder: "a", Hash: client.sets[0].Set.Hash, ExpiresMs: time.Now().UnixMilli(),
		}})
		Expect(err).NotTo(HaveOccurred())
		Expect(fixture.leaseExpiry(id)).To(Equal(before))
	})

	// Guards against leases that expire on workers of an older release.
	It("uses the full form with a worker that does not support sets", func() {
		Expect(fixture.server.SetFaults("workers/w1", standin.Faults{IgnoreSets: true})).To(Succeed())
		fixture.startJob("j0", nil, "w1")
		rounds(k, 3)
		Expect(client.sets).To(HaveLen(1))
		Expect(client.full).To(HaveLen(2))
		Expect(k.gangs["j0"].commonLease.Acknowledged(0)).To(BeTemporally("~", time.Now(), time.Second))
	})

	// Guards against one call per gang when gangs were placed at different times.
	It("renews gangs on one worker together", func() {
		fixture.startJob("j0", nil, "w1")
		fixture.startJob("j1", nil, "w1")
		establishSet()
		now := time.Now()
		k.gangs["j0"].nextRenew, k.gangs["j1"].nextRenew = now, now.Add(k.cfg.RenewEvery/3)
		k.round(context.Background())
		Expect(k.gangs["j0"].nextRenew).To(Equal(k.gangs["j1"].nextRenew))
	})
})
