package requests_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/standin"
)

// Guards against new work on a minion that has said by its own header that it is
// leaving, from a daemon that takes it over later and has not seen the header.
func TestLeavingMinionTakenOver(t *testing.T) {
	g := gomega.NewWithT(t)
	r, err := startRig(size{daemons: 2, minions: 3, vmListLag: listLag})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { g.Expect(r.close()).To(gomega.Succeed()) }()
	r.Gomega = gomega.NewGomega(func(message string, _ ...int) { t.Fatal(message) })
	id := r.minionID(1)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	wait := r.loadDaemons(ctx)
	began := time.Now()
	g.Expect(r.Standin.SetFaults(minionTarget(id), standin.Faults{Leaving: true})).To(gomega.Succeed())
	limit := began.Add(leaveLimit + listLag)
	time.Sleep(time.Until(limit))
	g.Expect(r.owner(ctx, id).Kill()).To(gomega.Succeed())
	time.Sleep(leaveLimit) // the other daemon takes the minions over
	stop()
	wait()
	g.Expect(r.lateStarts(id, limit)).To(gomega.BeZero(), "requests sent to the leaving minion by its new owner")
}
