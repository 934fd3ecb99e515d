package invariant

import (
	"math"

	"lichenpick/proto/order"
)

// endpoint is the state of one server according to the endpoint lists that were sent to a planner.
type endpoint struct {
	zone          string
	startedUnixMs uint64  // start time of the server, which identifies its incarnation; 0: started long ago
	startedAtMs   float64 // when the planner was notified of this incarnation
	removedAtMs   float64 // when the planner was notified that the server drains or is gone; infinite while ready
}

// plannerState holds what a planner knows about endpoints, and the history of the planner's backlog.
type plannerState struct {
	endpoints map[string]*endpoint // endpoints by server name
	backlog   backlog
}

// planner returns the state of the named planner, and creates the state on first use.
func (c *Checker) planner(name string) *plannerState {
	planner := c.planners[name]
	if planner == nil {
		planner = &plannerState{endpoints: map[string]*endpoint{}}
		c.planners[name] = planner
	}
	return planner
}

// RecordEndpoints records an endpoint list that was observed on its way to a planner.
func (c *Checker) RecordEndpoints(plannerName string, atMs float64, listing *order.Listing) {
	if listing.Form == order.Listing_FAILED {
		return
	}
	planner := c.planner(plannerName)
	listed := map[string]bool{}
	for _, entry := range listing.Entries {
		listed[entry.Server] = true
		planner.updateEndpoint(entry, atMs)
	}
	if listing.Form == order.Listing_WHOLE {
		planner.expireMissing(listed, atMs+c.limits.MissingMs)
	}
	for name, proxy := range c.proxies {
		c.evaluateNoServer(name, proxy, atMs)
	}
}

// updateEndpoint applies one entry of an endpoint list.
func (p *plannerState) updateEndpoint(entry *order.Listing_Entry, atMs float64) {
	server := p.endpoints[entry.Server]
	if server == nil {
		server = &endpoint{removedAtMs: math.Inf(1)}
		p.endpoints[entry.Server] = server
	}
	if entry.BornUnixMs != server.startedUnixMs || server.startedAtMs == 0 {
		server.startedAtMs = atMs
	}
	server.startedUnixMs = entry.BornUnixMs
	server.zone = entry.Zone
	switch {
	case entry.State == 0:
		server.removedAtMs = math.Inf(1)
	case server.removedAtMs > atMs: // an earlier removedAtMs stays unchanged
		server.removedAtMs = atMs
	}
}

// expireMissing sets removedAtMs of the ready servers that a full endpoint list lacks.
func (p *plannerState) expireMissing(listed map[string]bool, removedAtMs float64) {
	for name, server := range p.endpoints {
		if !listed[name] && math.IsInf(server.removedAtMs, 1) {
			server.removedAtMs = removedAtMs
		}
	}
}

// RecordPlannerExit records that a planner ended: the planner's state is discarded, and its proxies have no planner.
func (c *Checker) RecordPlannerExit(plannerName string, atMs float64) {
	delete(c.planners, plannerName)
	for name, proxy := range c.proxies {
		if proxy.planner == plannerName {
			c.RecordDisconnect(name, plannerName, atMs)
		}
	}
}
