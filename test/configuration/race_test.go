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

// race lets one operator for each daemon make a change on the same revision, and
// another one read meanwhile. It returns how often each status was answered.
func race(ctx context.Context, h *history, expected int64) map[int]int {
	var group sync.WaitGroup
	var mu sync.Mutex
	counts := map[int]int{}
	for i, d := range cluster.Daemons {
		m := nextMark()
		group.Go(func() {
			called := time.Now()
			status, out := apply(ctx, d, expected, m)
			seen := observation{status: status, revision: out.Revision}
			if status == http.StatusConflict {
				seen.revision = out.CurrentRevision
			}
			h.note(i, called, operation{write: true, expected: expected}, seen)
			mu.Lock()
			defer mu.Unlock()
			counts[status]++
		})
		group.Go(func() { readFor(ctx, h, len(cluster.Daemons)+i, d) })
	}
	group.Wait()
	return counts
}

func readFor(ctx context.Context, h *history, operator int, d *harness.Daemon) {
	called := time.Now()
	if revision, ok := readStored(ctx, d); ok {
		h.note(operator, called, operation{}, observation{status: http.StatusOK, revision: revision})
	}
}

var _ = Describe("operators who race over a change", func() {
	// Two accepted changes on one revision would silently undo one of them.
	DescribeTable("one wins and the others are told the current revision",
		func(ctx SpecContext, faults standin.Faults) {
			Expect(cluster.Standin.SetFaults(standin.TargetTable, faults)).To(Succeed())
			base := stored(ctx)
			h := newHistory(base)
			for range raceRounds {
				expected := stored(ctx)
				counts := race(ctx, h, expected)
				Expect(counts[http.StatusOK]).To(Equal(1), "%v", counts)
				Expect(counts[http.StatusConflict]).To(Equal(len(cluster.Daemons)-1), "%v", counts)
				Expect(stored(ctx)).To(Equal(expected + 1))
			}
			Expect(h.check()).To(Equal(porcupine.Ok))
			awaitInForce(ctx, base+raceRounds, cluster.Daemons...)
		},
		Entry("with a healthy store", standin.Faults{}),
		Entry("with a slow store", standin.Faults{DelayMs: 100}),
		Entry("with a store that loses every second answer", standin.Faults{LoseEvery: 2}),
		Entry("with a store that loses answers by chance", standin.Faults{LoseProbability: 0.5, DelayMs: 20}),
	)

	// A killed daemon leaves a change of unknown outcome, which must count once or not at all.
	It("keeps the history linearizable while daemons are killed and frozen", func(ctx SpecContext) {
		h := newHistory(stored(ctx))
		Expect(cluster.Standin.SetFaults(standin.TargetTable, standin.Faults{DelayMs: 50, LoseProbability: 0.3})).To(Succeed())
		killed, frozen := cluster.Daemons[1], cluster.Daemons[3]
		for round := range raceRounds {
			expected := stored(ctx)
			time.AfterFunc(30*time.Millisecond, func() {
				switch round {
				case 1:
					_ = killed.Kill()
				case 2:
					_ = frozen.Pause()
					time.AfterFunc(500*time.Millisecond, func() { _ = frozen.Continue() })
				}
			})
			race(ctx, h, expected)
			if !killed.Running() {
				Expect(cluster.ReplaceDaemon(killed)).To(Succeed())
			}
			Expect(cluster.WaitReady(ctx)).To(Succeed())
		}
		Expect(h.check()).To(Equal(porcupine.Ok))
		awaitInForce(ctx, stored(ctx), cluster.Daemons...)
	}, SpecTimeout(setupWait))
})

var _ = Describe("an accepted change whose answer is lost", func() {
	It("is found by the daemon that made it", func(ctx SpecContext) {
		Expect(cluster.Standin.SetFaults(standin.TargetTable, standin.Faults{LoseEvery: 1})).To(Succeed())
		expected := stored(ctx)
		status, out := apply(ctx, cluster.Daemons[2], expected, nextMark())
		Expect(status).To(Equal(http.StatusOK), out.Detail)
		Expect(out.Revision).To(Equal(expected + 1))
		awaitInForce(ctx, expected+1, cluster.Daemons...)
	})

	// The operator repeats the change; a second revision with it would hide a
	// change that someone else made in between.
	It("is not made again when the operator repeats it", func(ctx SpecContext) {
		d := cluster.Daemons[0]
		proxy, err := faultproxy.New(faultproxy.Config{Target: d.Settings.Listen.Operators})
		Expect(err).NotTo(HaveOccurred())
		running, stop := context.WithCancel(ctx)
		var done sync.WaitGroup
		done.Go(func() { _ = proxy.Run(running) })
		defer done.Wait()
		defer stop()
		url, expected, m := "http://"+proxy.Address(), stored(ctx), nextMark()
		proxy.Set(faultproxy.Faults{DropAnswers: true})
		status, _ := applyAt(ctx, url, expected, m)
		Expect(status).To(BeZero())
		proxy.Set(faultproxy.Faults{})
		status, out := applyAt(ctx, url, expected, m)
		Expect(status).To(Equal(http.StatusConflict))
		Expect(out.CurrentRevision).To(Equal(expected + 1))
		Expect(stored(ctx)).To(Equal(expected + 1))
		awaitInForce(ctx, expected+1, cluster.Daemons...)
	})
})
