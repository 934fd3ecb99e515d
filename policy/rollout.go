package policy

import (
	"cmp"
	"math"
	"slices"
)

// plan queues the decisions of this evaluation, the most urgent ones first. Each decision is made only if the channel has
// room for it when its turn comes.
func (p *Policy) plan() {
	p.pendingDecisions = nil
	p.observeUnsentDrains()
	p.enqueue(p.pollEndpoints)
	var changes [required + 1][]decision
	for _, table := range p.tables {
		p.planWeights(table, &changes)
	}
	p.enqueue(changes[required]...)
	takeover := p.inTakeover()
	if !takeover {
		p.planAssignments(takeover)
	} else if drains, fit := p.urgentDrains(); fit {
		for _, server := range drains {
			p.enqueue(func(host Host) bool { return p.setEjected(host, server, true, takeover) })
		}
		p.planAssignments(takeover)
	}
	p.planEjections(takeover) // queued after assignments, as a restarted planner ejects many cold servers at once
	p.planUnsentDrains(takeover)
	p.enqueue(changes[urgent]...)
	p.planAdmission()
	for _, proxy := range p.proxies {
		if proxy.inheritedEjections {
			p.enqueue(func(host Host) bool {
				return p.restore(host, proxy, len(proxy.pendingRestorations), deferrable)
			})
		}
	}
	if !p.lagging {
		p.enqueue(changes[deferrable]...)
	}
	p.enqueue(p.requestAcknowledgements)
}

// planWeights adds to planned, by urgency, the weights of a table that are to be sent. Additions come before reductions, so
// that the table is never empty between two orders.
func (p *Policy) planWeights(table *table, planned *[required + 1][]decision) {
	missing, total := 0.0, 0.0
	usable := 0
	var changed []*entry
	for _, entry := range table.entries {
		if entry.inUse() && !entry.server.ejected {
			usable++
		}
		missing += math.Max(entry.target-entry.sent, 0)
		total += entry.target
		if entry.mayChange() {
			changed = append(changed, entry)
		}
	}
	additionsFirst := func(a, b *entry) int { return cmp.Compare(b.target-b.sent, a.target-a.sent) }
	slices.SortStableFunc(changed, additionsFirst)
	intervalPassed := table.urgentMs == p.nowMs || p.nowMs-table.urgentMs >= urgentIntervalMs
	urgentDue := !p.serversChanged && intervalPassed
	for _, entry := range changed {
		urgency := p.weightUrgency(entry, usable, missing > maxMissingShare*total)
		missing -= math.Max(entry.target-entry.sent, 0)
		if entry.sent == 0 {
			usable++
		}
		due := urgency == deferrable && table.due || urgency > deferrable && urgentDue
		if total > 0 && due { // a table without targets stays as it is
			planned[urgency] = append(planned[urgency], func(host Host) bool {
				return p.sendWeight(host, entry, urgency)
			})
		}
	}
	table.due = table.due && len(changed) > 0
}

// weightUrgency returns the urgency of sending an entry. It depends on the number of servers in the table that are not
// ejected, and on whether much of its weight is missing. Entries of a table without proxies are sent at once, as they cost
// nothing.
func (p *Policy) weightUrgency(entry *entry, usable int, muchMissing bool) int {
	server := entry.server
	switch {
	case usable == 0 && entry.target > 0 || len(entry.table.proxies) == 0:
		return required
	case entry.target > 0 && (usable == 1 || muchMissing):
		return urgent
	case usable > 1 && p.ramp(server) < 1 && server.usable() && entry.overTarget():
		return urgent
	}
	return deferrable
}

// mayChange reports whether the target differs notably from the weight that was sent, and would not send more to a server that
// ceased to be usable after the solve that set the target. No solve replaces such targets while no server at all is usable.
func (e *entry) mayChange() bool {
	addsUnusable := !e.server.usable() && e.target > e.sent
	return !addsUnusable && math.Abs(e.target-e.sent) > minWeightChange*e.sent
}

// overTarget reports whether proxies send the server much more than its target.
func (e *entry) overTarget() bool { return e.sent > overTargetFactor*e.target+weightTolerance }

// sendWeight sends the target of an entry to all proxies of its table.
func (p *Policy) sendWeight(host Host, entry *entry, urgency int) bool {
	table := entry.table
	if entry.target == entry.sent {
		return false
	}
	if len(table.proxies) > 0 && !p.spendBudget(p.weightCost(entry), table.proxies, urgency) {
		return false
	}
	p.recordWeight(entry, urgency > deferrable)
	host.SetWeight(table.number, entry.server.Server, entry.target)
	return true
}

// weightCost returns the mean cost of a weight for each proxy in entries: one, and one more where the host must also send
// the end of an ejection that this or another planner ordered.
func (p *Policy) weightCost(entry *entry) float64 {
	readmitting := filter(entry.table.proxies, func(proxy *proxy) bool {
		endsEjection := proxy.inheritedEjections || proxy.ejected[entry.server] && p.settings.ReadmitByWeight
		return entry.sent == 0 && endsEjection || entry.target > 0 && proxy.awaitsRestoration(entry.server)
	})
	return 1 + float64(len(readmitting))/float64(len(entry.table.proxies))
}

// planEjections queues ejections and readmissions. In a takeover it skips drains: plan queues the urgent ones before
// assignments, and the others wait until they are urgent or the takeover has ended.
func (p *Policy) planEjections(takeover bool) {
	for _, server := range p.servers {
		eject := !server.usable() && !p.expired(server)
		ordered := eject == server.ejected && (!eject || server.State == Ready || server.drainOrdered)
		if ordered || !eject && p.serversChanged || takeover && server.State != Ready {
			continue
		}
		p.enqueue(func(host Host) bool { return p.setEjected(host, server, eject, takeover) })
	}
}

// setEjected ejects a server at the proxies that may use it, or readmits it once no table has a weight much above its
// target, which is low at first. The host notifies other proxies when they are sent a weight of the server.
func (p *Policy) setEjected(host Host, server *server, eject, takeover bool) bool {
	if eject && p.passesOver(server, takeover) {
		return false // returns before listing the recipients, which is slow, as there may be many unused servers
	}
	recipients := p.ejectionRecipients(server, eject, takeover)
	if eject && server.State == Ready && !server.inAnyTable() || eject && len(recipients) == 0 {
		return false
	}
	if !eject && slices.ContainsFunc(server.entries, (*entry).overTarget) {
		return false
	}
	if !p.spendForEjection(server, recipients, eject, takeover) {
		return false
	}
	server.recordEjection(eject, recipients, p.nowMs)
	host.SetEjected(server.Server, eject, !takeover)
	return true
}

// passesOver reports whether a server is not ejected at all proxies, as none may hold it but those that started with it in their
// tables, or in a takeover those that are to be assigned tables. unsentDrains finds these.
func (p *Policy) passesOver(server *server, takeover bool) bool {
	return !server.inAnyTable() && p.solves > 0 && (takeover || !p.anyMayFollowOtherPlanner())
}

// spendForEjection spends the budget for an ejection or a readmission, and reports whether there was room. Ejections of cold
// servers and of drains may use a reserve. Outside of a takeover, a drain uses the reserve only once drainIsDue, so that the
// drain can share a message with other orders until then.
func (p *Policy) spendForEjection(server *server, recipients []*proxy, eject, takeover bool) bool {
	entries := 1.0
	if !eject && p.settings.OmitsEntries {
		entries++ // the omitted entry, in addition to the end of the ejection
	}
	if p.spendBudget(entries, recipients, urgent) {
		return true
	}
	urgency := drainEjection
	if server.State == Ready {
		urgency = required
	}
	mayUseReserve := eject && (server.State != Ready || p.cold(server)) && (takeover || p.drainIsDue(server))
	return mayUseReserve && p.spendBudget(entries, recipients, urgency)
}

// drainIsDue reports whether a drain must be sent now to reach proxies by half of the drain grace, even after all that waits in
// the channel and the longest propagation.
func (p *Policy) drainIsDue(server *server) bool {
	return server.leftReadyMs <= p.dueGraceStartMs(maxDrainWaitShare)
}

// dueGraceStartMs returns the latest start, in ms, of the drain graces whose share has passed by the time at which an order that
// is made now will have reached proxies.
func (p *Policy) dueGraceStartMs(share float64) float64 {
	arrivalMs := p.nowMs + p.queueMs() + p.settings.MaxPropagationMs
	return arrivalMs - p.settings.DrainGraceMs*share
}

// ejectionRecipients returns the proxies that an ejection or a readmission is to be sent to.
func (p *Policy) ejectionRecipients(server *server, eject, takeover bool) []*proxy {
	return filter(p.proxies, func(proxy *proxy) bool {
		return (eject || proxy.ejected[server]) && proxy.mayUse(server, !takeover)
	})
}

// inTakeover reports whether proxies with tables of another planner await an assignment by this planner while servers drain.
// Ejecting each draining server at each such proxy would fill the channel, so that assignments wait and the next drains cost
// as much again. A proxy that has waited too long for a table with entries ends the takeover.
func (p *Policy) inTakeover() bool {
	waiting := filter(p.proxies, (*proxy).mayFollowOtherPlanner)
	if len(waiting) == 0 || !slices.ContainsFunc(p.servers, p.inDrainGrace) {
		return false
	}
	stuck := func(proxy *proxy) bool { return !p.hasTables(proxy) && p.nowMs > proxy.joinedMs+maxTableWaitMs }
	return slices.ContainsFunc(waiting, p.hasTables) && !slices.ContainsFunc(waiting, stuck)
}

// urgentDrains returns the servers whose ejections precede assignments in a takeover: those that began to drain first, and
// later ones once drainIsDue. These ejections are sent together, as each concerns few proxies and would cost messages of its
// own. fit reports whether the channel has room for all of them, or so little waits in it that they need not wait; otherwise
// assignments wait, too.
func (p *Policy) urgentDrains() (drains []*server, fit bool) {
	oldest := p.nowMs
	for _, server := range p.servers {
		if p.inDrainGrace(server) {
			oldest = min(oldest, server.leftReadyMs)
		}
	}
	entries := 0
	recipients := map[*proxy]bool{}
	for _, server := range p.servers {
		isUrgent := server.leftReadyMs <= oldest || p.drainIsDue(server)
		if server.State == Ready || server.drainOrdered || !isUrgent {
			continue
		}
		drains = append(drains, server)
		for _, proxy := range p.ejectionRecipients(server, true, true) {
			recipients[proxy] = true
			entries++
		}
	}
	cost := float64(entries) + p.settings.MessageOverhead*float64(len(recipients))
	room := p.settings.MaxBacklog*backlogShare[drainEjection] - max(p.updateBacklog(), p.unacknowledged())
	return drains, cost <= room || p.unacknowledged() < p.settings.MaxBacklog*backlogShare[required]*lowBacklogShare
}

// planAssignments queues the assignments of tables to proxies that have none.
func (p *Policy) planAssignments(takeover bool) {
	for _, proxy := range p.proxies {
		for group, table := range proxy.tables {
			if table == nil && proxy.cohort >= 0 {
				p.planAssignment(proxy, group, takeover)
			}
		}
	}
}

// planAssignment queues the assignment of a table, and the restorations whose budget is spent with the assignment.
func (p *Policy) planAssignment(proxy *proxy, group int, takeover bool) {
	assign := func(host Host) bool { return p.assignTable(host, proxy, group, takeover) }
	restore := func(host Host) bool { return p.restore(host, proxy, proxy.takePrepaidRestorations(), prepaid) }
	p.enqueue(assign, restore)
}

// assignTable assigns a proxy its first table. The assignment replaces tables of another planner, together with the draining
// servers in them. After many joins, assignments cost less than ejecting each draining server, so they must not wait for
// such ejections. In a takeover, entries with small weights are omitted and sent later.
func (p *Policy) assignTable(host Host, proxy *proxy, group int, takeover bool) bool {
	client := p.clientOf(proxy, group)
	table := client.tables[proxy.cohort]
	ejected := filter(table.entries, (*entry).ejected)
	readmitted := filter(table.entries, proxy.awaitsReadmission)
	inherited := filter(table.entries, proxy.mayInheritEjection)
	restored := len(inherited) // number of servers restored together with the assignment
	var omitted []*entry
	if takeover && p.settings.OmitsEntries {
		slices.SortStableFunc(inherited, func(a, b *entry) int { return cmp.Compare(b.sent, a.sent) })
		restored = min(restored, minEntries)
		omitted = omittedEntries(proxy, ejected, inherited)
	}
	entries := 1 + len(p.admission) + len(table.entries) - len(omitted)
	entries += len(ejected) + len(readmitted) + restored
	entries -= len(filter(omitted, (*entry).ejected)) // an ejection need not be sent for an omitted entry
	empty := !slices.ContainsFunc(table.entries, (*entry).inUse)
	if empty || !p.spendBudget(float64(entries), single(proxy), required) {
		return false
	}
	proxy.recordAssignment(group, table)
	proxy.expectRestorations(inherited, omitted)
	proxy.prepaidRestorations += restored
	host.AssignTable(proxy.id, table.number, client.classes, serverNames(omitted))
	return true
}

// omittedEntries returns the entries that an assignment omits: those of ejected servers, and those of the smallest weights.
// This keeps the channel from filling up when many proxies join during a release. inherited is sorted by weight, and its first
// entries are never omitted, so that a table is not sent empty.
func omittedEntries(proxy *proxy, ejected, inherited []*entry) []*entry {
	if len(inherited) == 0 {
		return nil
	}
	isNew := func(entry *entry) bool { return entry.inUse() && !proxy.ejected[entry.server] }
	omitted := filter(ejected, isNew)
	total := sumBy(inherited, func(entry *entry) float64 { return entry.sent })
	weight := 0.0
	for index, entry := range inherited {
		if index >= minEntries && weight >= essentialWeight*total {
			return append(omitted, inherited[index:]...)
		}
		weight += entry.sent
	}
	return omitted
}

// restore ends ejections that another planner may have ordered, and sends omitted entries, for servers in the tables of a
// proxy. A few servers are restored with the assignment, so that the proxy has servers to pick, and the others when the
// channel has room. It returns false where there is nothing to restore or no room.
func (p *Policy) restore(host Host, proxy *proxy, count, urgency int) bool {
	if count == 0 {
		return false
	}
	restored := proxy.pendingRestorations[:count]
	entries := sumBy(restored, func(pending restoration) float64 { return pending.entries })
	if urgency != prepaid && !p.spendBudget(entries, single(proxy), urgency) {
		return false
	}
	proxy.pendingRestorations = proxy.pendingRestorations[count:]
	host.RestoreServers(proxy.id, restoredNames(restored))
	return true
}
