package executor

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/configuration"
	"github.com/samphirepath/samphirepath/internal/jobs"
	"github.com/samphirepath/samphirepath/internal/refplatform"
)

// Guards against accelerators that are assigned to another job while a daemon that
// has not read the stop may still renew the leases of their tasks.
var _ = DescribeTable("table versions of the daemons", func(versions map[string]int64, want bool) {
	daemons := []api.VM{{ID: "a"}, {ID: "b"}}
	Expect(allAtVersion(daemons, versions, 7)).To(Equal(want))
},
	Entry("all", map[string]int64{"a": 7, "b": 8}, true),
	Entry("one behind", map[string]int64{"a": 7, "b": 6}, false),
	Entry("one unknown", map[string]int64{"a": 7}, false),
	Entry("one behind that has left the VM list", map[string]int64{"a": 7, "b": 7, "c": 1}, true),
)

// Guards against a lease that is taken for expired too early, and against a wait that
// starts again when a daemon joins.
var _ = It("measures lease expiry from the first time all daemons have caught up", func() {
	l := leaseExpiry{wait: 20 * time.Second}
	t := time.Now()
	Expect(l.passed(t, false)).To(BeFalse())
	Expect(l.passed(t.Add(time.Minute), true)).To(BeFalse())
	Expect(l.passed(t.Add(time.Minute+19*time.Second), true)).To(BeFalse())
	// A daemon that has joined the VM list since then is not caught up yet, but it
	// reads the current rows first and so does not renew the lease.
	Expect(l.passed(t.Add(time.Minute+20*time.Second), false)).To(BeTrue())
})

// Guards against a restart of a gang of which some members have no checkpoint.
var _ = DescribeTable("checkpoint of a gang", func(reports map[int]api.TaskReport, want jobs.Checkpoint, newer bool) {
	c := newCheckpoints(api.Job{ProgressMs: 5, Placement: make([]api.TaskPlacement, 2)})
	c.add(reports)
	Expect(c.gangCheckpoint()).To(Equal(want))
	Expect(c.allNewer()).To(Equal(newer))
},
	Entry("none", nil, jobs.Checkpoint{}, false),
	Entry("one member only", map[int]api.TaskReport{0: {CheckpointObject: "a", ProgressMs: 9}}, jobs.Checkpoint{}, false),
	Entry("least progress", map[int]api.TaskReport{0: {CheckpointObject: "a", ProgressMs: 9}, 1: {CheckpointObject: "b", ProgressMs: 8}}, jobs.Checkpoint{ProgressMs: 8, Tasks: []api.TaskCheckpoint{{Index: 0, Object: "a", ProgressMs: 9}, {Index: 1, Object: "b", ProgressMs: 8}}}, true),
	Entry("one member older", map[int]api.TaskReport{0: {CheckpointObject: "a", ProgressMs: 9}, 1: {CheckpointObject: "b", ProgressMs: 5}}, jobs.Checkpoint{ProgressMs: 5, Tasks: []api.TaskCheckpoint{{Index: 0, Object: "a", ProgressMs: 9}, {Index: 1, Object: "b", ProgressMs: 5}}}, false),
)

// Guards against a start under a confirmation that is no longer valid.
var _ = DescribeTable("confirmation right before a start", func(c configuration.Confirmation, age time.Duration, leading, want bool) {
	e := New(Config{Zone: "z", Leading: func() bool { return leading }})
	c.RequestedAt = time.Now().Add(-age)
	Expect(e.checkConfirmation(c) == nil).To(Equal(want))
},
	Entry("fresh", configuration.Confirmation{Zone: "z", State: api.In}, time.Second, true, true),
	Entry("too old", configuration.Confirmation{Zone: "z", State: api.In}, 2*time.Second, true, false),
	Entry("zone out", configuration.Confirmation{Zone: "z", State: api.Out}, time.Duration(0), true, false),
	Entry("other zone", configuration.Confirmation{Zone: "y", State: api.In}, time.Duration(0), true, false),
	Entry("not the planner", configuration.Confirmation{Zone: "z", State: api.In}, time.Duration(0), false, false),
)

// startRecorder records the start calls and answers none of them.
type startRecorder struct {
	refplatform.Workers
	mu     sync.Mutex
	jobIDs []string
	times  []time.Time
}

func (r *startRecorder) Start(_ context.Context, _ string, task api.StartTask) (api.StartReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobIDs, r.times = append(r.jobIDs, task.JobID), append(r.times, time.Now())
	return api.StartReply{}, context.DeadlineExceeded
}

// inServiceView confirms that the zone is in service.
type inServiceView struct{ configuration.View }

func (inServiceView) ConfirmZone(context.Context, string, time.Duration) (configuration.Confirmation, error) {
	return configuration.Confirmation{Zone: "z", State: api.In, RequestedAt: time.Now()}, nil
}

// fakeDirectory returns the name of each worker as its address.
type fakeDirectory struct{ VMDirectory }

func (fakeDirectory) Address(worker string) (string, bool) { return worker, true }

// Guards against a burst of starts when a zone returns to service, and against starts
// in the wrong order.
var _ = It("limits the starts per second and orders them by urgency and placement", func() {
	const perSecond, count = 40, 60
	workers := &startRecorder{}
	follower := jobs.NewFollower(jobs.FollowerConfig{})
	for i := range count {
		urgency := api.Batch
		if i == count-1 {
			urgency = api.Urgent
		}
		follower.Observe(api.Job{ID: fmt.Sprintf("j%02d", (i*37)%count), Urgency: urgency, Zone: "z", State: api.JobStatePlaced,
			PlacedMs: int64((i * 37) % count), Placement: []api.TaskPlacement{{Worker: "w"}}}, int64(i+1))
	}
	e := New(Config{Zone: "z", Follower: follower, Workers: workers, View: inServiceView{}, Directory: fakeDirectory{},
		Leading: func() bool { return true }, StartsPerSecond: perSecond, StartWait: time.Minute})
	ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
	defer cancel()
	Expect(e.Run(ctx)).To(Succeed())
	first := map[string]time.Time{}
	var order []string
	for i, id := range workers.jobIDs {
		if first[id].IsZero() {
			first[id] = workers.times[i]
			order = append(order, id)
		}
	}
	urgent := fmt.Sprintf("j%02d", ((count-1)*37)%count)
	Expect(order[:5]).To(ContainElement(urgent))
	last := order[len(order)-1]
	Expect(last).NotTo(Equal(urgent))
	// No burst: the first start, and 0.8 s of starts at the full rate after it.
	Expect(len(order)).To(BeNumerically("<=", perSecond*8/10+2))
	Expect(first[last].After(first["j00"])).To(BeTrue())
})

// slowStartWorkers delays start calls until slowUntil and records when each job is
// first released. It acknowledges no release.
type slowStartWorkers struct {
	refplatform.Workers
	slowUntil time.Time
	mu        sync.Mutex
	released  map[string]time.Time
}

func (s *slowStartWorkers) Start(context.Context, string, api.StartTask) (api.StartReply, error) {
	time.Sleep(time.Until(s.slowUntil))
	return api.StartReply{Accepted: true}, nil
}

func (s *slowStartWorkers) Act(_ context.Context, _ string, action api.TaskAction) ([]api.TaskReport, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _, _, _ := jobs.ParseTaskID(action.TaskIds[0])
	if _, again := s.released[id]; !again && action.Action == api.Release {
		s.released[id] = time.Now()
	}
	return nil, nil
}

func (fakeDirectory) RequestReport(string) {}

// Guards against a burst of releases after starts that were admitted one by one and
// then delayed by the workers.
var _ = It("limits the releases of starts that were delayed", func() {
	const perSecond, count, delay, observation = 40, 60, 500 * time.Millisecond, time.Second
	workers := &slowStartWorkers{slowUntil: time.Now().Add(delay), released: map[string]time.Time{}}
	follower := jobs.NewFollower(jobs.FollowerConfig{})
	for i := range count {
		follower.Observe(api.Job{ID: jobs.ID("org", fmt.Sprint(i)), Attempt: 1, Zone: "z", State: api.JobStatePlaced, PlacedMs: int64(i),
			Placement: []api.TaskPlacement{{Worker: "w"}}}, int64(i+1))
	}
	e := New(Config{Zone: "z", Follower: follower, Workers: workers, View: inServiceView{}, Directory: fakeDirectory{},
		Leading: func() bool { return true }, StartsPerSecond: perSecond, StartWait: time.Minute})
	ctx, cancel := context.WithTimeout(context.Background(), delay+observation)
	defer cancel()
	Expect(e.Run(ctx)).To(Succeed())
	Expect(len(workers.released)).To(BeNumerically(">", perSecond/2))
	Expect(len(workers.released)).To(BeNumerically("<=", perSecond+1))
})
