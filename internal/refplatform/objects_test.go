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
	closeAfter(client)
	return client
}

func hostObjects() *standin.Standin {
	return host(standin.Config{Objects: &standin.ListenerConfig{}})
}

// objectsContract is what every object store must meet.
func objectsContract(newObjects func() refplatform.Objects) {
	ctx := context.Background()

	ginkgo.It("reads back what was put, and absence", func() {
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

	ginkgo.It("keeps an existing object when the put is conditional on absence", func() {
		objects := newObjects()
		created, err := objects.Put(ctx, "a", []byte("one"), true)
		gomega.Expect(created, err).To(gomega.BeTrue())
		created, err = objects.Put(ctx, "a", []byte("two"), true)
		gomega.Expect(created, err).To(gomega.BeFalse())
		got, _, err := objects.Get(ctx, "a")
		gomega.Expect(string(got), err).To(gomega.Equal("one"))
	})

	ginkgo.It("deletes, also what does not exist", func() {
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

	objectsContract(func() refplatform.Objects { return objectsClient(hostObjects(), 0) })

	ginkgo.DescribeTable("tells whether a failed put may have taken effect",
		func(faults standin.Faults, matcher gomega.OmegaMatcher, applied bool) {
			s := hostObjects()
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
		ginkgo.Entry("refused connection", standin.Faults{Refuse: true}, beNotSent(), false),
		ginkgo.Entry("down", standin.Faults{Down: true}, beNotSent(), false),
		ginkgo.Entry("lost answer", standin.Faults{LoseEvery: 1}, beMaybeSent(), true),
		ginkgo.Entry("answer cut in its header", standin.Faults{Truncate: true}, beMaybeSent(), true),
		ginkgo.Entry("slower than the timeout", standin.Faults{DelayMs: 600}, beMaybeSent(), true),
	)

	ginkgo.DescribeTable("returns no partial object and no false absence",
		func(faults standin.Faults) {
			s := hostObjects()
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
