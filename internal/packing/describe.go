package packing

import (
	"fmt"
	"strings"

	"github.com/samphirepath/samphirepath/api"
)

// Describe returns a gang as words, such as "4 tasks with 8 accelerators each
// on one rack".
func Describe(tasks int, r api.Resources, adjacency api.Adjacency, model string) string {
	var b strings.Builder
	b.WriteString(Count(tasks, "task"))
	if r.Accelerators > 0 {
		name := "accelerator"
		if model != "" {
			name = model + " " + name
		}
		fmt.Fprintf(&b, " with %s", Count(r.Accelerators, name))
	} else {
		fmt.Fprintf(&b, " with %s", Count(r.Cores, "core"))
	}
	if tasks > 1 {
		b.WriteString(" each")
	}
	switch adjacency {
	case api.AdjacencyWorker:
		b.WriteString(" on one worker")
	case api.AdjacencyRack:
		b.WriteString(" on one rack")
	}
	return b.String()
}

// Count returns the number with the noun, which is in the plural unless the
// number is one.
func Count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
