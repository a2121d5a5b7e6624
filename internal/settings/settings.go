// Package settings loads the settings of the daemon from a TOML file and validates
// them. All problems are reported in one pass, each with file, line and key.
package settings

import (
	"fmt"
	"os"
	"sort"

	"github.com/samphirepath/samphirepath/api"
)

// maxFileBytes bounds the size of a settings file, so that a wrong path does not
// read a large file into memory.
const maxFileBytes = 1 << 20

// Problem is an error in a settings file. Line is the line of the key. For a missing
// key it is the line of its table, or 1 if the table is missing too.
type Problem struct {
	File    string
	Line    int
	Key     string
	Message string
}

// String returns the problem as one line of the form file:line: key: message.
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Message)
}

// Load reads and validates a settings file. The settings are valid only if no
// problem is returned.
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

// Parse parses and validates the text of a settings file. name is the file name in the
// returned problems.
func Parse(name string, text []byte) (api.Settings, []Problem) {
	l := &loader{
		file:    name,
		lines:   map[string]int{},
		invalid: map[string]bool{},
	}
	l.settings = Defaults()
	keyValues, complete := l.scan(text)
	for _, kv := range keyValues {
		l.assign(kv)
	}
	if complete {
		l.checkMissing()
	}
	l.checkValues()
	l.checkRelations()
	sort.SliceStable(l.problems, func(i, j int) bool { return l.problems[i].Line < l.problems[j].Line })
	return l.settings, l.problems
}

// loader holds the state of parsing and validating one file.
type loader struct {
	file     string
	settings api.Settings
	lines    map[string]int  // line of each table and key in the file
	invalid  map[string]bool // keys with a reported problem; further checks skip them
	problems []Problem
}

// report adds a problem of a key and excludes the key from further checks.
func (l *loader) report(key, format string, arguments ...any) {
	l.invalid[key] = true
	l.problems = append(l.problems, Problem{
		File: l.file, Line: l.lineOf(key), Key: key, Message: fmt.Sprintf(format, arguments...),
	})
}

// usable reports whether no problem of any of the keys has been reported so far.
func (l *loader) usable(keys ...string) bool {
	for _, key := range keys {
		if l.invalid[key] {
			return false
		}
	}
	return true
}
