package policy

import "math"

// observeChannel takes the channel for slow when an acknowledgement took twice the longest way.
func (p *Policy) observeChannel(tookMs float64) {
	p.channelSlow = tookMs > lateAcknowledgementFactor*p.settings.MaxPropagationMs
}

// updateBacklog gives the backlog as of now: entries, and messages as entries, that wait in the channel. It
// drains at the channel's rate, and is never more than what has not arrived for all that is known.
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

// spendBudget counts an order of so many entries to each of some proxies, if its urgency has room for it.
func (p *Policy) spendBudget(entries float64, recipients []*proxy, urgency int) bool {
	messaged := filter(recipients, func(proxy *proxy) bool { return !proxy.hasMessageAt(p.nowMs) })
	if !p.withinMessageLimit(messaged, urgency) {
		return false
	}
	cost := entries*float64(len(recipients)) + p.settings.MessageOverhead*float64(len(messaged))
	full := p.updateBacklog()+cost > p.settings.MaxBacklog*backlogShare[urgency] ||
		p.unacknowledged()+cost > p.settings.MaxBacklog*max(backlogShare[required], backlogShare[urgency])
	// An empty channel takes what is required, however large: guards against waiting for ever.
	if full && (p.unacknowledged() > 0 || urgency < required) {
		return false
	}
	p.countOrder(entries, cost, recipients, messaged)
	return true
}

// withinMessageLimit says whether each of some proxies may get another message within its span.
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

// requestAcknowledgements requests those of this evaluation's messages: each solve, more while much may wait.
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
