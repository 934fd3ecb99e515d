package discovery

import (
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"lichenpick/policy"
	pb "lichenpick/proto/settings"
)

// How missing servers are treated.
const (
	// maxMissingShare is the part of the servers that may be missing from a full list at once and are believed gone. More is
	// rather a fault of the source.
	maxMissingShare = 0.3
	// minMissingToDelay is the number of missing servers from which on their removal may be delayed. Of a handful, one or two may well go
	// together.
	minMissingToDelay = 3
	// removalDelayMs is how long the removal of missing servers is delayed, in ms. A source that polls may lack them for a poll or two.
	removalDelayMs = 10_000.0
	// RemovedRetentionMs is how long a removed server is remembered, in ms. The policy forgets one earlier, so that no late decision
	// of it is about an unknown server.
	RemovedRetentionMs = 900_000.0
)

// earliestStartMs is what starts before the origin of the planner's clock count as, in ms. 0 would mean that the start is not
// known; any server is warm by far by the time that this is decided on.
const earliestStartMs = 1.0

// Host takes what a tracker decided. It is called by Tracker.Next, in its caller's goroutine.
type Host interface {
	// UpdateEndpoints states the endpoints that changed, or all in the first call that is no failed update. Starts are in ms
	// of the planner's clock. A failed update has no endpoints.
	UpdateEndpoints(kind policy.UpdateKind, endpoints []policy.Endpoint)
}

// trackedEndpoint is what the tracker knows of one server.
type trackedEndpoint struct {
	Endpoint           // as last listed; State is Removed once it is believed gone
	startedMs  float64 // by the planner's clock, worked out when StartedUnixMs was first listed; 0: not known
	listed     bool    // in the last update that covers it
	removalMs  float64 // when it is believed gone if it is not listed; infinite while it is listed
	changed    bool    // since it was reported to the host
	reportedMs float64 // when it was reported to the host last
}

// Tracker turns the updates of sources into those for the policy. A server that a source states to be draining or removed is
// believed at once. One that is only missing from a full list is believed gone at once while few are, and after
// removalDelayMs when many are. This guards against a source that answers with a part of its list, or with none, and a file
// that is read while it is written. It harms when a whole zone is really taken out of the list in one step: requests go
// there until its servers are ejected or the time is over.
//
// Input methods only update what the tracker knows; Next passes on what follows from it. A tracker is not safe for use by
// two goroutines at once. Times are in ms of the planner's monotonic clock, unless said otherwise.
type Tracker struct {
	zones        map[string]int // index by name
	maxEndpoints int
	nowMs        float64
	endpoints    map[string]*trackedEndpoint // by server
	order        []string                    // servers as first listed, so that reports have the same order each time

	sourceFailed bool    // a failed update is to be passed on
	received     bool    // a first list came
	restored     bool    // the first list is one from before a restart
	reported     bool    // a first list was passed on
	dirty        bool    // an update came since the last evaluation
	deadlineMs   float64 // when the next unverified endpoint is believed gone; infinite if none is

	Rejected   int // endpoints over the limit or of unknown zones, since the start
	Unverified int // endpoints that are missing from the last list and whose removal is delayed
}

// NewTracker returns a tracker for zones, by name in the order of the policy's indices, that holds at most maxEndpoints.
func NewTracker(zones []string, maxEndpoints int) *Tracker {
	tracker := &Tracker{
		zones:        map[string]int{},
		maxEndpoints: maxEndpoints,
		endpoints:    map[string]*trackedEndpoint{},
		deadlineMs:   math.Inf(1),
	}
	for index, zone := range zones {
		tracker.zones[zone] = index
	}
	return tracker
}

// SetTime states the time. It is to be called before other inputs and before Next.
func (t *Tracker) SetTime(nowMs float64) { t.nowMs = nowMs }

// RecordUpdate records an update of a source.
func (t *Tracker) RecordUpdate(update Update) {
	if update.Kind == policy.FailedUpdate {
		t.sourceFailed = true
		return
	}
	t.dirty = true
	t.restored = update.Restored && !t.received
	t.received = true
	if update.Kind == policy.FullUpdate {
		for _, endpoint := range t.endpoints {
			endpoint.listed = false
		}
	}
	for _, endpoint := range update.Endpoints {
		t.recordEndpoint(endpoint, update.AsOfMs)
	}
	if update.Kind == policy.FullUpdate {
		t.scheduleRemovals()
	}
}

// recordEndpoint updates one listed server.
func (t *Tracker) recordEndpoint(listed Endpoint, asOfUnixMs uint64) {
	endpoint := t.endpoints[listed.Server]
	_, zoneKnown := t.zones[listed.Zone]
	if !zoneKnown || endpoint == nil && !t.ensureCapacity() {
		t.Rejected++
		return
	}
	if endpoint == nil {
		endpoint = &trackedEndpoint{changed: true}
		t.endpoints[listed.Server] = endpoint
		t.order = append(t.order, listed.Server)
	}
	// The start is worked out once, and by the source's clock alone. Guards against steps of this machine's date or the
	// source's, which would otherwise look like restarts of all servers.
	if listed.StartedUnixMs != endpoint.StartedUnixMs {
		endpoint.startedMs = t.startedMs(listed, asOfUnixMs)
		endpoint.changed = true
	}
	if endpoint.State != listed.State || endpoint.Zone != listed.Zone || endpoint.RelativeCapacity != listed.RelativeCapacity {
		endpoint.changed = true
	}
	endpoint.Endpoint = listed
	endpoint.listed = true
	endpoint.removalMs = math.Inf(1)
}

// startedMs is when a server started by the planner's clock; 0: not known.
func (t *Tracker) startedMs(listed Endpoint, asOfUnixMs uint64) float64 {
	if listed.StartedUnixMs == 0 {
		return 0
	}
	ageMs := math.Max(float64(asOfUnixMs)-float64(listed.StartedUnixMs), 0)
	return math.Max(t.nowMs-ageMs, earliestStartMs)
}

// ensureCapacity reports whether one more server can be held. If need be it forgets one that is removed and was reported so.
func (t *Tracker) ensureCapacity() bool {
	if len(t.endpoints) < t.maxEndpoints {
		return true
	}
	for index, server := range t.order {
		endpoint := t.endpoints[server]
		if endpoint.State == policy.Removed && !endpoint.changed {
			delete(t.endpoints, server)
			t.order = slices.Delete(t.order, index, index+1)
			return true
		}
	}
	return false
}

// scheduleRemovals sets when each server that is missing from a full list is believed gone.
func (t *Tracker) scheduleRemovals() {
	tooMany := t.tooManyMissing()
	t.Unverified = 0
	for _, endpoint := range t.endpoints {
		if endpoint.listed || endpoint.State == policy.Removed {
			endpoint.removalMs = math.Inf(1)
			continue
		}
		if !tooMany {
			endpoint.removalMs = t.nowMs
		} else if math.IsInf(endpoint.removalMs, 1) {
			endpoint.removalMs = t.nowMs + removalDelayMs
		}
		if endpoint.removalMs > t.nowMs {
			t.Unverified++
		}
	}
}

// tooManyMissing reports whether more servers are missing from the last full list than are likely gone.
func (t *Tracker) tooManyMissing() bool {
	missing := 0
	present := 0
	for _, endpoint := range t.endpoints {
		if endpoint.State == policy.Removed {
			continue
		}
		present++
		if !endpoint.listed {
			missing++
		}
	}
	return missing >= minMissingToDelay && float64(missing) > maxMissingShare*float64(present)
}

// Next passes on at most one update, and reports whether it did: callers call it until it does not.
func (t *Tracker) Next(host Host) bool {
	if t.sourceFailed {
		t.sourceFailed = false
		host.UpdateEndpoints(policy.FailedUpdate, nil)
		return true
	}
	if !t.received || !t.dirty && t.nowMs < t.deadlineMs {
		return false
	}
	t.dirty = false
	t.deadlineMs = math.Inf(1)
	changes := t.takeChanges()
	kind := policy.DeltaUpdate
	switch {
	case t.reported && len(changes) == 0:
		return false
	case !t.reported && t.restored:
		kind = policy.RestoredUpdate
	case !t.reported:
		kind = policy.FullUpdate
	}
	t.reported = true
	host.UpdateEndpoints(kind, changes)
	return true
}

// takeChanges returns the endpoints that are to be reported to the host, and records that they are reported. It forgets
// servers that were removed long ago.
func (t *Tracker) takeChanges() []policy.Endpoint {
	var changes []policy.Endpoint
	retained := t.order[:0]
	for _, server := range t.order {
		endpoint := t.endpoints[server]
		if endpoint.State == policy.Removed && !endpoint.changed && t.nowMs-endpoint.reportedMs > RemovedRetentionMs {
			delete(t.endpoints, server)
			continue
		}
		retained = append(retained, server)
		t.removeOverdue(endpoint)
		if !endpoint.changed && (t.reported || endpoint.State == policy.Removed) {
			continue
		}
		endpoint.changed = false
		endpoint.reportedMs = t.nowMs
		changes = append(changes, policy.Endpoint{
			Server:           server,
			Zone:             t.zones[endpoint.Zone],
			State:            endpoint.State,
			RelativeCapacity: endpoint.RelativeCapacity,
			StartedMs:        endpoint.startedMs,
		})
	}
	t.order = retained
	return changes
}

// removeOverdue removes a server that has been missing for long enough, and sets the deadline for one that has not.
func (t *Tracker) removeOverdue(endpoint *trackedEndpoint) {
	if endpoint.listed || endpoint.State == policy.Removed {
		return
	}
	if endpoint.removalMs > t.nowMs {
		t.deadlineMs = math.Min(t.deadlineMs, endpoint.removalMs)
		return
	}
	endpoint.State = policy.Removed
	endpoint.changed = true
	t.Unverified = max(t.Unverified-1, 0)
}

// Deadline is when Next may have something to pass on: now after an update, when a missing server is believed gone
// otherwise. It is infinite if no server is missing.
func (t *Tracker) Deadline() float64 {
	if t.dirty {
		return t.nowMs
	}
	return t.deadlineMs
}

// CountByState counts the servers that are held, the removed ones that are remembered among them.
func (t *Tracker) CountByState() (ready, draining, removed int) {
	for _, endpoint := range t.endpoints {
		switch endpoint.State {
		case policy.Ready:
			ready++
		case policy.Draining:
			draining++
		default:
			removed++
		}
	}
	return ready, draining, removed
}

// Snapshot returns the servers that are not removed, for Save, with starts by this machine's date, which is wallMs (unix) now.
func (t *Tracker) Snapshot(wallMs uint64) *pb.List {
	list := &pb.List{KeptUnixMs: wallMs, AsOfUnixMs: wallMs}
	for _, server := range t.order {
		endpoint := t.endpoints[server]
		if endpoint.State == policy.Removed {
			continue
		}
		entry := &pb.List_Entry{
			Server: server,
			Zone:   endpoint.Zone,
			State:  pb.List_State(endpoint.State),
			Size:   proto.Float64(endpoint.RelativeCapacity),
		}
		ageMs := math.Max(t.nowMs-endpoint.startedMs, 0)
		if endpoint.StartedUnixMs > 0 && float64(wallMs) > ageMs {
			entry.BornUnixMs = wallMs - uint64(ageMs)
		}
		list.Servers = append(list.Servers, entry)
	}
	return list
}
