package policy

import (
	"fmt"
	"slices"
	"testing"
)

const (
	rushServers      = 120
	rushOwn          = 60   // proxies that joined long before: enough to use each table
	rushInherited    = 200  // proxies that join with tables of other planners
	rushDrains       = 20   // servers that begin to drain at once
	evaluationMs     = 200  // between two times that the policy is told
	acknowledgeEvery = 5    // evaluations until requests for an acknowledgement are answered
	assignedWithinMs = 3500 // until all have tables: of the channel they take 2.5 s, and the drains 0.5 s
	restoredWithinMs = 15000
)

type decisionKind int

const (
	ejection decisionKind = iota
	assignment
	restoring
)

// decision is what the policy had its host do, of the kinds that matter in a rush of joins.
type decision struct {
	kind              decisionKind
	atMs              float64 // since the joins
	proxy             int
	servers           []string // ejected, omitted or restored
	includeUnassigned bool
}

// rushHost is a fake that keeps decisions in their order.
type rushHost struct {
	*fake
	joinedMs    float64
	evaluations int
	decisions   []decision
}

func (h *rushHost) add(d decision) {
	d.atMs = h.now - h.joinedMs
	h.decisions = append(h.decisions, d)
}

func (h *rushHost) SetEjected(server string, ejected, includeUnassigned bool) {
	h.fake.SetEjected(server, ejected, includeUnassigned)
	if ejected {
		h.add(decision{kind: ejection, servers: []string{server}, includeUnassigned: includeUnassigned})
	}
}

func (h *rushHost) AssignTable(proxy, table int, classes []int, omitted []string) {
	h.fake.AssignTable(proxy, table, classes, omitted)
	h.add(decision{kind: assignment, proxy: proxy, servers: omitted})
}

func (h *rushHost) RestoreServers(proxy int, servers []string) {
	h.add(decision{kind: restoring, proxy: proxy, servers: servers})
}

// advance lets time pass. Requests for an acknowledgement are answered once a second, as a channel in use would.
func (h *rushHost) advance(ms int) {
	for range ms / evaluationMs {
		h.evaluate()
		h.now += evaluationMs
		h.p.SetTime(h.now)
		if h.evaluations++; h.evaluations%acknowledgeEvery == 0 {
			h.answer()
		}
	}
	h.evaluate()
}

func (h *rushHost) evaluate() {
	for h.p.Next(h) {
		continue
	}
}

// startRush starts a planner with proxies of its own, which others then join with tables of another.
func startRush(t *testing.T, drains ...Endpoint) *rushHost {
	t.Helper()
	set := settings()
	set.OmitsEntries = true
	set.ReadmitByWeight = true
	set.Proxies = rushOwn + rushInherited
	h := &rushHost{fake: start(set)}
	h.p.UpdateEndpoints(RestoredUpdate, ready(rushServers))
	for id := range rushOwn {
		h.p.AddProxy(id, id%2, 10)
	}
	h.advance(10000)
	h.joinedMs = h.now
	h.decisions = nil
	h.p.UpdateEndpoints(DeltaUpdate, drains)
	for id := rushOwn; id < rushOwn+rushInherited; id++ {
		h.p.AddProxy(id, id%2, 10)
		h.p.ExpectInheritedEjections(id)
	}
	return h
}

// drained lists servers that began to drain: of each run of servers one, as neighbors share a table.
func drained(batch int) []Endpoint {
	var list []Endpoint
	for index, endpoint := range ready(rushServers) {
		if index%(rushServers/rushDrains) == batch {
			endpoint.State = Draining
			list = append(list, endpoint)
		}
	}
	return list
}

func (h *rushHost) of(kind decisionKind) []decision {
	return filter(h.decisions, func(d decision) bool { return d.kind == kind })
}

// restored are the servers that a proxy had restored, by the decisions so far.
func (h *rushHost) restored(proxy int) []string {
	var servers []string
	for _, d := range h.of(restoring) {
		if d.proxy == proxy {
			servers = append(servers, d.servers...)
		}
	}
	return servers
}

func (h *rushHost) checkAssigned(t *testing.T) {
	t.Helper()
	assignments := h.of(assignment)
	if len(assignments) != rushInherited {
		t.Fatalf("%d of %d proxies were assigned a table", len(assignments), rushInherited)
	}
	last := assignments[len(assignments)-1]
	t.Logf("the last proxy was assigned a table after %.0f ms", last.atMs)
	if last.atMs > assignedWithinMs {
		t.Errorf("the last proxy was assigned a table %.0f ms after it joined", last.atMs)
	}
}

// TestRush states what goes first while servers drain and proxies join that may hold them in tables of another planner.
func TestRush(t *testing.T) {
	h := startRush(t, drained(0)...)
	h.advance(400)
	h.p.UpdateEndpoints(DeltaUpdate, drained(1))
	h.advance(restoredWithinMs)
	t.Run("drained servers are ejected first, at proxies with our tables alone", h.checkEjections)
	t.Run("ejections of later drains do not starve assignments", h.checkAssigned)
	t.Run("what was omitted is restored later, but for ejected servers", h.checkOmitted)
	t.Run("few servers are restored until all are assigned", h.checkRestoredLast)
}

func (h *rushHost) checkEjections(t *testing.T) {
	ejections := h.of(ejection)
	if len(ejections) != 2*rushDrains {
		t.Errorf("%d servers were ejected", len(ejections))
	}
	for _, d := range ejections {
		if d.includeUnassigned {
			t.Errorf("%s is ejected at proxies without a table, %.0f ms after the joins", d.servers[0], d.atMs)
		}
	}
	isAssignment := func(d decision) bool { return d.kind == assignment }
	if first := slices.IndexFunc(h.decisions, isAssignment); first != rushDrains {
		t.Errorf("%d ejections before the first assignment", first)
	}
}

func (h *rushHost) checkOmitted(t *testing.T) {
	omittedReady := false
	for _, d := range h.of(assignment) {
		restored := h.restored(d.proxy)
		if len(restored) < minEntries {
			t.Errorf("proxy %d had %d servers restored", d.proxy, len(restored))
		}
		for _, server := range d.servers {
			omittedReady = omittedReady || !h.out[server]
			if !slices.Contains(restored, server) && !h.out[server] {
				t.Errorf("proxy %d is never sent the entry of %s", d.proxy, server)
			}
		}
	}
	if !omittedReady {
		t.Error("no light entries were omitted")
	}
}

func (h *rushHost) checkRestoredLast(t *testing.T) {
	assigned := 0
	for _, d := range h.decisions {
		if d.kind == assignment {
			assigned++
		}
		if d.kind == restoring && assigned < rushInherited && len(d.servers) > minEntries {
			t.Errorf("%d servers at proxy %d, %.0f ms after the joins", len(d.servers), d.proxy, d.atMs)
		}
	}
}

// TestNoRush states that a joined proxy gets everything at once where no server drains, or only such that all were notified of.
func TestNoRush(t *testing.T) {
	old := drained(0)
	for _, drains := range [][]Endpoint{nil, old} {
		t.Run(fmt.Sprintf("%d drained before", len(drains)), func(t *testing.T) {
			h := startRush(t)
			for _, q := range slices.Clone(h.p.proxies[rushOwn:]) {
				h.p.RemoveProxy(q.id)
			}
			h.p.UpdateEndpoints(DeltaUpdate, drains)
			h.advance(int(h.p.set.DrainGraceMs) + restoredWithinMs)
			h.decisions = nil
			h.p.AddProxy(rushOwn, 0, 10)
			h.p.ExpectInheritedEjections(rushOwn)
			h.advance(evaluationMs)
			assignments := h.of(assignment)
			if len(assignments) != 1 || len(assignments[0].servers) > 0 {
				t.Fatalf("%+v", assignments)
			}
			entries := filter(h.p.byID[rushOwn].bound[0].entries, (*entry).inUse)
			if restored := h.restored(rushOwn); len(restored) != len(entries) || h.decisions[1].kind != restoring {
				t.Errorf("%d of %d servers were restored at once", len(restored), len(entries))
			}
		})
	}
}
