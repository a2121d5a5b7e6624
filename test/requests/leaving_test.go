package requests_test

import (
	"context"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/harness"
)

const (
	// leavingLimit is the time, in addition to the lag of the VM list, after which an
	// endpoint that is leaving must get no new work.
	leavingLimit = 2 * time.Second
	listLag      = 300 * time.Millisecond
	// observedTime is how long requests are sent after the limit.
	observedTime     = 800 * time.Millisecond
	sendersPerDaemon = 2
)

// loadDaemons sends short requests to all daemons until the context ends. The
// returned function waits for the answers.
func (tc *testCluster) loadDaemons(ctx context.Context) (wait func()) {
	var group sync.WaitGroup
	for i := range sendersPerDaemon * len(tc.Daemons) {
		group.Go(func() {
			for ctx.Err() == nil {
				spec := requestSpec{serviceTime: 5 * time.Millisecond, nonIdempotent: i%2 == 0}
				tc.submit(context.WithoutCancel(ctx), tc.Daemons[i%len(tc.Daemons)], newKey("leave"), spec)
			}
		})
	}
	return group.Wait
}

// startsAfter returns the number of executions that a minion started after a time.
func (tc *testCluster) startsAfter(minion string, after time.Time) int {
	ginkgo.GinkgoHelper()
	executions, err := tc.Standin.Executions()
	tc.Expect(err).NotTo(gomega.HaveOccurred())
	count := 0
	for _, e := range executions {
		if e.Minion == minion && e.StartedMs > after.UnixMilli() {
			count++
		}
	}
	return count
}

var (
	leavingMinionCases = newCaseTable(clusterConfig{daemons: 2, minions: 3, vmListLag: listLag})
	// With one minion, all daemons but its owner must forward. They would forward to
	// the leaving daemon if they still considered it the owner.
	leavingDaemonCases = newCaseTable(clusterConfig{daemons: 3, minions: 1, vmListLag: listLag})
)

// minionLeaves returns a case in which leave makes a minion under load leaving, by the
// VM list or by the minion's own header.
func minionLeaves(leave func(tc *testCluster, id string) error) func(tc *testCluster) {
	return func(tc *testCluster) {
		id := tc.minionID(1)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		wait := tc.loadDaemons(ctx)
		time.Sleep(200 * time.Millisecond)
		start := time.Now()
		tc.Expect(leave(tc, id)).To(gomega.Succeed())
		limit := start.Add(leavingLimit + listLag)
		time.Sleep(time.Until(limit.Add(observedTime)))
		stop()
		wait()
		tc.Expect(tc.startsAfter(id, start.Add(-time.Second))).To(gomega.BeNumerically(">", 0), "requests that the leaving minion started")
		tc.Expect(tc.startsAfter(tc.minionID(0), limit)).To(gomega.BeNumerically(">", 0), "requests that another minion started after the limit")
		report("leaving minion", "%d starts in the first 500 ms, %d after the limit", tc.startsAfter(id, start)-tc.startsAfter(id, start.Add(500*time.Millisecond)), tc.startsAfter(id, limit))
		tc.Expect(tc.startsAfter(id, limit)).To(gomega.BeZero())
		violations, err := tc.violations()
		tc.Expect(err).NotTo(gomega.HaveOccurred())
		tc.Expect(violations).To(gomega.BeEmpty())
	}
}

// Guards against new work on a minion that is leaving, whether the VM list or its
// own header says so, and also if the list later shows it as live again.
var _ = ginkgo.DescribeTable("a minion that is leaving gets no new work after 2 s and the lag of the list", leavingMinionCases.await,
	leavingMinionCases.entry("by the VM list", minionLeaves(func(tc *testCluster, id string) error {
		return tc.Standin.SetVMState(id, api.Leaving)
	})),
	leavingMinionCases.entry("by its own header", minionLeaves(func(tc *testCluster, id string) error {
		return tc.Standin.SetFaults(minionTarget(id), standin.Faults{Leaving: true})
	})),
	leavingMinionCases.entry("by the VM list, which says live again later", minionLeaves(func(tc *testCluster, id string) error {
		if err := tc.Standin.SetVMState(id, api.Leaving); err != nil {
			return err
		}
		time.Sleep(listLag + 5*refreshEvery)
		return tc.Standin.SetVMState(id, api.Live)
	})),
	leavingMinionCases.entry("by its own header, dropped from the list and listed as live again", minionLeaves(func(tc *testCluster, id string) error {
		if err := tc.Standin.SetFaults(minionTarget(id), standin.Faults{Leaving: true}); err != nil {
			return err
		}
		list, err := tc.Standin.VMs()
		if err != nil {
			return err
		}
		time.Sleep(5 * refreshEvery)
		if err := tc.Standin.RemoveVM(id); err != nil {
			return err
		}
		time.Sleep(listLag + 3*refreshEvery)
		for _, vm := range list.Vms {
			if vm.ID == id {
				return tc.Standin.PutVM(vm)
			}
		}
		return nil
	})),
	leavingMinionCases.entry("two faults: by its own header, and its owner killed", minionLeaves(func(tc *testCluster, id string) error {
		if err := tc.Standin.SetFaults(minionTarget(id), standin.Faults{Leaving: true}); err != nil {
			return err
		}
		time.Sleep(5 * refreshEvery)
		owner := tc.owner(context.Background(), id)
		if owner == nil {
			return eris.Errorf("no owner of %s", id)
		}
		return owner.Kill()
	})),
)

// checkNoForwards sends requests to a daemon for observedTime and returns an error if
// one does not run or is dispatched by the leaving daemon.
func (tc *testCluster) checkNoForwards(ctx context.Context, d, leaving *harness.Daemon, nonIdempotent bool) error {
	for until := time.Now().Add(observedTime); time.Now().Before(until); {
		answer := tc.submit(ctx, d, newKey("leave"), requestSpec{serviceTime: 5 * time.Millisecond, nonIdempotent: nonIdempotent})
		if answer.Outcome() != api.OutcomeRan || answer.Value.ServedBy == leaving.ID() {
			return eris.Errorf("request to %s did not run or was dispatched by the leaving daemon (dispatched by %s): %+v", d.ID(), answer.Value.ServedBy, answer)
		}
	}
	return nil
}

// daemonLeaves returns a case in which the VM list shows a daemon as leaving and, if
// liveAgain is set, later as live again.
func daemonLeaves(liveAgain bool) func(tc *testCluster) {
	return func(tc *testCluster) {
		leaving := tc.owner(context.Background(), tc.minionID(0))
		tc.Expect(leaving).NotTo(gomega.BeNil())
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		start := time.Now()
		tc.Expect(tc.Standin.SetVMState(leaving.ID(), api.Leaving)).To(gomega.Succeed())
		if liveAgain {
			time.Sleep(listLag + 5*refreshEvery)
			tc.Expect(tc.Standin.SetVMState(leaving.ID(), api.Live)).To(gomega.Succeed())
		}
		time.Sleep(time.Until(start.Add(leavingLimit + listLag)))
		var group errgroup.Group
		for i := range sendersPerDaemon * len(tc.Daemons) {
			if d := tc.Daemons[i%len(tc.Daemons)]; d != leaving {
				group.Go(func() error { return tc.checkNoForwards(ctx, d, leaving, i%2 == 0) })
			}
		}
		tc.Expect(group.Wait()).To(gomega.Succeed())
	}
}

// Guards against forwards to a daemon whose VM is leaving, also if the list later
// shows it as live again.
var _ = ginkgo.DescribeTable("a daemon that is leaving gets no forwards after 2 s and the lag of the list", leavingDaemonCases.await,
	leavingDaemonCases.entry("by the VM list", daemonLeaves(false)),
	leavingDaemonCases.entry("by the VM list, which says live again later", daemonLeaves(true)),
)
