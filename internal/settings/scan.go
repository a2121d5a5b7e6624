package settings

import (
	"errors"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// item is a key with its value as written in the file.
type item struct {
	key   string
	value value
}

// value is a TOML value; elements is set for arrays.
type value struct {
	kind     unstable.Kind
	text     string
	elements []value
}

// scan lists the keys of the file with their lines. It returns false when a
// syntax error hides the rest of the file.
func (l *loader) scan(text []byte) ([]item, bool) {
	s := &scanner{loader: l}
	s.parser.Reset(text)
	for s.parser.NextExpression() {
		s.expression(s.parser.Expression())
	}
	if s.parser.Error() == nil && len(l.problems) > 0 {
		return s.items, true
	}
	// The decoder also finds what the parser leaves open, such as a table
	// defined twice or a number out of range.
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		l.syntaxProblem(err)
		return s.items, false
	}
	return s.items, true
}

func (l *loader) syntaxProblem(err error) {
	p := Problem{File: l.file, Line: 1, Message: err.Error()}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		p.Line, _ = decode.Position()
		p.Key = strings.Join(decode.Key(), ".")
	}
	l.problems = append(l.problems, p)
}

// scanner turns the expressions of a file into items.
type scanner struct {
	loader *loader
	parser unstable.Parser
	table  []string
	items  []item
}

func (s *scanner) expression(node *unstable.Node) {
	switch node.Kind {
	case unstable.Table:
		s.table = s.path(nil, node.Key())
		s.loader.checkTable(strings.Join(s.table, "."))
	case unstable.ArrayTable:
		s.table = s.path(nil, node.Key())
		s.loader.report(strings.Join(s.table, "."), "must be a table, not a list of tables")
	case unstable.KeyValue:
		s.keyValue(s.table, node)
	}
}

// checkTable reports a table that the schema lacks, once for all its keys.
func (l *loader) checkTable(key string) {
	field, found := fieldOf(reflect.ValueOf(&l.settings).Elem(), key)
	switch {
	case !found:
		l.report(key, "unknown table")
	case field.Kind() != reflect.Struct:
		l.report(key, "is a value, not a table")
	}
}

// insideBad tells whether a table around the key has been reported.
func (l *loader) insideBad(key string) bool {
	for cut := strings.LastIndexByte(key, '.'); cut >= 0; cut = strings.LastIndexByte(key, '.') {
		key = key[:cut]
		if l.bad[key] {
			return true
		}
	}
	return false
}

// path joins the parts of a key to the prefix and notes the line of the result.
func (s *scanner) path(prefix []string, parts unstable.Iterator) []string {
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

func (s *scanner) keyValue(prefix []string, node *unstable.Node) {
	full := s.path(prefix, node.Key())
	v := node.Value()
	if v.Kind != unstable.InlineTable {
		s.add(item{key: strings.Join(full, "."), value: convert(v)})
		return
	}
	children := v.Children()
	for children.Next() {
		s.keyValue(full, children.Node())
	}
}

func (s *scanner) add(it item) {
	for _, other := range s.items {
		if other.key == it.key {
			s.loader.report(it.key, "is given twice")
			return
		}
	}
	s.items = append(s.items, it)
}

func convert(node *unstable.Node) value {
	v := value{kind: node.Kind, text: string(node.Data)}
	if node.Kind == unstable.Array {
		children := node.Children()
		for children.Next() {
			v.elements = append(v.elements, convert(children.Node()))
		}
	}
	return v
}

// lineOf returns the line of a key, else of the closest table around it, else 1.
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
