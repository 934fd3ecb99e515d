package settings

import (
	"errors"
	"fmt"
	"os"
	"regexp"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"
)

// maxFileBytes is the maximum size of a settings file. An endpoint list of 100,000 servers fits.
const maxFileBytes = 32 << 20

// Load reads a settings file into an empty message, checks every field and sets the defaults of omitted fields. The error is
// an *Error; after an error the message must not be used.
func Load(path string, into proto.Message) error {
	info, err := os.Stat(path)
	if err != nil {
		return fileError(path, err)
	}
	if info.Size() > maxFileBytes {
		return &Error{File: path, Problem: fmt.Sprintf("has %d bytes; the maximum is %d", info.Size(), maxFileBytes)}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return fileError(path, err)
	}
	return Parse(path, text, into)
}

// fileError converts an error of reading a file to an Error. It drops the path from the cause, as the Error contains the path.
func fileError(path string, err error) *Error {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		err = pathError.Err
	}
	return &Error{File: path, Problem: err.Error()}
}

// Parse works like Load, but reads a text instead of a file. The string name appears in errors as the name of the file.
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

// variableSpace matches a field's name and the spaces after it. The protobuf library varies the number of spaces at random, so
// that nobody relies on the exact output.
var variableSpace = regexp.MustCompile(`(?m)^( *[a-z_0-9]+:) +`)

// Format returns a message as text, including the defaults that were set. Parse reads the text back to an equal message. Equal
// messages have equal texts.
func Format(message proto.Message) string {
	text := prototext.MarshalOptions{Multiline: true, Indent: "  "}.Format(message)
	return variableSpace.ReplaceAllString(text, "$1 ")
}
