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
