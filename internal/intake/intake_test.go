package intake_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/dispatch"
	"github.com/samphirepath/samphirepath/internal/intake"
	"github.com/samphirepath/samphirepath/table"
)

func TestIntake(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "intake")
}

// scripted answers commits with the statuses of a script and then as it should.
// A commit with Unknown is carried out when land is set.
type scripted struct {
	*table.Memory
	script []table.CommitStatus
	land   bool
}

func (s *scripted) Commit(ctx context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	if len(s.script) == 0 {
		return s.Memory.Commit(ctx, conditions, writes)
	}
	status := s.script[0]
	s.script = s.script[1:]
	if status == table.Unknown && s.land {
		s.Memory.Commit(ctx, conditions, writes)
	}
	return table.CommitResult{Status: status, Err: errors.New("scripted")}
}

var _ = Describe("the intake", func() {
	job := batch.Job{ID: "5c0e7a21d94b36f8", Queue: "q", Steps: []batch.Step{{Tasks: 1}}}
	always := func(status table.CommitStatus) []table.CommitStatus {
		script := make([]table.CommitStatus, 1000)
		for i := range script {
			script[i] = status
		}
		return script
	}

	DescribeTable("tells truthfully what became of a submission",
		func(script []table.CommitStatus, land bool, want intake.Outcome, stored bool) {
			store := &scripted{Memory: table.NewMemory(), script: script, land: land}
			in := intake.New(store, nil, nil)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			began := time.Now()
			Expect(in.Submit(ctx, job)).To(Equal(want))
			Expect(time.Since(began)).To(BeNumerically("<", 400*time.Millisecond))
			_, found, err := store.Get(context.Background(), dispatch.JobsPrefix+job.ID)
			Expect(err).NotTo(HaveOccurred())
			Expect(found).To(Equal(stored))
		},
		Entry("stored", nil, false, intake.Done, true),
		Entry("refused once", []table.CommitStatus{table.Unavailable}, false, intake.Done, true),
		Entry("refused always", always(table.Unavailable), false, intake.NotDone, false),
		Entry("answer lost, stored", []table.CommitStatus{table.Unknown}, true, intake.Done, true),
		Entry("answer lost, not stored", []table.CommitStatus{table.Unknown}, false, intake.Done, true),
		Entry("answers lost always", always(table.Unknown), false, intake.Unknown, false),
		Entry("answer lost, then refused", append([]table.CommitStatus{table.Unknown}, always(table.Unavailable)...), false, intake.Unknown, false),
	)

	It("takes the same identifier again as the same job", func(ctx SpecContext) {
		in := intake.New(table.NewMemory(), nil, nil)
		Expect(in.Submit(ctx, job)).To(Equal(intake.Done))
		Expect(in.Submit(ctx, job)).To(Equal(intake.Done))
	})

	It("knows jobs before and after they have progress, and no others", func(ctx SpecContext) {
		store := table.NewMemory()
		in := intake.New(store, nil, nil)
		_, outcome := in.State(ctx, job.ID)
		Expect(outcome).To(Equal(intake.NoSuchJob))
		Expect(in.Cancel(ctx, job.ID)).To(Equal(intake.NoSuchJob))
		in.Submit(ctx, job)
		state, outcome := in.State(ctx, job.ID)
		Expect(outcome).To(Equal(intake.Done))
		Expect(state).To(Equal(batch.Queued))
		tracker := batch.NewTracker(job)
		tracker.Cancel(time.Now())
		value, err := tracker.Encode()
		Expect(err).NotTo(HaveOccurred())
		store.Commit(ctx, nil, []table.Write{{Key: dispatch.ProgressPrefix + job.ID, Value: value}})
		state, _ = in.State(ctx, job.ID)
		Expect(state).To(Equal(batch.Cancelled))
	})

	Describe("with a dispatcher", func() {
		ask := func(store table.Store, told batch.State) (batch.State, intake.Outcome, time.Duration) {
			in := intake.New(store, nil, nil)
			in.SetDispatcher(func(context.Context, string) batch.State { return told })
			ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
			defer cancel()
			began := time.Now()
			state, outcome := in.State(ctx, job.ID)
			return state, outcome, time.Since(began)
		}

		It("tells what it knows while the store does not answer", func() {
			state, outcome, took := ask(unreadable{table.NewMemory()}, batch.Completed)
			Expect(outcome).To(Equal(intake.Done))
			Expect(state).To(Equal(batch.Completed))
			Expect(took).To(BeNumerically("<", 300*time.Millisecond))
		})

		It("refuses when neither can tell", func() {
			_, outcome, _ := ask(unreadable{table.NewMemory()}, "")
			Expect(outcome).To(Equal(intake.NotDone))
		})

		It("goes by a store that answers", func() {
			_, outcome, _ := ask(table.NewMemory(), batch.Completed)
			Expect(outcome).To(Equal(intake.NoSuchJob))
		})
	})
})

// unreadable is a store of which nothing can be read.
type unreadable struct{ *table.Memory }

func (unreadable) Get(context.Context, string) (table.Row, bool, error) {
	return table.Row{}, false, errors.New("no answer")
}
