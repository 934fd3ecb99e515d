package proxy

import (
	"slices"

	"lichenpick/proto/order"
)

// weightEntry is a server's part of a weight table.
type weightEntry struct {
	server string
	weight float64
	credit float64 // of smooth weighted round robin
}

// table is a weight table that some traffic classes go by, with the ejections of the session that assigned it.
type table struct {
	entries []*weightEntry
	ejected map[string]bool
}

// indexOf finds a server's entry; -1 if it has none.
func (t *table) indexOf(server string) int {
	return slices.IndexFunc(t.entries, func(entry *weightEntry) bool { return entry.server == server })
}

// admission is what a class is ordered to admit and to retry.
type admission struct {
	fraction float64 // of its requests, from 0 to 1
	retry    int     // retry mode, one of policy.RetryNever to policy.RetryTwice
}

// ApplyOrders applies a message whole, and returns the acknowledgements that it asks for. The orders must be valid, as a
// controlstream.ProxySession delivers them.
func (c *Core) ApplyOrders(message *order.Orders) (acknowledgements []uint32) {
	for _, ord := range message.Orders {
		switch variant := ord.What.(type) {
		case *order.Order_Line:
			c.setEntry(variant.Line)
		case *order.Order_Bind:
			c.assignTable(variant.Bind)
		case *order.Order_Withdraw:
			c.setEjected(variant.Withdraw)
		case *order.Order_Level:
			c.setAdmission(variant.Level)
		case *order.Order_Receipt:
			acknowledgements = append(acknowledgements, variant.Receipt)
		}
	}
	return acknowledgements
}

func (c *Core) setEntry(change *order.SetLine) {
	c.setWeight(change.Table, change.Line)
	if change.Forget {
		delete(c.ejected, change.Line.Server)
	}
}

// setWeight changes a weight; 0 removes the entry. A table of an earlier session is not known by its number any more.
func (c *Core) setWeight(number uint32, entry *order.Line) {
	assigned := c.tables[number]
	if assigned == nil {
		return
	}
	index := assigned.indexOf(entry.Server)
	switch {
	case entry.Weight <= 0 && index >= 0:
		assigned.entries = slices.Delete(assigned.entries, index, index+1)
	case index >= 0:
		assigned.entries[index].weight = entry.Weight
	case entry.Weight > 0:
		assigned.entries = append(assigned.entries, &weightEntry{server: entry.Server, weight: entry.Weight})
	}
}

func (c *Core) assignTable(assignment *order.Bind) {
	if !c.tableAssigned { // admission rates of an earlier planner end with its tables
		c.tableAssigned = true
		for class := range c.admissions {
			c.admissions[class] = c.admitAll()
		}
	}
	assigned := c.tables[assignment.Table]
	if assigned == nil {
		assigned = &table{ejected: c.ejected}
		c.tables[assignment.Table] = assigned
	}
	assigned.entries = assigned.entries[:0]
	for _, entry := range assignment.Lines {
		if entry.Weight > 0 {
			assigned.entries = append(assigned.entries, &weightEntry{server: entry.Server, weight: entry.Weight})
		}
	}
	for _, entry := range assignment.Lines {
		delete(c.drainingSinceMs, entry.Server)
	}
	for _, server := range assignment.Withdrawn {
		c.ejected[server] = true
	}
	for _, server := range assignment.Going {
		c.drainingSinceMs[server] = c.lastReportMs
	}
	for _, class := range assignment.Groups {
		if int(class) < len(c.tableByClass) {
			c.tableByClass[class] = assigned
		}
	}
	for _, level := range assignment.Levels {
		c.setAdmission(level)
	}
}

func (c *Core) setEjected(ejection *order.Withdraw) {
	if ejection.Out {
		c.ejected[ejection.Server] = true
	} else {
		delete(c.ejected, ejection.Server)
	}
	if ejection.Going {
		c.drainingSinceMs[ejection.Server] = c.lastReportMs // orders carry no time of the proxy's clock; the last report's is near enough
	} else {
		delete(c.drainingSinceMs, ejection.Server)
	}
}

// setAdmission sets a class's admission. Classes beyond those of the settings are ignored: a planner with another count
// rejects the proxy's join.
func (c *Core) setAdmission(level *order.Level) {
	if int(level.Group) < len(c.admissions) {
		c.admissions[level.Group] = admission{fraction: level.Share, retry: int(level.Retry)}
	}
}

// isEjected says whether a server may get no request by a table: ejected by the session that assigned the table, or by the
// present one.
func (c *Core) isEjected(assigned *table, server string) bool {
	return assigned.ejected[server] || c.ejected[server]
}

// MayReceive says whether requests of any class may be sent to a server.
func (c *Core) MayReceive(server string) bool {
	return slices.ContainsFunc(c.tableByClass, func(assigned *table) bool {
		return !c.isEjected(assigned, server) && assigned.indexOf(server) >= 0
	})
}

// HeldTables gives the tables that the proxy goes by, for a join or a new lease holder. The caller owns them.
func (c *Core) HeldTables() (tables []*order.Holding) {
	holdingByTable := map[*table]*order.Holding{}
	for class, assigned := range c.tableByClass {
		holding := holdingByTable[assigned]
		if holding == nil {
			holding = c.newHolding(assigned)
			holdingByTable[assigned] = holding
			tables = append(tables, holding)
		}
		holding.Groups = append(holding.Groups, uint32(class))
	}
	return tables
}

func (c *Core) newHolding(assigned *table) *order.Holding {
	holding := &order.Holding{}
	for _, entry := range assigned.entries {
		holding.Lines = append(holding.Lines, &order.Line{Server: entry.server, Weight: entry.weight})
		if c.isEjected(assigned, entry.server) {
			holding.Withdrawn = append(holding.Withdrawn, entry.server)
		}
	}
	return holding
}
