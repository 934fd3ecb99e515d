package policy

import "slices"

// This file records what was decided and ordered, and answers queries on these records.

// hasMessageAt reports whether a message to the proxy has been started at this time, which further orders share.
func (p *proxy) hasMessageAt(nowMs float64) bool {
	return len(p.messageTimes) > 0 && p.messageTimes[len(p.messageTimes)-1] == nowMs
}

// countOrder adds an order to the backlog and to the entries that were ordered to each recipient. The recipients in
// withoutMessage are not sent a message at this time yet, so the order starts one.
func (p *Policy) countOrder(entries, cost float64, recipients, withoutMessage []*proxy) {
	p.backlog += cost
	for _, proxy := range recipients {
		proxy.ordered += entries
	}
	for _, proxy := range withoutMessage {
		proxy.messageTimes = appendBounded(proxy.messageTimes, p.nowMs, p.settings.MaxMessages+1)
		proxy.ordered += p.settings.MessageOverhead
	}
}

// countRequests adds requests for acknowledgements to the backlog, and records for each recipient which entries will have
// arrived when it answers.
func (p *Policy) countRequests(recipients []*proxy) {
	p.acknowledgedSolve = p.solves
	for _, proxy := range recipients {
		p.backlog++
		proxy.ordered++
		proxy.acknowledgements[p.acknowledgementNumber] = proxy.ordered
	}
}

func (p *Policy) enqueue(decisions ...decision) {
	p.pendingDecisions = append(p.pendingDecisions, decisions...)
}

// inUse reports whether the proxies of the table hold the entry.
func (e *entry) inUse() bool { return e.sent > 0 }

// mayFollowOtherPlanner reports whether the proxy may still follow a table of another planner, because this planner has not
// assigned it all of its tables yet.
func (p *proxy) mayFollowOtherPlanner() bool {
	return p.inheritedEjections && slices.Contains(p.tables, nil)
}

// mayUse reports whether a table of the proxy holds the server. For a table of another planner, whose entries are unknown to
// this planner, it returns unknownTables.
func (p *proxy) mayUse(server *server, unknownTables bool) bool {
	return slices.ContainsFunc(p.tables, func(table *table) bool {
		if table == nil {
			return unknownTables
		}
		return table.uses(server)
	})
}

// mayInheritEjection reports whether another planner may have ejected the entry's server at the proxy.
func (p *proxy) mayInheritEjection(entry *entry) bool {
	return p.inheritedEjections && entry.inUse() && !entry.server.ejected && !p.ejected[entry.server]
}

func (p *proxy) awaitsRestoration(server *server) bool {
	return slices.ContainsFunc(p.pendingRestorations, func(pending restoration) bool { return pending.server == server })
}

// takePrepaidRestorations returns the number of restorations whose budget was spent already, and sets that number to 0.
func (p *proxy) takePrepaidRestorations() int {
	count := p.prepaidRestorations
	p.prepaidRestorations = 0
	return count
}

// recordAssignment records that the proxy was assigned a table, and was notified of the ejections of the servers in it.
func (p *proxy) recordAssignment(group int, table *table) {
	p.tables[group] = table
	table.proxies = append(table.proxies, p)
	for _, entry := range table.entries {
		p.ejected[entry.server] = entry.server.ejected
	}
}

// expectRestorations records the restorations that the proxy is yet to be sent after an assignment.
func (p *proxy) expectRestorations(inherited, omitted []*entry) {
	// Placed before the restorations of earlier tables, as the first of pendingRestorations are sent with this table.
	var added []restoration
	for _, entry := range inherited {
		pending := restoration{server: entry.server, entries: 1}
		if slices.Contains(omitted, entry) {
			pending.entries++
		}
		added = append(added, pending)
	}
	p.pendingRestorations = append(added, p.pendingRestorations...)
}

// hasTables reports whether the proxy has a table with entries in use for each class group.
func (p *Policy) hasTables(proxy *proxy) bool {
	for group := range proxy.tables {
		if !p.hasTable(proxy, group) {
			return false
		}
	}
	return true
}

// hasTable reports whether the proxy has a table with entries in use for a class group.
func (p *Policy) hasTable(proxy *proxy, group int) bool {
	return proxy.cohort >= 0 && slices.ContainsFunc(p.clientOf(proxy, group).tables[proxy.cohort].entries, (*entry).inUse)
}

// clientOf returns the client that the proxy belongs to for a class group.
func (p *Policy) clientOf(proxy *proxy, group int) *client {
	return p.clients[proxy.zone*p.classGroups+group]
}

// mayGoTo reports whether requests of the client may go to the server.
func (c *client) mayGoTo(server *server, classes []TrafficClass) bool {
	sameZoneOnly := len(c.classes) > 0 && classes[c.classes[0]].SameZoneOnly
	return server.Zone == c.zone || !sameZoneOnly
}

// recordWeight records that the proxies of the entry's table were sent the entry, and were notified whether its server is
// ejected.
func (p *Policy) recordWeight(entry *entry, urgent bool) {
	if entry.sent == 0 {
		entry.server.addedMs = p.nowMs
	}
	for _, proxy := range entry.table.proxies {
		proxy.ejected[entry.server] = entry.server.ejected
	}
	entry.sent = entry.target
	if urgent {
		entry.table.urgentMs = p.nowMs
	}
}

// recordEjection records that an ejection or a readmission was ordered to the recipients.
func (s *server) recordEjection(ejected bool, recipients []*proxy, nowMs float64) {
	s.ejected = ejected
	s.drainOrdered = ejected && s.State != Ready
	if ejected {
		s.ejectedMs = nowMs
	}
	for _, proxy := range recipients {
		proxy.ejected[s] = ejected
	}
}

// awaitsReadmission reports whether the entry's server was readmitted, but not yet at the proxy.
func (p *proxy) awaitsReadmission(entry *entry) bool {
	return !entry.server.ejected && p.ejected[entry.server]
}

func (p *Policy) anyMayFollowOtherPlanner() bool {
	return slices.ContainsFunc(p.proxies, (*proxy).mayFollowOtherPlanner)
}

// unacknowledged returns the number of entries that no acknowledgement shows to have arrived. The backlog never exceeds this
// number, however slow the channel is. Entries to proxies that left count until the channel has had time to send them.
func (p *Policy) unacknowledged() float64 {
	return p.departedBacklog + sumBy(p.proxies, func(proxy *proxy) float64 {
		return proxy.ordered - proxy.acknowledged
	})
}

// readmit ends the ejection of a server: the recovery ramp starts, and load reports from before this time no longer count.
func (p *Policy) readmit(server *server) {
	server.unhealthy = false
	server.evidenceFromMs = p.nowMs
	server.readmittedMs = p.nowMs
	p.serversChanged = true
	p.observeChange(server, ChangeReadmitted)
}

// inDrainGrace reports whether proxies may still send to a draining or removed server.
func (p *Policy) inDrainGrace(server *server) bool {
	return server.State != Ready && p.nowMs < server.leftReadyMs+p.settings.DrainGraceMs
}

// cold reports whether a server is in slow start.
func (p *Policy) cold(server *server) bool {
	return server.StartedMs > 0 && p.nowMs-server.StartedMs < p.settings.SlowStartMs
}

// usable reports whether a server may get requests.
func (s *server) usable() bool { return s.State == Ready && !s.unhealthy }

func (e *entry) ejected() bool { return e.server.ejected }

// resetHistory drops the load reports and past ejections of a server.
func (s *server) resetHistory(nowMs float64) {
	s.samples = nil
	s.evidenceFromMs = nowMs
	s.readmittedMs = unset
	s.ejections = 0
}
