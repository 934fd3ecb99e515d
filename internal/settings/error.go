package settings

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// Error is the first problem of a file.
type Error struct {
	File   string
	Line   int    // from 1; 0: the whole file
	Column int    // in bytes, from 1; 0 with Line
	Field  string // path such as groups[1].expiry; may be empty

	Problem string // what is wrong, and what would be right
}

// Error gives file:line:column, the field and the problem, in one line.
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

// Forms of the errors of the protobuf library.
var (
	positionedError   = regexp.MustCompile(`\(line (\d+):(\d+)\): ?(.*)$`)
	unknownFieldError = regexp.MustCompile(`^unknown field: (.*)$`)
)

// syntaxError gives the library's error on a text that does not decode, as an Error with its position.
func syntaxError(name string, text []byte, err error) *Error {
	problem := strings.ReplaceAll(err.Error(), "\u00a0", " ") // the library varies its spaces on purpose
	problem = strings.ReplaceAll(problem, "\n", " ")
	match := positionedError.FindStringSubmatch(problem)
	if match == nil {
		return unexpectedEnd(name, text, problem)
	}
	found := &Error{File: name, Problem: match[3]}
	found.Line, _ = strconv.Atoi(match[1])   // digits, by the expression
	found.Column, _ = strconv.Atoi(match[2]) // likewise
	if field := unknownFieldError.FindStringSubmatch(found.Problem); field != nil {
		found.Field = field[1]
		found.Problem = "no such field here"
	}
	return found
}

// unexpectedEnd is a problem at the text's end: the library names no position where the text ends too early.
func unexpectedEnd(name string, text []byte, problem string) *Error {
	content := strings.TrimRight(string(text), " \t\r\n")
	return &Error{
		File:    name,
		Line:    1 + strings.Count(content, "\n"),
		Column:  len(content) - strings.LastIndexByte(content, '\n'),
		Problem: strings.TrimPrefix(problem, "proto: "),
	}
}
