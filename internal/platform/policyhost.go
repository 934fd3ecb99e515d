package platform

import (
	"slices"

	"lichenpick/internal/weighttable"
	"lichenpick/policy"
)

// policyHost implements policy.Host: it applies the decisions of the policy to the tables, and adds them to the pending
// updates of the proxies. Its methods are called only within Core.Next.
type policyHost struct{ core *Core }

var _ policy.Host = policyHost{}

// SetWeight sets the weight of a server in a table. A weight of 0 removes the server's entry.
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

// AssignTable assigns a table to a proxy for some traffic classes. All entries of the table are sent, except omitted ones.
// Such an update makes the proxy forget its admission rates, so these are sent again. Entries of omitted servers are sent
// when the servers are restored or readmitted. AssignTable does not end ejections that the proxy may hold from another
// planner; RestoreServers does.
func (h policyHost) AssignTable(proxyID, tableNumber int, classes []int, omittedServers []string) {
	publisher := &h.core.publisher
	p := h.core.proxies.byID[proxyID]
	table := publisher.registry.Table(tableNumber)
	if p == nil { // the proxy left after the policy's last evaluation
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
		// A server in another table of the proxy is never omitted, since the proxy would not be notified of its ejection.
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

// RestoreServers sends a proxy the omitted entries of servers, and makes the proxy readmit those servers that another
// planner may have ejected. Servers that this planner has ejected stay omitted and ejected.
func (h policyHost) RestoreServers(proxyID int, servers []string) {
	p := h.core.proxies.byID[proxyID]
	if p == nil { // the proxy left after the policy's last evaluation
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

// SetEjected ejects or readmits a server. It notifies the proxies whose tables hold the server and, with includeUnassigned,
// those that may still use tables of another planner. A proxy whose table omits the server is sent the entry when the
// server is readmitted. A proxy that was notified of the ejection, but whose tables no longer hold the server, is only
// notified of the readmission once it is sent an entry of the server again.
func (h policyHost) SetEjected(server string, ejected, includeUnassigned bool) {
	publisher := &h.core.publisher
	publisher.registry.SetEjected(server, ejected)
	e := h.core.endpoints.byName[server]
	if e == nil { // the server was removed long ago and is no longer kept
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
		if (ejected && !omitted && !e.notified.contains(p.id)) || (!ejected && e.notified.contains(p.id)) {
			publisher.setEjected(p, e, ejected)
		}
	}
}

// EjectServers ejects servers, and notifies one proxy of those of which it was not notified.
func (h policyHost) EjectServers(proxyID int, servers []string) {
	publisher := &h.core.publisher
	p := h.core.proxies.byID[proxyID]
	for _, server := range servers {
		publisher.registry.SetEjected(server, true)
		e := h.core.endpoints.byName[server]
		if p != nil && !p.inactive && e != nil && !e.notified.contains(proxyID) {
			publisher.setEjected(p, e, true)
		}
	}
}

// inOtherTable reports whether a table of the proxy, other than the given one, holds a server.
func (p *proxy) inOtherTable(server string, except *weighttable.Table[*proxy]) bool {
	return slices.ContainsFunc(p.tables, func(table *weighttable.Table[*proxy]) bool {
		return table != nil && table != except && table.Index(server) >= 0
	})
}

// mayHold reports whether a table of the proxy holds a server. With includeUnassigned, a traffic class without an assigned
// table counts as one whose table holds the server.
func (p *proxy) mayHold(server string, includeUnassigned bool) bool {
	return slices.ContainsFunc(p.tables, func(table *weighttable.Table[*proxy]) bool {
		if table == nil {
			return includeUnassigned
		}
		return table.Index(server) >= 0
	})
}

// SetAdmission sets the admission rate of a traffic class at all proxies. It panics if the rate is for a single table: the
// platform's protocol has no such rates, and the settings given to the policy exclude them.
func (h policyHost) SetAdmission(tableNumber, class int, fraction float64, retry int) {
	if tableNumber != policy.AllTables {
		panic("the platform does not support admission rates of single tables")
	}
	publisher := &h.core.publisher
	publisher.registry.Admission[class] = weighttable.AdmissionRate{Fraction: fraction, Retry: retry, Set: true}
	for _, p := range h.core.proxies.joined {
		if !p.inactive {
			publisher.pendingUpdateFor(p).admission[class] = true
		}
	}
}

// RequestAcknowledgement adds a request for an acknowledgement to each pending update.
func (h policyHost) RequestAcknowledgement(number int) {
	for _, p := range h.core.publisher.pending {
		p.pending.acknowledgement = number
		p.pending.requestAcknowledgement = true
	}
}

// WatchEndpoints does nothing: the discovery client watches the endpoint list without being asked.
func (h policyHost) WatchEndpoints() {}

// SetTimer requests an evaluation after inMs.
func (h policyHost) SetTimer(inMs float64) { h.core.policyTimerMs = h.core.nowMs + inMs }
