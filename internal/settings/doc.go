// Package settings reads settings files: protobuf text format, one message a file, checked against the limits that stand
// beside each field in the .proto files (package options), with what is left out filled in.
//
//	var planner settingspb.Planner
//	if err := settings.Load(path, &planner); err != nil { ... }
//
// A file is accepted whole or rejected whole. The first problem found is an *Error with file, line, column, the field's path
// and what would be right, in one line. Checks run in this order:
//
//   - the text decodes to the message, without unknown fields
//   - each field by itself, in the order of the .proto file: required, number of entries, range, form; a field that is left
//     out gets its default, also below messages that are left out
//   - fields against each other, such as a deadline against its latency objective
//
// Times, rates, addresses and prefixes are texts in the file and stay so in the message. Milliseconds, Duration and PerSecond
// read those that were checked.
package settings
