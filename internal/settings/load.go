// Package settings reads settings files: protobuf text format, checked field by field against the limits that
// stand beside each field in the .proto files. A bad file gives one line that names the place and what would
// be right.
package settings

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/protocolbuffers/txtpbfmt/ast"
	"github.com/protocolbuffers/txtpbfmt/parser"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"
)

// maxBytes bounds a settings file; a list of 100,000 servers fits.
const maxBytes = 32 << 20

// Error is one fault of a file.
type Error struct {
	File         string
	Line, Column int    // from 1; 0: the whole file
	Field        string // path such as groups[1].expiry, may be empty
	Problem      string // what is wrong, and what would be right
}

func (e *Error) Error() string {
	at := e.File
	if e.Line > 0 {
		at = fmt.Sprintf("%s:%d:%d", e.File, e.Line, e.Column)
	}
	if e.Field != "" {
		return fmt.Sprintf("%s: %s: %s", at, e.Field, e.Problem)
	}
	return fmt.Sprintf("%s: %s", at, e.Problem)
}

// Load reads a file into an empty message, checks every field and fills in what is left out.
func Load(path string, into proto.Message) error {
	info, err := os.Stat(path)
	if err != nil {
		return &Error{File: path, Problem: plain(err)}
	}
	if info.Size() > maxBytes {
		return &Error{File: path, Problem: fmt.Sprintf("holds %d bytes; at most %d", info.Size(), maxBytes)}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return &Error{File: path, Problem: plain(err)}
	}
	return Parse(path, text, into)
}

// Parse is Load for a text at hand; the name stands in errors.
func Parse(name string, text []byte, into proto.Message) error {
	if err := prototext.Unmarshal(text, into); err != nil {
		return located(name, text, err)
	}
	f := &file{name: name, text: text}
	f.nodes, _ = parser.Parse(text) // only for places; the text is well formed by now
	if bad := checkMessage(into.ProtoReflect(), nil); bad != nil {
		return f.at(bad)
	}
	if bad := checkAcrossFields(into); bad != nil {
		return f.at(bad)
	}
	return nil
}

// Format writes a message with all that was filled in.
func Format(m proto.Message) string {
	text := prototext.MarshalOptions{Multiline: true, Indent: "  "}.Format(m)
	// The library varies its spaces on purpose, so that nobody compares its output; we want it the same.
	return regexp.MustCompile(`(?m)^( *[a-z_0-9]+:) +`).ReplaceAllString(text, "$1 ")
}

var (
	place   = regexp.MustCompile(`\(line (\d+):(\d+)\): ?(.*)$`)
	unknown = regexp.MustCompile(`^unknown field: (.*)$`)
)

func located(name string, in []byte, err error) error {
	text := strings.ReplaceAll(strings.ReplaceAll(err.Error(), "\u00a0", " "), "\n", " ")
	m := place.FindStringSubmatch(text)
	if m == nil { // the library names no place where the text ends too early
		end := strings.TrimRight(string(in), " \t\r\n")
		return &Error{
			File: name, Line: 1 + strings.Count(end, "\n"), Column: 1 + len(end) - strings.LastIndexByte(end, '\n') - 1,
			Problem: strings.TrimPrefix(text, "proto: "),
		}
	}
	e := &Error{File: name, Problem: m[3]}
	fmt.Sscan(m[1], &e.Line)
	fmt.Sscan(m[2], &e.Column)
	if u := unknown.FindStringSubmatch(e.Problem); u != nil {
		e.Field, e.Problem = u[1], "no such field here"
	}
	return e
}

func plain(err error) string {
	var p *os.PathError
	if errors.As(err, &p) {
		return p.Err.Error()
	}
	return err.Error()
}

// step is one part of a path: a field and, in a repeated one, which entry.
type step struct {
	name  string
	index int // -1: not repeated
}

// fault is what a check found wrong, before its place is known.
type fault struct {
	path []step
	what string
}

func wrong(path []step, format string, args ...any) *fault {
	return &fault{append([]step(nil), path...), fmt.Sprintf(format, args...)}
}

func field(path []step, name string) []step {
	return append(append([]step(nil), path...), step{name, -1})
}

func entry(path []step, name string, index int) []step {
	return append(append([]step(nil), path...), step{name, index})
}

func (f *fault) String() string {
	parts := make([]string, len(f.path))
	for n, s := range f.path {
		if parts[n] = s.name; s.index >= 0 {
			parts[n] = fmt.Sprintf("%s[%d]", s.name, s.index)
		}
	}
	return strings.Join(parts, ".")
}

type file struct {
	name  string
	text  []byte
	nodes []*ast.Node
}

// at finds the place of a fault: the deepest node of its path that the file has.
func (f *file) at(bad *fault) error {
	e := &Error{File: f.name, Field: bad.String(), Problem: bad.what}
	nodes := f.nodes
	for _, s := range bad.path {
		found := find(nodes, s)
		if found == nil {
			break
		}
		e.Line, e.Column = f.place(found)
		nodes = found.Children
	}
	if e.Line == 0 {
		e.Line, e.Column = 1, 1
	}
	return e
}

func find(nodes []*ast.Node, s step) *ast.Node {
	n := 0
	for _, node := range nodes {
		if node.Name != s.name {
			continue
		}
		each := []*ast.Node{node}
		switch {
		case node.ChildrenAsList:
			each = node.Children
		case len(node.Values) > 1 && node.ValuesAsList:
			each = nil
			for range node.Values {
				each = append(each, node)
			}
		}
		for _, one := range each {
			if s.index < 0 || n == s.index {
				return one
			}
			n++
		}
	}
	return nil
}

// place skips blanks and comments that the parser books to the node.
func (f *file) place(n *ast.Node) (line, column int) {
	at := int(n.Start.Byte)
	for at < len(f.text) {
		switch f.text[at] {
		case '#':
			for at < len(f.text) && f.text[at] != '\n' {
				at++
			}
		case ' ', '\t', '\n', '\r':
			at++
		default:
			before := f.text[:at]
			line = 1 + strings.Count(string(before), "\n")
			return line, at - strings.LastIndexByte(string(before), '\n')
		}
	}
	return int(n.Start.Line), int(n.Start.Column)
}
