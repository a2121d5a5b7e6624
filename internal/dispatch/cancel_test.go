package dispatch_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/dispatch"
	"github.com/samphirepath/samphirepath/internal/intake"
)

// Guards against a job that runs after its cancellation was acknowledged: its submission
// was not answered, the caller cancelled it, and the store applied it seconds later.
var _ = Describe("the cancellation of a job whose submission is applied later", func() {
	const id = "5c0e7a21d94b36f8"
	cancelUnknown := func(f *fixture) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		Expect(intake.New(f.store, nil, nil).Cancel(ctx, id)).To(Equal(intake.NoSuchJob))
	}
	submit := func(f *fixture) {
		f.submit(batch.Job{ID: id, Spec: `{"ms":50}`, Steps: []batch.Step{task(1)}})
	}
	recorded := func(f *fixture) func() bool {
		return func() bool {
			_, found, err := f.store.Memory.Get(context.Background(), dispatch.JobsPrefix+id+dispatch.CancelSuffix)
			Expect(err).NotTo(HaveOccurred())
			return found
		}
	}

	It("holds", func() {
		f := newFixture(1)
		f.startDispatcher("a")
		cancelUnknown(f)
		time.Sleep(300 * time.Millisecond)
		submit(f)
		Eventually(f.state(id)).WithTimeout(timeout).Should(Equal(batch.Cancelled))
		Expect(f.starts()).To(BeEmpty())
	})

	It("holds after a hand-over", func() {
		f := newFixture(1)
		_, kill := f.startDispatcher("a")
		cancelUnknown(f)
		kill()
		d, _ := f.startDispatcher("b")
		Eventually(d.Leading).WithTimeout(timeout).Should(BeTrue())
		time.Sleep(300 * time.Millisecond)
		submit(f)
		Eventually(f.state(id)).WithTimeout(timeout).Should(Equal(batch.Cancelled))
		Expect(f.starts()).To(BeEmpty())
	})

	It("is recorded for a while only", func() {
		f := newFixture(1)
		f.cancelRetention = 500 * time.Millisecond
		f.startDispatcher("a")
		cancelUnknown(f)
		Expect(recorded(f)()).To(BeTrue())
		Eventually(recorded(f)).WithTimeout(3 * time.Second).Should(BeFalse())
		submit(f)
		Eventually(f.state(id)).WithTimeout(timeout).Should(Equal(batch.Completed))
	})
})
