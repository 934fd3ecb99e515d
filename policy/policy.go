package policy

import "math"

// Next makes at most one decision, by one call on the host, and says whether it did. Its caller calls it
// until it says false. An evaluation takes place when the last is some time ago or endpoints or proxies came
// or left.
func (p *Policy) Next(host Host) bool {
	if p.nowMs-p.evaluatedMs >= evaluationIntervalMs || p.dirty {
		p.evaluatedMs = p.nowMs
		p.dirty = false
		p.evaluate()
		p.updateEjections()
		p.updateAdmissionIfDue()
		p.solveIfDue()
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

// measureRound sets how far reports are looked back for. A round of them, in which each server reports once,
// takes longer where there are more than the intake lets through.
func (p *Policy) measureRound() {
	middle := quantile(p.reportCoversMs, 2, func(coversMs float64) float64 { return coversMs })
	p.roundMs = math.Max(p.settings.ReportIntervalMs, middle)
	p.windowMs = math.Max(minWindowMs, reportRounds*p.roundMs)
}

// pollEndpoints asks for the endpoint list where it comes only on request, until an update shows that it
// comes.
func (p *Policy) pollEndpoints(host Host) bool {
	if !p.settings.WatchRequired || p.watching || p.nowMs < p.pollMs {
		return false
	}
	p.pollMs = p.nowMs + math.Max(p.pollBackoff, p.settings.AssumeNotifiedMs/pollsUntilNotified)
	host.WatchEndpoints()
	return true
}

// backOffPolling waits twice as long after each failed poll, spread so that planners do not poll together.
func (p *Policy) backOffPolling() {
	p.watching = false
	p.pollMs = p.nowMs + p.pollBackoff*(0.5+p.random.Float64())
	p.pollBackoff = math.Min(2*p.pollBackoff, p.settings.AssumeNotifiedMs/2)
}
