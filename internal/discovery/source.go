// Package discovery supplies a planner with the list of endpoints, the servers that proxies send requests to.
//
// A Source delivers what some registry lists: FileSource polls a file, StreamSource follows a stream of full lists and
// changes. A Tracker stands between a source and the policy: it turns updates into changes for the policy, works out when
// servers started by the planner's clock, and takes a list that lacks many servers at once for a fault of its source for a
// while. Save and Restore cache the list in a file over a restart.
//
// Sources do I/O and run in a goroutine of their own; the tracker does none, and is used by one goroutine at a time.
package discovery

import (
	"context"

	"lichenpick/policy"
	pb "lichenpick/proto/settings"
)

// Endpoint is one server as a source lists it.
type Endpoint struct {
	Server           string // host:port
	Zone             string // by name, as in the settings
	State            policy.State
	RelativeCapacity float64
	StartedUnixMs    uint64 // by the source's clock, when the server last started; 0: long ago or not known
}

// Update is what a source delivers.
type Update struct {
	Kind      policy.UpdateKind // policy.RestoredUpdate is not delivered: see Restored
	AsOfMs    uint64            // unix, by the source's clock: when the list was true; ages of servers are counted to it
	Version   uint64            // rises with each list of a source
	Endpoints []Endpoint        // all of them in a full update, those that changed in a delta
	Fault     string            // of a failed update: what went wrong
	Restored  bool              // a full list that was cached before a restart, perhaps stale
}

// Source delivers the updates of a list until the context ends. It delivers in order and from one goroutine, and may block
// in deliver. Faults that may pass are delivered as failed updates, once each; Run returns early, with an error, only for
// those that will not.
type Source interface {
	Run(ctx context.Context, deliver func(Update)) error
}

// newFullUpdate returns the update of a list in the form of a file.
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

// faultReporter delivers a fault once, not at each attempt that meets it.
type faultReporter struct {
	deliver   func(Update)
	lastFault string // empty: the last attempt succeeded
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
