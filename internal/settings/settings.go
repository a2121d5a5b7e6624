// Package settings loads the settings of the daemon from a TOML file and checks
// them as a whole: all problems are reported in one pass, each with file, line and key.
package settings

import (
	"fmt"
	"os"
	"sort"

	"github.com/samphirepath/samphirepath/api"
)

// maxFileBytes bounds a settings file; a larger file is not a settings file.
const maxFileBytes = 1 << 20

// Problem is a fault in a settings file. Line is the line of the key; for a
// missing key it is the line of its table, or 1 when the table is missing too.
type Problem struct {
	File    string
	Line    int
	Key     string
	Message string
}

// String returns the problem on one line.
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Message)
}

// Load reads and checks a settings file. The settings are usable only when
// there is no problem.
func Load(path string) (api.Settings, []Problem) {
	info, err := os.Stat(path)
	if err != nil {
		return api.Settings{}, []Problem{{File: path, Line: 1, Message: err.Error()}}
	}
	if info.Size() > maxFileBytes {
		message := fmt.Sprintf("has %d bytes, at most %d are allowed", info.Size(), maxFileBytes)
		return api.Settings{}, []Problem{{File: path, Line: 1, Message: message}}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return api.Settings{}, []Problem{{File: path, Line: 1, Message: err.Error()}}
	}
	return Parse(path, text)
}

// Parse checks the text of a settings file; name is used in problems.
func Parse(name string, text []byte) (api.Settings, []Problem) {
	l := &loader{
		file:  name,
		lines: map[string]int{},
		bad:   map[string]bool{},
	}
	l.settings = Defaults()
	items, complete := l.scan(text)
	for _, item := range items {
		l.assign(item)
	}
	if complete {
		l.checkMissing()
	}
	l.checkValues()
	l.checkTogether()
	sort.SliceStable(l.problems, func(i, j int) bool { return l.problems[i].Line < l.problems[j].Line })
	return l.settings, l.problems
}

// loader holds the state of one check.
type loader struct {
	file     string
	settings api.Settings
	lines    map[string]int  // line of each table and key that is present
	bad      map[string]bool // keys whose value is not usable for further checks
	problems []Problem
}

// report adds a problem of a key and leaves the key out of further checks.
func (l *loader) report(key, format string, arguments ...any) {
	l.bad[key] = true
	l.problems = append(l.problems, Problem{
		File: l.file, Line: l.lineOf(key), Key: key, Message: fmt.Sprintf(format, arguments...),
	})
}

// usable tells whether the key is present or has a default, and is not at fault so far.
func (l *loader) usable(keys ...string) bool {
	for _, key := range keys {
		if l.bad[key] {
			return false
		}
	}
	return true
}
