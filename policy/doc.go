// Package policy is the decision logic of one planner: which weight table each proxy follows, which servers are ejected,
// which share of the requests is admitted, and when each order is sent.
//
// The package does no I/O, starts no goroutine, reads no clock and imports no other package of the module. It is
// deterministic: the same inputs at the same times lead to the same decisions. All times are float64 ms of a clock that
// the caller chooses and that never goes back.
//
// # Usage
//
// New creates a Policy. For each event, its caller
//
//  1. calls SetTime,
//  2. calls the input methods that describe the event: UpdateEndpoints, AddProxy, RemoveProxy, ExpectInheritedEjections,
//     RecordLoadReport, RecordDemandReport, Acknowledge or SetLagging. Inputs only update the state; an input about an
//     unknown server, proxy, zone or traffic class is ignored, and so is a report with a number out of range.
//  3. calls Next until it returns false. Each call makes at most one decision, as one call of a Host method.
//
// Orders to a proxy between two calls of SetTime share one message. Next asks the host for a timer, so that SetTime and
// Next are also called when there is no event. After a restart of the planner, UpdateEndpoints with RestoredUpdate
// provides the last known endpoint list, and ExpectInheritedEjections marks each proxy that may follow orders of another
// planner.
//
// A Policy has no lock: only one goroutine at a time may call it. WriteState may be called between any two other calls.
//
// # Files
//
//	policy.go        the sequence of an evaluation and of its decisions
//	outliers.go      ejection and readmission of servers
//	admission.go     admission rates and retry modes
//	capacity.go      the capacity that each server is assigned
//	coldservers.go   admission and ejection for the sake of servers in slow start
//	tables.go        the split of demand and the weights of tables
//	solver.go        the ADMM solver that computes the split
//	rollout.go       the order in which changes are sent
//	pacing.go        the message and entry budget of the control channel
//	constants.go     all tuning constants
//	host.go          Settings, and the Host interface that carries out decisions
//	inputs.go        the input methods; inputlimits.go has the limits of the numbers in them
//	measurements.go  demand, and statistics of servers and of the fleet
//	state.go         the types of the state; records.go and problem.go maintain it
//	collections.go   helpers for slices
//	view.go          the state as text, for traces; observer.go notifies a log of changes
//
// docs/design.md explains the design.
package policy
