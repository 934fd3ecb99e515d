package settings

import (
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"lichenpick/proto/options"
)

// checkMessage checks a message and its submessages field by field, and sets the defaults of omitted fields.
func checkMessage(message protoreflect.Message, at path) *problem {
	fields := message.Descriptor().Fields()
	for index := range fields.Len() {
		if found := checkField(message, fields.Get(index), at); found != nil {
			return found
		}
	}
	return nil
}

// fieldCheck returns the check option of a field in the .proto file. If the field has no such option, it returns nil; the
// getters of a nil option return zero values.
func fieldCheck(field protoreflect.FieldDescriptor) *options.Check {
	check, _ := proto.GetExtension(field.Options(), options.E_Check).(*options.Check)
	return check
}

func checkField(message protoreflect.Message, field protoreflect.FieldDescriptor, parent path) *problem {
	switch {
	case field.IsList():
		return checkList(message.Get(field).List(), field, parent)
	case field.Message() != nil:
		return checkSubmessage(message, field, parent.field(string(field.Name())))
	default:
		return checkScalar(message, field, parent.field(string(field.Name())))
	}
}

// checkList checks a repeated field. An empty list stays empty, as lists have no defaults.
func checkList(list protoreflect.List, field protoreflect.FieldDescriptor, parent path) *problem {
	check := fieldCheck(field)
	name := string(field.Name())
	if check.GetRequired() && list.Len() == 0 {
		return newProblem(parent.field(name), "is missing; needs at least one entry")
	}
	if maxEntries := int(check.GetMost()); maxEntries > 0 && list.Len() > maxEntries {
		return newProblem(parent.field(name), "has %d entries; the maximum is %d", list.Len(), maxEntries)
	}
	for index := range list.Len() {
		if found := checkEntry(list.Get(index), field, parent.entry(name, index)); found != nil {
			return found
		}
	}
	return nil
}

// checkEntry checks an entry of a repeated field. An empty string counts as omitted in a singular field, but is rejected in a
// list of prefixes, as the planner parses every entry of the list as a prefix.
func checkEntry(entry protoreflect.Value, field protoreflect.FieldDescriptor, at path) *problem {
	if field.Message() != nil {
		return checkMessage(entry.Message(), at)
	}
	check := fieldCheck(field)
	if check.GetKind() == options.Kind_PREFIX && entry.String() == "" {
		return invalidPrefix("", at)
	}
	return checkValue(entry, field, check, at)
}

// checkSubmessage checks a field that holds a message. It creates an omitted message with defaults, unless the absence of the
// message has a meaning: the message is an alternative of a oneof that was not chosen, or it has required fields.
func checkSubmessage(message protoreflect.Message, field protoreflect.FieldDescriptor, at path) *problem {
	if !message.Has(field) {
		if fieldCheck(field).GetRequired() {
			return newProblem(at, "is missing")
		}
		if field.ContainingOneof() != nil || !hasOnlyOptionalFields(field.Message()) {
			return nil
		}
	}
	return checkMessage(message.Mutable(field).Message(), at)
}

func checkScalar(message protoreflect.Message, field protoreflect.FieldDescriptor, at path) *problem {
	check := fieldCheck(field)
	if !message.Has(field) {
		if check.GetRequired() {
			return newProblem(at, "is missing")
		}
		if check.GetOtherwise() == "" {
			return nil
		}
		if found := setDefault(message, field, check, at); found != nil {
			return found
		}
	}
	return checkValue(message.Get(field), field, check, at)
}
