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

// CheckJSON returns an error if a valid text exceeds the shape. It does not check the
// syntax: decoders of encoding/json do that for the whole text before they allocate.
func CheckJSON(text []byte, shape Shape) error {
	var separators [maxDepth + 1]int
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			for i++; i < len(text) && text[i] != '"'; i++ {
				if text[i] == '\\' {
					i++
				}
			}
		case '[', '{':
			if depth++; depth > min(shape.Depth, maxDepth) {
				return eris.Errorf("arrays and objects are nested more than %d deep", min(shape.Depth, maxDepth))
			}
			separators[depth] = 0
		case ']', '}':
			depth = max(depth-1, 0)
		case ',':
			if separators[depth]++; separators[depth] >= shape.Elements {
				return eris.Errorf("an array or object has more than %d elements", shape.Elements)
			}
		}
	}
	return nil
}
