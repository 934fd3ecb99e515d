package policy

import "math"

// observeChannel records that the channel is slow if an acknowledgement took more than twice the longest propagation.
func (p *Policy) observeChannel(tookMs float64) {
	p.channelSlow = tookMs > lateAcknowledgementFactor*p.settings.MaxPropagationMs
}

// updateBacklog updates and returns the backlog: the number of entries that wait in the channel, with message overhead. The
// backlog drains at the rate of the channel, and never exceeds the number of unacknowledged entries.
func (p *Policy) updateBacklog() float64 {
	drained := (p.nowMs - p.backlogUpdatedMs) * p.settings.EntriesPerSecond / 1000
	if p.channelSlow {
		drained /= slowChannelFactor
	}
	p.departedBacklog = math.Max(0, p.departedBacklog-drained)
	p.backlog = math.Min(math.Max(0, p.backlog-drained), p.unacknowledged())
	p.backlogUpdatedMs = p.nowMs
	return p.backlog
}

// queueMs returns the time in ms that the channel takes, without faults, to send the backlog as of its last update.
func (p *Policy) queueMs() float64 {
	if p.settings.EntriesPerSecond <= 0 {
		return 0
	}
	return p.backlog / p.settings.EntriesPerSecond * 1000
}

// spendBudget spends the budget for an order with the given number of entries to each recipient, and reports whether the
// channel had room for an order of its urgency.
func (p *Policy) spendBudget(entries float64, recipients []*proxy, urgency int) bool {
	withoutMessage := p.withoutMessage(recipients)
	if !p.withinMessageLimit(withoutMessage, urgency) {
		return false
	}
	cost := entries*float64(len(recipients)) + p.settings.MessageOverhead*float64(len(withoutMessage))
	if !p.hasRoom(cost, urgency) {
		return false
	}
	p.countOrder(entries, cost, recipients, withoutMessage)
	return true
}

// hasRoom reports whether the channel has room for an order of a cost in entries.
func (p *Policy) hasRoom(cost float64, urgency int) bool {
	full := p.updateBacklog()+cost > p.settings.MaxBacklog*backlogShare[urgency] ||
		p.unacknowledged()+cost > p.settings.MaxBacklog*max(backlogShare[required], backlogShare[urgency])
	// An empty channel accepts any required order. Otherwise, an order larger than the limit could never be sent.
	return !full || p.unacknowledged() == 0 && urgency >= required
}

// withoutMessage returns the recipients for whom an order starts a message.
func (p *Policy) withoutMessage(recipients []*proxy) []*proxy {
	return filter(recipients, func(proxy *proxy) bool { return !proxy.hasMessageAt(p.nowMs) })
}

// withinMessageLimit reports whether each recipient may be sent one more message within MessageWindowMs.
func (p *Policy) withinMessageLimit(recipients []*proxy, urgency int) bool {
	limit := float64(p.settings.MaxMessages) * messageShare[urgency]
	if limit <= 0 {
		return true
	}
	sinceMs := p.nowMs - p.settings.MessageWindowMs
	for _, proxy := range recipients {
		recent := filter(proxy.messageTimes, func(atMs float64) bool { return atMs > sinceMs })
		if float64(len(recent)+1) > limit {
			return false
		}
	}
	return true
}

// requestAcknowledgements requests acknowledgements of the messages sent at this time: once for each solve, and more often
// while much may wait in the channel.
func (p *Policy) requestAcknowledgements(host Host) bool {
	optional := p.acknowledgedSolve == p.solves || p.lagging
	if optional && p.unacknowledged() < p.settings.MaxBacklog*backlogShare[urgent]*lowBacklogShare {
		return false
	}
	recipients := filter(p.proxies, func(proxy *proxy) bool { return proxy.hasMessageAt(p.nowMs) })
	if len(recipients) == 0 {
		return false
	}
	p.acknowledgementNumber = (p.acknowledgementNumber + 1) % acknowledgementNumbers
	p.countRequests(recipients)
	host.RequestAcknowledgement(p.acknowledgementNumber)
	return true
}
