package configuration

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/faultproxy"
	"github.com/samphirepath/samphirepath/test/harness"
)

const raceRounds = 6

// raceOperators lets one operator per daemon make a change on the same revision, while
// another one reads through that daemon. It returns the number of answers by status.
func raceOperators(ctx context.Context, h *history, expected int64) map[int]int {
	var group sync.WaitGroup
	var mu sync.Mutex
	counts := map[int]int{}
	for i, d := range cluster.Daemons {
		id := nextChange()
		group.Go(func() {
			called := time.Now()
			status, out := apply(ctx, d, expected, id)
			result := observation{status: status, revision: out.Revision}
			if status == http.StatusConflict {
				result.revision = out.CurrentRevision
			}
			h.record(i, called, operation{write: true, expected: expected}, result)
			mu.Lock()
			defer mu.Unlock()
			counts[status]++
		})
		group.Go(func() { recordRead(ctx, h, len(cluster.Daemons)+i, d) })
	}
	group.Wait()
	return counts
}

func recordRead(ctx context.Context, h *history, operator int, d *harness.Daemon) {
	called := time.Now()
	if revision, ok := readStored(ctx, d); ok {
		h.record(operator, called, operation{}, observation{status: http.StatusOK, revision: revision})
	}
}

var _ = Describe("operators who make concurrent changes", func() {
	// Guards against lost updates: if two changes on the same revision were accepted, one
	// would silently undo the other.
	DescribeTable("one change is accepted and the others are refused with the current revision",
		func(ctx SpecContext, faults standin.Faults) {
			Expect(cluster.Standin.SetFaults(standin.TargetTable, faults)).To(Succeed())
			base := storedRevision(ctx)
			h := newHistory(base)
			for range raceRounds {
				expected := storedRevision(ctx)
				counts := raceOperators(ctx, h, expected)
				Expect(counts[http.StatusOK]).To(Equal(1), "%v", counts)
				Expect(counts[http.StatusConflict]).To(Equal(len(cluster.Daemons)-1), "%v", counts)
				Expect(storedRevision(ctx)).To(Equal(expected + 1))
			}
			Expect(h.check()).To(Equal(porcupine.Ok))
			awaitInForce(ctx, base+raceRounds, cluster.Daemons...)
		},
		Entry("with a healthy store", standin.Faults{}),
		Entry("with a slow store", standin.Faults{DelayMs: 100}),
		Entry("with a store that loses every second answer", standin.Faults{LoseEvery: 2}),
		Entry("with a store that loses answers by chance", standin.Faults{LoseProbability: 0.5, DelayMs: 20}),
	)

	// Guards against changes that take effect twice: when a daemon is killed, the outcome of
	// its change is unknown, and the change must take effect once or not at all.
	It("keeps the history linearizable while daemons are killed and paused", func(ctx SpecContext) {
		h := newHistory(storedRevision(ctx))
		Expect(cluster.Standin.SetFaults(standin.TargetTable, standin.Faults{DelayMs: 50, LoseProbability: 0.3})).To(Succeed())
		killed, paused := cluster.Daemons[1], cluster.Daemons[3]
		for round := range raceRounds {
			expected := storedRevision(ctx)
			time.AfterFunc(30*time.Millisecond, func() {
				switch round {
				case 1:
					_ = killed.Kill()
				case 2:
					_ = paused.Pause()
					time.AfterFunc(500*time.Millisecond, func() { _ = paused.Continue() })
				}
			})
			raceOperators(ctx, h, expected)
			if !killed.Running() {
				Expect(cluster.ReplaceDaemon(killed)).To(Succeed())
			}
			Expect(cluster.WaitReady(ctx)).To(Succeed())
		}
		Expect(h.check()).To(Equal(porcupine.Ok))
		awaitInForce(ctx, storedRevision(ctx), cluster.Daemons...)
	}, SpecTimeout(setupTimeout))
})

var _ = Describe("an accepted change whose answer is lost", func() {
	// Guards against operators who are told that a change failed although it took effect.
	It("is recognised as accepted by the daemon that made it", func(ctx SpecContext) {
		Expect(cluster.Standin.SetFaults(standin.TargetTable, standin.Faults{LoseEvery: 1})).To(Succeed())
		expected := storedRevision(ctx)
		status, out := apply(ctx, cluster.Daemons[2], expected, nextChange())
		Expect(status).To(Equal(http.StatusOK), out.Detail)
		Expect(out.Revision).To(Equal(expected + 1))
		awaitInForce(ctx, expected+1, cluster.Daemons...)
	})

	// Guards against a repeated change that is accepted as another revision: it would
	// overwrite a change that someone else made in between.
	It("is not made again when the operator repeats it", func(ctx SpecContext) {
		d := cluster.Daemons[0]
		proxy, err := faultproxy.New(faultproxy.Config{Target: d.Settings.Listen.Operators})
		Expect(err).NotTo(HaveOccurred())
		proxyCtx, stop := context.WithCancel(ctx)
		var done sync.WaitGroup
		done.Go(func() { _ = proxy.Run(proxyCtx) })
		defer done.Wait()
		defer stop()
		url, expected, id := "http://"+proxy.Address(), storedRevision(ctx), nextChange()
		proxy.Set(faultproxy.Faults{DropAnswers: true})
		status, _ := applyAt(ctx, url, expected, id)
		Expect(status).To(BeZero())
		proxy.Set(faultproxy.Faults{})
		status, out := applyAt(ctx, url, expected, id)
		Expect(status).To(Equal(http.StatusConflict))
		Expect(out.CurrentRevision).To(Equal(expected + 1))
		Expect(storedRevision(ctx)).To(Equal(expected + 1))
		awaitInForce(ctx, expected+1, cluster.Daemons...)
	})
})
