package ingress

import "github.com/rotisserie/eris"

// Shape bounds a JSON text. Decoding can take many times the memory of the text: an empty
// object of 3 bytes may become a structure of some hundred.
type Shape struct {
	Depth    int // of nested arrays and objects
	Elements int // of an array, or members of an object
}

// maxDepth bounds Shape.Depth, so that CheckJSON allocates nothing.
const maxDepth = 64

// CheckJSON returns an error if a valid text, which may be in pieces, exceeds the shape. It
// does not check the syntax: decoders of encoding/json do that for the whole text before
// they allocate.
func CheckJSON(shape Shape, pieces ...[]byte) error {
	checker := shapeChecker{shape: Shape{Depth: min(shape.Depth, maxDepth), Elements: shape.Elements}}
	for _, piece := range pieces {
		if err := checker.check(piece); err != nil {
			return err
		}
	}
	return nil
}

// shapeChecker is the state of CheckJSON between two bytes.
type shapeChecker struct {
	shape           Shape
	separators      [maxDepth + 1]int // by depth
	depth           int
	quoted, escaped bool // in a string; after a backslash in it
}

func (s *shapeChecker) check(text []byte) error {
	for _, c := range text {
		if s.quoted {
			s.quoted = s.escaped || c != '"'
			s.escaped = !s.escaped && c == '\\'
			continue
		}
		switch c {
		case '"':
			s.quoted = true
		case '[', '{':
			if s.depth++; s.depth > s.shape.Depth {
				return eris.Errorf("arrays and objects are nested more than %d deep", s.shape.Depth)
			}
			s.separators[s.depth] = 0
		case ']', '}':
			s.depth = max(s.depth-1, 0)
		case ',':
			if s.separators[s.depth]++; s.separators[s.depth] >= s.shape.Elements {
				return eris.Errorf("an array or object has more than %d elements", s.shape.Elements)
			}
		}
	}
	return nil
}
