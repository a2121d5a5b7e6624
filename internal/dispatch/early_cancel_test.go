package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/table"
)

// recordEarlyCancel stores the cancellation of an unknown job and returns its row.
func recordEarlyCancel(g *gomega.WithT, t *term, id string) table.Row {
	key := JobsPrefix + id + CancelSuffix
	result := t.cfg.Store.Commit(context.Background(), []table.Condition{{Key: JobsPrefix + id}}, []table.Write{{Key: key, Value: []byte{1}}})
	g.Expect(result.Status).To(gomega.Equal(table.Committed))
	return table.Row{Key: key, Value: []byte{1}, Version: result.Version}
}

// submitLate applies the submission of job j and returns its row.
func submitLate(g *gomega.WithT, t *term) table.Row {
	const id = "j"
	value, err := batch.EncodeJob(batch.Job{ID: id, Queue: "q", Steps: []batch.Step{{Tasks: 1}}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	key := JobsPrefix + id
	result := t.cfg.Store.Commit(context.Background(), []table.Condition{{Key: key}}, []table.Write{{Key: key, Value: value}})
	g.Expect(result.Status).To(gomega.Equal(table.Committed))
	return table.Row{Key: key, Value: value, Version: result.Version}
}

// Guards against a job that runs after its cancellation was acknowledged: its submission was
// applied just before the cancellation expired, and the term forgot the cancellation before it
// saw the job.
func TestExpiringCancellationHoldsForASubmissionThatWasAppliedBefore(t *testing.T) {
	g := gomega.NewWithT(t)
	term, _ := newLossyTerm(g, Config{CancelRetention: time.Second})
	cancellation := recordEarlyCancel(g, term, "j")
	term.handleJobUpdate(table.Update{Rows: []table.Row{cancellation}}, nil)
	job := submitLate(g, term)
	term.forgetEarlyCancels(time.Now().Add(time.Minute))
	nextEvent(term)()
	term.handleJobUpdate(table.Update{Rows: []table.Row{job}}, nil)
	g.Expect(term.jobs["j"].tracker.State).To(gomega.Equal(batch.Cancelled))
}

// Guards against a job that runs after its cancellation was acknowledged: the caller cancelled
// twice, and the term forgot the second cancellation with the first.
func TestExpiringCancellationDoesNotTakeALaterOneWithIt(t *testing.T) {
	g := gomega.NewWithT(t)
	term, _ := newLossyTerm(g, Config{CancelRetention: time.Second})
	first := recordEarlyCancel(g, term, "j")
	term.handleJobUpdate(table.Update{Rows: []table.Row{first}}, nil)
	second := recordEarlyCancel(g, term, "j")
	term.forgetEarlyCancels(time.Now().Add(time.Minute))
	event := nextEvent(term)
	term.handleJobUpdate(table.Update{Rows: []table.Row{second}}, nil)
	event()
	term.handleJobUpdate(table.Update{Rows: []table.Row{submitLate(g, term)}}, nil)
	g.Expect(term.jobs["j"].tracker.State).To(gomega.Equal(batch.Cancelled))
}
