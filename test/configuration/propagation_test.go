package configuration

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/client"
	"github.com/samphirepath/samphirepath/test/faultproxy"
	"github.com/samphirepath/samphirepath/test/harness"
)

// applyNext applies the next change through the first daemon and returns its revision.
func applyNext(ctx context.Context) int64 {
	GinkgoHelper()
	expected := storedRevision(ctx)
	status, out := apply(ctx, cluster.Daemons[0], expected, nextChange())
	Expect(status).To(Equal(http.StatusOK), out.Detail)
	Expect(out.Revision).To(Equal(expected + 1))
	return out.Revision
}

// checkEnforced checks that a daemon enforces the quota of the last change exactly.
func checkEnforced(ctx context.Context, d *harness.Daemon) {
	GinkgoHelper()
	// The job names a zone that does not exist, so that it is refused even within the
	// quota.
	submit := func(accelerators int) string {
		var out api.Problem
		client.Do(ctx, readTimeout, http.MethodPost, d.CallersURL()+"/v1/jobs", lastChange.token(), api.JobSpec{
			Key: fmt.Sprintf("quota-%d-%d", lastChange, accelerators), Name: "quota", Entry: "refits", Tasks: 1,
			Resources: api.Resources{Accelerators: accelerators}, Zones: []string{"nowhere"},
		}, &out)
		return out.Detail
	}
	Expect(submit(int(lastChange) + 1)).To(ContainSubstring("quota of %d", lastChange))
	Expect(submit(int(lastChange))).To(ContainSubstring("does not exist"))
}

func cutPlatform(d *harness.Daemon) {
	cluster.Proxies[d.ID()].SetPlatformFaults(faultproxy.Faults{Cut: true})
}

// fault is a fault that begins before a change.
type fault struct {
	inject func(ctx context.Context) // nil means no fault
	// reachable lists the daemons on which the change must be in force during the fault.
	reachable []int
	// duration is how long the fault lasts after the change is in force on the reachable
	// daemons; 0 means that it ends at once.
	duration time.Duration
	// restore ends the part of the fault that clearFaults does not end; nil means none.
	restore func(ctx context.Context)
}

const (
	// peerLossTime is longer than the time after which the daemons of another zone
	// consider a silent daemon lost.
	peerLossTime = 4500 * time.Millisecond
	// answerDelay spans several changes of a burst, so that delayed answers are outdated.
	answerDelay  = 150 * time.Millisecond
	burstChanges = 50
	burstPause   = 25 * time.Millisecond
)

var allDaemons = []int{0, 1, 2, 3}

var _ = Describe("an accepted change", func() {
	// Guards against daemons that keep an old configuration, or report a new revision without
	// enforcing it, while a fault separates them from the store or from their peers.
	DescribeTable("is in force on every daemon within seconds",
		func(ctx SpecContext, f fault) {
			if f.inject != nil {
				f.inject(ctx)
			}
			revision := applyNext(ctx)
			var daemons []*harness.Daemon
			for _, i := range f.reachable {
				daemons = append(daemons, cluster.Daemons[i])
			}
			during := awaitInForce(ctx, revision, daemons...)
			for _, d := range daemons {
				checkEnforced(ctx, d)
			}
			time.Sleep(f.duration)
			if !slices.Contains(f.reachable, 2) && cluster.Daemons[2].Running() {
				Expect(revisionInForce(ctx, cluster.Daemons[2])).To(BeNumerically("<", revision), "the fault did not affect the daemon")
			}
			clearFaults()
			if f.restore != nil {
				f.restore(ctx)
			}
			after := awaitInForce(ctx, revision, cluster.Daemons...)
			for _, d := range cluster.Daemons {
				checkEnforced(ctx, d)
			}
			AddReportEntry("in force", fmt.Sprintf("%s during the fault, %s after it", during.Round(time.Millisecond), after.Round(time.Millisecond)))
		},
		Entry("without faults", fault{reachable: allDaemons}),
		Entry("when a daemon is cut off from the store", fault{reachable: allDaemons, inject: func(context.Context) {
			cluster.Proxies[cluster.Daemons[2].ID()].Table.Set(faultproxy.Faults{Cut: true})
		}}),
		Entry("when the store does not answer a daemon", fault{reachable: allDaemons, inject: func(context.Context) {
			cluster.Proxies[cluster.Daemons[2].ID()].Table.Set(faultproxy.HoldBoth())
		}}),
		Entry("when three daemons are cut off from the platform", fault{reachable: allDaemons, inject: func(context.Context) {
			for _, d := range cluster.Daemons[1:] {
				cutPlatform(d)
			}
		}}),
		Entry("when the store is slow", fault{reachable: allDaemons, inject: func(context.Context) {
			Expect(cluster.Standin.SetFaults(standin.TargetTable, standin.Faults{DelayMs: 400})).To(Succeed())
		}}),
		Entry("when a daemon is paused and resumed", fault{reachable: []int{0, 1, 3}, duration: peerLossTime,
			inject: func(context.Context) { Expect(cluster.Daemons[2].Pause()).To(Succeed()) }}),
		Entry("when a daemon is killed and replaced", fault{reachable: []int{0, 1, 3},
			inject:  func(context.Context) { Expect(cluster.Daemons[2].Kill()).To(Succeed()) },
			restore: func(context.Context) { Expect(cluster.ReplaceDaemon(cluster.Daemons[2])).To(Succeed()) }}),
		Entry("when a zone is cut off from everything and healed", fault{reachable: []int{0, 1}, duration: peerLossTime, inject: func(context.Context) {
			for i, d := range cluster.Daemons {
				cluster.Proxies[d.ID()].Peers.Set(faultproxy.Faults{Cut: true})
				if i > 1 {
					cutPlatform(d)
				}
			}
		}}),
		Entry("when a daemon starts cut off from the store", fault{reachable: allDaemons, inject: func(context.Context) {
			d := cluster.Daemons[2]
			Expect(d.Kill()).To(Succeed())
			cluster.Proxies[d.ID()].Table.Set(faultproxy.Faults{Cut: true})
			cluster.Proxies[d.ID()].Objects.Set(faultproxy.Faults{Cut: true})
			Expect(cluster.ReplaceDaemon(d)).To(Succeed())
		}}),
		Entry("when a daemon starts cut off from the whole platform and knows a peer", fault{reachable: allDaemons, inject: func(context.Context) {
			d := cluster.Daemons[2]
			Expect(d.Kill()).To(Succeed())
			cutPlatform(d)
			d.Settings.Peers.Seeds = []string{cluster.Proxies[cluster.Daemons[3].ID()].Peers.Address()}
			Expect(cluster.ReplaceDaemon(d)).To(Succeed())
		}}),
	)

	// Guards against a return to an older configuration: a head that was read before a
	// newer one arrived from a peer must not replace it.
	DescribeTable("is not replaced by an older one that arrives late",
		func(ctx SpecContext, fromStore, fromPeers faultproxy.Faults) {
			p := cluster.Proxies[cluster.Daemons[2].ID()]
			p.Table.Set(fromStore)
			p.Peers.Set(fromPeers)
			for _, d := range cluster.Daemons[3:] { // the peer in the same zone, which is asked first
				cluster.Proxies[d.ID()].Peers.Set(fromPeers)
			}
			var last int64
			for range burstChanges {
				last = applyNext(ctx)
				time.Sleep(burstPause)
			}
			clearFaults()
			awaitInForce(ctx, last, cluster.Daemons...)
			Consistently(func() int64 { return revisionInForce(ctx, cluster.Daemons[2]) }, 2*answerDelay, pollEvery).Should(Equal(last))
		},
		Entry("from the store", faultproxy.Faults{Delay: answerDelay}, faultproxy.Faults{}),
		Entry("from peers", faultproxy.Faults{}, faultproxy.Faults{Delay: answerDelay}),
		Entry("from the store and from peers", faultproxy.Faults{Delay: answerDelay / 2}, faultproxy.Faults{Delay: answerDelay}),
	)

	// Guards against daemons that lose the configuration with the store, and against
	// changes that are answered as not run and take effect later.
	It("stays in force while the store is down, and the next one is refused as not run", func(ctx SpecContext) {
		revision := applyNext(ctx)
		awaitInForce(ctx, revision, cluster.Daemons...)
		Expect(cluster.Standin.SetFaults(standin.TargetTable, standin.Faults{Down: true})).To(Succeed())
		latest := lastChange
		for _, d := range cluster.Daemons {
			status, out := apply(ctx, d, revision, latest+1)
			Expect(status).To(Equal(http.StatusServiceUnavailable))
			Expect(out.Outcome).To(Equal(api.OutcomeNotRun))
			Expect(revisionInForce(ctx, d)).To(Equal(revision))
			checkEnforced(ctx, d)
		}
		// A daemon that starts now can read the configuration only from its peers.
		restarted := cluster.Daemons[3]
		Expect(restarted.Kill()).To(Succeed())
		Expect(cluster.ReplaceDaemon(restarted)).To(Succeed())
		awaitInForce(ctx, revision, restarted)
		checkEnforced(ctx, restarted)
		clearFaults()
		Expect(storedRevision(ctx)).To(Equal(revision), "a change that was answered as not run has taken effect")
		awaitInForce(ctx, applyNext(ctx), cluster.Daemons...)
	})
})

var _ = Describe("a zone out of service", func() {
	// Guards against tasks that are started in a zone out of service by a daemon with an
	// old zone state.
	DescribeTable("starts no task until it is back in service",
		func(ctx SpecContext, inject func()) {
			inject()
			awaitInForce(ctx, applyNext(ctx), cluster.Daemons...)
			awaitInForce(ctx, changeZone(ctx, cluster.Daemons[0], zoneFar, api.Out), cluster.Daemons...)
			var job api.Job
			Expect(client.Do(ctx, writeTimeout, http.MethodPost, cluster.Daemons[0].CallersURL()+"/v1/jobs", lastChange.token(), api.JobSpec{
				Key: fmt.Sprintf("zone-%d", lastChange), Name: "zone", Entry: "refits", Tasks: 1, Zones: []string{zoneFar},
				Resources: api.Resources{Cores: 1}, Parameters: map[string]string{standin.ParamRunMs: "100"},
			}, &job)).To(Equal(http.StatusCreated))
			started := func() bool {
				tasks, err := cluster.Standin.Tasks()
				Expect(err).NotTo(HaveOccurred())
				for _, t := range tasks {
					if t.JobID == job.ID && t.ReleasedMs > 0 {
						return true
					}
				}
				return false
			}
			Consistently(started, 2*time.Second, 10*pollEvery).Should(BeFalse())
			changeZone(ctx, cluster.Daemons[1], zoneFar, api.In)
			Eventually(started, 2*inForceTimeout, pollEvery).Should(BeTrue())
		},
		Entry("with a healthy store", func() {}),
		Entry("with one of its daemons cut off from the store", func() {
			cluster.Proxies[cluster.Daemons[2].ID()].Table.Set(faultproxy.Faults{Cut: true})
		}),
	)
})

var _ = ReportAfterSuite("observer", func(Report) {
	if revisionObserver != nil {
		fmt.Fprintf(GinkgoWriter, "observations: %d\n", revisionObserver.observations())
	}
})
