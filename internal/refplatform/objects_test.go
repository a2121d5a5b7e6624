package refplatform_test

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/internal/standin"
)

func objectsClient(s *standin.Standin, timeout time.Duration) *refplatform.ObjectsClient {
	ginkgo.GinkgoHelper()
	client, err := refplatform.NewObjects(refplatform.Config{URL: "http://" + s.Addresses().Objects, Timeout: timeout})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	closeAfterSpec(client)
	return client
}

func runObjects() *standin.Standin {
	return runStandin(standin.Config{Objects: &standin.ListenerConfig{}})
}

// objectsContract defines the specs that every object store must pass.
func objectsContract(newObjects func() refplatform.Objects) {
	ctx := context.Background()

	ginkgo.It("returns a stored object, and reports a missing one", func() {
		objects := newObjects()
		_, ok, err := objects.Get(ctx, "a/ö ?&%")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(ok).To(gomega.BeFalse())
		for _, value := range []string{"\x00one\xff", "two", ""} {
			_, err = objects.Put(ctx, "a/ö ?&%", []byte(value), false)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			got, ok, err := objects.Get(ctx, "a/ö ?&%")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(ok).To(gomega.BeTrue())
			gomega.Expect(string(got)).To(gomega.Equal(value))
		}
	})

	ginkgo.It("does not overwrite an existing object if the put requires absence", func() {
		objects := newObjects()
		created, err := objects.Put(ctx, "a", []byte("one"), true)
		gomega.Expect(created, err).To(gomega.BeTrue())
		created, err = objects.Put(ctx, "a", []byte("two"), true)
		gomega.Expect(created, err).To(gomega.BeFalse())
		got, _, err := objects.Get(ctx, "a")
		gomega.Expect(string(got), err).To(gomega.Equal("one"))
	})

	ginkgo.It("deletes objects, and accepts the deletion of a missing one", func() {
		objects := newObjects()
		_, err := objects.Put(ctx, "a", []byte("one"), false)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(objects.Delete(ctx, "a")).To(gomega.Succeed())
		gomega.Expect(objects.Delete(ctx, "a")).To(gomega.Succeed())
		_, ok, err := objects.Get(ctx, "a")
		gomega.Expect(ok, err).To(gomega.BeFalse())
	})
}

var _ = ginkgo.Describe("ObjectsClient", func() {
	ctx := context.Background()

	objectsContract(func() refplatform.Objects { return objectsClient(runObjects(), 0) })

	ginkgo.DescribeTable("reports whether a failed put may have taken effect",
		func(faults standin.Faults, matcher gomega.OmegaMatcher, applied bool) {
			s := runObjects()
			client := objectsClient(s, shortTimeout)
			setFaults(s, standin.TargetObjects, faults)
			_, err := client.Put(ctx, "a", []byte("one"), true)
			gomega.Expect(err).To(matcher)
			setFaults(s, standin.TargetObjects, standin.Faults{})
			gomega.Eventually(func() bool {
				_, ok, err := client.Get(ctx, "a")
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				return ok
			}, "3s").Should(gomega.Equal(applied))
		},
		ginkgo.Entry("refused connection", standin.Faults{Refuse: true}, beNotApplied(), false),
		ginkgo.Entry("down", standin.Faults{Down: true}, beNotApplied(), false),
		ginkgo.Entry("lost answer", standin.Faults{LoseEvery: 1}, beMaybeApplied(), true),
		ginkgo.Entry("answer truncated in its header", standin.Faults{Truncate: true}, beMaybeApplied(), true),
		ginkgo.Entry("slower than the timeout", standin.Faults{DelayMs: 600}, beMaybeApplied(), true),
	)

	ginkgo.DescribeTable("returns an error instead of a partial or missing object when a read fails",
		func(faults standin.Faults) {
			s := runObjects()
			client := objectsClient(s, shortTimeout)
			_, err := client.Put(ctx, "a", []byte("a long enough value"), false)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			setFaults(s, standin.TargetObjects, faults)
			_, _, err = client.Get(ctx, "a")
			gomega.Expect(err).To(gomega.HaveOccurred())
		},
		ginkgo.Entry("refused connection", standin.Faults{Refuse: true}),
		ginkgo.Entry("down", standin.Faults{Down: true}),
		ginkgo.Entry("truncated answer", standin.Faults{Truncate: true}),
		ginkgo.Entry("paused", standin.Faults{Silent: true}),
	)
})
