package settings

import (
	"bytes"

	"github.com/protocolbuffers/txtpbfmt/ast"
	"github.com/protocolbuffers/txtpbfmt/parser"
)

// source is a file's text with its syntax tree, from which the positions of fields are found.
type source struct {
	name  string
	text  []byte
	nodes []*ast.Node
}

// newSource parses a text that the protobuf library has decoded already. If the parser of the syntax tree nevertheless fails,
// problems are located at the start of the file.
func newSource(name string, text []byte) *source {
	nodes, _ := parser.Parse(text)
	return &source{name: name, text: text, nodes: nodes}
}

// locate adds a position to a problem: the position of the deepest element of the problem's path that the file contains. For an
// omitted field, this element is the enclosing message; if the file omits this message too, the position is the file's start.
func (s *source) locate(found *problem) *Error {
	located := &Error{File: s.name, Line: 1, Column: 1, Field: found.at.String(), Problem: found.text}
	nodes := s.nodes
	for _, next := range found.at {
		node := findNode(nodes, next)
		if node == nil {
			break
		}
		located.Line, located.Column = s.position(node)
		nodes = node.Children
	}
	return located
}

// findNode returns the node of a step among the nodes of a message's fields, or nil if no node matches. A repeated field may be
// written as one node per entry, as a list of messages or as a list of values.
func findNode(nodes []*ast.Node, target step) *ast.Node {
	index := 0
	for _, node := range nodes {
		if node.Name != target.name {
			continue
		}
		for _, entry := range entriesOf(node) {
			if target.index == noIndex || index == target.index {
				return entry
			}
			index++
		}
	}
	return nil
}

// entriesOf returns one node for each entry in the node of a repeated field. The entries of a list of values have no nodes of
// their own; all share the field's node.
func entriesOf(node *ast.Node) []*ast.Node {
	switch {
	case node.ChildrenAsList:
		return node.Children
	case len(node.Values) > 1 && node.ValuesAsList:
		entries := make([]*ast.Node, len(node.Values))
		for index := range entries {
			entries[index] = node
		}
		return entries
	default:
		return []*ast.Node{node}
	}
}

// position returns a node's line and column. It skips the white space and comments before the field, which the parser includes
// in the node.
func (s *source) position(node *ast.Node) (line, column int) {
	offset := int(node.Start.Byte)
	for offset < len(s.text) {
		switch s.text[offset] {
		case '#':
			offset += lineLength(s.text[offset:])
		case ' ', '\t', '\n', '\r':
			offset++
		default:
			before := s.text[:offset]
			return 1 + bytes.Count(before, []byte("\n")), offset - bytes.LastIndexByte(before, '\n')
		}
	}
	return int(node.Start.Line), int(node.Start.Column)
}

// lineLength returns the length of the first line in bytes, without its line break.
func lineLength(text []byte) int {
	if end := bytes.IndexByte(text, '\n'); end >= 0 {
		return end
	}
	return len(text)
}
