package settings

import (
	"bytes"

	"github.com/protocolbuffers/txtpbfmt/ast"
	"github.com/protocolbuffers/txtpbfmt/parser"
)

// source is a file's text with its syntax tree, to find positions.
type source struct {
	name  string
	text  []byte
	nodes []*ast.Node
}

// newSource parses a text that decoded before. Where this parser differs and fails, problems have the file's start for their
// position.
func newSource(name string, text []byte) *source {
	nodes, _ := parser.Parse(text)
	return &source{name: name, text: text, nodes: nodes}
}

// locate gives a problem with its position: that of the deepest node of its path that the file has, as a field that is left
// out has none.
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

// findNode finds the node of a step among the fields of a message; nil if there is none. A repeated field may be written as
// one node for each entry, as a list of messages or as a list of values.
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

// entriesOf gives the node of each entry that a field's node stands for.
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

// position gives a node's line and column. It skips the blanks and comments before, which the parser counts to the node.
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

// lineLength is the number of bytes before the first line's end.
func lineLength(text []byte) int {
	if end := bytes.IndexByte(text, '\n'); end >= 0 {
		return end
	}
	return len(text)
}
