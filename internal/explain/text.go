// Package explain describes in plain sentences why a job waits or where it ran, what
// an organisation holds, and the outcome of a request. All functions are pure.
package explain

import (
	"fmt"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/samphirepath/samphirepath/internal/packing"
)

// maxListedNames bounds the number of names that a sentence lists.
const maxListedNames = 4

const day = 24 * time.Hour

// formatDuration formats a duration in words, with at most two units.
func formatDuration(d time.Duration) string {
	units := []struct {
		size time.Duration
		name string
	}{{day, "day"}, {time.Hour, "hour"}, {time.Minute, "minute"}, {time.Second, "second"}}
	for i, u := range units {
		if d < u.size {
			continue
		}
		text := packing.Count(int(d/u.size), u.name)
		if i+1 < len(units) {
			if rest := int(d % u.size / units[i+1].size); rest > 0 {
				text += " " + packing.Count(rest, units[i+1].name)
			}
		}
		return text
	}
	return "less than a second"
}

// joinNames joins names with commas and "and". If there are more than maxListedNames,
// it replaces the last ones with their number.
func joinNames(names []string) string {
	if len(names) > maxListedNames {
		names = append(names[:maxListedNames-1:maxListedNames-1], fmt.Sprintf("%d others", len(names)-maxListedNames+1))
	}
	if len(names) < 2 {
		return strings.Join(names, "")
	}
	return strings.Join(names[:len(names)-1], ", ") + " and " + names[len(names)-1]
}

// formatTimes formats a number of occurrences as "once", "twice" or "n times".
func formatTimes(n int) string {
	switch n {
	case 1:
		return "once"
	case 2:
		return "twice"
	default:
		return fmt.Sprintf("%d times", n)
	}
}

// toSentence starts the text with a capital letter and ends it with a full stop.
func toSentence(text string) string {
	text = strings.TrimSpace(text)
	if text == "" {
		return ""
	}
	first, size := utf8.DecodeRuneInString(text)
	text = string(unicode.ToUpper(first)) + text[size:]
	if !strings.HasSuffix(text, ".") {
		text += "."
	}
	return text
}
