package platform

import (
	"slices"

	"lichenpick/policy"
)

// removedRetentionMs is how long a removed endpoint is kept, in ms. The policy forgets removed servers earlier.
const removedRetentionMs = 9e5

// endpoint is a server that discovery has listed. It is guarded by the core's lock.
type endpoint struct {
	name    string
	state   policy.State
	sinceMs float64 // Unix ms at which the server entered its present state
	// Proxies that this planner has notified of the server's ejection, and proxies that another planner, or an earlier
	// incarnation of this one, may have notified of an ejection of the server.
	notified, possiblyNotified proxySet
	// Proxies that were sent their tables without the entry of this server.
	omitted proxySet
	// Sums of the load reports since the last WriteState.
	requests, failed, latencySumMs float64 // the latencies are of requests that succeeded
}

func (e *endpoint) setState(state policy.State, nowMs float64) {
	e.state = state
	e.sinceMs = nowMs
}

// endpointTable holds the endpoints by server name. It belongs to the core and is guarded by the core's lock.
type endpointTable struct {
	byName  map[string]*endpoint
	proxies int // maximum number of proxies; all proxy ids are lower
	// Proxies that may hold ejections of servers that are not in byName: of another planner, or of servers forgotten since.
	mayHoldEjections proxySet
}

func newEndpointTable(proxies int) endpointTable {
	return endpointTable{byName: map[string]*endpoint{}, proxies: proxies, mayHoldEjections: newProxySet(proxies)}
}

// update applies an endpoint list. Removed servers are forgotten after removedRetentionMs, unless they are ejected, because
// proxies have yet to be notified of the end of the ejection.
func (t *endpointTable) update(kind policy.UpdateKind, list []policy.Endpoint, nowMs float64, ejected map[string]bool) {
	listed := map[string]bool{}
	for _, entry := range list {
		e := t.byName[entry.Server]
		if e == nil {
			e = &endpoint{
				name:             entry.Server,
				sinceMs:          nowMs,
				notified:         newProxySet(t.proxies),
				possiblyNotified: slices.Clone(t.mayHoldEjections),
				omitted:          newProxySet(t.proxies),
			}
			t.byName[entry.Server] = e
		}
		if entry.State != e.state {
			e.setState(entry.State, nowMs)
		}
		listed[entry.Server] = true
	}
	complete := kind == policy.FullUpdate || kind == policy.RestoredUpdate
	for name, e := range t.byName {
		if complete && !listed[name] && e.state != policy.Removed {
			e.setState(policy.Removed, nowMs)
		}
		if e.state == policy.Removed && nowMs-e.sinceMs > removedRetentionMs && !ejected[name] {
			t.mayHoldEjections.add(e.notified)
			t.mayHoldEjections.add(e.possiblyNotified)
			delete(t.byName, name)
		}
	}
}

// resetNotified resets the notifications of a proxy that has joined. With inherits, the proxy may hold ejections of another
// planner.
func (t *endpointTable) resetNotified(proxyID int, inherits bool) {
	t.mayHoldEjections.set(proxyID, inherits)
	for _, e := range t.byName {
		e.notified.set(proxyID, false)
		e.possiblyNotified.set(proxyID, inherits)
		e.omitted.set(proxyID, false)
	}
}

// markPossiblyNotified records that it is unknown which ejections have reached a proxy.
func (t *endpointTable) markPossiblyNotified(proxyID int) {
	t.mayHoldEjections.set(proxyID, true)
	for _, e := range t.byName {
		e.possiblyNotified.set(proxyID, true)
	}
}

// UpdateEndpoints applies an endpoint list of discovery or, as policy.RestoredUpdate, the list in the configuration.
func (c *Core) UpdateEndpoints(kind policy.UpdateKind, list []policy.Endpoint) {
	if kind != policy.FailedUpdate {
		c.Counts.EndpointUpdates++
	}
	c.endpoints.update(kind, list, c.nowMs, c.publisher.registry.Ejected)
	c.policy.UpdateEndpoints(kind, list)
}
