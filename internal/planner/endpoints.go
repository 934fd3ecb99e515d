package planner

import (
	"time"

	"lichenpick/internal/discovery"
	"lichenpick/policy"
	pb "lichenpick/proto/settings"
)

// endpointState is a server's last known state and its pending loads.
type endpointState struct {
	state        policy.State
	lastUpdateMs float64        // when the tracker last reported the server
	loads        []*pendingLoad // pending load from each zone's proxies, by zone; nil until the first report
}

// endpointRegistry holds the servers of the endpoint list.
type endpointRegistry struct {
	tracker  *discovery.Tracker
	byServer map[string]*endpointState
	changed  bool // whether the list has changed since it was last saved
}

// newEndpointRegistry returns a registry without servers, for checked settings.
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

// record sets a server's state, and adds the server if it is new.
func (r *endpointRegistry) record(server string, state policy.State, nowMs float64) {
	endpoint := r.byServer[server]
	if endpoint == nil {
		endpoint = &endpointState{}
		r.byServer[server] = endpoint
	}
	endpoint.state = state
	endpoint.lastUpdateMs = nowMs
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

// forgetRemoved deletes servers that were removed more than discovery.RemovedRetentionMs ago and are not ejected. Without
// this deletion, each deployment, which replaces servers, would use more memory.
func (r *endpointRegistry) forgetRemoved(nowMs float64, ejected map[string]bool) {
	for server, endpoint := range r.byServer {
		if endpoint.state == policy.Removed && nowMs-endpoint.lastUpdateMs > discovery.RemovedRetentionMs && !ejected[server] {
			delete(r.byServer, server)
		}
	}
}

// takeSnapshot returns the endpoint list to save; nil if the list has not changed since the last call.
func (r *endpointRegistry) takeSnapshot(wallTime time.Time) *pb.List {
	if !r.changed {
		return nil
	}
	r.changed = false
	return r.tracker.Snapshot(uint64(wallTime.UnixMilli()))
}

// endpointUpdater is the tracker's host: it passes the endpoints that the tracker has accepted to the registry and the
// policy.
type endpointUpdater struct{ core *Core }

// UpdateEndpoints records an endpoint list, or changes to the current one, and passes it to the policy.
func (u endpointUpdater) UpdateEndpoints(kind policy.UpdateKind, endpoints []policy.Endpoint) {
	c := u.core
	for _, endpoint := range endpoints {
		c.endpoints.record(endpoint.Server, endpoint.State, c.nowMs)
		startedRecently := endpoint.StartedMs > c.nowMs+policyOriginMs-c.warmUpMs
		if endpoint.State != policy.Ready || startedRecently {
			// Ends all inherited drains of this server: either this planner's list now shows that the server is not ready, or
			// the server has restarted after its drain.
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
