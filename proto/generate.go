// Package proto generates the Go code of the protobuf messages: those of settings files, and those of the streams between
// proxies, planners and endpoint registries.
package proto

//go:generate protoc -I .. --go_out=.. --go_opt=module=lichenpick proto/options/options.proto proto/settings/settings.proto proto/order/order.proto proto/script/script.proto
