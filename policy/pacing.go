package policy

import "math"

// observeChannel takes the channel for slow when an acknowledgement took twice the longest way.
func (p *Policy) observeChannel(tookMs float64) {
	p.queueSlow = tookMs > lateAcknowledgement*p.settings.MaxPropagationMs
}

// updateBacklog gives the backlog as of now: entries, and messages as entries, that wait in the channel. It
// drains at the channel's rate, and is never more than what has not arrived for all that is known.
func (p *Policy) updateBacklog() float64 {
	drained := (p.nowMs - p.countedMs) * p.settings.EntriesPerSecond / 1000
	if p.queueSlow {
		drained /= maxQueueSlowdown
	}
	p.departedBacklog = math.Max(0, p.departedBacklog-drained)
	p.backlog = math.Min(math.Max(0, p.backlog-drained), p.unacknowledged())
	p.countedMs = p.nowMs
	return p.backlog
}

// spendBudget counts an order of so many entries to each of some proxies, if its urgency has room for it.
func (p *Policy) spendBudget(entries float64, recipients []*proxy, urgency int) bool {
	first := filter(recipients, func(proxy *proxy) bool { return !proxy.reached(p.nowMs) })
	if !p.hasMessages(first, urgency) {
		return false
	}
	cost := entries*float64(len(recipients)) + p.settings.MessageOverhead*float64(len(first))
	full := p.updateBacklog()+cost > p.settings.MaxBacklog*queueShare[urgency] ||
		p.unacknowledged()+cost > p.settings.MaxBacklog*max(queueShare[required], queueShare[urgency])
	// An empty channel takes what is required, however large: guards against waiting for ever.
	if full && (p.unacknowledged() > 0 || urgency < required) {
		return false
	}
	p.countOrder(entries, cost, recipients, first)
	return true
}

// hasMessages says whether each of some proxies may get another message within its span.
func (p *Policy) hasMessages(recipients []*proxy, urgency int) bool {
	most := float64(p.settings.MaxMessages) * messageShare[urgency]
	if most <= 0 {
		return true
	}
	since := p.nowMs - p.settings.MessageWindowMs
	for _, proxy := range recipients {
		recent := filter(proxy.messageTimes, func(at float64) bool { return at > since })
		if float64(len(recent)+1) > most {
			return false
		}
	}
	return true
}

// requestAcknowledgements requests those of this evaluation's messages: each solve, more while much may wait.
func (p *Policy) requestAcknowledgements(host Host) bool {
	needless := p.acknowledgedSolve == p.solves || p.lagging
	if needless && p.unacknowledged() < p.settings.MaxBacklog*queueShare[urgent]*lowBacklog {
		return false
	}
	recipients := filter(p.proxies, func(proxy *proxy) bool { return proxy.reached(p.nowMs) })
	if len(recipients) == 0 {
		return false
	}
	p.acknowledgementNumber = (p.acknowledgementNumber + 1) % acknowledgementNumbers
	p.countRequests(recipients)
	host.RequestAcknowledgement(p.acknowledgementNumber)
	return true
}
