package intake_test

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/admission"
	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/dispatch"
	"github.com/samphirepath/samphirepath/internal/intake"
	"github.com/samphirepath/samphirepath/table"
)

func TestIntake(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "intake")
}

// scriptedStore answers commits with the statuses of a script, and commits normally
// after its end. It applies a commit that it answers with Unknown if applyUnknown is
// set.
type scriptedStore struct {
	*table.Memory
	script       []table.CommitStatus
	applyUnknown bool
}

func (s *scriptedStore) Commit(ctx context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	if len(s.script) == 0 {
		return s.Memory.Commit(ctx, conditions, writes)
	}
	status := s.script[0]
	s.script = s.script[1:]
	if status == table.Unknown && s.applyUnknown {
		s.Memory.Commit(ctx, conditions, writes)
	}
	return table.CommitResult{Status: status, Err: errors.New("scripted commit failure")}
}

// countingStore counts the reads of rows.
type countingStore struct {
	*table.Memory
	reads int
}

func (s *countingStore) Get(ctx context.Context, key string) (table.Row, bool, error) {
	s.reads++
	return s.Memory.Get(ctx, key)
}

// silentStore applies commits and never answers them.
type silentStore struct{ *table.Memory }

func (s *silentStore) Commit(ctx context.Context, conditions []table.Condition, writes []table.Write) table.CommitResult {
	s.Memory.Commit(ctx, conditions, writes)
	<-ctx.Done()
	return table.CommitResult{Status: table.Unknown, Err: ctx.Err()}
}

var _ = Describe("the intake", func() {
	job := batch.Job{ID: "5c0e7a21d94b36f8", Queue: "q", Steps: []batch.Step{{Tasks: 1}}}
	repeated := func(status table.CommitStatus) []table.CommitStatus {
		script := make([]table.CommitStatus, 1000)
		for i := range script {
			script[i] = status
		}
		return script
	}

	DescribeTable("returns the true outcome of a submission",
		func(script []table.CommitStatus, applyUnknown bool, want intake.Outcome, stored bool) {
			store := &scriptedStore{Memory: table.NewMemory(), script: script, applyUnknown: applyUnknown}
			in := intake.New(store, nil, nil)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			start := time.Now()
			Expect(in.Submit(ctx, job)).To(Equal(want))
			Expect(time.Since(start)).To(BeNumerically("<", 400*time.Millisecond))
			_, found, err := store.Get(context.Background(), dispatch.JobsPrefix+job.ID)
			Expect(err).NotTo(HaveOccurred())
			Expect(found).To(Equal(stored))
		},
		Entry("stored", nil, false, intake.Done, true),
		Entry("refused once", []table.CommitStatus{table.Unavailable}, false, intake.Done, true),
		Entry("refused always", repeated(table.Unavailable), false, intake.NotDone, false),
		Entry("rejected", repeated(table.Rejected), false, intake.NotDone, false),
		Entry("answer lost, then rejected", append([]table.CommitStatus{table.Unknown}, repeated(table.Rejected)...), false, intake.Unknown, false),
		Entry("answer lost, stored", []table.CommitStatus{table.Unknown}, true, intake.Done, true),
		Entry("answer lost, not stored", []table.CommitStatus{table.Unknown}, false, intake.Done, true),
		Entry("answers lost always", repeated(table.Unknown), false, intake.Unknown, false),
		Entry("answer lost, then refused", append([]table.CommitStatus{table.Unknown}, repeated(table.Unavailable)...), false, intake.Unknown, false),
	)

	// Guards against callers that are told that the outcome is unknown although the job
	// is stored, while the store loses the answers to commits and answers reads.
	It("learns from a read that a job or a cancellation is stored when the answer is lost", func() {
		store := &silentStore{Memory: table.NewMemory()}
		in := intake.New(store, nil, nil)
		ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
		defer cancel()
		Expect(in.Submit(ctx, job)).To(Equal(intake.Done))
		Expect(in.Cancel(ctx, job.ID)).To(Equal(intake.Done))
	})

	It("accepts a job with a known identifier as the same job", func(ctx SpecContext) {
		in := intake.New(table.NewMemory(), nil, nil)
		Expect(in.Submit(ctx, job)).To(Equal(intake.Done))
		Expect(in.Submit(ctx, job)).To(Equal(intake.Done))
	})

	It("finds jobs before and after they have progress, and no others", func(ctx SpecContext) {
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
		rows, err := tracker.EncodeRows()
		Expect(err).NotTo(HaveOccurred())
		store.Commit(ctx, nil, []table.Write{{Key: dispatch.ProgressPrefix + rows[0].Key, Value: rows[0].Value}})
		state, _ = in.State(ctx, job.ID)
		Expect(state).To(Equal(batch.Cancelled))
	})

	// Guards against a caller that is told that no job waits while many do: the stored counts
	// were those of a dispatcher that had been lost.
	DescribeTable("tells counts of waiting jobs that are recent only", func(ctx SpecContext, stated int64, age time.Duration, unknown error, want intake.Outcome) {
		store := table.NewMemory()
		counts, err := batch.EncodeCounts(map[string]int64{"q": 3})
		Expect(err).NotTo(HaveOccurred())
		stored := store.Commit(ctx, nil, []table.Write{{Key: dispatch.PendingKey, Value: counts}})
		in := intake.New(store, nil, nil)
		in.SetCountsAge(func() (int64, time.Duration, error) { return stored.Version + stated, age, unknown })
		start := time.Now()
		count, outcome := in.Pending(ctx, "q")
		Expect(outcome).To(Equal(want))
		if want == intake.Done {
			Expect(count).To(Equal(int64(3)))
			return
		}
		Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second), "a caller is told soon")
	},
		Entry("recent", int64(0), time.Second, nil, intake.Done),
		Entry("recent, and replaced since", int64(-1), time.Second, nil, intake.Done),
		Entry("old", int64(0), 3*time.Second, nil, intake.NotDone),
		Entry("of unknown age", int64(0), time.Duration(0), dispatch.ErrCountsAgeUnknown, intake.NotDone),
		Entry("before those that are recent", int64(1), time.Second, nil, intake.NotDone),
	)

	It("waits for counts that become recent, and does not ask the store meanwhile", func(ctx SpecContext) {
		store := &countingStore{Memory: table.NewMemory()}
		in := intake.New(store, nil, nil)
		start := time.Now()
		in.SetCountsAge(func() (int64, time.Duration, error) {
			if time.Since(start) < 300*time.Millisecond {
				return 0, 0, dispatch.ErrCountsAgeUnknown
			}
			return 0, 0, nil
		})
		_, outcome := in.Pending(ctx, "q")
		Expect(outcome).To(Equal(intake.Done))
		Expect(store.reads).To(Equal(1))
	})

	// Guards against a store that a client fills with cancellations of random jobs.
	It("records a limited number of cancellations of unknown jobs", func(ctx SpecContext) {
		in := intake.New(table.NewMemory(), nil, nil)
		outcomes := map[intake.Outcome]int{}
		for i := range 400 {
			outcomes[in.Cancel(ctx, strconv.Itoa(i))]++
		}
		Expect(outcomes[intake.NoSuchJob]).To(BeNumerically("~", 200, 60))
		Expect(outcomes[intake.NotDone]).To(BeNumerically(">", 100))
		Expect(in.Submit(ctx, job)).To(Equal(intake.Done))
		Expect(in.Cancel(ctx, job.ID)).To(Equal(intake.Done))
	})

	Describe("with a bound of the jobs", func() {
		// The dispatcher has published that one organisation holds as much as is left.
		notice, err := admission.EncodeLoad(admission.NewLoad(0, admission.Budget(nil), map[string]int64{"large": admission.Budget(nil) * 3 / 5}))
		if err != nil {
			panic(err)
		}
		newIntake := func(store table.Store) *intake.Intake {
			in := intake.New(store, nil, nil)
			in.SetAdmission(admission.NewLedger(admission.Config{Notice: func() []byte { return notice }, Daemons: func() int { return 8 }, Budget: func() int64 { return admission.Budget(nil) },
				Ask: func(context.Context, string, int64) error { return errors.New("no answer") }}))
			return in
		}
		large := batch.Job{ID: "00000000000000aa", Queue: "q", Organisation: "large", Steps: job.Steps}
		small := batch.Job{ID: "00000000000000bb", Queue: "q", Organisation: "small", Steps: job.Steps}

		It("refuses an organisation that holds as much as is left, and not others", func(ctx SpecContext) {
			store := table.NewMemory()
			in := newIntake(store)
			Expect(in.Submit(ctx, large)).To(Equal(intake.OrganisationFull))
			_, found, err := store.Get(ctx, dispatch.JobsPrefix+large.ID)
			Expect(err).NotTo(HaveOccurred())
			Expect(found).To(BeFalse())
			Expect(in.Submit(ctx, small)).To(Equal(intake.Done))
		})

		// Guards against "never runs" for a job that was accepted before and runs.
		It("accepts a job again that was accepted before", func(ctx SpecContext) {
			store := table.NewMemory()
			Expect(intake.New(store, nil, nil).Submit(ctx, large)).To(Equal(intake.Done))
			Expect(newIntake(store).Submit(ctx, large)).To(Equal(intake.Done))
		})

		It("does not tell that a job never runs while it cannot find out", func(ctx SpecContext) {
			Expect(newIntake(unreadableStore{table.NewMemory()}).Submit(ctx, large)).To(Equal(intake.Unknown))
		})

		// Guards against a daemon that accepts without end while no dispatcher counts.
		It("accepts a bounded number of jobs that nobody counts", func(ctx SpecContext) {
			in := newIntake(table.NewMemory())
			outcomes := map[intake.Outcome]int{}
			for i := range 100 {
				next := small
				next.ID, next.Spec = strconv.Itoa(i), strings.Repeat("x", 4000)
				outcomes[in.Submit(ctx, next)]++
			}
			Expect(outcomes[intake.Done]).To(BeNumerically("~", 20, 15))
			Expect(outcomes[intake.Busy]).To(BeNumerically(">", 0))
		})
	})

	Describe("with a dispatcher", func() {
		queryState := func(store table.Store, known batch.State) (batch.State, intake.Outcome, time.Duration) {
			in := intake.New(store, nil, nil)
			in.SetDispatcher(func(context.Context, string) batch.State { return known })
			ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
			defer cancel()
			start := time.Now()
			state, outcome := in.State(ctx, job.ID)
			return state, outcome, time.Since(start)
		}

		It("returns the dispatcher's state while the store does not answer", func() {
			state, outcome, elapsed := queryState(unreadableStore{table.NewMemory()}, batch.Completed)
			Expect(outcome).To(Equal(intake.Done))
			Expect(state).To(Equal(batch.Completed))
			Expect(elapsed).To(BeNumerically("<", 300*time.Millisecond))
		})

		It("returns NotDone when neither the store nor the dispatcher returns the state", func() {
			_, outcome, _ := queryState(unreadableStore{table.NewMemory()}, "")
			Expect(outcome).To(Equal(intake.NotDone))
		})

		It("uses the stored state when the store answers", func() {
			_, outcome, _ := queryState(table.NewMemory(), batch.Completed)
			Expect(outcome).To(Equal(intake.NoSuchJob))
		})
	})
})

// unreadableStore is a store whose reads fail.
type unreadableStore struct{ *table.Memory }

func (unreadableStore) Get(context.Context, string) (table.Row, bool, error) {
	return table.Row{}, false, errors.New("no answer")
}

// deafStore neither applies nor answers commits.
type deafStore struct{ *table.Memory }

func (s *deafStore) Commit(ctx context.Context, _ []table.Condition, _ []table.Write) table.CommitResult {
	<-ctx.Done()
	return table.CommitResult{Status: table.Unknown, Err: ctx.Err()}
}

// Guards against a job that runs after its cancellation was acknowledged: the caller cancelled
// a second time, and was answered because the record of the first cancellation was there,
// which was about to expire.
var _ = Describe("the second cancellation of an unknown job", func() {
	It("is acknowledged only if it is recorded itself", func() {
		const id = "5c0e7a21d94b36f8"
		store := table.NewMemory()
		key := dispatch.JobsPrefix + id + dispatch.CancelSuffix
		first := store.Commit(context.Background(), nil, []table.Write{{Key: key, Value: []byte{1}}})
		ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
		defer cancel()
		outcome := intake.New(&deafStore{Memory: store}, nil, nil).Cancel(ctx, id)
		// The dispatcher deletes the record of the first one.
		expired := store.Commit(context.Background(), []table.Condition{{Key: dispatch.JobsPrefix + id}, {Key: key, Version: first.Version}}, []table.Write{{Key: key, Delete: true}})
		Expect(expired.Status).To(Equal(table.Committed))
		Expect(outcome).NotTo(Equal(intake.NoSuchJob))
	})
})
