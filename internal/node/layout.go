package node

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirepath/samphirepath/internal/dispatch"
	"github.com/samphirepath/samphirepath/internal/relay"
)

// jobPartitions is the number of partitions of the jobs. A slow store was measured
// at half a second a transaction, one after the other in a partition; 35 daemons
// then submit 11 jobs a second.
const jobPartitions = 16

// Layout spreads the rows over partitions. The rows of the dispatcher are in one,
// since it commits them together; a job and its cancellation are in one of many.
type Layout struct{}

// Partition names the partition of a row.
func (Layout) Partition(name, key string) string {
	switch name + "/" {
	case dispatch.JobsPrefix:
		id := strings.TrimSuffix(key, dispatch.CancelSuffix)
		return jobPartition(xxhash.Sum64String(id) % jobPartitions)
	case dispatch.ProgressPrefix, dispatch.LeasePrefix, dispatch.CountsPrefix:
		return "control"
	case relay.PeersPrefix:
		return "peers"
	}
	return ""
}

// Partitions names all partitions of a table.
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
