// Package discovery supplies a planner with the list of endpoints, the servers that proxies send requests to.
//
// A Source delivers the list of a service registry: FileSource polls a file, StreamSource follows a stream of full lists
// and changes. A Tracker sits between a source and the policy. It turns updates into changes for the policy, converts the
// start times of servers to the planner's clock, and delays removals when a list suddenly lacks many servers, as a fault of
// the source is then more likely than their removal. Save and Restore cache the list in a file across a restart.
//
// Sources do I/O and run in their own goroutine. The tracker does no I/O and is not safe for concurrent use.
package discovery

import (
	"context"

	"lichenpick/policy"
	pb "lichenpick/proto/settings"
)

// Endpoint is one server as a source lists it.
type Endpoint struct {
	Server           string // host:port
	Zone             string // name of the zone, as in the settings
	State            policy.State
	RelativeCapacity float64
	StartedUnixMs    uint64 // Unix time when the server last started, by the source's clock; 0 if long ago or unknown
}

// Update is one update of the endpoint list from a source.
type Update struct {
	Kind      policy.UpdateKind // never policy.RestoredUpdate; see Restored
	AsOfMs    uint64            // Unix time when the list was valid, by the source's clock; servers' ages are relative to AsOfMs
	Version   uint64            // version of the list; increases with each list that the source delivers
	Endpoints []Endpoint        // all endpoints in a full update, the changed ones in a delta
	Fault     string            // why a failed update failed; empty in other updates
	Restored  bool              // whether the update is a full list that was cached before a restart, and may be stale
}

// Source delivers the updates of an endpoint list until the context ends. Run calls deliver in order and from one
// goroutine; deliver may block. A transient fault is delivered as one failed update. Run returns early, with an error, only
// for a permanent fault.
type Source interface {
	Run(ctx context.Context, deliver func(Update)) error
}

// newFullUpdate converts a list, as stored in a file, to a full update.
func newFullUpdate(list *pb.List, version uint64) Update {
	update := Update{Kind: policy.FullUpdate, AsOfMs: list.AsOfUnixMs, Version: version}
	for _, entry := range list.Servers {
		update.Endpoints = append(update.Endpoints, Endpoint{
			Server:           entry.Server,
			Zone:             entry.Zone,
			State:            policy.State(entry.State),
			RelativeCapacity: entry.GetSize(),
			StartedUnixMs:    entry.BornUnixMs,
		})
	}
	return update
}

// faultReporter delivers a fault once, even if several attempts in a row to get the list fail with the same fault.
type faultReporter struct {
	deliver   func(Update)
	lastFault string // fault of the last attempt; empty if the attempt succeeded
}

func (r *faultReporter) reportFailure(err error) {
	fault := err.Error()
	if fault == r.lastFault {
		return
	}
	r.lastFault = fault
	r.deliver(Update{Kind: policy.FailedUpdate, Fault: fault})
}

func (r *faultReporter) reportSuccess() { r.lastFault = "" }
