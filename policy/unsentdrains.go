package policy

import (
	"math"
	"slices"
)

// This file follows up the drains at each joined proxy that may send to a draining or removed server, however and whenever it
// joined. Ordinarily, one order ejects such a server at all proxies, and a proxy that joins later is assigned tables that replace
// the ones it had. Neither reaches every proxy: there may be nothing to assign, or no room, and single recipients may have been
// sent all the messages that they may be sent.

// unsentDrain is a draining or removed server that a proxy may send to, as the proxy has not been sent its ejection.
type unsentDrain struct {
	proxy  *proxy
	server *server
}

// unassignedSince returns the proxies that have gone by a table of before they joined since a time or longer.
func (p *Policy) unassignedSince(ms float64) []*proxy {
	return filter(p.proxies, func(proxy *proxy) bool { return proxy.addedMs <= ms && slices.Contains(proxy.tables, nil) })
}

// unsentDrains returns the unsent drains whose grace began at startedByMs or before: those of all proxies with assigned tables that
// hold the server, and of the unassigned ones.
func (p *Policy) unsentDrains(startedByMs float64, unassigned []*proxy) []unsentDrain {
	var unsent []unsentDrain
	for _, server := range p.servers {
		if server.State == Ready || server.leftReadyMs > startedByMs || p.expired(server) {
			continue
		}
		for _, proxy := range server.holders() {
			if proxy.addedMs <= startedByMs && !proxy.ejected[server] {
				unsent = append(unsent, unsentDrain{proxy, server})
			}
		}
		for _, proxy := range unassigned {
			if !proxy.ejected[server] && !proxy.mayUse(server, false) && p.mayHoldUnassigned(proxy, server) {
				unsent = append(unsent, unsentDrain{proxy, server})
			}
		}
	}
	return unsent
}

// holders returns the proxies whose assigned tables hold the server, each once.
func (s *server) holders() []*proxy {
	var holders []*proxy
	seen := map[*proxy]bool{}
	for _, entry := range s.entries {
		if !entry.inUse() {
			continue
		}
		for _, proxy := range entry.table.proxies {
			if !seen[proxy] {
				seen[proxy] = true
				holders = append(holders, proxy)
			}
		}
	}
	return holders
}

// mayHoldUnassigned reports whether a table that this planner did not assign to the proxy may hold the server: a table of
// another planner, or the one that the proxy started with.
func (p *Policy) mayHoldUnassigned(proxy *proxy, server *server) bool {
	return p.mayHoldIn(proxy, server, lacksTable)
}

// lacksTable reports whether the proxy was not assigned a table for a class group.
func lacksTable(proxy *proxy, group int) bool { return proxy.tables[group] == nil }

// mayHoldIn reports whether requests of the proxy may go to the server by the tables of some class group for which unknownTable
// returns true.
func (p *Policy) mayHoldIn(proxy *proxy, server *server, unknownTable func(*proxy, int) bool) bool {
	for group := range proxy.tables {
		if p.clientOf(proxy, group).mayGoTo(server, p.settings.Classes) && unknownTable(proxy, group) {
			return true
		}
	}
	return false
}

// keepsOldTables reports whether keepsOldTable holds for some class group.
func (p *Policy) keepsOldTables(proxy *proxy) bool {
	for group := range proxy.tables {
		if p.keepsOldTable(proxy, group) {
			return true
		}
	}
	return false
}

// planUnsentDrains queues the ejections of draining and removed servers at those proxies that must be sent them now. When their
// turn comes, those are left out that other decisions have seen to or are about to.
func (p *Policy) planUnsentDrains(takeover bool) {
	startedByMs := p.dueGraceStartMs(maxDrainWaitShare)
	due := p.unsentDrains(startedByMs, filter(p.unassignedSince(startedByMs), p.keepsOldTables))
	pending := map[*server]bool{}
	for _, drain := range due {
		if _, known := pending[drain.server]; !known {
			pending[drain.server] = p.ejectionPending(drain.server, takeover)
		}
	}
	due = slices.DeleteFunc(due, func(drain unsentDrain) bool { return pending[drain.server] })
	if p.settings.EjectsSingly {
		p.planSingleEjections(due)
	} else {
		p.planRepeatedEjections(due)
	}
}

// stillUnsent reports whether an unsent drain of the start of this evaluation is one still, and no assignment is about to replace
// all tables that may hold the draining server.
func (p *Policy) stillUnsent(drain unsentDrain) bool {
	proxy := drain.proxy
	mayHold := proxy.mayUse(drain.server, false) || p.mayHoldIn(proxy, drain.server, p.keepsOldTable)
	return mayHold && !proxy.ejected[drain.server]
}

// ejectionPending reports whether the ejection of a server is yet to be ordered at all proxies that may use it. It cannot be while
// some of these were sent all the messages that they may be sent.
func (p *Policy) ejectionPending(server *server, takeover bool) bool {
	if server.drainOrdered || p.passesOver(server, takeover) {
		return false
	}
	recipients := p.ejectionRecipients(server, true, takeover)
	return !p.settings.EjectsSingly || p.withinMessageLimit(p.withoutMessage(recipients), drainEjection)
}

// keepsOldTable reports whether no table is about to be assigned to the proxy for a class group that has none: there is nothing to
// assign, or the proxy may be sent no assignment for now, but ejections. A table costs about as much as ejecting each draining
// server, and a channel that is full of assignments has no room for both; so a proxy that will be assigned one is left to it.
func (p *Policy) keepsOldTable(proxy *proxy, group int) bool {
	if !lacksTable(proxy, group) {
		return false
	}
	limited := p.settings.EjectsSingly && !p.withinMessageLimit(p.withoutMessage(single(proxy)), required)
	return limited || !p.hasTable(proxy, group)
}

// planSingleEjections queues ejections, all those of a proxy together.
func (p *Policy) planSingleEjections(due []unsentDrain) {
	var recipients []*proxy // in the order of due, so that decisions are deterministic
	drains := map[*proxy][]unsentDrain{}
	for _, drain := range due {
		if drains[drain.proxy] == nil {
			recipients = append(recipients, drain.proxy)
		}
		drains[drain.proxy] = append(drains[drain.proxy], drain)
	}
	for _, proxy := range recipients {
		p.enqueue(func(host Host) bool { return p.ejectAt(host, proxy, drains[proxy]) })
	}
}

// ejectAt ejects draining and removed servers at a proxy.
func (p *Policy) ejectAt(host Host, proxy *proxy, drains []unsentDrain) bool {
	unsent := filter(drains, p.stillUnsent)
	if len(unsent) == 0 || !p.spendBudget(float64(len(unsent)), single(proxy), drainEjection) {
		return false
	}
	var names []string
	for _, drain := range unsent {
		drain.server.recordEjection(true, single(proxy), p.nowMs)
		names = append(names, drain.server.Server)
	}
	host.EjectServers(proxy.id, names)
	return true
}

// planRepeatedEjections queues, for a host that ejects at all proxies only, that ejections are ordered anew.
func (p *Policy) planRepeatedEjections(due []unsentDrain) {
	planned := map[*server]bool{}
	for _, drain := range due {
		if planned[drain.server] {
			continue
		}
		planned[drain.server] = true
		p.enqueue(func(host Host) bool { return p.repeatEjection(host, drain.server, due) })
	}
}

// repeatEjection ejects a server at all proxies anew, if it is among the drains that are still unsent.
func (p *Policy) repeatEjection(host Host, server *server, due []unsentDrain) bool {
	unsent := slices.ContainsFunc(due, func(drain unsentDrain) bool { return drain.server == server && p.stillUnsent(drain) })
	if !unsent {
		return false
	}
	recipients := p.ejectionRecipients(server, true, false)
	if !p.spendBudget(1, recipients, drainEjection) {
		return false
	}
	server.recordEjection(true, recipients, p.nowMs)
	host.SetEjected(server.Server, true, true)
	return true
}

// graceStartMs returns when the drain grace of the server began for the proxy.
func (d unsentDrain) graceStartMs() float64 { return math.Max(d.proxy.addedMs, d.server.leftReadyMs) }
