package settings

import (
	"errors"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// keyValue is a dotted key with its value as written in the file.
type keyValue struct {
	key   string
	value value
}

// value is a TOML value. Only arrays have elements.
type value struct {
	kind     unstable.Kind
	text     string
	elements []value
}

// scan returns the keys and values of the file and records the line of each key. It
// returns false if a syntax error makes the rest of the file unreadable.
func (l *loader) scan(text []byte) ([]keyValue, bool) {
	s := &scanner{loader: l}
	s.parser.Reset(text)
	for s.parser.NextExpression() {
		s.scanExpression(s.parser.Expression())
	}
	if s.parser.Error() == nil && len(l.problems) > 0 {
		return s.keyValues, true
	}
	// The decoder also finds errors that the parser does not, such as a table
	// defined twice or a number out of range.
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		l.reportSyntaxError(err)
		return s.keyValues, false
	}
	return s.keyValues, true
}

func (l *loader) reportSyntaxError(err error) {
	p := Problem{File: l.file, Line: 1, Message: err.Error()}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		p.Line, _ = decodeErr.Position()
		p.Key = strings.Join(decodeErr.Key(), ".")
	}
	l.problems = append(l.problems, p)
}

// scanner collects the keys and values of the TOML expressions of a file.
type scanner struct {
	loader    *loader
	parser    unstable.Parser
	table     []string
	keyValues []keyValue
}

func (s *scanner) scanExpression(node *unstable.Node) {
	switch node.Kind {
	case unstable.Table:
		s.table = s.keyPath(nil, node.Key())
		s.loader.checkTable(strings.Join(s.table, "."))
	case unstable.ArrayTable:
		s.table = s.keyPath(nil, node.Key())
		s.loader.report(strings.Join(s.table, "."), "must be a table, not a list of tables")
	case unstable.KeyValue:
		s.scanKeyValue(s.table, node)
	}
}

// checkTable reports a table that is not in the schema, once for all its keys.
func (l *loader) checkTable(key string) {
	field, found := fieldByKey(reflect.ValueOf(&l.settings).Elem(), key)
	switch {
	case !found:
		l.report(key, "unknown table")
	case field.Kind() != reflect.Struct:
		l.report(key, "is a value, not a table")
	}
}

// inInvalidTable reports whether a problem of a table that contains the key has
// been reported.
func (l *loader) inInvalidTable(key string) bool {
	for cut := strings.LastIndexByte(key, '.'); cut >= 0; cut = strings.LastIndexByte(key, '.') {
		key = key[:cut]
		if l.invalid[key] {
			return true
		}
	}
	return false
}

// keyPath appends the parts of a key to the prefix. It records the line of the key
// and of each table in its path.
func (s *scanner) keyPath(prefix []string, parts unstable.Iterator) []string {
	full := append([]string{}, prefix...)
	for parts.Next() {
		part := parts.Node()
		full = append(full, string(part.Data))
		line := s.parser.Shape(part.Raw).Start.Line
		key := strings.Join(full, ".")
		if _, known := s.loader.lines[key]; !known {
			s.loader.lines[key] = line
		}
	}
	return full
}

func (s *scanner) scanKeyValue(prefix []string, node *unstable.Node) {
	full := s.keyPath(prefix, node.Key())
	v := node.Value()
	if v.Kind != unstable.InlineTable {
		s.add(keyValue{key: strings.Join(full, "."), value: convertValue(v)})
		return
	}
	children := v.Children()
	for children.Next() {
		s.scanKeyValue(full, children.Node())
	}
}

func (s *scanner) add(kv keyValue) {
	for _, other := range s.keyValues {
		if other.key == kv.key {
			s.loader.report(kv.key, "is given twice")
			return
		}
	}
	s.keyValues = append(s.keyValues, kv)
}

func convertValue(node *unstable.Node) value {
	v := value{kind: node.Kind, text: string(node.Data)}
	if node.Kind == unstable.Array {
		children := node.Children()
		for children.Next() {
			v.elements = append(v.elements, convertValue(children.Node()))
		}
	}
	return v
}

// lineOf returns the line of a key, else that of the innermost table that contains
// it, else 1.
func (l *loader) lineOf(key string) int {
	for {
		if line, known := l.lines[key]; known {
			return line
		}
		cut := strings.LastIndexByte(key, '.')
		if cut < 0 {
			return 1
		}
		key = key[:cut]
	}
}
