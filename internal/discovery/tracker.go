package discovery

import (
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"lichenpick/policy"
	pb "lichenpick/proto/settings"
)

// Handling of missing and removed servers.
const (
	// maxMissingShare is the largest share of the servers that may be missing from a full list and still be removed at
	// once. If more are missing, a fault of the source is more likely than the removal of so many servers.
	maxMissingShare = 0.3
	// minMissingToDelay is the smallest count of missing servers whose removal may be delayed. In a small fleet one or two
	// servers may well be removed together.
	minMissingToDelay = 3
	// removalDelayMs is how long the removal of missing servers is delayed, in ms. A polled source whose list lacks the
	// servers for one or two polls lists them again within this delay.
	removalDelayMs = 10_000.0
	// RemovedRetentionMs is how long the tracker retains a removed server, in ms. The policy drops a removed server
	// earlier, so that it never decides about a server that the tracker no longer knows.
	RemovedRetentionMs = 900_000.0
)

// earliestStartMs replaces start times before the origin of the planner's clock, in ms. A start time of 0 would mean that
// the start is unknown. A server that started before the origin has long completed its slow start, so the replacement has
// no effect on it.
const earliestStartMs = 1.0

// Host receives a tracker's updates. Tracker.Next calls the host in the goroutine that called Next.
type Host interface {
	// UpdateEndpoints reports the endpoints that changed since they were last reported. A failed update has no endpoints;
	// the first update that is not a failed one has all endpoints. Start times are in ms of the planner's clock.
	UpdateEndpoints(kind policy.UpdateKind, endpoints []policy.Endpoint)
}

// trackedEndpoint is the tracker's state of one server.
type trackedEndpoint struct {
	Endpoint           // endpoint as last listed, except that State is Removed once the server was missing for too long
	startedMs  float64 // start of the server by the planner's clock, computed when StartedUnixMs last changed; 0 if unknown
	listed     bool    // whether the server was listed in the last full list, or in a later change
	removalMs  float64 // when the server is removed unless a list contains it by then; infinite while it is listed
	changed    bool    // whether the server has changed since it was reported to the host
	reportedMs float64 // when the server was last reported to the host
}

// Tracker converts the updates of sources to those for the policy. A server that a source lists as draining or removed
// takes that state at once. Servers that are only missing from a full list are removed at once while they are few, and
// after removalDelayMs when they are many. This tolerates a source that returns a part of its list or an empty one, and a
// file that is read while it is written. The drawback: if a whole zone really is taken out of the list in one step, proxies
// still send requests to the zone's servers until these are ejected or the delay has passed.
//
// Input methods only update the tracker's state; Next reports the resulting changes. A tracker is not safe for concurrent
// use. Times are in ms of the planner's monotonic clock, unless stated otherwise.
type Tracker struct {
	zones        map[string]int // zone index by name
	maxEndpoints int
	nowMs        float64
	endpoints    map[string]*trackedEndpoint // tracked servers by name
	order        []string                    // servers in the order of their first listing; they are reported in this order

	sourceFailed bool    // whether a failed update has yet to be reported
	received     bool    // whether a list has been received
	restored     bool    // whether the first received list was cached before a restart
	reported     bool    // whether a list has been reported to the host
	dirty        bool    // whether an update was received since the last evaluation
	deadlineMs   float64 // when the next unverified endpoint is removed; infinite if there is none

	Rejected   int // endpoints rejected since the start: over the limit or of an unknown zone
	Unverified int // endpoints that are missing from the last list and whose removal is delayed
}

// NewTracker returns a tracker that holds at most maxEndpoints servers. The parameter zones lists the zone names in the
// order of the policy's zone indices.
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

// SetTime sets the current time. Call it before other input methods and before Next.
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
	// The start is computed only when the listed start time changes, and from the source's clock alone. Otherwise a step of
	// this machine's clock, or of the source's clock, would look like a restart of all servers.
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

// startedMs returns when a server started, by the planner's clock; 0 if unknown.
func (t *Tracker) startedMs(listed Endpoint, asOfUnixMs uint64) float64 {
	if listed.StartedUnixMs == 0 {
		return 0
	}
	ageMs := math.Max(float64(asOfUnixMs)-float64(listed.StartedUnixMs), 0)
	return math.Max(t.nowMs-ageMs, earliestStartMs)
}

// ensureCapacity reports whether one more server can be added. If the limit is reached, it drops a removed server whose
// removal was reported to the host, if there is one.
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

// scheduleRemovals sets when each server that is missing from a full list is due for removal.
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

// tooManyMissing reports whether the last full list lacks so many servers that a fault of the source is likely.
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

// Next passes at most one update to the host, and reports whether it passed one. Callers repeat the call until it returns
// false.
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

// takeChanges returns the endpoints to report to the host, and marks them as reported. It drops servers that were removed
// more than RemovedRetentionMs ago.
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

// removeOverdue removes a missing server that is due for removal. If a missing server is not due yet, it lowers
// deadlineMs to its removal time.
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

// Deadline returns when Next may have an update to report: now if an update was received, otherwise when the next missing
// server is due for removal. It is infinite if no server is missing.
func (t *Tracker) Deadline() float64 {
	if t.dirty {
		return t.nowMs
	}
	return t.deadlineMs
}

// CountByState counts the tracked servers by state. Removed servers count as long as they are retained.
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

// Snapshot returns the servers that are not removed, for Save. wallMs is the current Unix time; start times are computed
// from it and the ages of the servers.
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
