package ingress_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/ingress"
)

var now = time.Unix(1000, 0)

// at returns a connection whose phase began age ago and that got its last bytes stalled ago.
func at(phase ingress.Phase, held int64, age, stalled time.Duration) ingress.ConnInfo {
	return ingress.ConnInfo{Phase: phase, Held: held, Since: now.Add(-age), Progress: now.Add(-stalled)}
}

// silent returns a connection that was opened age ago and has sent nothing.
func silent(age time.Duration) ingress.ConnInfo {
	c := at(ingress.PhaseHeader, 0, age, age)
	c.Silent = true
	return c
}

// Guards against a limit that closes well-behaved clients instead of those that cause it.
var _ = DescribeTable("SelectVictim", func(want int, conns ...ingress.ConnInfo) {
	got, found := ingress.SelectVictim(conns, now)
	Expect(found).To(Equal(want >= 0))
	if found {
		Expect(got).To(Equal(want))
	}
},
	Entry("has none without connections", -1),
	Entry("is never a request that is carried out", -1, at(ingress.PhaseBusy, 1<<20, time.Hour, time.Hour)),
	Entry("is not an answer that has just begun", -1, at(ingress.PhaseAnswering, 0, 100*time.Millisecond, 100*time.Millisecond)),
	Entry("is an answer that is not read", 1, at(ingress.PhaseBusy, 0, time.Minute, time.Minute), at(ingress.PhaseAnswering, 0, time.Second, time.Second)),
	Entry("is not a body that has just begun", -1, at(ingress.PhaseReceiving, 1<<20, 100*time.Millisecond, 100*time.Millisecond)),
	Entry("is not a connection that has just been opened", -1, at(ingress.PhaseHeader, 0, 100*time.Millisecond, 100*time.Millisecond)),
	Entry("is an idle connection before a body", 1, at(ingress.PhaseReceiving, 1<<20, time.Minute, time.Minute), at(ingress.PhaseIdle, 0, time.Millisecond, time.Millisecond)),
	Entry("is a refused request before a body", 1, at(ingress.PhaseReceiving, 1<<20, time.Minute, time.Minute), at(ingress.PhaseRefused, 0, time.Millisecond, 0)),
	Entry("is an unused connection before an idle one", 1, at(ingress.PhaseIdle, 0, time.Minute, time.Minute), silent(time.Second)),
	Entry("is an idle connection before an unused one that has just been opened", 0, at(ingress.PhaseIdle, 0, time.Minute, time.Minute), silent(100*time.Millisecond)),
	Entry("is the longest idle connection", 1, at(ingress.PhaseIdle, 0, time.Second, time.Second), at(ingress.PhaseIdle, 0, time.Minute, time.Minute)),
	Entry("is the body that holds most", 0, at(ingress.PhaseReceiving, 1<<20, time.Second, 0), at(ingress.PhaseReceiving, 1<<10, time.Second, 0)),
	Entry("is the body that has taken longest", 1, at(ingress.PhaseReceiving, 1<<10, time.Second, 0), at(ingress.PhaseReceiving, 1<<10, 2*time.Second, 0)),
	Entry("is the body without progress", 1, at(ingress.PhaseReceiving, 1<<10, 2*time.Second, 0), at(ingress.PhaseReceiving, 1<<10, 2*time.Second, time.Second)),
	Entry("is a header that does not arrive", 0, at(ingress.PhaseHeader, 0, time.Second, time.Second), at(ingress.PhaseBusy, 0, time.Minute, time.Minute)),
)

var _ = Describe("Budget", func() {
	// Guards against one caller that takes the memory of all.
	It("bounds a source before the total", func() {
		b := ingress.NewBudget(100, 40)
		Expect(b.Charge("a", 40)).To(Succeed())
		Expect(b.Charge("a", 1)).To(MatchError(ingress.ErrSource))
		Expect(b.Charge("b", 40)).To(Succeed())
		Expect(b.Charge("c", 21)).To(MatchError(ingress.ErrExhausted))
		Expect(b.Charge("c", 20)).To(Succeed())
		Expect(b.Used()).To(Equal(int64(100)))
	})

	// Guards against bytes that stay charged after their requests, until nothing is accepted.
	It("gives back what is released", func() {
		b := ingress.NewBudget(100, 100)
		for range 1000 {
			Expect(b.Charge("a", 100)).To(Succeed())
			b.Release("a", 60)
			b.Release("a", 40)
		}
		Expect(b.Used()).To(BeZero())
	})

	// Guards against a configured size of bodies that does not fit into the budget.
	It("always holds one body of the largest size", func() {
		b := ingress.NewBudget(10, 5)
		b.RaiseTo(1000)
		Expect(b.Charge("a", 1001)).To(Succeed())
		Expect(b.Charge("b", 1001)).To(Succeed())
	})
})

var _ = DescribeTable("DefaultLimits", func(memoryMB float64, maxFDs, connections int, bodies, source int64) {
	l := ingress.DefaultLimits(memoryMB, maxFDs, 256<<10)
	Expect(l).To(Equal(ingress.Limits{Connections: connections, BodyBytes: bodies, SourceBytes: source}))
},
	Entry("of the smallest machine", 144.0, 4096, 576, int64(18<<20), int64(18<<20/4)),
	Entry("of the largest machine", 536.0, 4096, 2048, int64(67<<20), int64(67<<20/4)),
	Entry("with few descriptors", 144.0, 256, 128, int64(18<<20), int64(18<<20/4)),
	Entry("without a known size of the memory", 0.0, 4096, 576, int64(18<<20), int64(18<<20/4)),
	Entry("with room for the largest bodies only", 4.0, 4096, 16, int64(4*(256<<10+1)), int64(256<<10+1)),
)

// Guards against a small body that takes many times its size when it is decoded, and against
// a check that depends on the pieces in which the body has arrived.
var _ = DescribeTable("CheckJSON", func(text string, want string) {
	var bytes [][]byte
	for i := range len(text) {
		bytes = append(bytes, []byte{text[i]})
	}
	for _, pieces := range [][][]byte{{[]byte(text)}, bytes} {
		err := ingress.CheckJSON(ingress.Shape{Depth: 3, Elements: 4}, pieces...)
		if want == "" {
			Expect(err).NotTo(HaveOccurred())
			continue
		}
		Expect(err).To(MatchError(ContainSubstring(want)))
	}
},
	Entry("allows an array of the limit", `[1,2,3,4]`, ""),
	Entry("refuses an array beyond it", `[1,2,3,4,5]`, "more than 4 elements"),
	Entry("refuses an object beyond it", `{"a":1,"b":1,"c":1,"d":1,"e":1}`, "more than 4 elements"),
	Entry("counts each array for itself", `[[1,2,3,4],[1,2,3,4],[1,2,3,4]]`, ""),
	Entry("counts an array after a nested one", `[1,[1,2],3,4,5]`, "more than 4 elements"),
	Entry("ignores commas and brackets in strings", `["a,,,,,,[[[[[","\",,,,,,,\\",3]`, ""),
	Entry("allows the depth of the limit", `{"a":[{}]}`, ""),
	Entry("refuses a depth beyond it", `[[[[]]]]`, "nested more than 3"),
	Entry("refuses a deep text at once", strings.Repeat("[", 100000), "nested more than 3"),
	Entry("ends on malformed text", `]]}}"\`, ""),
)
