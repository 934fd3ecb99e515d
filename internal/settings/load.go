package settings

import (
	"errors"
	"fmt"
	"os"
	"regexp"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"
)

// maxFileBytes bounds a settings file; a list of 100,000 servers fits.
const maxFileBytes = 32 << 20

// Load reads a file into an empty message, checks every field and fills in what is left out. The error is an *Error. After
// one, the message must not be used.
func Load(path string, into proto.Message) error {
	info, err := os.Stat(path)
	if err != nil {
		return fileError(path, err)
	}
	if info.Size() > maxFileBytes {
		return &Error{File: path, Problem: fmt.Sprintf("holds %d bytes; at most %d", info.Size(), maxFileBytes)}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return fileError(path, err)
	}
	return Parse(path, text, into)
}

// fileError is that a file cannot be read. The path stands in the Error already.
func fileError(path string, err error) *Error {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		err = pathError.Err
	}
	return &Error{File: path, Problem: err.Error()}
}

// Parse is Load for a text at hand; the name stands for the file in errors.
func Parse(name string, text []byte, into proto.Message) error {
	if err := prototext.Unmarshal(text, into); err != nil {
		return syntaxError(name, text, err)
	}
	found := checkMessage(into.ProtoReflect(), nil)
	if found == nil {
		found = checkAcrossFields(into)
	}
	if found == nil {
		return nil
	}
	return newSource(name, text).locate(found)
}

// variableSpace is the space after a field's name, of which the library varies the length on purpose.
var variableSpace = regexp.MustCompile(`(?m)^( *[a-z_0-9]+:) +`)

// Format writes a message, with all that was filled in, as text that Parse reads back to the same. Equal messages give equal
// texts.
func Format(message proto.Message) string {
	text := prototext.MarshalOptions{Multiline: true, Indent: "  "}.Format(message)
	return variableSpace.ReplaceAllString(text, "$1 ")
}
