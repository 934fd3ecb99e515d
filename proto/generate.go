// Package proto holds the messages of settings files and of the streams between parties.
package proto

//go:generate protoc -I .. --go_out=.. --go_opt=module=lichenpick proto/options/options.proto proto/settings/settings.proto proto/order/order.proto proto/script/script.proto
