package platform

import "lichenpick/policy"

// removedRetentionMs is how long a removed endpoint is known, in ms: longer than the policy remembers it.
const removedRetentionMs = 9e5

// endpoint is a server that discovery has named. Its fields are under the lock of the core.
type endpoint struct {
	name    string
	state   policy.State
	sinceMs float64 // of the state
	// Proxies that this planner has notified of the server's ejection, and those that another planner, or an earlier
	// incarnation of this one, may have notified.
	notified, possiblyNotified proxySet
	// Proxies whose assigned tables were sent without this server.
	omitted proxySet
	// Reports since the last WriteState.
	requests, failed, latencySumMs float64 // the sum is of the requests that succeeded
}

func (e *endpoint) setState(state policy.State, nowMs float64) {
	e.state = state
	e.sinceMs = nowMs
}

// endpointTable holds the servers by name. It is part of the core, and under its lock.
type endpointTable struct {
	byName  map[string]*endpoint
	proxies int // that there can be
}

func newEndpointTable(proxies int) endpointTable {
	return endpointTable{byName: map[string]*endpoint{}, proxies: proxies}
}

// update takes in a list. Removed servers are forgotten after a while, unless they are ejected: proxies have yet to be
// notified of the ejection's end.
func (t *endpointTable) update(kind policy.UpdateKind, list []policy.Endpoint, nowMs float64, ejected map[string]bool) {
	listed := map[string]bool{}
	for _, entry := range list {
		e := t.byName[entry.Server]
		if e == nil {
			e = &endpoint{
				name:             entry.Server,
				sinceMs:          nowMs,
				notified:         newProxySet(t.proxies),
				possiblyNotified: newProxySet(t.proxies),
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
			delete(t.byName, name)
		}
	}
}

// resetNotified notes that a proxy has joined anew: with no ejections, or with those of another planner.
func (t *endpointTable) resetNotified(proxyID int, inherits bool) {
	for _, e := range t.byName {
		e.notified.set(proxyID, false)
		e.possiblyNotified.set(proxyID, inherits)
		e.omitted.set(proxyID, false)
	}
}

// markPossiblyNotified notes that it is not known which ejections have reached a proxy.
func (t *endpointTable) markPossiblyNotified(proxyID int) {
	for _, e := range t.byName {
		e.possiblyNotified.set(proxyID, true)
	}
}

// UpdateEndpoints takes in what discovery says, or as policy.RestoredUpdate what the configuration had of it.
func (c *Core) UpdateEndpoints(kind policy.UpdateKind, list []policy.Endpoint) {
	if kind != policy.FailedUpdate {
		c.Counts.EndpointUpdates++
	}
	c.endpoints.update(kind, list, c.nowMs, c.publisher.registry.Ejected)
	c.policy.UpdateEndpoints(kind, list)
}
