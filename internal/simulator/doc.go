// Package simulator connects the policy to the simulator's protocol. It makes no decisions of its own.
//
// The simulator sends batches, each as one line of JSON. A batch has a time and the messages of that time. Each message has a
// name ("what") and the planner instance that receives it ("Who"). The reply to a batch is one line with the actions of all
// instances. Serve reads and answers batches until its input ends.
//
// The package has three parts. The codec (decode.go, encode.go, settings.go) translates between the protocol's names and the
// policy's; no other file uses the protocol's names. The adapter (adapter.go) owns the instances, delivers messages to them in
// order and then pulls their decisions. An instance (host.go) is a policy.Host that writes decisions as actions.
package simulator
