package standin

import (
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/samphirepath/samphirepath/api"
)

func TestStandin(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "standin")
}

// Guards against a task whose end depends on when the state of its worker is read: a
// process that was paused must end each task at the time at which its end was due.
func TestTaskEndsIndependentlyOfObservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := rapid.Int64Range(0, 500).Draw(t, "run_ms")
		lease := rapid.Int64Range(0, 1000).Draw(t, "lease_ms")
		throttleAt := rapid.Int64Range(0, 500).Draw(t, "throttle_at")
		observations := rapid.SliceOfN(rapid.Int64Range(0, 1000), 0, 8).Draw(t, "observations")
		spec := api.StartTask{TaskID: "t", RunTimeS: 1, LeaseExpiresMs: lease, Parameters: map[string]string{ParamRunMs: fmt.Sprint(run)}}
		observedOnce, observedOften := newTask(spec, "w", 0, 0), newTask(spec, "w", 0, 0)
		for now := range int64(1001) {
			for _, observation := range observations {
				if observation == now {
					observedOften.advance(now)
				}
			}
			if now == throttleAt {
				observedOnce.advance(now)
				observedOften.advance(now)
				observedOnce.throttle(now)
				observedOften.throttle(now)
			}
		}
		observedOnce.advance(2000)
		observedOften.advance(2000)
		if observedOnce.report().Exit != observedOften.report().Exit || observedOnce.ended != observedOften.ended || observedOnce.progress != observedOften.progress {
			t.Fatalf("observed often: %+v, observed once: %+v", observedOften, observedOnce)
		}
		if observedOnce.ended > lease {
			t.Fatalf("task ended at %d after its lease expired at %d", observedOnce.ended, lease)
		}
	})
}

var _ = ginkgo.Describe("ParseConfig", func() {
	const text = `
seed = 3
[table]
listen = "127.0.0.1:0"
[vms]
lag = "2s"
[[workers]]
id = "w"
count = 2
[[minions]]
id = "m"
`

	ginkgo.It("parses TOML and JSON, expands groups and applies defaults", func() {
		c, err := ParseConfig("a.toml", []byte(text))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		expanded, err := c.expandGroups()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(expanded.Workers).To(gomega.HaveLen(2))
		gomega.Expect(expanded.Workers[1].ID).To(gomega.Equal("w-2"))
		gomega.Expect(expanded.Minions[0].Slots).To(gomega.Equal(DefaultSlots))
		c, err = ParseConfig("a.json", []byte(`{"vms":{"lag":"2s"}}`))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(c.VMs.Lag.Std().Seconds()).To(gomega.Equal(2.0))
	})

	ginkgo.DescribeTable("rejects an invalid config", func(name, data string) {
		c, err := ParseConfig(name, []byte(data))
		if err == nil {
			_, err = c.expandGroups()
		}
		gomega.Expect(err).To(gomega.HaveOccurred())
	},
		ginkgo.Entry("unknown key", "a.toml", "tabel = 1"),
		ginkgo.Entry("unknown key in JSON", "a.json", `{"tabel":1}`),
		ginkgo.Entry("lag without a unit", "a.toml", strings.Replace(text, `"2s"`, `"2"`, 1)),
		ginkgo.Entry("identifier used twice", "a.toml", text+"[[workers]]\nid = \"m\"\n"),
		ginkgo.Entry("worker without an identifier", "a.toml", "[[workers]]\nzone = \"z\"\n"),
	)
})

var _ = ginkgo.Describe("faultInjector", func() {
	// Guards against random faults that the same seed does not reproduce.
	ginkgo.It("loses the same answers for the same seed", func() {
		pattern := func(seed uint64) []bool {
			f := newFaultInjector(seed, 1)
			f.set(Faults{LoseProbability: 0.5})
			var lost []bool
			for range 64 {
				lost = append(lost, f.shouldLoseAnswer())
			}
			return lost
		}
		gomega.Expect(pattern(1)).To(gomega.Equal(pattern(1)))
		gomega.Expect(pattern(1)).NotTo(gomega.Equal(pattern(2)))
	})

	ginkgo.It("loses every n-th answer", func() {
		f := newFaultInjector(1, 1)
		f.set(Faults{LoseEvery: 3})
		lost := []bool{f.shouldLoseAnswer(), f.shouldLoseAnswer(), f.shouldLoseAnswer(), f.shouldLoseAnswer(), f.shouldLoseAnswer(), f.shouldLoseAnswer()}
		gomega.Expect(lost).To(gomega.Equal([]bool{false, false, true, false, false, true}))
	})
})
