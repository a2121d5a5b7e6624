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
	// leaveLimit is the time after which an endpoint that is leaving gets no new
	// work, beside the lag of the VM list.
	leaveLimit = 2 * time.Second
	listLag    = 300 * time.Millisecond
	// watchTime is how long work is sent after the limit.
	watchTime    = 800 * time.Millisecond
	leaveSenders = 2
)

// loadDaemons sends short requests through all daemons until the context ends.
func (r *rig) loadDaemons(ctx context.Context) (wait func()) {
	var group sync.WaitGroup
	for i := range leaveSenders * len(r.Daemons) {
		group.Go(func() {
			for ctx.Err() == nil {
				c := call{takes: 5 * time.Millisecond, nonIdempotent: i%2 == 0}
				r.submit(context.WithoutCancel(ctx), r.Daemons[i%len(r.Daemons)], newKey("leave"), c)
			}
		})
	}
	return group.Wait
}

// lateStarts counts the executions that a minion began after a time.
func (r *rig) lateStarts(minion string, after time.Time) int {
	ginkgo.GinkgoHelper()
	executions, err := r.Standin.Executions()
	r.Expect(err).NotTo(gomega.HaveOccurred())
	late := 0
	for _, e := range executions {
		if e.Minion == minion && e.StartedMs > after.UnixMilli() {
			late++
		}
	}
	return late
}

var (
	minionCases = newCases(size{daemons: 2, minions: 3, vmListLag: listLag})
	// With one minion the other daemons must forward, to the leaving one if they
	// still took it for the owner.
	daemonCases = newCases(size{daemons: 3, minions: 1, vmListLag: listLag})
)

// leaveBy lets a minion leave under load.
func leaveBy(leave func(r *rig, id string) error) func(r *rig) {
	return func(r *rig) {
		id := r.minionID(1)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		wait := r.loadDaemons(ctx)
		time.Sleep(200 * time.Millisecond)
		began := time.Now()
		r.Expect(leave(r, id)).To(gomega.Succeed())
		limit := began.Add(leaveLimit + listLag)
		time.Sleep(time.Until(limit.Add(watchTime)))
		stop()
		wait()
		r.Expect(r.lateStarts(id, began.Add(-time.Second))).To(gomega.BeNumerically(">", 0), "the minion had work before")
		r.Expect(r.lateStarts(r.minionID(0), limit)).To(gomega.BeNumerically(">", 0), "others had work after")
		report("leaving minion", "%d starts in the first 500 ms, %d after the limit", r.lateStarts(id, began)-r.lateStarts(id, began.Add(500*time.Millisecond)), r.lateStarts(id, limit))
		r.Expect(r.lateStarts(id, limit)).To(gomega.BeZero())
		violations, err := r.violations()
		r.Expect(err).NotTo(gomega.HaveOccurred())
		r.Expect(violations).To(gomega.BeEmpty())
	}
}

// Guards against new work on a minion that is leaving, however it says so.
var _ = ginkgo.DescribeTable("a minion that is leaving gets no new work after 2 s and the lag of the list", minionCases.await,
	minionCases.entry("by the VM list", leaveBy(func(r *rig, id string) error {
		return r.Standin.SetVMState(id, api.Leaving)
	})),
	minionCases.entry("by its own header", leaveBy(func(r *rig, id string) error {
		return r.Standin.SetFaults(minionTarget(id), standin.Faults{Leaving: true})
	})),
	minionCases.entry("by the VM list, which says live again later", leaveBy(func(r *rig, id string) error {
		if err := r.Standin.SetVMState(id, api.Leaving); err != nil {
			return err
		}
		time.Sleep(listLag + 5*followEvery)
		return r.Standin.SetVMState(id, api.Live)
	})),
	minionCases.entry("by its own header, dropped from the list and listed as live again", leaveBy(func(r *rig, id string) error {
		if err := r.Standin.SetFaults(minionTarget(id), standin.Faults{Leaving: true}); err != nil {
			return err
		}
		list, err := r.Standin.VMs()
		if err != nil {
			return err
		}
		time.Sleep(5 * followEvery)
		if err := r.Standin.RemoveVM(id); err != nil {
			return err
		}
		time.Sleep(listLag + 3*followEvery)
		for _, vm := range list.Vms {
			if vm.ID == id {
				return r.Standin.PutVM(vm)
			}
		}
		return nil
	})),
	minionCases.entry("two faults: by its own header, and its owner killed", leaveBy(func(r *rig, id string) error {
		if err := r.Standin.SetFaults(minionTarget(id), standin.Faults{Leaving: true}); err != nil {
			return err
		}
		time.Sleep(5 * followEvery)
		owner := r.owner(context.Background(), id)
		if owner == nil {
			return eris.Errorf("no owner of %s", id)
		}
		return owner.Kill()
	})),
)

// avoids sends requests through a daemon and expects that another than the
// leaving one dispatches them.
func (r *rig) avoids(ctx context.Context, d, leaving *harness.Daemon, nonIdempotent bool) error {
	for until := time.Now().Add(watchTime); time.Now().Before(until); {
		answer := r.submit(ctx, d, newKey("leave"), call{takes: 5 * time.Millisecond, nonIdempotent: nonIdempotent})
		if answer.Outcome() != api.OutcomeRan || answer.Value.ServedBy == leaving.ID() {
			return eris.Errorf("%s forwarded to %s: %+v", d.ID(), answer.Value.ServedBy, answer)
		}
	}
	return nil
}

// daemonLeaves lists a daemon as leaving, and later as live again.
func daemonLeaves(liveAgain bool) func(r *rig) {
	return func(r *rig) {
		leaving := r.owner(context.Background(), r.minionID(0))
		r.Expect(leaving).NotTo(gomega.BeNil())
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		began := time.Now()
		r.Expect(r.Standin.SetVMState(leaving.ID(), api.Leaving)).To(gomega.Succeed())
		if liveAgain {
			time.Sleep(listLag + 5*followEvery)
			r.Expect(r.Standin.SetVMState(leaving.ID(), api.Live)).To(gomega.Succeed())
		}
		time.Sleep(time.Until(began.Add(leaveLimit + listLag)))
		var group errgroup.Group
		for i := range leaveSenders * len(r.Daemons) {
			if d := r.Daemons[i%len(r.Daemons)]; d != leaving {
				group.Go(func() error { return r.avoids(ctx, d, leaving, i%2 == 0) })
			}
		}
		r.Expect(group.Wait()).To(gomega.Succeed())
	}
}

// Guards against forwards to a daemon whose VM is leaving.
var _ = ginkgo.DescribeTable("a daemon that is leaving gets no forwards after 2 s and the lag of the list", daemonCases.await,
	daemonCases.entry("by the VM list", daemonLeaves(false)),
	daemonCases.entry("by the VM list, which says live again later", daemonLeaves(true)),
)
