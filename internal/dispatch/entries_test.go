package dispatch_test

import (
	"math"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
)

// Guards against one odd entry among those of the workers after which nothing starts any
// more: with the largest numbers of 64 bits, the plan for a gang in one rack did not end.
var _ = Describe("an entry that is not from a worker", func() {
	const ordinary = `"backend":"s","zone":"z1","version":"v1","slots":8,"state":"ready","cold_ms":0,"seq":1,"labels":["a","r0"]`
	largest := strings.ReplaceAll(`"capacity":{"cpu":N,"mem_mb":N,"gpu":N},"clock_ms":N,"born":N`, "N", "9223372036854775807")
	DescribeTable("stops no work", func(entry string) {
		f := newFixture(4)
		f.write("servers/odd", []byte(entry))
		d, _ := f.startDispatcher("a")
		gang := batch.Step{Tasks: 3, Gang: true, SameRack: true, Need: batch.Need{MilliCPU: 1000, MemoryMb: 100, Accelerators: 1}, EstimateMs: 100}
		f.submit(batch.Job{ID: "gang", Spec: `{"ms":50}`, Steps: []batch.Step{gang}})
		f.submit(batch.Job{ID: "j", Spec: `{"ms":10}`, Steps: []batch.Step{task(1)}})
		Eventually(f.state("gang"), 5*time.Second).Should(Equal(batch.Completed))
		Eventually(f.state("j"), 5*time.Second).Should(Equal(batch.Completed))
		Expect(d.Leading()).To(BeTrue())
		By("an entry that is written while the dispatcher runs")
		f.write("servers/odd", []byte(entry+" "))
		f.submit(batch.Job{ID: "later", Spec: `{"ms":50}`, Steps: []batch.Step{gang}})
		Eventually(f.state("later"), 5*time.Second).Should(Equal(batch.Completed))
	},
		Entry("with the largest numbers", `{"address":"127.0.0.1:9",`+ordinary+`,`+largest+`}`),
		Entry("with numbers above 64 bits", `{"address":"127.0.0.1:9",`+ordinary+`,"capacity":{"cpu":1e30,"mem_mb":1e400,"gpu":1}}`),
		Entry("with a port out of range", `{"address":"127.0.0.1:70000",`+ordinary+`,"capacity":{"cpu":64000,"mem_mb":131072,"gpu":8},"clock_ms":5,"born":7}`),
		Entry("deeply nested", `{"address":`+strings.Repeat("[", 15_000)+strings.Repeat("]", 15_000)+`}`),
		Entry("of bytes that cannot be read", "\x00\xff"),
	)

	// The rack of the largest entry would hold every gang; the numbers must not overflow
	// either if such an entry is used.
	It("with the largest capacity that is accepted stops no work", func() {
		f := newFixture(4)
		limit := `"capacity":{"cpu":1099511627776,"mem_mb":1099511627776,"gpu":1099511627776}`
		f.write("servers/odd", []byte(`{"address":"127.0.0.1:9",`+ordinary+`,`+limit+`,"clock_ms":5,"born":7}`))
		f.startDispatcher("a")
		gang := batch.Step{Tasks: 3, Gang: true, SameRack: true, Need: batch.Need{MilliCPU: 1}, EstimateMs: 100}
		f.submit(batch.Job{ID: "gang", Spec: `{"ms":50}`, Steps: []batch.Step{gang}, AcceptedAtMs: math.MaxInt32})
		Eventually(f.state("gang"), 10*time.Second).Should(Equal(batch.Completed))
	})
})
