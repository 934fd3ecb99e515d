package policy

import (
	"math"
	"slices"
)

// unverified reports whether a server is new in the list, has no start time, and never succeeded. Without a start time, the
// server should have been running for long; but a wrong list may name servers of another fleet. A server with a start time
// is really new, and goes through slow start. So a wrong list with start times is trusted until there is evidence against
// its servers.
func (p *Policy) unverified(server *server) bool {
	return p.anySuccess && !server.hasSucceeded && server.discoveredLate && server.StartedMs == 0
}

// restartServer records that a server restarted under the same name, and drops its history. If the server is cold, it is
// ejected until the requests that proxies sent it by their weights from before the restart have left its overload window.
func (p *Policy) restartServer(server *server, startedMs float64) {
	server.resetHistory(p.nowMs)
	server.unhealthy = startedMs > p.nowMs-p.settings.SlowStartMs
	server.unhealthyUntilMs = p.nowMs + p.settings.ColdOverloadWindowMs + p.settings.MaxPropagationMs
}

// expired reports whether a server was removed long ago and no table holds it. The ejection of such a server ends, and then
// the server is deleted.
func (p *Policy) expired(server *server) bool {
	removedLongAgo := server.State == Removed && p.nowMs-server.stateChangedMs > forgetRemovedMs
	return removedLongAgo && !server.inAnyTable() && !p.ejectedInOldTable(server)
}

// ejectedInOldTable reports whether only its ejection keeps some proxy from sending to the server, as the proxy goes by a table
// of before it joined. Such a table holds no server that was listed later; lists reach planners within AssumeNotifiedMs.
func (p *Policy) ejectedInOldTable(server *server) bool {
	return slices.ContainsFunc(p.proxies, func(proxy *proxy) bool {
		listedBefore := server.listedMs <= proxy.addedMs+p.settings.AssumeNotifiedMs
		return listedBefore && p.mayHoldUnassigned(proxy, server) && proxy.ejected[server]
	})
}

// updateEjections applies the sequential test to each ready server, and readmits servers whose ejection has ended. Many
// outliers at once are more likely a fault of the reports, so only a share of the fleet may be ejected.
func (p *Policy) updateEjections() {
	verified := func(server *server) bool { return server.State == Ready && !p.unverified(server) }
	fleet := filter(p.servers, verified)
	size := float64(len(fleet))
	ejected := float64(1 + len(fleet) - len(filter(fleet, (*server).usable))) // ejected servers after one more ejection
	holdBackCold := p.demandUncertain() && p.mayHoldBackCold()
	for _, server := range p.servers {
		switch {
		case server.State != Ready || server.unhealthy && p.nowMs < server.unhealthyUntilMs:
		case server.unhealthy:
			p.readmit(server)
		case p.cold(server) && holdBackCold:
			// Proxies avoid servers that fail and try others, so that a cold server would get too many requests.
			server.unhealthy = true
			server.unhealthyUntilMs = p.nowMs + p.settings.ColdOverloadWindowMs
			p.serversChanged = true
			ejected++
			p.observeChange(server, ChangeHeldBack)
		case p.evidence(server) >= ejectionThreshold && ejected <= maxEjectedShare*size:
			p.eject(server)
			ejected++
		}
	}
}

// demandUncertain reports whether many attempts fail, or many proxies are new, so that many attempts may fail before load
// reports show the failures.
func (p *Policy) demandUncertain() bool {
	added := filter(p.proxies, func(proxy *proxy) bool { return p.nowMs-proxy.joinedMs < ejectionMs })
	return p.failureShare > maxEjectedShare || len(added) > len(p.proxies)/newProxyDivisor
}

// eject marks a server as unhealthy for a time that doubles with each ejection.
func (p *Policy) eject(server *server) {
	durationMs := math.Min(ejectionMs*math.Exp2(float64(server.ejections)), maxEjectionMs)
	server.unhealthy = true
	server.unhealthyUntilMs = p.nowMs + durationMs
	server.evidenceFromMs = p.nowMs
	server.ejections++
	p.serversChanged = true
	p.observeChange(server, ChangeEjected)
}

// evidence returns a CUSUM of log-likelihood ratios, in nats, that a server is dead rather than healthy: from its failures,
// and from missing load reports while requests were sent to it.
func (p *Policy) evidence(server *server) float64 {
	score, silentFromMs := p.failureEvidence(server)
	score += p.silenceEvidence(server, silentFromMs)
	if p.unverified(server) {
		score *= unverifiedEvidenceFactor
	}
	return score
}

// failureEvidence sums the evidence of load reports on requests that were sent after evidenceFromMs. It also returns the
// time in ms since when load reports of the server are missing. A healthy server may be overloaded, which explains a failure
// share that is higher, the more attempts fail at the median server.
func (p *Policy) failureEvidence(server *server) (score, silentFromMs float64) {
	healthyFailureShare := math.Max(minOverloadFailureShare, overloadFailureFactor*p.failureShare)
	healthyFailureShare = math.Min(healthyFailureShare, maxOverloadFailureShare)
	failureNats := math.Log(deadFailureShare / healthyFailureShare)
	successNats := math.Log((1 - deadFailureShare) / (1 - healthyFailureShare))
	delayMs := p.settings.MaxPropagationMs + p.settings.ReportIntervalMs
	silentFromMs = math.Max(server.evidenceFromMs, server.addedMs) + math.Max(delayMs, ejectionMs-windowRounds*p.roundMs)
	for _, report := range server.reports {
		if report.atMs <= server.evidenceFromMs+delayMs {
			continue
		}
		nats := report.failed*failureNats + report.succeeded*successNats
		score += math.Max(-maxReportEvidence, math.Min(nats, maxReportEvidence))
		score = math.Max(0, score)
		silentFromMs = math.Max(report.atMs, server.addedMs+delayMs)
	}
	return score, silentFromMs
}

// silenceEvidence returns the evidence of load reports that are missing since silentFromMs. As rounds of load reports may be
// long, only the time beyond windowRounds rounds counts.
func (p *Policy) silenceEvidence(server *server, silentFromMs float64) float64 {
	silentMs := p.reportedMs - silentFromMs - windowRounds*p.roundMs
	if silentMs <= 0 || server.ejected {
		return 0
	}
	sent := sumBy(server.entries, func(entry *entry) float64 { return entry.sent * entry.table.rate }) / 1000
	return silentMs * math.Min(sent, maxReportEvidence/p.settings.ReportIntervalMs)
}
