package platform

import (
	"slices"

	"lichenpick/internal/weighttable"
	"lichenpick/policy"
)

// policyHost carries out the decisions of the policy, as its policy.Host: it notes who holds which table, and what has to be
// published to whom. It is called from Core.Next alone.
type policyHost struct{ core *Core }

var _ policy.Host = policyHost{}

// SetWeight sets the weight of a server in a table; 0 removes its entry.
func (h policyHost) SetWeight(tableNumber int, server string, weight float64) {
	publisher := &h.core.publisher
	table := publisher.registry.Table(tableNumber)
	table.Set(server, weight)
	e := h.core.endpoints.byName[server]
	for _, p := range table.Proxies {
		if e != nil && e.omitted.contains(p.id) {
			if weight > 0 && publisher.registry.Ejected[server] {
				continue // the entry is sent when the ejection ends
			}
			e.omitted.set(p.id, false)
		}
		update := publisher.pendingUpdateFor(p)
		update.changed = append(update.changed, changedEntry{table, server})
		if weight > 0 {
			publisher.syncEjection(p, e)
		}
	}
}

// AssignTable has a proxy go by a table for some traffic classes. The table is sent complete, by which the proxy forgets
// the admission rates of before, so that these are sent again. Entries of omitted servers are sent when these are
// restored or readmitted. Ejections that the proxy may hold from another planner are left to RestoreServers.
func (h policyHost) AssignTable(proxyID, tableNumber int, classes []int, omittedServers []string) {
	publisher := &h.core.publisher
	p := h.core.proxies.byID[proxyID]
	table := publisher.registry.Table(tableNumber)
	if p == nil { // it left after the policy's last evaluation
		return
	}
	publisher.registry.Assign(p, p.tables, table, classes)
	update := publisher.pendingUpdateFor(p)
	update.assigned = append(update.assigned, table)
	for _, class := range classes {
		update.admission[class] = publisher.registry.Admission[class].Set
	}
	for _, entry := range table.Entries {
		e := h.core.endpoints.byName[entry.Server]
		if e == nil {
			continue
		}
		ejected := publisher.registry.Ejected[entry.Server]
		notified := e.notified.contains(proxyID)
		// A server that another table of the proxy holds is never omitted: the proxy would not be notified of its ejection.
		omitted := slices.Contains(omittedServers, entry.Server) && !p.inOtherTable(entry.Server, table)
		if !omitted && e.omitted.contains(proxyID) {
			publisher.sendOmitted(p, e)
		}
		e.omitted.set(proxyID, omitted)
		if !omitted && (ejected || notified) {
			publisher.syncEjection(p, e)
		}
	}
}

// RestoreServers sends a proxy the omitted entries of servers, and has it readmit those that another planner may have
// ejected there. Servers that this planner has ejected stay omitted and ejected.
func (h policyHost) RestoreServers(proxyID int, servers []string) {
	p := h.core.proxies.byID[proxyID]
	if p == nil { // it left after the policy's last evaluation
		return
	}
	for _, server := range servers {
		e := h.core.endpoints.byName[server]
		if e == nil || h.core.publisher.registry.Ejected[server] {
			continue
		}
		if e.omitted.contains(proxyID) {
			h.core.publisher.sendOmitted(p, e)
		}
		h.core.publisher.syncEjection(p, e)
	}
}

// SetEjected ejects a server, or ends that. It concerns the proxies whose tables hold the server and, with
// includeUnassigned, those that may go by tables of another planner. A proxy whose table omits the server is sent the
// entry when the ejection ends. One that was notified and holds the server no more is notified of the end with the entry
// that restores the server.
func (h policyHost) SetEjected(server string, ejected, includeUnassigned bool) {
	publisher := &h.core.publisher
	publisher.registry.SetEjected(server, ejected)
	e := h.core.endpoints.byName[server]
	if e == nil { // forgotten
		return
	}
	for _, p := range h.core.proxies.joined {
		omitted := e.omitted.contains(p.id)
		if omitted && !ejected {
			publisher.sendOmitted(p, e)
		}
		if p.inactive || !p.mayHold(server, includeUnassigned) {
			continue
		}
		if (ejected && !omitted) || (!ejected && e.notified.contains(p.id)) {
			publisher.setEjected(p, e, ejected)
		}
	}
}

// inOtherTable says whether a table of a proxy other than this one holds a server.
func (p *proxy) inOtherTable(server string, except *weighttable.Table[*proxy]) bool {
	return slices.ContainsFunc(p.tables, func(table *weighttable.Table[*proxy]) bool {
		return table != nil && table != except && table.Index(server) >= 0
	})
}

// mayHold says whether a table of a proxy holds a server or, with includeUnassigned, is not known.
func (p *proxy) mayHold(server string, includeUnassigned bool) bool {
	return slices.ContainsFunc(p.tables, func(table *weighttable.Table[*proxy]) bool {
		if table == nil {
			return includeUnassigned
		}
		return table.Index(server) >= 0
	})
}

// SetAdmission sets the admission rate of a traffic class at all proxies. It panics where the policy asks for it at the
// proxies of one table, which the platform's protocol does not know and the policy's settings here exclude.
func (h policyHost) SetAdmission(tableNumber, class int, fraction float64, retry int) {
	if tableNumber != policy.AllTables {
		panic("an admission rate of a single table, which the platform does not know")
	}
	publisher := &h.core.publisher
	publisher.registry.Admission[class] = weighttable.AdmissionRate{Fraction: fraction, Retry: retry, Set: true}
	for _, p := range h.core.proxies.joined {
		if !p.inactive {
			publisher.pendingUpdateFor(p).admission[class] = true
		}
	}
}

// RequestAcknowledgement has each pending update acknowledged by its proxy.
func (h policyHost) RequestAcknowledgement(number int) {
	for _, p := range h.core.publisher.pending {
		p.pending.acknowledgement = number
		p.pending.requestAcknowledgement = true
	}
}

// WatchEndpoints does nothing: it is for lists that come on demand, and discovery's watch comes by itself.
func (h policyHost) WatchEndpoints() {}

// SetTimer asks for an evaluation after some ms.
func (h policyHost) SetTimer(inMs float64) { h.core.policyTimerMs = h.core.nowMs + inMs }
