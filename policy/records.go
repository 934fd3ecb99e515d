package policy

import "slices"

// Records of what was ordered and decided, and plain questions about them.

// hasMessageAt says whether a proxy gets a message at this time already, which further orders share.
func (p *proxy) hasMessageAt(nowMs float64) bool {
	return len(p.messageTimes) > 0 && p.messageTimes[len(p.messageTimes)-1] == nowMs
}

// countOrder adds an order to the backlog and to what each recipient was sent; first are those that had no message yet.
func (p *Policy) countOrder(entries, cost float64, recipients, messaged []*proxy) {
	p.backlog += cost
	for _, proxy := range recipients {
		proxy.ordered += entries
	}
	for _, proxy := range messaged {
		proxy.messageTimes = appendBounded(proxy.messageTimes, p.nowMs, p.settings.MaxMessages+1)
		proxy.ordered += p.settings.MessageOverhead
	}
}

// countRequests adds requests for acknowledgements to the backlog, and what each will show to have arrived.
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

// inUse says whether proxies were sent a weight of the entry.
func (e *entry) inUse() bool { return e.sent > 0 }

// mayFollowOtherPlanner says whether a proxy may follow tables of another planner, as it has not all of ours yet.
func (p *proxy) mayFollowOtherPlanner() bool {
	return p.inheritedEjections && slices.Contains(p.tables, nil)
}

// mayUse says whether a table of the proxy holds a server, or may, where others gave it one that we do not know.
func (p *proxy) mayUse(server *server, unknownTables bool) bool {
	return slices.ContainsFunc(p.tables, func(table *table) bool {
		if table == nil {
			return unknownTables
		}
		return table.uses(server)
	})
}

// mayInheritEjection says whether another planner may have ejected the entry's server at the proxy.
func (p *proxy) mayInheritEjection(entry *entry) bool {
	return p.inheritedEjections && entry.inUse() && !entry.server.ejected && !p.ejected[entry.server]
}

func (p *proxy) awaitsRestoration(server *server) bool {
	return slices.ContainsFunc(p.pendingRestorations, func(pending restoration) bool { return pending.server == server })
}

// takePrepaidRestorations gives the number of restorations that are paid for, once.
func (p *proxy) takePrepaidRestorations() int {
	count := p.prepaidRestorations
	p.prepaidRestorations = 0
	return count
}

// recordAssignment records that a proxy was assigned a table, with the ejections as they are.
func (p *proxy) recordAssignment(group int, table *table) {
	p.tables[group] = table
	table.proxies = append(table.proxies, p)
	for _, entry := range table.entries {
		p.ejected[entry.server] = entry.server.ejected
	}
}

// expectRestorations records what a proxy has yet to be sent after an assignment.
func (p *proxy) expectRestorations(inherited, omitted []*entry) {
	var added []restoration // before what an earlier table left, as its heaviest are restored with it
	for _, entry := range inherited {
		pending := restoration{server: entry.server, entries: 1}
		if slices.Contains(omitted, entry) {
			pending.entries++
		}
		added = append(added, pending)
	}
	p.pendingRestorations = append(added, p.pendingRestorations...)
}

// hasTables says whether there is something to assign to a proxy in each part of its zone.
func (p *Policy) hasTables(proxy *proxy) bool {
	for _, client := range p.clients[proxy.zone*p.classGroups : (proxy.zone+1)*p.classGroups] {
		if proxy.cohort < 0 || !slices.ContainsFunc(client.tables[proxy.cohort].entries, (*entry).inUse) {
			return false
		}
	}
	return true
}

// recordWeight records that an entry was sent to the proxies of its table.
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

// recordEjection records that an ejection, or its end, was ordered to some proxies.
func (s *server) recordEjection(ejected bool, recipients []*proxy) {
	s.ejected = ejected
	for _, proxy := range recipients {
		proxy.ejected[s] = ejected
	}
}

// awaitsReadmission says whether the end of an ejection has not been ordered to the proxy.
func (p *proxy) awaitsReadmission(entry *entry) bool {
	return !entry.server.ejected && p.ejected[entry.server]
}

func (p *Policy) anyMayFollowOtherPlanner() bool {
	return slices.ContainsFunc(p.proxies, (*proxy).mayFollowOtherPlanner)
}

// unacknowledged are the entries that no acknowledgement shows to have arrived: at the most, these wait, however slow
// the channel is. Those to proxies that left count until the channel could have sent them.
func (p *Policy) unacknowledged() float64 {
	return p.departedBacklog + sumBy(p.proxies, func(proxy *proxy) float64 {
		return proxy.ordered - proxy.acknowledged
	})
}

// readmit takes a server back, by the recovery ramp and judged by new reports alone.
func (p *Policy) readmit(server *server) {
	server.unhealthy = false
	server.evidenceFromMs = p.nowMs
	server.readmittedMs = p.nowMs
	p.serversChanged = true
}

// inDrainGrace says whether proxies may still send to a server that drains or is removed.
func (p *Policy) inDrainGrace(server *server) bool {
	return server.State != Ready && p.nowMs < server.stateChangedMs+p.settings.DrainGraceMs
}

// cold says whether a server is in slow start.
func (p *Policy) cold(server *server) bool {
	return server.StartedMs > 0 && p.nowMs-server.StartedMs < p.settings.SlowStartMs
}

// usable says whether a server may get requests.
func (s *server) usable() bool { return s.State == Ready && !s.unhealthy }

func (e *entry) ejected() bool { return e.server.ejected }

// resetHistory voids what was recorded of a server before now.
func (s *server) resetHistory(nowMs float64) {
	s.samples = nil
	s.evidenceFromMs = nowMs
	s.readmittedMs = unset
	s.ejections = 0
}
