package node

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirepath/samphirepath/internal/dispatch"
	"github.com/samphirepath/samphirepath/internal/relay"
)

// jobPartitions is the number of partitions of the job rows. A partition executes one
// transaction at a time, and a slow store takes half a second for each: the 26 jobs a
// second that a deployment of 147 daemons submits then keep a fifth of each partition
// busy. A new term lists all of them, in parallel.
const jobPartitions = 64

// Layout assigns rows to partitions. The rows that the dispatcher commits together
// share one partition. Jobs are spread over jobPartitions; a job and its cancellation
// share one of them.
type Layout struct{}

// Partition returns the name of the partition of a row.
func (Layout) Partition(name, key string) string {
	switch name + "/" {
	case dispatch.JobsPrefix:
		id := strings.TrimSuffix(key, dispatch.CancelSuffix)
		return jobPartition(xxhash.Sum64String(id) % jobPartitions)
	case dispatch.ProgressPrefix, dispatch.LeasePrefix, dispatch.CountsPrefix, dispatch.MarkPrefix:
		return "control"
	case relay.PeersPrefix:
		return "peers"
	}
	return ""
}

// Partitions returns the names of all partitions of a table.
func (l Layout) Partitions(name string) []string {
	if name+"/" != dispatch.JobsPrefix {
		return []string{l.Partition(name, "")}
	}
	names := make([]string, jobPartitions)
	for i := range names {
		names[i] = jobPartition(uint64(i))
	}
	return names
}

func jobPartition(n uint64) string { return "jobs-" + strconv.FormatUint(n, 10) }
