package gang_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/gang"
)

func TestGang(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gang")
}

const lease = 20 * time.Second

var base = time.Unix(1_700_000_000, 0)

func at(seconds ...int) []time.Time {
	out := make([]time.Time, len(seconds))
	for i, s := range seconds {
		if s >= 0 {
			out[i] = base.Add(time.Duration(s) * time.Second)
		}
	}
	return out
}

// Guards against a common lease that is extended by the renewals of one member
// although another member has not acknowledged a recent one.
var _ = DescribeTable("common expiry",
	func(acknowledged []time.Time, seconds int) {
		Expect(gang.Expiry(base.Add(lease), acknowledged, lease)).To(Equal(base.Add(time.Duration(seconds) * time.Second)))
	},
	Entry("no member has acknowledged", at(-1, -1), 20),
	Entry("one member has not acknowledged", at(5, -1, 5), 20),
	Entry("all members have acknowledged", at(5, 6, 7), 25),
	Entry("one member acknowledged an older renewal", at(15, 5, 15), 25),
	Entry("no members", at(), 20),
	Entry("single member", at(9), 29),
)

var _ = It("ignores an older acknowledgement that arrives late", func() {
	l := gang.New(1, time.Time{}, lease)
	Expect(l.Expiry().IsZero()).To(BeTrue())
	l.Acknowledge(0, base.Add(5*time.Second))
	l.Acknowledge(0, base)
	Expect(l.AllAcknowledged()).To(BeTrue())
	Expect(l.Expiry()).To(Equal(base.Add(25 * time.Second)))
})

func ExampleLease() {
	start := time.Unix(0, 0).UTC()
	l := gang.New(2, start.Add(20*time.Second), 20*time.Second)
	l.Acknowledge(0, start.Add(5*time.Second))
	fmt.Println(l.Expiry().Format(time.TimeOnly))
	l.Acknowledge(1, start.Add(6*time.Second))
	fmt.Println(l.Expiry().Format(time.TimeOnly))
	// Output:
	// 00:00:20
	// 00:00:25
}
