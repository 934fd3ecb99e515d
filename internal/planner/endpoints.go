package planner

import (
	"time"

	"lichenpick/internal/discovery"
	"lichenpick/policy"
	pb "lichenpick/proto/settings"
)

// endpointState is a server as the endpoint list last stated it.
type endpointState struct {
	state        policy.State
	lastListedMs float64        // when the list last stated it
	loads        []*pendingLoad // by zone of the reporting proxies; nil until the first report
}

// endpointRegistry is what is known of servers.
type endpointRegistry struct {
	tracker  *discovery.Tracker
	byServer map[string]*endpointState
	changed  bool // since the list was last saved
}

// newEndpointRegistry makes one that knows no servers, by checked settings.
func newEndpointRegistry(set *pb.Planner) endpointRegistry {
	var zones []string
	for _, zone := range set.Zones {
		zones = append(zones, zone.Name)
	}
	return endpointRegistry{
		tracker:  discovery.NewTracker(zones, int(set.List.GetMostServers())),
		byServer: map[string]*endpointState{},
	}
}

// record takes over a server's state.
func (r *endpointRegistry) record(server string, state policy.State, nowMs float64) {
	endpoint := r.byServer[server]
	if endpoint == nil {
		endpoint = &endpointState{}
		r.byServer[server] = endpoint
	}
	endpoint.state = state
	endpoint.lastListedMs = nowMs
}

// isLeaving reports whether a server is listed and drains or is removed.
func (r *endpointRegistry) isLeaving(server string) bool {
	endpoint := r.byServer[server]
	return endpoint != nil && endpoint.state != policy.Ready
}

// isReady reports whether a server is listed as ready.
func (r *endpointRegistry) isReady(server string) bool {
	endpoint := r.byServer[server]
	return endpoint != nil && endpoint.state == policy.Ready
}

// forgetRemoved forgets servers that were removed long ago. It guards against names that pile up with each release.
func (r *endpointRegistry) forgetRemoved(nowMs float64, ejected map[string]bool) {
	for server, endpoint := range r.byServer {
		if endpoint.state == policy.Removed && nowMs-endpoint.lastListedMs > discovery.RemovedRetentionMs && !ejected[server] {
			delete(r.byServer, server)
		}
	}
}

// takeSnapshot returns the list to save, if it changed since the last call; nil if not.
func (r *endpointRegistry) takeSnapshot(wallTime time.Time) *pb.List {
	if !r.changed {
		return nil
	}
	r.changed = false
	return r.tracker.Snapshot(uint64(wallTime.UnixMilli()))
}

// endpointUpdater passes what the tracker believes of the list on to the policy. It is the tracker's host.
type endpointUpdater struct{ core *Core }

// UpdateEndpoints takes over a list, or changes of one, and tells the policy.
func (u endpointUpdater) UpdateEndpoints(kind policy.UpdateKind, endpoints []policy.Endpoint) {
	c := u.core
	for _, endpoint := range endpoints {
		c.endpoints.record(endpoint.Server, endpoint.State, c.nowMs)
		startedRecently := endpoint.StartedMs > c.nowMs+policyOriginMs-c.warmUpMs
		if endpoint.State != policy.Ready || startedRecently {
			// Our list shows the drain by now, or the server has started anew since.
			for p := range c.proxies.all() {
				delete(p.inheritedDrainUntilMs, endpoint.Server)
			}
		}
	}
	if kind != policy.FailedUpdate {
		c.endpoints.changed = true
	}
	c.policy.UpdateEndpoints(kind, endpoints)
	c.endpoints.forgetRemoved(c.nowMs, c.registry.Ejected)
}
