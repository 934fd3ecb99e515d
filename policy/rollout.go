package policy

import (
	"cmp"
	"math"
	"slices"
)

// plan queues the decisions of this evaluation, what cannot wait first. Each is made if the channel has room
// for it when its turn comes.
func (p *Policy) plan() {
	p.pendingDecisions = nil
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
	p.planEjections(takeover) // after first tables: many cold servers rest at once when planners restart
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

// planWeights adds a table's weights to send by urgency, additions first so that it never runs empty.
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
		if math.Abs(entry.target-entry.sent) > minWeightChange*entry.sent {
			changed = append(changed, entry)
		}
	}
	additionsFirst := func(a, b *entry) int { return cmp.Compare(b.target-b.sent, a.target-a.sent) }
	slices.SortStableFunc(changed, additionsFirst)
	intervalPassed := table.urgentMs == p.nowMs || p.nowMs-table.urgentMs >= urgentIntervalMs
	urgentDue := !p.serversChanged && intervalPassed
	for _, entry := range changed {
		urgency := p.weightUrgency(entry, usable, missing > maxMissingWeight*total)
		missing -= math.Max(entry.target-entry.sent, 0)
		if entry.sent == 0 {
			usable++
		}
		due := urgency == deferrable && table.due || urgency > deferrable && urgentDue
		if total > 0 && due { // a table without targets keeps what it holds
			planned[urgency] = append(planned[urgency], func(host Host) bool {
				return p.sendWeight(host, entry, urgency)
			})
		}
	}
	table.due = table.due && len(changed) > 0
}

// weightUrgency depends on how many usable servers the table has and on whether much of its weight is
// missing. Nothing is spent on a table without proxies, so its entries go at once.
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

// overTarget says whether proxies send a server much more than it should get.
func (e *entry) overTarget() bool { return e.sent > overTargetFactor*e.target+weightTolerance }

// sendWeight sends an entry to all proxies of its table.
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

// weightCost is one for each proxy, and one more where the entry also ends an ejection, of ours or inherited.
func (p *Policy) weightCost(entry *entry) float64 {
	readmitting := filter(entry.table.proxies, func(proxy *proxy) bool {
		endsEjection := proxy.inheritedEjections || proxy.ejected[entry.server] && p.settings.ReadmitByWeight
		return entry.sent == 0 && endsEjection || entry.target > 0 && proxy.awaitsRestoration(entry.server)
	})
	return 1 + float64(len(readmitting))/float64(len(entry.table.proxies))
}

// planEjections queues ejections and their ends. In a takeover, drains go with first tables, or follow them.
func (p *Policy) planEjections(takeover bool) {
	for _, server := range p.servers {
		eject := !server.usable() && !p.expired(server)
		if eject == server.ejected || !eject && p.serversChanged || takeover && server.State != Ready {
			continue
		}
		p.enqueue(func(host Host) bool { return p.setEjected(host, server, eject, takeover) })
	}
}

// setEjected ejects a server at the proxies that may use it, or ends that once no table holds more of it than
// its ramp allows. Other proxies learn of it by its weight.
func (p *Policy) setEjected(host Host, server *server, eject, takeover bool) bool {
	unused := eject && !server.inAnyTable()
	if unused && p.solves > 0 && (takeover || !p.anyMayFollowOtherPlanner()) {
		return false // there may be many such servers, so this comes first
	}
	recipients := p.ejectionRecipients(server, eject, takeover)
	if unused && server.State == Ready || eject && len(recipients) == 0 {
		return false
	}
	if !eject && slices.ContainsFunc(server.entries, (*entry).overTarget) {
		return false
	}
	if !p.spendForEjection(server, recipients, eject, takeover) {
		return false
	}
	server.recordEjection(eject, recipients)
	host.SetEjected(server.Server, eject, !takeover)
	return true
}

// spendForEjection counts an ejection or its end. Drains and cold servers may use what is kept for them; but
// a drain waits to share its message while messages are short, and not too long.
func (p *Policy) spendForEjection(server *server, recipients []*proxy, eject, takeover bool) bool {
	entries := 1.0
	if !eject && p.settings.OmitsEntries {
		entries++ // the entry that was omitted, and the end of another planner's ejection
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

// drainIsDue says whether half the grace of a drain has passed, less the longest way of a message.
func (p *Policy) drainIsDue(server *server) bool {
	return p.nowMs >= server.stateChangedMs+p.settings.DrainGraceMs*maxDrainWaitShare-p.settings.MaxPropagationMs
}

// ejectionRecipients are the proxies that an ejection or its end concerns.
func (p *Policy) ejectionRecipients(server *server, eject, takeover bool) []*proxy {
	return filter(p.proxies, func(proxy *proxy) bool {
		return (eject || proxy.ejected[server]) && proxy.mayUse(server, !takeover)
	})
}

// inTakeover says whether proxies with tables of other planners wait for ours while servers drain. Guards
// against ejecting each draining server at each such proxy: that filled the channel, their tables waited, and
// the next drains cost as much.
func (p *Policy) inTakeover() bool {
	waiting := filter(p.proxies, (*proxy).mayFollowOtherPlanner)
	if len(waiting) == 0 || !slices.ContainsFunc(p.servers, p.inDrainGrace) {
		return false
	}
	stuck := func(proxy *proxy) bool { return !p.hasTables(proxy) && p.nowMs > proxy.joinedMs+maxTableWaitMs }
	return slices.ContainsFunc(waiting, p.hasTables) && !slices.ContainsFunc(waiting, stuck)
}

// urgentDrains are the ejections that go before first tables in a takeover: of the oldest notification, as
// both have its grace, and of later ones when theirs gets short. They go together, as few proxies hold each
// server, and one by one each would cost messages: tables wait until all fit, or little else waits.
func (p *Policy) urgentDrains() (drains []*server, fit bool) {
	oldest := p.nowMs
	for _, server := range p.servers {
		if p.inDrainGrace(server) {
			oldest = min(oldest, server.stateChangedMs)
		}
	}
	entries := 0
	recipients := map[*proxy]bool{}
	for _, server := range p.servers {
		isUrgent := server.stateChangedMs <= oldest || p.drainIsDue(server)
		if server.State == Ready || server.ejected || !isUrgent {
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

// planAssignments queues the first tables of proxies.
func (p *Policy) planAssignments(takeover bool) {
	for _, proxy := range p.proxies {
		for group, table := range proxy.tables {
			if table == nil && proxy.cohort >= 0 {
				p.planAssignment(proxy, group, takeover)
			}
		}
	}
}

// planAssignment queues a first table with the restorations that are paid with it.
func (p *Policy) planAssignment(proxy *proxy, group int, takeover bool) {
	assign := func(host Host) bool { return p.assignTable(host, proxy, group, takeover) }
	restore := func(host Host) bool { return p.restore(host, proxy, proxy.takePrepaidRestorations(), prepaid) }
	p.enqueue(assign, restore)
}

// assignTable gives a proxy its first table. It takes the place of what another planner gave it, with all
// that drains: after many joins that costs less than an ejection of each server, and must not wait behind
// those. In a takeover the light entries follow later.
func (p *Policy) assignTable(host Host, proxy *proxy, group int, takeover bool) bool {
	client := p.clients[proxy.zone*p.classGroups+group]
	table := client.tables[proxy.cohort]
	ejected := filter(table.entries, (*entry).ejected)
	readmitted := filter(table.entries, proxy.awaitsReadmission)
	inherited := filter(table.entries, proxy.mayInheritEjection)
	restored := len(inherited) // with the table
	var omitted []*entry
	if takeover && p.settings.OmitsEntries {
		slices.SortStableFunc(inherited, func(a, b *entry) int { return cmp.Compare(b.sent, a.sent) })
		restored = min(restored, minEntries)
		omitted = omittedEntries(proxy, ejected, inherited)
	}
	entries := 1 + len(p.admission) + len(table.entries) - len(omitted)
	entries += len(ejected) + len(readmitted) + restored
	entries -= len(filter(omitted, (*entry).ejected)) // proxies need no ejection of what they do not get
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

// omittedEntries are those of a table that a proxy is not sent with its assignment: of ejected servers, and
// the light ones. Guards the channel when many proxies join during a release. A table is never sent empty.
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

// restore ends ejections that others may have ordered of servers in a proxy's tables, and sends entries that
// were omitted: of a few with the assignment, so that one can be picked, of the rest when there is room.
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
