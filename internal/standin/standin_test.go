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

// Guards against a task whose end depends on when its worker is looked at: a
// process that was paused must end its tasks at the times at which they were due.
func TestTaskEndsIndependentlyOfObservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := rapid.Int64Range(0, 500).Draw(t, "run_ms")
		lease := rapid.Int64Range(0, 1000).Draw(t, "lease_ms")
		throttleAt := rapid.Int64Range(0, 500).Draw(t, "throttle_at")
		looks := rapid.SliceOfN(rapid.Int64Range(0, 1000), 0, 8).Draw(t, "looks")
		spec := api.StartTask{TaskID: "t", RunTimeS: 1, LeaseExpiresMs: lease, Parameters: map[string]string{ParamRunMs: fmt.Sprint(run)}}
		seldom, often := newTask(spec, "w", 0, 0), newTask(spec, "w", 0, 0)
		for now := range int64(1001) {
			for _, look := range looks {
				if look == now {
					often.advance(now)
				}
			}
			if now == throttleAt {
				seldom.advance(now)
				often.advance(now)
				seldom.throttle(now)
				often.throttle(now)
			}
		}
		seldom.advance(2000)
		often.advance(2000)
		if seldom.report().Exit != often.report().Exit || seldom.ended != often.ended || seldom.progress != often.progress {
			t.Fatalf("observed often: %+v, observed once: %+v", often, seldom)
		}
		if seldom.ended > lease {
			t.Fatalf("task ended at %d after its lease lapsed at %d", seldom.ended, lease)
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

	ginkgo.It("reads TOML and JSON and fills the defaults of groups", func() {
		c, err := ParseConfig("a.toml", []byte(text))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		expanded, err := c.expanded()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(expanded.Workers).To(gomega.HaveLen(2))
		gomega.Expect(expanded.Workers[1].ID).To(gomega.Equal("w-2"))
		gomega.Expect(expanded.Minions[0].Slots).To(gomega.Equal(DefaultSlots))
		c, err = ParseConfig("a.json", []byte(`{"vms":{"lag":"2s"}}`))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(c.VMs.Lag.Std().Seconds()).To(gomega.Equal(2.0))
	})

	ginkgo.DescribeTable("refuses a config that can't be meant", func(name, data string) {
		c, err := ParseConfig(name, []byte(data))
		if err == nil {
			_, err = c.expanded()
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

var _ = ginkgo.Describe("faultSwitch", func() {
	// Guards against fault patterns that a seed does not repeat.
	ginkgo.It("loses the same answers for the same seed", func() {
		pattern := func(seed uint64) []bool {
			f := newFaultSwitch(seed, 1)
			f.set(Faults{LoseProbability: 0.5})
			var lost []bool
			for range 64 {
				lost = append(lost, f.loses())
			}
			return lost
		}
		gomega.Expect(pattern(1)).To(gomega.Equal(pattern(1)))
		gomega.Expect(pattern(1)).NotTo(gomega.Equal(pattern(2)))
	})

	ginkgo.It("loses each n-th answer", func() {
		f := newFaultSwitch(1, 1)
		f.set(Faults{LoseEvery: 3})
		lost := []bool{f.loses(), f.loses(), f.loses(), f.loses(), f.loses(), f.loses()}
		gomega.Expect(lost).To(gomega.Equal([]bool{false, false, true, false, false, true}))
	})
})
