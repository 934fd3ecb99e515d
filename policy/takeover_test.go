package policy

import (
	"fmt"
	"slices"
	"testing"
)

const (
	takeoverServers          = 120
	takeoverOwnProxies       = 60   // proxies that joined long before: enough to use each table
	takeoverInheritedProxies = 200  // proxies that join with tables of other planners
	takeoverDrainBatchSize   = 20   // servers that begin to drain at once
	evaluationStepMs         = 200  // between two times that the policy is given the time
	acknowledgeEvery         = 5    // evaluations until requests for an acknowledgement are answered
	assignedWithinMs         = 3500 // until all have tables: of the channel they take 2.5 s, and the drains 0.5 s
	restoredWithinMs         = 15000
)

type decisionKind int

const (
	ejectionDecision decisionKind = iota
	assignmentDecision
	restorationDecision
)

// takeoverDecision is what the policy had its host do, of the kinds that matter in a takeover.
type takeoverDecision struct {
	kind              decisionKind
	atMs              float64 // since the joins
	proxy, table      int
	servers           []string // ejected, omitted or restored
	includeUnassigned bool
}

// takeoverHost is a fake that keeps decisions in their order.
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

func (h *takeoverHost) RestoreServers(proxy int, servers []string) {
	h.record(takeoverDecision{kind: restorationDecision, proxy: proxy, servers: servers})
}

// advance lets time pass. Requests for an acknowledgement are answered once a second, as a channel in use would.
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

// startTakeover starts a planner with proxies of its own, which others then join with tables of another.
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

// drainBatch lists servers that began to drain: of each run of servers one, as neighbors share a table.
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

// restored are the servers that a proxy had restored, by the decisions so far.
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
		t.Errorf("the last proxy was assigned a table %.0f ms after it joined", last.atMs)
	}
}

// TestTakeover states what goes first while servers drain and proxies join that may hold them in tables of another planner.
func TestTakeover(t *testing.T) {
	h := startTakeover(t, drainBatch(0)...)
	h.advance(400)
	h.planner.UpdateEndpoints(DeltaUpdate, drainBatch(1))
	h.advance(restoredWithinMs)
	t.Run("drained servers are ejected first, at proxies with our tables alone", h.checkEjections)
	t.Run("ejections of later drains do not starve assignments", h.checkAssigned)
	t.Run("what was omitted is restored later, but for ejected servers", h.checkOmitted)
	t.Run("few servers are restored until all are assigned", h.checkRestoredLast)
}

func (h *takeoverHost) checkEjections(t *testing.T) {
	ejections := h.decisionsOf(ejectionDecision)
	if len(ejections) != 2*takeoverDrainBatchSize {
		t.Errorf("%d servers were ejected", len(ejections))
	}
	for _, d := range ejections {
		if d.includeUnassigned {
			t.Errorf("%s is ejected at proxies without a table, %.0f ms after the joins", d.servers[0], d.atMs)
		}
	}
	isAssignment := func(d takeoverDecision) bool { return d.kind == assignmentDecision }
	if first := slices.IndexFunc(h.decisions, isAssignment); first != takeoverDrainBatchSize {
		t.Errorf("%d ejections before the first assignment", first)
	}
}

func (h *takeoverHost) checkOmitted(t *testing.T) {
	omittedReady := false
	for _, d := range h.decisionsOf(assignmentDecision) {
		restored := h.restored(d.proxy)
		if len(restored) < minEntries {
			t.Errorf("proxy %d had %d servers restored", d.proxy, len(restored))
		}
		for _, server := range d.servers {
			omittedReady = omittedReady || !h.ejected[server]
			if !slices.Contains(restored, server) && !h.ejected[server] {
				t.Errorf("proxy %d is never sent the entry of %s", d.proxy, server)
			}
		}
	}
	if !omittedReady {
		t.Error("no light entries were omitted")
	}
}

func (h *takeoverHost) checkRestoredLast(t *testing.T) {
	assigned := 0
	for _, d := range h.decisions {
		if d.kind == assignmentDecision {
			assigned++
		}
		if d.kind == restorationDecision && assigned < takeoverInheritedProxies && len(d.servers) > minEntries {
			t.Errorf("%d servers at proxy %d, %.0f ms after the joins", len(d.servers), d.proxy, d.atMs)
		}
	}
}

// TestNoTakeover states that a joined proxy gets everything at once where no server drains, or only such that all were notified of.
func TestNoTakeover(t *testing.T) {
	old := drainBatch(0)
	for _, drains := range [][]Endpoint{nil, old} {
		t.Run(fmt.Sprintf("%d drained before", len(drains)), func(t *testing.T) {
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
				t.Fatalf("%+v", assignments)
			}
			entries := filter(h.planner.byID[takeoverOwnProxies].tables[0].entries, (*entry).inUse)
			if restored := h.restored(takeoverOwnProxies); len(restored) != len(entries) || h.decisions[1].kind != restorationDecision {
				t.Errorf("%d of %d servers were restored at once", len(restored), len(entries))
			}
		})
	}
}

// TestTakeoverRestoresOfEachTable states that a proxy with two tables has the heaviest servers of each restored with it. What
// the first one left stood before those of the second, so that this had none to pick for certain.
func TestTakeoverRestoresOfEachTable(t *testing.T) {
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
			t.Errorf("nothing is restored at proxy %d with its table", d.proxy)
		}
		for _, server := range restored.servers {
			holds := func(entry *entry) bool { return entry.server.Server == server }
			if !slices.ContainsFunc(h.planner.tables[d.table].entries, holds) {
				t.Errorf("%s, of another table of proxy %d, is restored with table %d", server, d.proxy, d.table)
			}
		}
	}
}
