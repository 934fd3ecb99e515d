package invariant

import (
	"math"

	"lichenpick/proto/order"
)

// weightTable is a weight table as a proxy holds it.
type weightTable struct {
	weights map[string]float64 // weights of the table's entries by server
	ejected map[string]bool    // servers ejected in this table; tables assigned by planners share proxyState.ejected
}

// proxyState is what the checker knows about a proxy from the frames that the proxy sent and received.
type proxyState struct {
	planner    string // planner that leads the proxy: its lease holder in a shared fleet, else the connected planner; empty: none
	joinedAtMs float64
	zone       string
	tables     map[uint32]*weightTable // tables assigned since the proxy joined, by table number
	byClass    []*weightTable          // tables in use, indexed by traffic class
	ejected    map[string]bool

	withoutServerSince    []float64 // by traffic class: start of the current period without a server to pick; infinite: none
	withoutServerReported []bool    // by traffic class: the violation in the current period without a server was recorded

	recentMessagesMs  []float64 // decision times of the messages decided in the last Limits.MessageWindowMs
	appliedDecisionMs float64   // decision time of the last message that reached the proxy

	lease leaseState
}

// RecordJoin records the join, the first frame of a proxy's stream, observed on the way to a planner.
func (c *Checker) RecordJoin(name, plannerName string, atMs float64, join *order.Join) {
	known := c.proxies[name]
	if join.Lease != nil && known != nil && known.lease.shared {
		return // a further stream of a known proxy; the leader of this proxy depends on its lease, not on its streams
	}
	proxy := &proxyState{
		planner:    plannerName,
		joinedAtMs: atMs,
		zone:       join.Zone,
	}
	classes := len(c.limits.Idempotency)
	proxy.byClass = make([]*weightTable, classes)
	for class := range proxy.byClass {
		proxy.byClass[class] = &weightTable{}
	}
	proxy.withoutServerSince = make([]float64, classes)
	proxy.withoutServerReported = make([]bool, classes)
	proxy.reset(join.Holds)
	if join.Lease != nil {
		proxy.planner = ""
		proxy.lease.shared = true
		proxy.lease.unacknowledged = map[string]map[uint64]uint64{}
	}
	c.proxies[name] = proxy
	c.evaluateNoServer(name, proxy, atMs)
}

// reset replaces the recorded tables and ejections of the proxy with those that the proxy states it holds.
func (p *proxyState) reset(holds []*order.Holding) {
	p.tables = map[uint32]*weightTable{}
	p.ejected = map[string]bool{}
	for class := range p.withoutServerSince {
		p.withoutServerSince[class] = math.Inf(1)
		p.withoutServerReported[class] = false
	}
	for _, held := range holds {
		table := &weightTable{weights: weightsOf(held.Lines), ejected: map[string]bool{}}
		for _, server := range held.Withdrawn {
			table.ejected[server] = true
		}
		p.useForClasses(table, held.Groups)
	}
}

// useForClasses records that the given traffic classes use a table.
func (p *proxyState) useForClasses(table *weightTable, classes []uint32) {
	for _, class := range classes {
		if int(class) < len(p.byClass) {
			p.byClass[class] = table
		}
	}
}

// weightsOf returns the weights of a table's entries by server.
func weightsOf(entries []*order.Line) map[string]float64 {
	weights := make(map[string]float64, len(entries))
	for _, entry := range entries {
		weights[entry.Server] = entry.Weight
	}
	return weights
}

// RecordDisconnect records that a proxy's stream to a planner ended.
func (c *Checker) RecordDisconnect(name, plannerName string, atMs float64) {
	proxy := c.proxies[name]
	if proxy == nil || proxy.planner != plannerName {
		return
	}
	c.evaluateNoServer(name, proxy, atMs)
	proxy.planner = ""
}

// RecordWelcome records that the answer to a join reached the proxy.
func (c *Checker) RecordWelcome(name string, atMs float64, welcome *order.Welcome) {
	proxy := c.proxies[name]
	if proxy == nil {
		return
	}
	for _, server := range welcome.Withdrawn {
		proxy.ejected[server] = true
	}
	c.evaluateNoServer(name, proxy, atMs)
}

// evaluateNoServer checks [NoServer] for a proxy. It must be called after each change of what the proxy holds or of what the
// proxy's planner knows, and before the proxy loses its planner.
func (c *Checker) evaluateNoServer(name string, proxy *proxyState, atMs float64) {
	if proxy.planner == "" {
		return
	}
	planner := c.planner(proxy.planner)
	for class, table := range proxy.byClass {
		since := proxy.withoutServerSince[class]
		if atMs-since > c.limits.NoServerMs && !proxy.withoutServerReported[class] {
			proxy.withoutServerReported[class] = true
			c.recordViolation(NoServer, atMs, "proxy %s had no server to pick for traffic class %d from %.0f to %.0f ms", name, class, since, atMs)
		}
		switch {
		case proxy.canPick(table) || !c.hasWarmServer(planner, proxy.zone, class, atMs):
			proxy.withoutServerSince[class] = math.Inf(1)
			proxy.withoutServerReported[class] = false
		case math.IsInf(since, 1):
			proxy.withoutServerSince[class] = atMs
		}
	}
}

// canPick reports whether a table has a server that has a positive weight and is not ejected.
func (p *proxyState) canPick(table *weightTable) bool {
	for server, weight := range table.weights {
		if weight > 0 && !table.ejected[server] && !p.ejected[server] {
			return true
		}
	}
	return false
}

// hasWarmServer reports whether a planner knows a ready and warm server that proxies in a zone may use for a traffic class.
func (c *Checker) hasWarmServer(planner *plannerState, zone string, class int, atMs float64) bool {
	for _, server := range planner.endpoints {
		ready := server.removedAtMs > atMs
		warm := server.startedUnixMs == 0 || atMs-server.startedAtMs >= c.limits.SlowStartMs
		reachable := !c.limits.SameZoneOnly[class] || server.zone == zone
		if ready && warm && reachable {
			return true
		}
	}
	return false
}
