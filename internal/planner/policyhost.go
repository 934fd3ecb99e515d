package planner

import (
	"lichenpick/internal/weighttable"
	"lichenpick/policy"
	"lichenpick/proto/order"
)

// policyHost carries out the policy's decisions: it records them in the registry and adds orders for the proxies concerned.
type policyHost struct{ core *Core }

var _ policy.Host = policyHost{}

// SetWeight sets a server's weight in a table. Weight 0 removes the entry, and also ends the server's ejection at the
// proxies that use the server in no other table. Otherwise each deployment, which replaces servers, would leave ejections
// behind.
func (h policyHost) SetWeight(tableNumber int, server string, weight float64) {
	c := h.core
	table := c.registry.Table(tableNumber)
	table.Set(server, weight)
	for _, p := range table.Proxies {
		endsEjection := weight <= 0 && p.ejections[server] && !p.usesServer(server)
		if endsEjection {
			delete(p.ejections, server)
		}
		// Ejections are fleet-wide, but a proxy whose tables did not contain the server was not notified of the ejection.
		if weight > 0 && c.isEjected(p, server) && !p.ejections[server] {
			c.setEjected(p, server, true)
		}
		c.addOrder(p, entriesPerOrder, &order.Order{What: &order.Order_Line{Line: &order.SetLine{
			Table:  uint32(tableNumber),
			Line:   &order.Line{Server: server, Weight: weight},
			Forget: endsEjection,
		}}})
	}
}

// AssignTable makes a proxy use a table for some traffic classes. It does nothing if the proxy has left since the policy
// decided on the assignment.
func (h policyHost) AssignTable(proxyID, tableNumber int, classes []int, _ []string) {
	c := h.core
	p := c.proxies.byID[proxyID]
	table := c.registry.Table(tableNumber)
	if p == nil || !p.commanded {
		return
	}
	c.registry.Assign(p, p.tables, table, classes)
	assignment := h.newAssignment(p, table, classes)
	entries := 1 + len(assignment.Lines) + len(assignment.Withdrawn) + len(assignment.Levels)
	c.addOrder(p, float64(entries), &order.Order{What: &order.Order_Bind{Bind: assignment}})
}

// newAssignment returns the order that assigns a whole table, including the ejections of its servers and all admission
// rates. It records that the proxy is notified of these ejections.
func (h policyHost) newAssignment(p *joinedProxy, table *weighttable.Table[*joinedProxy], classes []int) *order.Bind {
	c := h.core
	assignment := &order.Bind{Table: uint32(table.Number), Lines: make([]*order.Line, 0, len(table.Entries))}
	for _, class := range classes {
		assignment.Groups = append(assignment.Groups, uint32(class))
	}
	for _, entry := range table.Entries {
		assignment.Lines = append(assignment.Lines, &order.Line{Server: entry.Server, Weight: entry.Weight})
		if !c.isEjected(p, entry.Server) {
			continue
		}
		p.ejections[entry.Server] = true
		assignment.Withdrawn = append(assignment.Withdrawn, entry.Server)
		if c.isLeaving(p, entry.Server) {
			assignment.Going = append(assignment.Going, entry.Server)
		}
	}
	for class, rate := range c.registry.Admission {
		if rate.Set {
			assignment.Levels = append(assignment.Levels, newAdmission(class, rate))
		}
	}
	return assignment
}

// newAdmission returns the order that sets a traffic class's admission rate.
func newAdmission(class int, rate weighttable.AdmissionRate) *order.Level {
	return &order.Level{Group: uint32(class), Share: rate.Fraction, Retry: uint32(rate.Retry)}
}

// SetEjected ejects a server for the whole fleet, or readmits the server. Proxies that use the server are notified of an
// ejection. Proxies that were notified of the ejection are notified of the readmission, except where an inherited drain
// keeps the server ejected.
func (h policyHost) SetEjected(server string, ejected, _ bool) {
	c := h.core
	c.registry.SetEjected(server, ejected)
	for p := range c.proxies.commanded() {
		concerned := p.ejections[server] && !p.inheritsDrain(server)
		if ejected {
			concerned = p.usesServer(server)
		}
		if concerned {
			c.setEjected(p, server, ejected)
		}
	}
}

// EjectServers ejects servers, and notifies one proxy that may use them.
func (h policyHost) EjectServers(proxyID int, servers []string) {
	c := h.core
	p := c.proxies.byID[proxyID]
	for _, server := range servers {
		c.registry.SetEjected(server, true)
		if p != nil && p.commanded && p.usesServer(server) {
			c.setEjected(p, server, true)
		}
	}
}

// RestoreServers does nothing: a joining proxy reports its ejections by itself, and AssignTable omits no entries.
func (h policyHost) RestoreServers(int, []string) {}

// SetAdmission sets the fraction of a traffic class's requests that all proxies admit, and their retry mode. It panics if
// the rate is for a single table, because the control stream cannot express such a rate. A rate for a single table would be
// a bug of the policy; the server then stops and dumps the inputs that led to the panic.
func (h policyHost) SetAdmission(tableNumber, class int, fraction float64, retry int) {
	if tableNumber != policy.AllTables {
		panic("the policy set the admission rate of a single table, which the control stream cannot express")
	}
	c := h.core
	rate := weighttable.AdmissionRate{Fraction: fraction, Retry: retry, Set: true}
	c.registry.Admission[class] = rate
	for p := range c.proxies.commanded() {
		c.addOrder(p, entriesPerOrder, &order.Order{What: &order.Order_Level{Level: newAdmission(class, rate)}})
	}
}

// RequestAcknowledgement asks each proxy that gets orders in this evaluation to acknowledge these orders with the given
// number.
func (h policyHost) RequestAcknowledgement(number int) {
	for _, p := range h.core.publisher.dirty {
		h.core.addOrder(p, entriesPerOrder, &order.Order{What: &order.Order_Receipt{Receipt: uint32(number)}})
	}
}

// WatchEndpoints does nothing: endpoint sources push or poll without being asked.
func (policyHost) WatchEndpoints() {}

// SetTimer schedules the next call of the policy, inMs from now.
func (h policyHost) SetTimer(inMs float64) { h.core.timers.policyAtMs = h.core.nowMs + inMs }
