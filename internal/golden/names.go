package golden

import "google.golang.org/protobuf/reflect/protoreflect"

// CollectNames adds to seen the full names of all fields that are set in a message and its submessages, and of the enumeration
// values of singular fields. Tests compare the collected names with those that the .proto files declare, to ensure that golden
// files cover all declared names.
func CollectNames(message protoreflect.Message, seen map[protoreflect.FullName]bool) {
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		seen[field.FullName()] = true
		switch {
		case field.Enum() != nil && !field.IsList():
			seen[field.Enum().Values().ByNumber(value.Enum()).FullName()] = true
		case field.Message() == nil:
		case field.IsList():
			for index := range value.List().Len() {
				CollectNames(value.List().Get(index).Message(), seen)
			}
		default:
			CollectNames(value.Message(), seen)
		}
		return true
	})
}
