package refplatform

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// TaskSetHash names a set of tasks in renewals. The order of the identifiers does not
// matter.
func TaskSetHash(taskIDs []string) string {
	sum := xxhash.New()
	for _, id := range slices.Sorted(slices.Values(taskIDs)) {
		_, _ = sum.WriteString(id) // never fails
		_, _ = sum.Write([]byte{0})
	}
	return fmt.Sprintf("%016x", sum.Sum64())
}
