package policy

import "math"

// observeChannel takes the channel for slow when an acknowledgement took twice the longest way.
func (p *Policy) observeChannel(tookMs float64) { p.queueSlow = tookMs > 2*p.set.MaxPropagationMs }

// queue gives the backlog as of now: entries, and messages as entries, that wait in the channel. It drains at
// the channel's rate, and is never more than what has not arrived for all that is known.
func (p *Policy) queue() float64 {
	drained := (p.now - p.countedMs) * p.set.EntriesPerSecond / 1000
	if p.queueSlow {
		drained /= maxQueueSlowdown
	}
	p.departedBacklog = math.Max(0, p.departedBacklog-drained)
	p.backlog = math.Min(math.Max(0, p.backlog-drained), p.unsure())
	p.countedMs = p.now
	return p.backlog
}

// spendBudget counts an order of so many entries to each of some proxies, if there is room for it at its
// urgency.
func (p *Policy) spendBudget(entries float64, recipients []*proxy, urgency int) bool {
	first := filter(recipients, func(proxy *proxy) bool { return !proxy.reached(p.now) })
	if !p.hasMessages(first, urgency) {
		return false
	}
	cost := entries*float64(len(recipients)) + p.set.MessageOverhead*float64(len(first))
	full := p.queue()+cost > p.set.MaxBacklog*queueShare[urgency] ||
		p.unsure()+cost > p.set.MaxBacklog*max(queueShare[required], queueShare[urgency])
	// An empty channel takes what is required, however large: guards against waiting for ever.
	if full && (p.unsure() > 0 || urgency < required) {
		return false
	}
	p.countOrder(entries, cost, recipients, first)
	return true
}

// hasMessages says whether each of some proxies may get another message within its span.
func (p *Policy) hasMessages(recipients []*proxy, urgency int) bool {
	most := float64(p.set.MaxMessages) * messageShare[urgency]
	if most <= 0 {
		return true
	}
	for _, proxy := range recipients {
		recent := filter(proxy.sent, func(at float64) bool { return at > p.now-p.set.MessageWindowMs })
		if float64(len(recent)+1) > most {
			return false
		}
	}
	return true
}

// requestAcknowledgements requests acknowledgements of this evaluation's messages: once a solve, and more
// often while much may wait.
func (p *Policy) requestAcknowledgements(host Host) bool {
	needless := p.acknowledgedSolve == p.solves || p.lagging
	if needless && p.unsure() < p.set.MaxBacklog*queueShare[urgent]/2 {
		return false
	}
	recipients := filter(p.proxies, func(proxy *proxy) bool { return proxy.reached(p.now) })
	if len(recipients) == 0 {
		return false
	}
	p.acknowledgementNumber = (p.acknowledgementNumber + 1) % acknowledgementNumbers
	p.countRequests(recipients)
	host.RequestAcknowledgement(p.acknowledgementNumber)
	return true
}
