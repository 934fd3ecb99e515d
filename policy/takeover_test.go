package policy

import (
	"fmt"
	"slices"
	"testing"
)

const (
	takeoverServers          = 120
	takeoverOwnProxies       = 60    // proxies that joined long before the takeover; enough to use each table
	takeoverInheritedProxies = 200   // proxies that join with tables of another planner
	takeoverDrainBatchSize   = 20    // servers that begin to drain together
	evaluationStepMs         = 200   // ms between two calls of SetTime
	acknowledgeEvery         = 5     // evaluations between two times at which proxies answer requests for acknowledgements
	assignedWithinMs         = 3500  // ms from joins to assignments; the channel takes 2.5 s for tables and 0.5 s for drains
	restoredWithinMs         = 15000 // ms from the joins until all omitted entries are restored
)

type decisionKind int

const (
	ejectionDecision decisionKind = iota
	assignmentDecision
	restorationDecision
	singleEjectionDecision
)

// takeoverDecision is a decision of a kind that matters in a takeover.
type takeoverDecision struct {
	kind              decisionKind
	atMs              float64 // ms since the inherited proxies joined
	proxy, table      int
	servers           []string // servers that were ejected, omitted or restored
	includeUnassigned bool
}

// takeoverHost is a fakeHost that also records the decisions of type takeoverDecision, in order.
type takeoverHost struct {
	*fakeHost
	joinedMs    float64
	evaluations int
	decisions   []takeoverDecision
}

func (h *takeoverHost) record(d takeoverDecision) {
	d.atMs = h.nowMs - h.joinedMs
	h.decisions = append(h.decisions, d)
}

func (h *takeoverHost) SetEjected(server string, ejected, includeUnassigned bool) {
	h.fakeHost.SetEjected(server, ejected, includeUnassigned)
	if ejected {
		h.record(takeoverDecision{kind: ejectionDecision, servers: []string{server}, includeUnassigned: includeUnassigned})
	}
}

func (h *takeoverHost) AssignTable(proxy, table int, classes []int, omitted []string) {
	h.fakeHost.AssignTable(proxy, table, classes, omitted)
	h.record(takeoverDecision{kind: assignmentDecision, proxy: proxy, table: table, servers: omitted})
}

func (h *takeoverHost) EjectServers(proxy int, servers []string) {
	h.fakeHost.EjectServers(proxy, servers)
	h.record(takeoverDecision{kind: singleEjectionDecision, proxy: proxy, servers: servers})
}

func (h *takeoverHost) RestoreServers(proxy int, servers []string) {
	h.record(takeoverDecision{kind: restorationDecision, proxy: proxy, servers: servers})
}

// advance moves the time forward. Acknowledgements are sent once a second, as over a busy channel.
func (h *takeoverHost) advance(ms int) {
	for range ms / evaluationStepMs {
		h.evaluate()
		h.nowMs += evaluationStepMs
		h.planner.SetTime(h.nowMs)
		if h.evaluations++; h.evaluations%acknowledgeEvery == 0 {
			h.acknowledgeAll()
		}
	}
	h.evaluate()
}

func (h *takeoverHost) evaluate() {
	for h.planner.Next(h) {
		continue
	}
}

// startTakeover starts a planner with proxies of its own. Then servers drain, and proxies with tables of another planner join.
func startTakeover(t *testing.T, drains ...Endpoint) *takeoverHost {
	t.Helper()
	return startTakeoverWith(t, testSettings(), drains...)
}

func startTakeoverWith(t *testing.T, set Settings, drains ...Endpoint) *takeoverHost {
	t.Helper()
	set.OmitsEntries = true
	set.ReadmitByWeight = true
	set.Proxies = takeoverOwnProxies + takeoverInheritedProxies
	h := &takeoverHost{fakeHost: startPlanner(set)}
	h.planner.UpdateEndpoints(RestoredUpdate, readyServers(takeoverServers))
	for id := range takeoverOwnProxies {
		h.planner.AddProxy(id, id%2, 10)
	}
	h.advance(10000)
	h.joinedMs = h.nowMs
	h.decisions = nil
	h.planner.UpdateEndpoints(DeltaUpdate, drains)
	for id := takeoverOwnProxies; id < takeoverOwnProxies+takeoverInheritedProxies; id++ {
		h.planner.AddProxy(id, id%2, 10)
		h.planner.ExpectInheritedEjections(id)
	}
	return h
}

// drainBatch returns servers that began to drain, at equal distances in the list, as neighbors in the list share tables.
// Batches have no server in common.
func drainBatch(batch int) []Endpoint {
	var list []Endpoint
	for index, endpoint := range readyServers(takeoverServers) {
		if index%(takeoverServers/takeoverDrainBatchSize) == batch {
			endpoint.State = Draining
			list = append(list, endpoint)
		}
	}
	return list
}

func (h *takeoverHost) decisionsOf(kind decisionKind) []takeoverDecision {
	return filter(h.decisions, func(d takeoverDecision) bool { return d.kind == kind })
}

// restored returns the servers that were restored at a proxy so far.
func (h *takeoverHost) restored(proxy int) []string {
	var servers []string
	for _, d := range h.decisionsOf(restorationDecision) {
		if d.proxy == proxy {
			servers = append(servers, d.servers...)
		}
	}
	return servers
}

func (h *takeoverHost) checkAssigned(t *testing.T) {
	t.Helper()
	assignments := h.decisionsOf(assignmentDecision)
	if len(assignments) != takeoverInheritedProxies {
		t.Fatalf("%d of %d proxies were assigned a table", len(assignments), takeoverInheritedProxies)
	}
	last := assignments[len(assignments)-1]
	t.Logf("the last proxy was assigned a table after %.0f ms", last.atMs)
	if last.atMs > assignedWithinMs {
		t.Errorf("the last proxy was assigned a table %.0f ms after it joined, which is too late", last.atMs)
	}
}

// TestTakeover checks the order of decisions when servers drain while proxies join whose tables of another planner may hold
// these servers.
func TestTakeover(t *testing.T) {
	h := startTakeover(t, drainBatch(0)...)
	h.advance(400)
	h.planner.UpdateEndpoints(DeltaUpdate, drainBatch(1))
	h.advance(restoredWithinMs)
	t.Run("draining servers are ejected first, only at proxies with tables of this planner", h.checkEjections)
	t.Run("ejections of later drains do not delay assignments too long", h.checkAssigned)
	t.Run("omitted entries are restored later, except of ejected servers", h.checkOmitted)
	t.Run("few servers are restored until all proxies are assigned tables", h.checkRestoredLast)
}

func (h *takeoverHost) checkEjections(t *testing.T) {
	ejections := h.decisionsOf(ejectionDecision)
	if len(ejections) != 2*takeoverDrainBatchSize {
		t.Errorf("%d servers were ejected, want all draining ones", len(ejections))
	}
	for _, d := range ejections {
		if d.includeUnassigned {
			t.Errorf("%s was also ejected at proxies without a table, %.0f ms after the joins", d.servers[0], d.atMs)
		}
	}
	isAssignment := func(d takeoverDecision) bool { return d.kind == assignmentDecision }
	if first := slices.IndexFunc(h.decisions, isAssignment); first != takeoverDrainBatchSize {
		t.Errorf("%d ejections precede the first assignment, want those of the first batch", first)
	}
}

func (h *takeoverHost) checkOmitted(t *testing.T) {
	omittedReady := false
	for _, d := range h.decisionsOf(assignmentDecision) {
		restored := h.restored(d.proxy)
		if len(restored) < minEntries {
			t.Errorf("proxy %d: only %d servers were restored", d.proxy, len(restored))
		}
		for _, server := range d.servers {
			omittedReady = omittedReady || !h.ejected[server]
			if !slices.Contains(restored, server) && !h.ejected[server] {
				t.Errorf("proxy %d was never sent the omitted entry of %s", d.proxy, server)
			}
		}
	}
	if !omittedReady {
		t.Error("no entry of a server in use was omitted")
	}
}

func (h *takeoverHost) checkRestoredLast(t *testing.T) {
	assigned := 0
	for _, d := range h.decisions {
		if d.kind == assignmentDecision {
			assigned++
		}
		if d.kind == restorationDecision && assigned < takeoverInheritedProxies && len(d.servers) > minEntries {
			t.Errorf("%d servers were restored at proxy %d before all were assigned tables, %.0f ms after the joins", len(d.servers), d.proxy, d.atMs)
		}
	}
}

// TestAssignmentWithoutTakeover checks that a joining proxy is sent its whole table and all restorations at once where no
// server drains, or where the grace of all drains has passed.
func TestAssignmentWithoutTakeover(t *testing.T) {
	old := drainBatch(0)
	for _, drains := range [][]Endpoint{nil, old} {
		t.Run(fmt.Sprintf("%d servers drained before", len(drains)), func(t *testing.T) {
			h := startTakeover(t)
			for _, proxy := range slices.Clone(h.planner.proxies[takeoverOwnProxies:]) {
				h.planner.RemoveProxy(proxy.id)
			}
			h.planner.UpdateEndpoints(DeltaUpdate, drains)
			h.advance(int(h.planner.settings.DrainGraceMs) + restoredWithinMs)
			h.decisions = nil
			h.planner.AddProxy(takeoverOwnProxies, 0, 10)
			h.planner.ExpectInheritedEjections(takeoverOwnProxies)
			h.advance(evaluationStepMs)
			assignments := h.decisionsOf(assignmentDecision)
			if len(assignments) != 1 || len(assignments[0].servers) > 0 {
				t.Fatalf("assignments are %+v, want one without omitted servers", assignments)
			}
			entries := filter(h.planner.byID[takeoverOwnProxies].tables[0].entries, (*entry).inUse)
			if restored := h.restored(takeoverOwnProxies); len(restored) != len(entries) || h.decisions[1].kind != restorationDecision {
				t.Errorf("%d of %d servers were restored together with the assignment", len(restored), len(entries))
			}
		})
	}
}

// TestTakeoverRestoresServersOfEachTable checks that the assignment of each of two tables restores the heaviest servers of
// that table. When the remaining restorations of the first table were sent with the second one instead, a proxy might hold no
// server of the second table that it could pick.
func TestTakeoverRestoresServersOfEachTable(t *testing.T) {
	set := testSettings()
	set.Classes[1].SameZoneOnly = true
	h := startTakeoverWith(t, set, drainBatch(0)...)
	h.advance(assignedWithinMs)
	for index, d := range h.decisions[:len(h.decisions)-1] {
		if d.kind != assignmentDecision {
			continue
		}
		restored := h.decisions[index+1]
		if restored.kind != restorationDecision || restored.proxy != d.proxy {
			t.Errorf("no server was restored at proxy %d with its table", d.proxy)
		}
		for _, server := range restored.servers {
			holds := func(entry *entry) bool { return entry.server.Server == server }
			if !slices.ContainsFunc(h.planner.tables[d.table].entries, holds) {
				t.Errorf("%s, which is in another table of proxy %d, was restored with table %d", server, d.proxy, d.table)
			}
		}
	}
}
