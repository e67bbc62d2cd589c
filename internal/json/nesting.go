package json

import (
	"bytes"
	"fmt"
)

// maxDepth is the deepest nesting of lists and objects that Unmarshal accepts. The library decodes each level,
// also of an unknown field, with a recursive call, so that a body of a few hundred KB would otherwise take more
// memory for its stack than a controller has. The messages of the protocol have fewer than ten levels.
const maxDepth = 1000

// NestingError reports a JSON text with more than maxDepth levels of lists and objects.
type NestingError struct{}

// Error implements error.
func (e *NestingError) Error() string {
	return fmt.Sprintf("json: more than %d levels of lists and objects", maxDepth)
}

// checkDepth returns a *NestingError if a text has too many levels. A text with fewer opening brackets than
// that, as nearly every message is, needs no closer look.
func checkDepth(data []byte) error {
	if bytes.Count(data, []byte{'['})+bytes.Count(data, []byte{'{'}) <= maxDepth {
		return nil
	}
	depth, inString := 0, false
	for i := 0; i < len(data); i++ {
		switch symbol := data[i]; {
		case inString && symbol == '\\':
			i++ // the next byte is escaped
		case symbol == '"':
			inString = !inString
		case inString:
		case symbol == '[' || symbol == '{':
			depth++
		case symbol == ']' || symbol == '}':
			depth--
		}
		if depth > maxDepth {
			return &NestingError{}
		}
	}
	return nil
}
