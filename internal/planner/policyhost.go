package planner

import (
	"lichenpick/internal/weighttable"
	"lichenpick/policy"
	"lichenpick/proto/order"
)

// policyHost carries out the policy's decisions: it records what the tables hold and has proxies notified.
type policyHost struct{ core *Core }

var _ policy.Host = policyHost{}

// SetWeight sets a server's weight in a table. Weight 0 removes the entry, and ends the server's ejection at proxies that use
// it in no other table: ejections would otherwise pile up with each release.
func (h policyHost) SetWeight(tableNumber int, server string, weight float64) {
	c := h.core
	table := c.registry.Table(tableNumber)
	table.Set(server, weight)
	for _, p := range table.Proxies {
		endsEjection := weight <= 0 && p.ejections[server] && !p.usesServer(server)
		if endsEjection {
			delete(p.ejections, server)
		}
		// An ejection holds for all proxies, but one that used the server in no table was not notified.
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

// AssignTable has a proxy use a table for some traffic classes. It does nothing for a proxy that left meanwhile.
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

// newAssignment makes the order of a whole table, with the ejections and admission rates that concern it, and records that
// the proxy is notified of the ejections.
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

// newAdmission makes the message of a traffic class's admission rate.
func newAdmission(class int, rate weighttable.AdmissionRate) *order.Level {
	return &order.Level{Group: uint32(class), Share: rate.Fraction, Retry: uint32(rate.Retry)}
}

// SetEjected ejects a server for the fleet, or ends that. Proxies that it concerns are notified: of an ejection those that
// use the server, of its end those that were notified of the ejection, unless their last planner knew of a drain.
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

// RestoreServers does nothing: a joining proxy states what it has ejected, and no entry is omitted from an assignment here.
func (h policyHost) RestoreServers(int, []string) {}

// SetAdmission sets the fraction of a traffic class that all proxies admit, and how they retry. It panics for a single table,
// which the control stream cannot express: that is a fault of the policy, and the server ends with the inputs that led to it.
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

// RequestAcknowledgement asks all proxies that this evaluation has orders for to acknowledge them under a number.
func (h policyHost) RequestAcknowledgement(number int) {
	for _, p := range h.core.publisher.dirty {
		h.core.addOrder(p, entriesPerOrder, &order.Order{What: &order.Order_Receipt{Receipt: uint32(number)}})
	}
}

// WatchEndpoints does nothing: endpoint sources push or poll without being asked.
func (policyHost) WatchEndpoints() {}

// SetTimer has the policy asked again after some ms.
func (h policyHost) SetTimer(inMs float64) { h.core.timers.policyAtMs = h.core.nowMs + inMs }
