// Package settings reads settings files in the protobuf text format, one message per file. It checks every field against the
// limits that the .proto files declare with the option of package options, and sets defaults for omitted fields.
//
//	var planner settingspb.Planner
//	if err := settings.Load(path, &planner); err != nil { ... }
//
// A file is accepted or rejected as a whole. The first problem is returned as an *Error, whose one-line text has the file,
// line, column, the field's path and the values that are allowed. Checks run in this order:
//
//   - the text decodes to the message, without unknown fields
//   - each field by itself, in the order of the .proto file: presence, number of entries, syntax, range; an omitted field
//     gets its default, also in messages that are themselves omitted
//   - fields against each other, such as a deadline against the latency objective of its traffic class
//
// Durations, rates, addresses and prefixes are strings in the file and remain strings in the message. Milliseconds, Duration
// and PerSecond convert them after the check.
package settings
