// Package policy decides for one planner which weight tables its proxies follow, which servers are ejected, which part of
// the requests is admitted, and when each order is sent.
//
// It has no I/O, no goroutine and no clock, and imports nothing of the module. The same inputs at the same times give the
// same decisions. All times are float64 ms on a clock of the caller's choice that never goes back.
//
// # How to call it
//
// New starts a planner. Whenever something happens, its owner
//
//  1. calls SetTime,
//  2. calls the inputs that tell what happened: UpdateEndpoints, AddProxy and RemoveProxy, RecordLoadReport and RecordDemandReport,
//     Acknowledge, SetLagging; they only update what is known, and ignore what is of no known server, proxy or zone,
//  3. calls Next until it says false. Each call makes at most one decision, by one call on the Host.
//
// Orders between two calls of SetTime share one message for each proxy. Next sets a timer, so that its owner calls SetTime
// and Next again when nothing happens. After a restart, UpdateEndpoints with RestoredUpdate gives the list as last
// held, and ExpectInheritedEjections says of each proxy whether it may follow orders of another planner.
//
// A Policy has no lock: one goroutine at a time may call it. WriteState may be called at any time between other calls.
//
// # Where to find what
//
//	policy.go        the order of decisions in an evaluation
//	outliers.go      ejections and their end
//	admission.go     admission rates and retry modes
//	capacity.go      what each server may be given
//	tables.go        the split of demand and the weights of tables
//	solver.go        the ADMM solver behind the split
//	rollout.go       which orders are sent first
//	pacing.go        what the control channel has room for
//	constants.go     all tuned values
//	host.go          settings, and the interface that decisions go through
//	inputs.go        the input methods
//	measurements.go  demand and figures of servers; they decide nothing, nor do the files below
//	state.go         the types of what is known; records.go and problem.go keep them
//	collections.go   helpers on slices
//	view.go          the state as text, for traces
//
// The reasons are in docs/design.md.
package policy
