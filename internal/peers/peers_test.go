package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/samphirepath/samphirepath/api"
)

func TestPeers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peers")
}

var leaks goleak.Option

var _ = BeforeSuite(func() { leaks = goleak.IgnoreCurrent() })

var _ = AfterSuite(func() { Expect(goleak.Find(leaks)).To(Succeed()) })

// fakeVMs is a VM list that tests set.
type fakeVMs struct {
	mu   sync.Mutex
	list api.VMList
	down bool
}

func (f *fakeVMs) List(context.Context) (api.VMList, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return api.VMList{}, errors.New("list is down")
	}
	return f.list, nil
}

func (f *fakeVMs) set(vms ...api.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = api.VMList{Vms: vms, AsOfMs: f.list.AsOfMs + 1}
}

// node is a running mesh.
type node struct {
	*Mesh
	stop    func()
	address string
}

// startNode runs a mesh on a free local port. configure edits its configuration and
// setups run before it starts.
func startNode(vm string, configure func(*Config), setups ...func(*Mesh)) *node {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	config := Config{
		VM: vm, Zone: "a", Listen: address, Listener: listener, Token: "secret",
		VMListEvery: 20 * time.Millisecond, HeartbeatEvery: 25 * time.Millisecond, LostAfter: 250 * time.Millisecond,
	}
	if configure != nil {
		configure(&config)
	}
	mesh := New(config)
	mesh.Handle(KindJobHint, func(_ context.Context, from Member, e *api.PeerEnvelope) *api.PeerEnvelope {
		return &api.PeerEnvelope{JobHint: &api.PeerJobHint{JobID: e.JobHint.JobID + " from " + from.VM}}
	})
	for _, setup := range setups {
		setup(mesh)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- mesh.Run(ctx) }()
	stop := sync.OnceFunc(func() {
		cancel()
		Eventually(ended).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
	})
	DeferCleanup(stop)
	return &node{Mesh: mesh, stop: stop, address: address}
}

func seeds(addresses ...string) func(*Config) {
	return func(c *Config) { c.Seeds = addresses }
}

func hint(id string) api.PeerEnvelope {
	return api.PeerEnvelope{JobHint: &api.PeerJobHint{JobID: id}}
}

func (n *node) stateOf(vm string) func() State {
	return func() State { return n.member(vm).State }
}

func (n *node) call(vm string) func() CallStatus {
	return func() CallStatus {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		answer, status := n.Call(ctx, vm, hint("j"))
		if status == Answered {
			Expect(answer.JobHint.JobID).To(Equal("j from " + n.config.VM))
		}
		return status
	}
}

const waitLimit = 5 * time.Second

var _ = Describe("Mesh", func() {
	It("links daemons when only one side knows the address of the other", func() {
		for i, names := range [][2]string{{"a", "b"}, {"b", "a"}} {
			target := startNode(fmt.Sprintf("%s%d", names[0], i), nil)
			dialler := startNode(fmt.Sprintf("%s%d", names[1], i), seeds(target.address))
			Eventually(target.call(dialler.config.VM)).WithTimeout(waitLimit).Should(Equal(Answered))
			Eventually(dialler.call(target.config.VM)).WithTimeout(waitLimit).Should(Equal(Answered))
			Expect(target.LiveVMs("a")).To(HaveLen(2))
		}
	})

	It("completes calls while both daemons of a pair open a link", func() {
		list := &fakeVMs{}
		withList := func(c *Config) { c.VMs = list }
		nodes := []*node{startNode("a", withList), startNode("b", withList), startNode("c", withList)}
		list.set(listedVM("a", nodes[0].address, "1"), listedVM("b", nodes[1].address, "1"), listedVM("c", nodes[2].address, "1"))
		for _, n := range nodes {
			Eventually(func() []string { return n.LiveVMs("a") }).WithTimeout(waitLimit).Should(Equal([]string{"a", "b", "c"}))
		}
		for range 50 {
			Expect(nodes[2].call("a")()).To(Equal(Answered))
			Expect(nodes[0].call("c")()).To(Equal(Answered))
		}
	})

	It("sends a higher revision without waiting for the next heartbeat", func() {
		first := startNode("a", nil)
		slow := func(c *Config) {
			c.Seeds = []string{first.address}
			c.HeartbeatEvery = time.Second
			c.LostAfter = 3 * time.Second
		}
		second := startNode("b", slow)
		Eventually(first.call("b")).WithTimeout(waitLimit).Should(Equal(Answered))
		second.config.HighestRevision.Raise(7)
		Eventually(first.config.HighestRevision.Value).WithTimeout(300 * time.Millisecond).Should(Equal(int64(7)))
		Expect(first.member("b").Revision).To(Equal(int64(7)))
	})

	It("excludes a draining daemon from the live ones while calls to it are still answered", func() {
		first := startNode("a", nil)
		second := startNode("b", seeds(first.address))
		Eventually(first.call("b")).WithTimeout(waitLimit).Should(Equal(Answered))
		second.Drain()
		Expect(second.LiveVMs("a")).To(Equal([]string{"a"}))
		Eventually(first.stateOf("b")).WithTimeout(waitLimit).Should(Equal(Draining))
		Expect(first.LiveVMs("a")).To(Equal([]string{"a"}))
		Expect(first.call("b")()).To(Equal(Answered))
	})

	It("rejects a peer with a wrong token", func() {
		first := startNode("a", nil)
		second := startNode("b", func(c *Config) { c.Seeds = []string{first.address}; c.Token = "guess" })
		Consistently(first.stateOf("b")).WithTimeout(300 * time.Millisecond).Should(Equal(Silent))
		Expect(second.call("a")()).To(Equal(NotSent))
	})

	It("reports a peer as silent while its link drops all data and as live afterwards", func() {
		first := startNode("a", nil)
		proxy := newProxy(first.address)
		second := startNode("b", seeds(proxy.address))
		Eventually(first.call("b")).WithTimeout(waitLimit).Should(Equal(Answered))
		proxy.setDropping(true)
		Eventually(first.stateOf("b")).WithTimeout(waitLimit).Should(Equal(Silent))
		Eventually(second.stateOf("a")).WithTimeout(waitLimit).Should(Equal(Silent))
		proxy.setDropping(false)
		Eventually(first.call("b")).WithTimeout(waitLimit).Should(Equal(Answered))
		Expect(second.stateOf("a")()).To(Equal(Live))
	})

	It("reports a call as unanswered and reconnects when the link is cut within a frame", func() {
		first := startNode("a", nil)
		proxy := newProxy(first.address)
		second := startNode("b", seeds(proxy.address))
		Eventually(second.call("a")).WithTimeout(waitLimit).Should(Equal(Answered))
		proxy.cutAfter(100_000)
		body := make([]byte, 1<<20)
		_, status := second.Call(context.Background(), "a", api.PeerEnvelope{
			RequestForward: &api.PeerRequestForward{Request: api.RequestSubmit{Body: body}},
		})
		Expect(status).To(Equal(Unanswered))
		Eventually(second.call("a")).WithTimeout(waitLimit).Should(Equal(Answered))
	})

	It("keeps a peer live while one frame takes longer than the silence timeout", func() {
		// With LostAfter at 250 ms, pauses of the test machine made the peer silent.
		slowDetection := func(c *Config) { c.HeartbeatEvery, c.LostAfter = 80*time.Millisecond, 800*time.Millisecond }
		first := startNode("a", slowDetection)
		proxy := newProxy(first.address)
		second := startNode("b", func(c *Config) { slowDetection(c); c.Seeds = []string{proxy.address} })
		Eventually(second.call("a")).WithTimeout(waitLimit).Should(Equal(Answered))
		proxy.setDelay(10 * time.Millisecond) // 1 MiB takes more than 3 times the silence timeout of 800 ms
		start := time.Now()
		callStatus := make(chan CallStatus, 1)
		go func() {
			_, status := second.Call(context.Background(), "a", api.PeerEnvelope{
				RequestForward: &api.PeerRequestForward{Request: api.RequestSubmit{Body: make([]byte, 1<<20)}},
			})
			callStatus <- status
		}()
		for len(callStatus) == 0 {
			Expect(first.stateOf("b")()).To(Equal(Live))
			Expect(second.stateOf("a")()).To(Equal(Live))
			time.Sleep(5 * time.Millisecond)
		}
		Expect(<-callStatus).To(Equal(Answered))
		Expect(time.Since(start)).To(BeNumerically(">", 3*first.config.LostAfter))
	})

	It("handles no call twice and no call that was reported as not sent, while links are cut", func() {
		var mu sync.Mutex
		runs := map[string]int{}
		first := startNode("a", nil, func(m *Mesh) {
			m.Handle(KindRequestForward, func(_ context.Context, _ Member, e *api.PeerEnvelope) *api.PeerEnvelope {
				mu.Lock()
				defer mu.Unlock()
				runs[e.RequestForward.RequestID]++
				return &api.PeerEnvelope{RequestResult: &api.PeerRequestResult{RequestID: e.RequestForward.RequestID}}
			})
		})
		proxy := newProxy(first.address)
		second := startNode("b", seeds(proxy.address))
		Eventually(second.call("a")).WithTimeout(waitLimit).Should(Equal(Answered))
		statuses := map[string]CallStatus{}
		var group sync.WaitGroup
		end := time.Now().Add(2 * time.Second)
		for client := range 8 {
			group.Go(func() {
				defer GinkgoRecover()
				for i := 0; time.Now().Before(end); i++ {
					id := fmt.Sprint(client, ".", i)
					answer, status := second.Call(context.Background(), "a", api.PeerEnvelope{
						RequestForward: &api.PeerRequestForward{RequestID: id, Request: api.RequestSubmit{Body: make([]byte, 20_000)}},
					})
					if status == Answered {
						Expect(answer.RequestResult.RequestID).To(Equal(id), "answer to another call")
					}
					mu.Lock()
					statuses[id] = status
					mu.Unlock()
					time.Sleep(time.Millisecond)
				}
			})
		}
		for time.Now().Before(end) {
			proxy.cutAfter(150_000)
			time.Sleep(100 * time.Millisecond)
		}
		group.Wait()
		first.stop()
		counts := map[CallStatus]int{}
		for id, status := range statuses {
			counts[status]++
			switch status {
			case NotSent:
				Expect(runs[id]).To(BeZero(), id)
			case Answered:
				Expect(runs[id]).To(Equal(1), id)
			default:
				Expect(runs[id]).To(BeNumerically("<=", 1), id)
			}
		}
		Expect(counts[Answered]).To(BeNumerically(">", 0))
		Expect(counts[Unanswered]).To(BeNumerically(">", 0))
		AddReportEntry("calls by status", fmt.Sprint(counts))
	})

	It("sends small messages before queued bulk messages", func() {
		q := newQueue()
		Expect(q.push(&outgoingFrame{kind: KindRequestForward, data: make([]byte, maxQueuedBulkBytes+1)})).To(BeTrue())
		Expect(q.push(&outgoingFrame{kind: KindRequestForward, data: make([]byte, 1)})).To(BeFalse())
		Expect(q.push(&outgoingFrame{kind: kindHeartbeat})).To(BeTrue())
		Expect(q.pop(context.Background()).kind).To(Equal(kindHeartbeat))
		Expect(q.pop(context.Background()).kind).To(Equal(KindRequestForward))
		Expect(q.bulkBytes.Load()).To(BeZero())
	})

	It("delivers every answer although the queue is sometimes full", func() {
		const calls = 200
		body := make([]byte, 256<<10) // 200 answers are 12 times maxQueuedBulkBytes
		first := startNode("a", nil, func(m *Mesh) {
			m.Handle(KindRequestForward, func(context.Context, Member, *api.PeerEnvelope) *api.PeerEnvelope {
				return &api.PeerEnvelope{RequestResult: &api.PeerRequestResult{Result: api.RequestResult{Body: body}}}
			})
		})
		second := startNode("b", seeds(first.address))
		Eventually(second.call("a")).WithTimeout(waitLimit).Should(Equal(Answered))
		var group sync.WaitGroup
		for range calls {
			group.Go(func() {
				defer GinkgoRecover()
				answer, status := second.Call(context.Background(), "a", api.PeerEnvelope{RequestForward: &api.PeerRequestForward{}})
				for status == NotSent { // the queue of the caller is full
					answer, status = second.Call(context.Background(), "a", api.PeerEnvelope{RequestForward: &api.PeerRequestForward{}})
				}
				Expect(status).To(Equal(Answered))
				Expect(answer.RequestResult.Result.Body).To(HaveLen(len(body)))
			})
		}
		group.Wait()
		Expect(second.stateOf("a")()).To(Equal(Live))
	})

	It("answers a call of a kind without a handler with an empty message", func() {
		first := startNode("a", nil)
		second := startNode("b", seeds(first.address))
		Eventually(second.call("a")).WithTimeout(waitLimit).Should(Equal(Answered))
		answer, status := second.Call(context.Background(), "a", api.PeerEnvelope{TaskUpdate: &api.PeerTaskUpdate{}})
		Expect(status).To(Equal(Answered))
		Expect(answer.TaskUpdate).To(BeNil())
	})

	It("rejects an older process that resumes after its daemon was restarted", func() {
		first := startNode("a", nil)
		olderIncarnation, newerIncarnation := NewIncarnation(), NewIncarnation()
		frozen := startNode("b", func(c *Config) { c.Seeds = []string{first.address}; c.Incarnation = olderIncarnation })
		Eventually(first.call("b")).WithTimeout(waitLimit).Should(Equal(Answered))
		frozen.stop()
		restarted := startNode("b", func(c *Config) { c.Seeds = []string{first.address}; c.Incarnation = newerIncarnation })
		Eventually(func() string { return first.member("b").Incarnation }).WithTimeout(waitLimit).Should(Equal(newerIncarnation))
		resumed := startNode("b", func(c *Config) { c.Seeds = []string{first.address}; c.Incarnation = olderIncarnation })
		Consistently(func() string { return first.member("b").Incarnation }).WithTimeout(400 * time.Millisecond).Should(Equal(newerIncarnation))
		Expect(resumed.call("a")()).NotTo(Equal(Answered))
		Expect(restarted.call("a")()).To(Equal(Answered))
	})
})
