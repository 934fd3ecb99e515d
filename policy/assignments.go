package policy

import (
	"cmp"
	"slices"
)

// This file assigns proxies their first tables, also in a takeover, in which they may hold tables of another planner.

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
