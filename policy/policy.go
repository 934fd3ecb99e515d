package policy

import "math"

// Next makes at most one decision, as one call of a Host method, and reports whether it did. The caller calls Next until it
// returns false. The fleet is evaluated once every evaluationIntervalMs, and when endpoints or proxies changed.
func (p *Policy) Next(host Host) bool {
	if p.nowMs-p.evaluatedMs >= evaluationIntervalMs || p.dirty {
		p.evaluatedMs = p.nowMs
		p.dirty = false
		p.evaluate()
		p.updateEjections()
		p.updateAdmissionIfDue()
		p.solveIfDue()
		p.limitAdmission()
		p.plan()
	}
	for len(p.pendingDecisions) > 0 {
		decide := p.pendingDecisions[0]
		p.pendingDecisions = p.pendingDecisions[1:]
		if decide(host) {
			return true
		}
	}
	if p.nowMs < p.timerMs {
		return false
	}
	p.timerMs = p.nowMs + evaluationIntervalMs
	host.SetTimer(evaluationIntervalMs)
	return true
}

// pollEndpoints requests the endpoint list until an update arrives, if the list is sent only on request.
func (p *Policy) pollEndpoints(host Host) bool {
	if !p.settings.WatchRequired || p.watching || p.nowMs < p.pollMs {
		return false
	}
	p.pollMs = p.nowMs + math.Max(p.pollBackoff, p.settings.AssumeNotifiedMs/pollsUntilNotified)
	host.WatchEndpoints()
	return true
}

// backOffPolling doubles the wait after each failed poll. The wait is random, so that planners do not poll together.
func (p *Policy) backOffPolling() {
	p.watching = false
	p.pollMs = p.nowMs + p.pollBackoff*(pollSpread+p.random.Float64())
	p.pollBackoff = math.Min(2*p.pollBackoff, p.settings.AssumeNotifiedMs*maxPollBackoffShare)
}
