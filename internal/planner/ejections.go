package planner

import (
	"maps"
	"slices"

	"lichenpick/proto/order"
)

// entriesPerOrder is how many entries an order counts as towards the limit on entries sent per second. Only the assignment
// of a table counts by the size of the table instead.
const entriesPerOrder = 1

// setEjected adds an order that tells a proxy that a server is ejected, or readmitted.
func (c *Core) setEjected(p *joinedProxy, server string, ejected bool) {
	leaving := ejected && c.isLeaving(p, server)
	c.addOrder(p, entriesPerOrder, &order.Order{What: &order.Order_Withdraw{
		Withdraw: &order.Withdraw{Server: server, Out: ejected, Going: leaving},
	}})
	if leaving {
		p.update.urgent = true
	}
	if ejected {
		p.ejections[server] = true
	} else {
		delete(p.ejections, server)
	}
}

// isEjected reports whether a server is ejected for a proxy, either fleet-wide or because of an inherited drain.
func (c *Core) isEjected(p *joinedProxy, server string) bool {
	return c.registry.Ejected[server] || p.inheritsDrain(server)
}

// isLeaving reports whether a server drains or is removed, according to this planner's endpoint list or to the proxy's
// previous planner.
func (c *Core) isLeaving(p *joinedProxy, server string) bool {
	return c.endpoints.isLeaving(server) || p.inheritsDrain(server)
}

// inheritsDrain reports whether the proxy's previous planner knew of a server's drain that this planner's endpoint list
// does not show yet.
func (p *joinedProxy) inheritsDrain(server string) bool { return p.inheritedDrainUntilMs[server] > 0 }

// usesServer reports whether a proxy uses a table that contains a server. For traffic classes without a
// table assigned on the current stream, it checks the tables that the proxy reported when it joined or granted a lease.
func (p *joinedProxy) usesServer(server string) bool {
	unassigned := false
	for _, table := range p.tables {
		if table == nil {
			unassigned = true
		} else if table.Index(server) >= 0 {
			return true
		}
	}
	return unassigned && slices.ContainsFunc(p.reportedTables, func(table *order.Holding) bool {
		return slices.ContainsFunc(table.Lines, func(line *order.Line) bool { return line.Server == server })
	})
}

// endInheritedDrain ends one inherited drain that this planner's endpoint list has not shown in time, or removes from
// drainInheritors one proxy that has left or has no inherited drains. It returns false if there was nothing to do.
func (c *Core) endInheritedDrain() bool {
	for index, p := range c.leases.drainInheritors {
		if len(p.inheritedDrainUntilMs) == 0 || !c.proxies.isJoined(p) {
			c.leases.drainInheritors = slices.Delete(c.leases.drainInheritors, index, index+1)
			return true
		}
		for _, server := range slices.Sorted(maps.Keys(p.inheritedDrainUntilMs)) { // sorted, so that orders are deterministic
			if c.nowMs < p.inheritedDrainUntilMs[server] {
				continue
			}
			delete(p.inheritedDrainUntilMs, server)
			if p.ejections[server] && !c.registry.Ejected[server] {
				c.setEjected(p, server, false)
			}
			return true
		}
	}
	return false
}
