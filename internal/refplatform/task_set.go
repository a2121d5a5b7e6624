package refplatform

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// TaskSetHash returns the hash that identifies a set of tasks in renewals. It does not
// depend on the order of the identifiers.
func TaskSetHash(taskIDs []string) string {
	sum := xxhash.New()
	for _, id := range slices.Sorted(slices.Values(taskIDs)) {
		_, _ = sum.WriteString(id) // never fails
		_, _ = sum.Write([]byte{0})
	}
	return fmt.Sprintf("%016x", sum.Sum64())
}
