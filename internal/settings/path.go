package settings

import (
	"fmt"
	"slices"
	"strings"
)

// noIndex is the index of a step to a field that is not repeated, or to a repeated one as a whole.
const noIndex = -1

// step is one part of a path: a field and, in a repeated one, which entry.
type step struct {
	name  string
	index int
}

// path leads from a file's message to a field; nil is the message itself. Its methods leave it as it is.
type path []step

// fieldPath is the path of a field below the file's message, through messages that are not repeated.
func fieldPath(names ...string) path {
	var result path
	for _, name := range names {
		result = result.field(name)
	}
	return result
}

// field is the path of a field below.
func (p path) field(name string) path { return append(slices.Clip(p), step{name, noIndex}) }

// entry is the path of an entry of a repeated field below.
func (p path) entry(name string, index int) path { return append(slices.Clip(p), step{name, index}) }

// String gives a path such as groups[1].expiry.
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

// problem is what a check found wrong, before its position is known.
type problem struct {
	at   path
	text string
}

func newProblem(at path, format string, args ...any) *problem {
	return &problem{at: at, text: fmt.Sprintf(format, args...)}
}
