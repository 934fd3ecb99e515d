package settings

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// Error describes the first problem found in a settings file.
type Error struct {
	File   string
	Line   int    // line number, starts at 1; 0: the problem concerns the whole file
	Column int    // column in bytes, starts at 1; 0 if Line is 0
	Field  string // path of the field, such as groups[1].expiry; may be empty

	Problem string // what is wrong and, where it helps, which values are allowed
}

// Error returns file:line:column, the field and the problem as one line of text.
func (e *Error) Error() string {
	position := e.File
	if e.Line > 0 {
		position = fmt.Sprintf("%s:%d:%d", e.File, e.Line, e.Column)
	}
	if e.Field != "" {
		return fmt.Sprintf("%s: %s: %s", position, e.Field, e.Problem)
	}
	return fmt.Sprintf("%s: %s", position, e.Problem)
}

// Patterns of the error texts of the protobuf library.
var (
	positionedError   = regexp.MustCompile(`\(line (\d+):(\d+)\): ?(.*)$`)
	unknownFieldError = regexp.MustCompile(`^unknown field: (.*)$`)
)

// syntaxError converts the protobuf library's decoding error to an Error. It takes the position from the text of that error.
func syntaxError(name string, text []byte, err error) *Error {
	// The library randomly uses normal or non-breaking spaces, so that nobody relies on its error texts.
	problem := strings.ReplaceAll(err.Error(), "\u00a0", " ")
	problem = strings.ReplaceAll(problem, "\n", " ")
	match := positionedError.FindStringSubmatch(problem)
	if match == nil {
		return unexpectedEnd(name, text, problem)
	}
	found := &Error{File: name, Problem: match[3]}
	found.Line, _ = strconv.Atoi(match[1])   // cannot fail: the pattern matches digits only
	found.Column, _ = strconv.Atoi(match[2]) // cannot fail: the pattern matches digits only
	if field := unknownFieldError.FindStringSubmatch(found.Problem); field != nil {
		found.Field = field[1]
		found.Problem = "unknown field"
	}
	return found
}

// unexpectedEnd returns an Error at the end of the text: the library states no position where the text ends too early.
func unexpectedEnd(name string, text []byte, problem string) *Error {
	content := strings.TrimRight(string(text), " \t\r\n")
	return &Error{
		File:    name,
		Line:    1 + strings.Count(content, "\n"),
		Column:  len(content) - strings.LastIndexByte(content, '\n'),
		Problem: strings.TrimPrefix(problem, "proto: "),
	}
}
