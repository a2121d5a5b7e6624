// Package explain says in plain sentences why a job waits or where it ran, what
// an organisation holds, and what became of a request. All functions are pure.
package explain

import (
	"fmt"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/samphirepath/samphirepath/internal/packing"
)

// maxNamed is the number of names that a sentence lists.
const maxNamed = 4

const day = 24 * time.Hour

// duration writes a time span in words, with at most two units.
func duration(d time.Duration) string {
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

// list joins names with commas and "and", and counts those beyond the first few.
func list(names []string) string {
	if len(names) > maxNamed {
		names = append(names[:maxNamed-1:maxNamed-1], fmt.Sprintf("%d others", len(names)-maxNamed+1))
	}
	if len(names) < 2 {
		return strings.Join(names, "")
	}
	return strings.Join(names[:len(names)-1], ", ") + " and " + names[len(names)-1]
}

// times writes how often something happened.
func times(n int) string {
	switch n {
	case 1:
		return "once"
	case 2:
		return "twice"
	default:
		return fmt.Sprintf("%d times", n)
	}
}

// sentence ends a text with a full stop and begins it with a capital letter.
func sentence(text string) string {
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
