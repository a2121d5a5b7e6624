package dispatch

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against runs that do not fit into the memory of the dispatcher, and against an
// organisation whose runs leave none to others.
func TestRunLimitLeavesRunsToOtherOrganisations(t *testing.T) {
	g := gomega.NewWithT(t)
	l := &runLimit{max: 100, byOrganisation: map[string]int{}}
	g.Expect(l.begin("a", 40)).To(gomega.BeTrue())
	g.Expect(l.begin("a", 30)).To(gomega.BeFalse(), "more than is left")
	g.Expect(l.begin("b", 30)).To(gomega.BeTrue())
	g.Expect(l.begin("a", 1)).To(gomega.BeFalse())
	g.Expect(l.begin("c", 30)).To(gomega.BeTrue())
	g.Expect(l.all).To(gomega.Equal(100))
	g.Expect(l.begin("d", 1)).To(gomega.BeFalse())
	unlimited := &runLimit{byOrganisation: map[string]int{}}
	g.Expect(unlimited.begin("a", 1_000_000)).To(gomega.BeTrue())
}
