package node_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/dispatch"
	"github.com/samphirepath/samphirepath/internal/node"
	"github.com/samphirepath/samphirepath/internal/relay"
)

// partitionOf returns the partition of the row with a prefix and key.
func partitionOf(prefix, key string) string {
	return node.Layout{}.Partition(prefix[:len(prefix)-1], key)
}

// Guards against a transaction over two partitions, which the platform rejects.
func TestRowsOfOneCommitShareAPartition(t *testing.T) {
	g := gomega.NewWithT(t)
	control := partitionOf(dispatch.ProgressPrefix, "a")
	g.Expect(control).NotTo(gomega.BeEmpty())
	g.Expect(partitionOf(dispatch.ProgressPrefix, "b")).To(gomega.Equal(control))
	g.Expect(partitionOf(dispatch.LeasePrefix, "lease")).To(gomega.Equal(control))
	g.Expect(partitionOf(dispatch.LeasePrefix, "fence")).To(gomega.Equal(control))
	g.Expect(partitionOf(dispatch.CountsPrefix, "pending")).To(gomega.Equal(control))
	g.Expect(partitionOf(dispatch.MarkPrefix, "commit")).To(gomega.Equal(control))
	g.Expect(partitionOf(relay.PeersPrefix, "edge-1")).NotTo(gomega.Equal(control))
	for i := range 100 {
		id := fmt.Sprintf("%016x", i)
		g.Expect(partitionOf(dispatch.JobsPrefix, id)).To(gomega.Equal(partitionOf(dispatch.JobsPrefix, id+dispatch.CancelSuffix)))
	}
}

// Guards against jobs in a partition that is not listed, and against one partition
// that gets most of the submissions.
func TestJobsAreSpreadOverTheListedPartitions(t *testing.T) {
	g := gomega.NewWithT(t)
	listed := node.Layout{}.Partitions(dispatch.JobsPrefix[:len(dispatch.JobsPrefix)-1])
	const jobs = 16000
	count := map[string]int{}
	for i := range jobs {
		count[partitionOf(dispatch.JobsPrefix, fmt.Sprintf("%016x", i))]++
	}
	g.Expect(count).To(gomega.HaveLen(len(listed)))
	for name, n := range count {
		g.Expect(slices.Contains(listed, name)).To(gomega.BeTrue(), name)
		g.Expect(n).To(gomega.BeNumerically("~", jobs/len(listed), jobs/len(listed)/4))
	}
}
