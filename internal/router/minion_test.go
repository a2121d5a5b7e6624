package router_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphirepath/samphirepath/internal/refplatform"
)

// fakeMinion is a back end with a limited number of slots.
type fakeMinion struct {
	mu                sync.Mutex
	id                string
	slots             int
	busy              int
	maxBusy           int
	calls             int
	serviceTime       time.Duration
	randomServiceTime bool   // draw service times from an exponential distribution
	mode              string // "", "fails", "broken", "refuses", "unreachable"
	runs              map[string]int
}

func (m *fakeMinion) run(ctx context.Context, request refplatform.MinionRequest) refplatform.MinionReply {
	m.mu.Lock()
	m.calls++
	mode, serviceTime := m.mode, m.serviceTime
	if m.randomServiceTime {
		serviceTime = time.Duration(float64(serviceTime) * rand.ExpFloat64())
	}
	if mode == "unreachable" || m.busy >= m.slots {
		reply := refplatform.MinionReply{Status: refplatform.MinionNotRun, Err: errDown}
		if mode != "unreachable" {
			reply.Code = 503
		}
		m.mu.Unlock()
		return reply
	}
	m.busy++
	m.maxBusy = max(m.maxBusy, m.busy)
	m.runs[string(request.Body)]++
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		m.busy--
		m.mu.Unlock()
	}()
	select {
	case <-time.After(serviceTime):
	case <-ctx.Done():
		return refplatform.MinionReply{Status: refplatform.MinionUnknown, Err: ctx.Err()}
	}
	switch mode {
	case "fails":
		return refplatform.MinionReply{Status: refplatform.MinionFailed, Code: 503}
	case "refuses":
		return refplatform.MinionReply{Status: refplatform.MinionFailed, Code: 422, Body: []byte("no")}
	case "broken":
		return refplatform.MinionReply{Status: refplatform.MinionUnknown, Err: errDown}
	}
	return refplatform.MinionReply{Status: refplatform.MinionRan, Code: 200, Body: append([]byte("answer to "), request.Body...)}
}

func (c *cluster) eachMinion(change func(*fakeMinion)) {
	for _, m := range c.minions {
		m.mu.Lock()
		change(m)
		m.mu.Unlock()
	}
}
