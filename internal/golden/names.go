package golden

import "google.golang.org/protobuf/reflect/protoreflect"

// CollectNames notes the fields that a message, or one below it, holds, and the names of their values of enumerations. Tests
// compare them with all that the messages declare, so that nothing is missing from a golden file.
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
