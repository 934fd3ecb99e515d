// Package simulator connects the policy to the simulator's wire. It decides nothing.
//
// The simulator sends batches, each one line of JSON: a time and the messages of that time, each with its name ("what") and
// the planner instance that it is for ("Who"). Each batch is answered by one line with the actions of all instances. Serve
// reads and answers batches until its input ends.
//
// The package has three parts. The codec (decode.go, encode.go, settings.go) knows the wire's words and maps them to the
// policy's terms; no other file does. The adapter (adapter.go) owns the instances, delivers each its messages in order and
// then pulls its decisions. An instance (host.go) is the policy.Host that turns decisions into actions.
package simulator
