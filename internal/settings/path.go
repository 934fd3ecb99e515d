package settings

import (
	"fmt"
	"slices"
	"strings"
)

// noIndex is the index of a step to a singular field, or to a repeated field as a whole.
const noIndex = -1

// step is one element of a path: a field and, for an entry of a repeated field, its index.
type step struct {
	name  string
	index int
}

// path is the sequence of steps from the top-level message of a file to a field; a nil path denotes the top-level message.
// Methods that extend a path return a new path and do not modify their receiver.
type path []step

// fieldPath returns the path from the top-level message of a file to a field, through singular submessages.
func fieldPath(names ...string) path {
	var result path
	for _, name := range names {
		result = result.field(name)
	}
	return result
}

// field returns the path extended by a field.
func (p path) field(name string) path { return append(slices.Clip(p), step{name, noIndex}) }

// entry returns the path extended by an entry of a repeated field.
func (p path) entry(name string, index int) path { return append(slices.Clip(p), step{name, index}) }

// String returns the path in a form such as groups[1].expiry.
func (p path) String() string {
	parts := make([]string, len(p))
	for depth, current := range p {
		parts[depth] = current.name
		if current.index != noIndex {
			parts[depth] = fmt.Sprintf("%s[%d]", current.name, current.index)
		}
	}
	return strings.Join(parts, ".")
}

// problem is a failed check, before the position in the file is known. The text follows the field's path in the error.
type problem struct {
	at   path
	text string
}

func newProblem(at path, format string, args ...any) *problem {
	return &problem{at: at, text: fmt.Sprintf(format, args...)}
}
