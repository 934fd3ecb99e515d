package proxy

import (
	"slices"

	"lichenpick/proto/order"
)

// weightEntry is the entry of one server in a weight table.
type weightEntry struct {
	server string
	weight float64
	credit float64 // current credit of the smooth weighted round robin, see chooseRoundRobin
}

// table is a weight table for one or more traffic classes.
type table struct {
	entries []*weightEntry
	ejected map[string]bool // servers ejected by the session that assigned the table; shared by all tables of the session
}

// indexOf returns the index of a server's entry, or -1 if the server has no entry.
func (t *table) indexOf(server string) int {
	return slices.IndexFunc(t.entries, func(entry *weightEntry) bool { return entry.server == server })
}

// admission is the admission rate and the retry mode of a traffic class.
type admission struct {
	fraction float64 // fraction of the requests to admit, from 0 to 1
	retry    int     // retry mode, from policy.RetryNever to policy.RetryTwice
}

// ApplyOrders applies all orders of a message and returns the numbers of the acknowledgements that the message requests. The
// orders must be valid; controlstream.ProxySession delivers only valid ones.
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

// setEntry changes an entry of a table. A planner gives weight to a server that is not ejected only while its endpoint list
// shows the server as ready, so such an order also ends the record that the server drains. Otherwise the record of a server
// that left the tables, and came back after a restart, would make the next lease holder eject the server.
func (c *Core) setEntry(change *order.SetLine) {
	server := change.Line.Server
	c.setWeight(change.Table, change.Line)
	if change.Forget {
		delete(c.ejected, server)
	}
	if change.Line.Weight > 0 && !c.ejected[server] {
		delete(c.drainingSinceMs, server)
	}
}

// setWeight sets a server's weight in a table; weight 0 removes the entry. It ignores a table number to which the current
// session has assigned no table, because table numbers of earlier sessions are no longer valid.
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
	if !c.tableAssigned { // the first table of a session resets the admission rates that an earlier session set
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
		// ApplyOrders is not passed the current time. The time of the last load report is close enough to it.
		c.drainingSinceMs[ejection.Server] = c.lastReportMs
	} else {
		delete(c.drainingSinceMs, ejection.Server)
	}
}

// setAdmission sets the admission of a traffic class. It ignores classes that are not in the settings; a planner with another
// number of classes would have rejected the proxy's join.
func (c *Core) setAdmission(level *order.Level) {
	if int(level.Group) < len(c.admissions) {
		c.admissions[level.Group] = admission{fraction: level.Share, retry: int(level.Retry)}
	}
}

// isEjected reports whether a server of a table must get no requests: the session that assigned the table or the current
// session has ejected the server.
func (c *Core) isEjected(assigned *table, server string) bool {
	return assigned.ejected[server] || c.ejected[server]
}

// MayReceive reports whether requests of at least one traffic class may be sent to a server.
func (c *Core) MayReceive(server string) bool {
	return slices.ContainsFunc(c.tableByClass, func(assigned *table) bool {
		return !c.isEjected(assigned, server) && assigned.indexOf(server) >= 0
	})
}

// HeldTables returns the tables in force with their ejections and traffic classes, for a Join message or a new lease holder.
// The caller may change the returned tables.
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

// newHolding returns a table's entries and ejected servers, without its traffic classes.
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
