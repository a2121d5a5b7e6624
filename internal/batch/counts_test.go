package batch_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/batch"
)

// Guards against a statement from a faulty row that makes old counts look recent.
func TestOddStatementsOfCountsAreRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	value, err := batch.EncodeCountsStatement(7, 1500*time.Millisecond)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	version, age, err := batch.DecodeCountsStatement(value)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(version).To(gomega.Equal(int64(7)))
	g.Expect(age).To(gomega.Equal(1500 * time.Millisecond))
	for _, odd := range []api.CountsStatement{{Version: 1, AgeMs: -1}, {Version: -1}, {Version: 1, AgeMs: 1 << 62}} {
		value, err := cbor.Marshal(odd)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, _, err = batch.DecodeCountsStatement(value)
		g.Expect(err).To(gomega.HaveOccurred(), "%+v", odd)
	}
	_, _, err = batch.DecodeCountsStatement([]byte("odd"))
	g.Expect(err).To(gomega.HaveOccurred())
}
