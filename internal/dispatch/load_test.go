package dispatch

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/admission"
	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/table"
)

func publishedLoad(g *gomega.WithT, t *term) admission.Load {
	t.loadCountedAt = time.Time{}
	t.countLoad(time.Now())
	load, err := admission.DecodeLoad(t.Load())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return load
}

// Guards against jobs that daemons accept without bound because the dispatcher does not count
// them, or counts them before it has listed all.
func TestLoadCountsJobsUntilTheirRowsAreDeleted(t *testing.T) {
	g := gomega.NewWithT(t)
	term, _ := newLossyTerm(g, Config{Client: unansweredClient{}, JobBudget: func() int64 { return 64 << 20 }})
	job := batch.Job{ID: "j", Organisation: "o", Spec: strings.Repeat("x", 4000), Steps: []batch.Step{{Tasks: 1500}}}
	value, err := batch.EncodeJob(job)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	term.jobsListed = false
	term.countLoad(time.Now())
	g.Expect(term.Load()).To(gomega.BeNil(), "the jobs are not listed")
	term.handleJobUpdate(table.Update{Rows: []table.Row{{Key: JobsPrefix + "j", Value: value, Version: 3}}, Full: true, Version: 5}, nil)
	load := publishedLoad(g, term)
	g.Expect(load).To(gomega.Equal(admission.Load{Version: 5, BudgetBytes: 64 << 20, HeldBytes: batch.Weight(&job, len(value))}))

	term.cancelJob("j", 6)
	storeAll(term)
	term.forgetFinished(time.Now())
	g.Expect(term.finished).To(gomega.HaveKey("j"))
	g.Expect(publishedLoad(g, term).HeldBytes).To(gomega.Equal(int64(finishedBytes+len(value))), "the next dispatcher lists the row")
	delete(term.finished, "j")
	g.Expect(publishedLoad(g, term).HeldBytes).To(gomega.BeZero())
}
