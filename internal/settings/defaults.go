package settings

import (
	"fmt"
	"strconv"

	"google.golang.org/protobuf/reflect/protoreflect"

	"lichenpick/proto/options"
)

// setDefault sets an omitted field to the default of its check option.
func setDefault(message protoreflect.Message, field protoreflect.FieldDescriptor, check *options.Check, at path) *problem {
	value, err := defaultValue(field, check.GetOtherwise())
	if err != nil { // the default in the .proto file is wrong, not the settings file
		return newProblem(at, "has an invalid default: %v", err)
	}
	message.Set(field, value)
	return nil
}

// defaultValue parses the text of a default for the field's kind.
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
		return protoreflect.Value{}, fmt.Errorf("fields of kind %s cannot have a default", field.Kind())
	}
}

// hasOnlyOptionalFields reports whether none of a message's fields is required, so that an omitted message can be created
// from defaults.
func hasOnlyOptionalFields(message protoreflect.MessageDescriptor) bool {
	for index := range message.Fields().Len() {
		if fieldCheck(message.Fields().Get(index)).GetRequired() {
			return false
		}
	}
	return true
}
