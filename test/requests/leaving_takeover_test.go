package requests_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/standin"
)

// Guards against a daemon that takes over a leaving minion and sends it new work,
// because the minion announced that it is leaving only in a header of its answers to
// the previous owner.
func TestLeavingMinionTakenOver(t *testing.T) {
	g := gomega.NewWithT(t)
	tc, err := startCluster(clusterConfig{daemons: 2, minions: 3, vmListLag: listLag})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { g.Expect(tc.close()).To(gomega.Succeed()) }()
	tc.Gomega = gomega.NewGomega(func(message string, _ ...int) { t.Fatal(message) })
	id := tc.minionID(1)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	wait := tc.loadDaemons(ctx)
	start := time.Now()
	g.Expect(tc.Standin.SetFaults(minionTarget(id), standin.Faults{Leaving: true})).To(gomega.Succeed())
	limit := start.Add(leavingLimit + listLag)
	time.Sleep(time.Until(limit))
	g.Expect(tc.owner(ctx, id).Kill()).To(gomega.Succeed())
	time.Sleep(leavingLimit) // until the other daemon has taken the minions over
	stop()
	wait()
	g.Expect(tc.startsAfter(id, limit)).To(gomega.BeZero(), "requests sent to the leaving minion by its new owner")
}
