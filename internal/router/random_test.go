package router_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/refplatform"
)

// syncRandom is a random source that is safe for concurrent use.
type syncRandom struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (r *syncRandom) pick(percent int, faults ...string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.random.IntN(100) >= percent {
		return ""
	}
	return faults[r.random.IntN(len(faults))]
}

// Guards against second runs, wrong refusals and answers of other requests when
// links, the table service, minions and a daemon fail together.
func TestRandomFaults(t *testing.T) {
	for round := range 4 {
		seed := rand.Uint64()
		t.Run(fmt.Sprint("round ", round), func(t *testing.T) {
			t.Logf("seed %d", seed)
			runRandomFaults(t, &syncRandom{random: rand.New(rand.NewPCG(seed, 0))})
		})
	}
}

func runRandomFaults(t *testing.T, random *syncRandom) {
	g := NewWithT(t)
	c := newCluster([]string{"a", "b", "b", "b"}, []string{"a", "b", "b", "b"})
	defer c.close()
	c.mu.Lock()
	c.callFault = func(*daemon, *daemon) string {
		return random.pick(30, "not sent", "call lost", "call late", "answer lost", "truncated", "altered", "mismatched")
	}
	c.storeFault = func(*daemon) string { return random.pick(20, "unavailable", "answer lost") }
	c.mu.Unlock()
	for _, d := range c.daemons {
		d.onSend = func(send func() refplatform.MinionReply) refplatform.MinionReply {
			switch random.pick(20, "not run", "broken") {
			case "not run":
				return refplatform.MinionReply{Status: refplatform.MinionNotRun, Err: errDown}
			case "broken":
				send()
				return refplatform.MinionReply{Status: refplatform.MinionUnknown, Err: errDown}
			}
			return send()
		}
	}
	c.eachMinion(func(m *fakeMinion) { m.serviceTime = 5 * time.Millisecond })
	var group sync.WaitGroup
	outcomes := make([]api.Outcome, 400)
	for i := range outcomes {
		time.Sleep(time.Millisecond)
		if i == len(outcomes)/2 {
			c.daemons[3].kill()
		}
		key, body := fmt.Sprint("key", i), fmt.Sprint("body", i)
		claimed := i%4 != 0
		submit := func(d *daemon, outcome *api.Outcome) {
			reply := d.submit(key, body, claimed, 300*time.Millisecond)
			if *outcome = reply.Result.Outcome; *outcome == api.OutcomeRan {
				g.Expect(string(reply.Result.Body)).To(Equal("answer to " + body))
			}
		}
		group.Go(func() { submit(c.daemons[i%3], &outcomes[i]) })
		if i%8 == 1 { // the same key through another daemon at the same time
			group.Go(func() { submit(c.daemons[(i+1)%3], new(api.Outcome)) })
		}
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond) // for requests that still run after their caller has returned
	counts := map[api.Outcome]int{}
	for i, outcome := range outcomes {
		counts[outcome]++
		runs := c.runs(fmt.Sprint("body", i))
		if i%4 != 0 {
			g.Expect(runs).To(BeNumerically("<=", 1), "request %d", i)
		}
		if outcome == api.OutcomeNotRun && i%8 != 1 {
			g.Expect(runs).To(BeZero(), "request %d", i)
		}
	}
	t.Logf("outcomes: %v", counts)
	g.Expect(counts[api.OutcomeRan]).To(BeNumerically(">", len(outcomes)/4), "%v", counts)
}
