package policy

import "math"

// unverified says whether a server is new to the list and never succeeded, though it is said to run since
// long ago: a wrong list may name some that are not ours. One that says when it started is new, and has slow
// start. Harm: a wrong list with start times would be believed until the evidence is in.
func (p *Policy) unverified(server *server) bool {
	return p.anySuccess && !server.hasSucceeded && server.discoveredLate && server.StartedMs == 0
}

// restartServer is about a server that came back cold under its old name: its reports are void. What old
// tables sent it counts as overload of a cold server, so it rests until that is out of the window.
func (p *Policy) restartServer(server *server, startedMs float64) {
	server.resetHistory(p.nowMs)
	server.unhealthy = startedMs > p.nowMs-p.settings.SlowStartMs
	server.unhealthyUntilMs = p.nowMs + p.settings.ColdOverloadWindowMs + p.settings.MaxPropagationMs
}

// expired says whether nothing is left to decide of a server: its ejection ends, and then it is forgotten.
func (p *Policy) expired(server *server) bool {
	return server.State == Removed && p.nowMs-server.stateChangedMs > forgetRemovedMs && !server.inAnyTable()
}

// updateEjections runs the sequential test on each ready server and ends ejections whose time has come. Many
// outliers at once are more likely a fault of reports, so only some of the fleet may be out.
func (p *Policy) updateEjections() {
	verified := func(server *server) bool { return server.State == Ready && !p.unverified(server) }
	fleet := filter(p.servers, verified)
	size := float64(len(fleet))
	ejected := float64(1 + len(fleet) - len(filter(fleet, (*server).usable))) // if one more is
	uncertain := p.demandUncertain()
	for _, server := range p.servers {
		switch {
		case server.State != Ready || server.unhealthy && p.nowMs < server.unhealthyUntilMs:
		case server.unhealthy:
			p.readmit(server)
		case p.cold(server) && uncertain && ejected <= maxEjectedForColdRest*size:
			// Proxies keep away from servers that fail and try others: a cold one would get it all.
			server.unhealthy = true
			server.unhealthyUntilMs = p.nowMs + p.settings.ColdOverloadWindowMs
			p.serversChanged = true
			ejected++
		case p.evidence(server) >= ejectionThreshold && ejected <= maxEjected*size:
			p.eject(server)
			ejected++
		}
	}
}

// demandUncertain says whether much fails, or may fail before reports show it as many proxies are new.
func (p *Policy) demandUncertain() bool {
	added := filter(p.proxies, func(proxy *proxy) bool { return p.nowMs-proxy.joinedMs < ejectionMs })
	return p.failureShare > maxEjected || len(added) > len(p.proxies)/newProxyDivisor
}

// eject takes a server out for a time that doubles with each ejection.
func (p *Policy) eject(server *server) {
	durationMs := math.Min(ejectionMs*math.Exp2(float64(server.ejections)), maxEjectionMs)
	server.unhealthy = true
	server.unhealthyUntilMs = p.nowMs + durationMs
	server.evidenceFromMs = p.nowMs
	server.ejections++
	p.serversChanged = true
}

// evidence is a CUSUM of log likelihood ratios in nats that a server is dead rather than sound, by failures
// and by silence where requests were sent.
func (p *Policy) evidence(server *server) float64 {
	score, silentFromMs := p.failureEvidence(server)
	score += p.silenceEvidence(server, silentFromMs)
	if p.unverified(server) {
		score *= unverifiedEvidenceFactor
	}
	return score
}

// failureEvidence adds up load reports on requests sent after the server's last change. It also gives the
// time in ms from which on the server is silent. A sound server may be full, and the more so the more the
// middle one fails.
func (p *Policy) failureEvidence(server *server) (score, silentFromMs float64) {
	healthyFailureShare := math.Max(minOverloadFailureShare, overloadFailureFactor*p.failureShare)
	healthyFailureShare = math.Min(healthyFailureShare, maxOverloadFailureShare)
	failureNats := math.Log(deadFailureShare / healthyFailureShare)
	successNats := math.Log((1 - deadFailureShare) / (1 - healthyFailureShare))
	delayMs := p.settings.MaxPropagationMs + p.settings.ReportIntervalMs
	silentFromMs = math.Max(server.evidenceFromMs, server.addedMs) + math.Max(delayMs, ejectionMs-reportRounds*p.roundMs)
	for _, report := range server.reports {
		if report.atMs <= server.evidenceFromMs+delayMs {
			continue
		}
		nats := report.failed*failureNats + report.succeeded*successNats
		score += math.Max(-maxSampleEvidence, math.Min(nats, maxSampleEvidence))
		score = math.Max(0, score)
		silentFromMs = math.Max(report.atMs, server.addedMs+delayMs)
	}
	return score, silentFromMs
}

// silenceEvidence is about reports that are missing since a time. A round of reports is longer the more there
// are; so only what is missing from a round counts as silence.
func (p *Policy) silenceEvidence(server *server, silentFromMs float64) float64 {
	silentMs := p.reportedMs - silentFromMs - reportRounds*p.roundMs
	if silentMs <= 0 || server.ejected {
		return 0
	}
	sent := sumBy(server.entries, func(entry *entry) float64 { return entry.sent * entry.table.rate }) / 1000
	return silentMs * math.Min(sent, maxSampleEvidence/p.settings.ReportIntervalMs)
}
