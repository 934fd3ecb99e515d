package planner

import (
	"maps"
	"slices"

	"lichenpick/proto/order"
)

// entriesPerOrder is what an order costs of the control stream's rate, other than the assignment of a table.
const entriesPerOrder = 1

// setEjected has a proxy notified that a server is ejected, or is so no longer.
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

// isEjected reports whether a proxy must not use a server: for the whole fleet, or by what its last planner knew.
func (c *Core) isEjected(p *joinedProxy, server string) bool {
	return c.registry.Ejected[server] || p.inheritsDrain(server)
}

// isLeaving reports whether a server drains or is removed as a proxy should see it: by our list, or by its last planner's.
func (c *Core) isLeaving(p *joinedProxy, server string) bool {
	return c.endpoints.isLeaving(server) || p.inheritsDrain(server)
}

// inheritsDrain reports whether the last planner of a proxy knew of a drain that our list does not show yet.
func (p *joinedProxy) inheritsDrain(server string) bool { return p.inheritedDrainUntilMs[server] > 0 }

// usesServer reports whether a proxy goes by a table with a server: one that this stream assigned, or, for classes without
// one, a table that it brought along.
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

// endInheritedDrain ends at most one drain that only a proxy's last planner knew of and that our list never came to show,
// and reports whether it did anything.
func (c *Core) endInheritedDrain() bool {
	for index, p := range c.leases.drainInheritors {
		if len(p.inheritedDrainUntilMs) == 0 || !c.proxies.isJoined(p) {
			c.leases.drainInheritors = slices.Delete(c.leases.drainInheritors, index, index+1)
			return true
		}
		for _, server := range slices.Sorted(maps.Keys(p.inheritedDrainUntilMs)) { // sorted: the same inputs give the same orders
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
