package policy

import "slices"

// This file orders ejections and readmissions of servers at all proxies that may use them.

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
