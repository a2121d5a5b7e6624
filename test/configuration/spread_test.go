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

// change makes the next change through the first daemon.
func change(ctx context.Context) int64 {
	GinkgoHelper()
	expected := stored(ctx)
	status, out := apply(ctx, cluster.Daemons[0], expected, nextMark())
	Expect(status).To(Equal(http.StatusOK), out.Detail)
	Expect(out.Revision).To(Equal(expected + 1))
	return out.Revision
}

// enforces checks that a daemon refuses more than the quota of the last change.
func enforces(ctx context.Context, d *harness.Daemon) {
	GinkgoHelper()
	// The zone does not exist, so that no job is accepted even within the quota.
	submit := func(accelerators int) string {
		var out api.Problem
		client.Do(ctx, readWait, http.MethodPost, d.CallersURL()+"/v1/jobs", lastMark.token(), api.JobSpec{
			Key: fmt.Sprintf("quota-%d-%d", lastMark, accelerators), Name: "quota", Entry: "refits", Tasks: 1,
			Resources: api.Resources{Accelerators: accelerators}, Zones: []string{"nowhere"},
		}, &out)
		return out.Detail
	}
	Expect(submit(int(lastMark) + 1)).To(ContainSubstring("quota of %d", lastMark))
	Expect(submit(int(lastMark))).To(ContainSubstring("does not exist"))
}

func platformCut(d *harness.Daemon) {
	cluster.Proxies[d.ID()].SetPlatformFaults(faultproxy.Faults{Cut: true})
}

// fault begins before a change.
type fault struct {
	begin func(ctx context.Context)
	// reached lists the daemons on which the change is in force during the fault.
	reached []int
	// lasts is how long the fault goes on after the change.
	lasts time.Duration
	// wake ends what heal does not end.
	wake func(ctx context.Context)
}

const (
	// longerThanLost is longer than the time after which daemons of another zone
	// count a silent daemon as lost.
	longerThanLost = 4500 * time.Millisecond
	// lateAnswer is longer than several changes of a burst.
	lateAnswer = 150 * time.Millisecond
	burst      = 50
	burstPause = 25 * time.Millisecond
)

var everyone = []int{0, 1, 2, 3}

var _ = Describe("an accepted change", func() {
	DescribeTable("is in force on every daemon within seconds",
		func(ctx SpecContext, f fault) {
			if f.begin != nil {
				f.begin(ctx)
			}
			revision := change(ctx)
			var reached []*harness.Daemon
			for _, i := range f.reached {
				reached = append(reached, cluster.Daemons[i])
			}
			during := awaitInForce(ctx, revision, reached...)
			for _, d := range reached {
				enforces(ctx, d)
			}
			time.Sleep(f.lasts)
			if !slices.Contains(f.reached, 2) && cluster.Daemons[2].Running() {
				Expect(held(ctx, cluster.Daemons[2])).To(BeNumerically("<", revision), "the fault did not reach the daemon")
			}
			heal()
			if f.wake != nil {
				f.wake(ctx)
			}
			after := awaitInForce(ctx, revision, cluster.Daemons...)
			for _, d := range cluster.Daemons {
				enforces(ctx, d)
			}
			AddReportEntry("in force", fmt.Sprintf("%s during the fault, %s after it", during.Round(time.Millisecond), after.Round(time.Millisecond)))
		},
		Entry("without faults", fault{reached: everyone}),
		Entry("when a daemon is cut off from the store", fault{reached: everyone, begin: func(context.Context) {
			cluster.Proxies[cluster.Daemons[2].ID()].Table.Set(faultproxy.Faults{Cut: true})
		}}),
		Entry("when the store does not answer a daemon", fault{reached: everyone, begin: func(context.Context) {
			cluster.Proxies[cluster.Daemons[2].ID()].Table.Set(faultproxy.HoldBoth())
		}}),
		Entry("when three daemons are cut off from the platform", fault{reached: everyone, begin: func(context.Context) {
			for _, d := range cluster.Daemons[1:] {
				platformCut(d)
			}
		}}),
		Entry("when the store is slow", fault{reached: everyone, begin: func(context.Context) {
			Expect(cluster.Standin.SetFaults(standin.TargetTable, standin.Faults{DelayMs: 400})).To(Succeed())
		}}),
		Entry("when a daemon is frozen and woken", fault{reached: []int{0, 1, 3}, lasts: longerThanLost,
			begin: func(context.Context) { Expect(cluster.Daemons[2].Pause()).To(Succeed()) }}),
		Entry("when a daemon is killed and replaced", fault{reached: []int{0, 1, 3},
			begin: func(context.Context) { Expect(cluster.Daemons[2].Kill()).To(Succeed()) },
			wake:  func(context.Context) { Expect(cluster.ReplaceDaemon(cluster.Daemons[2])).To(Succeed()) }}),
		Entry("when a zone is cut off from everything and healed", fault{reached: []int{0, 1}, lasts: longerThanLost, begin: func(context.Context) {
			for i, d := range cluster.Daemons {
				cluster.Proxies[d.ID()].Peers.Set(faultproxy.Faults{Cut: true})
				if i > 1 {
					platformCut(d)
				}
			}
		}}),
		Entry("when a daemon starts cut off from the store", fault{reached: everyone, begin: func(context.Context) {
			d := cluster.Daemons[2]
			Expect(d.Kill()).To(Succeed())
			cluster.Proxies[d.ID()].Table.Set(faultproxy.Faults{Cut: true})
			cluster.Proxies[d.ID()].Objects.Set(faultproxy.Faults{Cut: true})
			Expect(cluster.ReplaceDaemon(d)).To(Succeed())
		}}),
		Entry("when a daemon starts cut off from the whole platform and knows a peer", fault{reached: everyone, begin: func(context.Context) {
			d := cluster.Daemons[2]
			Expect(d.Kill()).To(Succeed())
			platformCut(d)
			d.Settings.Peers.Seeds = []string{cluster.Proxies[cluster.Daemons[3].ID()].Peers.Address()}
			Expect(cluster.ReplaceDaemon(d)).To(Succeed())
		}}),
	)

	// A head that was read before a newer one came from a peer must not replace it.
	DescribeTable("is not replaced by an older one that arrives late",
		func(ctx SpecContext, fromStore, fromPeers faultproxy.Faults) {
			p := cluster.Proxies[cluster.Daemons[2].ID()]
			p.Table.Set(fromStore)
			p.Peers.Set(fromPeers)
			for _, d := range cluster.Daemons[3:] { // the peer in the same zone is asked first
				cluster.Proxies[d.ID()].Peers.Set(fromPeers)
			}
			var last int64
			for range burst {
				last = change(ctx)
				time.Sleep(burstPause)
			}
			heal()
			awaitInForce(ctx, last, cluster.Daemons...)
			Consistently(func() int64 { return held(ctx, cluster.Daemons[2]) }, 2*lateAnswer, pollEvery).Should(Equal(last))
		},
		Entry("from the store", faultproxy.Faults{Delay: lateAnswer}, faultproxy.Faults{}),
		Entry("from peers", faultproxy.Faults{}, faultproxy.Faults{Delay: lateAnswer}),
		Entry("from the store and from peers", faultproxy.Faults{Delay: lateAnswer / 2}, faultproxy.Faults{Delay: lateAnswer}),
	)

	It("stays in force while the store is down, and the next one is refused as not run", func(ctx SpecContext) {
		revision := change(ctx)
		awaitInForce(ctx, revision, cluster.Daemons...)
		Expect(cluster.Standin.SetFaults(standin.TargetTable, standin.Faults{Down: true})).To(Succeed())
		kept := lastMark
		for _, d := range cluster.Daemons {
			status, out := apply(ctx, d, revision, kept+1)
			Expect(status).To(Equal(http.StatusServiceUnavailable))
			Expect(out.Outcome).To(Equal(api.OutcomeNotRun))
			Expect(held(ctx, d)).To(Equal(revision))
			enforces(ctx, d)
		}
		// A daemon that starts now has only its peers.
		restarted := cluster.Daemons[3]
		Expect(restarted.Kill()).To(Succeed())
		Expect(cluster.ReplaceDaemon(restarted)).To(Succeed())
		awaitInForce(ctx, revision, restarted)
		enforces(ctx, restarted)
		heal()
		Expect(stored(ctx)).To(Equal(revision), "a change that was answered as not run has taken effect")
		awaitInForce(ctx, change(ctx), cluster.Daemons...)
	})
})

var _ = Describe("a zone taken out", func() {
	// A daemon that starts work by an old zone state breaks the promise to operators.
	DescribeTable("starts nothing until it is back",
		func(ctx SpecContext, begin func()) {
			begin()
			awaitInForce(ctx, change(ctx), cluster.Daemons...)
			awaitInForce(ctx, changeZone(ctx, cluster.Daemons[0], zoneFar, api.Out), cluster.Daemons...)
			var job api.Job
			Expect(client.Do(ctx, writeWait, http.MethodPost, cluster.Daemons[0].CallersURL()+"/v1/jobs", lastMark.token(), api.JobSpec{
				Key: fmt.Sprintf("zone-%d", lastMark), Name: "zone", Entry: "refits", Tasks: 1, Zones: []string{zoneFar},
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
			Eventually(started, 2*inForceWait, pollEvery).Should(BeTrue())
		},
		Entry("with a healthy store", func() {}),
		Entry("with one of its daemons cut off from the store", func() {
			cluster.Proxies[cluster.Daemons[2].ID()].Table.Set(faultproxy.Faults{Cut: true})
		}),
	)
})

var _ = ReportAfterSuite("observer", func(Report) {
	if observed != nil {
		fmt.Fprintf(GinkgoWriter, "observations: %d\n", observed.observations())
	}
})
