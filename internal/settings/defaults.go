package settings

import (
	"fmt"
	"strconv"

	"google.golang.org/protobuf/reflect/protoreflect"

	"lichenpick/proto/options"
)

// setDefault fills in a field that is left out and has a default.
func setDefault(message protoreflect.Message, field protoreflect.FieldDescriptor, check *options.Check, at path) *problem {
	value, err := defaultValue(field, check.GetOtherwise())
	if err != nil { // a fault of the .proto file, which each test that reads a settings file would show
		return newProblem(at, "has a default that cannot be read: %v", err)
	}
	message.Set(field, value)
	return nil
}

// defaultValue reads a default as it stands in the .proto file.
func defaultValue(field protoreflect.FieldDescriptor, text string) (protoreflect.Value, error) {
	switch field.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(text), nil
	case protoreflect.DoubleKind:
		number, err := strconv.ParseFloat(text, 64)
		return protoreflect.ValueOfFloat64(number), err
	case protoreflect.Uint32Kind:
		number, err := strconv.ParseUint(text, 10, 32)
		return protoreflect.ValueOfUint32(uint32(number)), err
	case protoreflect.Uint64Kind:
		number, err := strconv.ParseUint(text, 10, 64)
		return protoreflect.ValueOfUint64(number), err
	default:
		return protoreflect.Value{}, fmt.Errorf("kind %s takes no default", field.Kind())
	}
}

// hasOnlyOptionalFields says whether a message that is left out can be filled in: none of its fields is required.
func hasOnlyOptionalFields(message protoreflect.MessageDescriptor) bool {
	for index := range message.Fields().Len() {
		if fieldCheck(message.Fields().Get(index)).GetRequired() {
			return false
		}
	}
	return true
}
