package policy

import "math"

// Evaluation: the order in which decisions are prepared, and the figures that they go by.

// Next makes at most one decision, by one call on the host, and says whether it did. Its caller calls it until it says
// false. An evaluation takes place when the last is some time ago or endpoints or proxies came or left.
func (p *Policy) Next(host Host) bool {
	if p.now-p.evaluatedAt >= evaluationIntervalMs || p.dirty {
		p.evaluatedAt = p.now
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
	if p.now < p.wakeAt {
		return false
	}
	p.wakeAt = p.now + evaluationIntervalMs
	host.SetTimer(evaluationIntervalMs)
	return true
}

// evaluate works out the figures that decisions need of servers, proxies and tables.
func (p *Policy) evaluate() {
	p.measureRound()
	p.evaluateServers()
	for _, table := range p.tables {
		table.entries = filter(table.entries, (*entry).live)
		table.proxies = nil
		table.rate = 0
	}
	for index := range p.admission {
		p.admission[index].demand = 0
	}
	for _, proxy := range p.proxies {
		p.assignCohort(proxy)
		p.countDemand(proxy)
	}
	p.averageObjective()
}

// measureRound sets how far reports are looked back for. A round of them, in which each server reports once, takes longer
// where there are more than the intake lets through.
func (p *Policy) measureRound() {
	middle := quantile(p.covers, 2, func(coversMs float64) float64 { return coversMs })
	p.round = math.Max(p.set.ReportIntervalMs, middle)
	p.window = math.Max(windowMs, reportRounds*p.round)
}

// evaluateServers works out each server's figures and those of the middle one of the fleet.
func (p *Policy) evaluateServers() {
	p.succeededRate = 0
	for _, server := range p.servers {
		server.entries = filter(server.entries, (*entry).live)
		p.aggregateReports(server)
		p.succeededRate += server.windowed.succeeded / p.window * 1000
	}
	used := filter(p.servers, func(server *server) bool {
		return server.usable() && !p.unverified(server) && server.windowed.attempts() > 0
	})
	p.failureShare = quantile(used, 2, func(server *server) float64 {
		return server.windowed.failed / server.windowed.attempts()
	})
	used = filter(used, func(server *server) bool { return server.baseline > 0 && server.windowed.latencyMs > 0 })
	p.latency = quantile(used, 2, func(server *server) float64 { return server.windowed.latencyMs })
	p.baselineLatency = quantile(used, 2, func(server *server) float64 { return server.baseline })
	p.overloadRatio = quantile(used, 2, func(server *server) float64 {
		return server.windowed.latencyMs / server.baseline
	})
}

// assignCohort gives a proxy that follows no table yet the cohort of its zone that has the least demand.
func (p *Policy) assignCohort(proxy *proxy) {
	if p.parts == 0 || proxy.cohort >= 0 && proxy.bound[0] != nil {
		return
	}
	for number, table := range p.clients[proxy.zone*p.parts].tables {
		if proxy.cohort < 0 || table.rate < p.clients[proxy.zone*p.parts].tables[proxy.cohort].rate {
			proxy.cohort = number
		}
	}
}

// countDemand adds a proxy's demand to its tables and to the traffic classes.
func (p *Policy) countDemand(proxy *proxy) {
	for part := range p.parts {
		client := p.clients[proxy.zone*p.parts+part]
		admitted := 0.0
		for _, index := range client.groups {
			class := &p.admission[index]
			demand := p.demandOf(proxy, index)
			admitted += demand * class.target
			class.demand += demand
		}
		if len(client.tables) == 0 {
			continue
		}
		table := client.tables[proxy.cohort]
		if proxy.bound[part] == table {
			table.proxies = append(table.proxies, proxy)
		}
		p.emptyTable = p.emptyTable || proxy.bound[part] == nil && table.rate == 0
		table.rate += admitted
	}
}

// demandOf gives a proxy's requests per second of a traffic class: by its own statement until it reports.
func (p *Policy) demandOf(proxy *proxy, class int) float64 {
	coversMs, requests := 0.0, 0.0
	for index := range proxy.demand[class] { // by index, as there are many proxies
		report := &proxy.demand[class][index]
		if report.atMs > p.now-p.window {
			coversMs += report.coversMs
			requests += report.attempts()
		}
	}
	if coversMs > 0 {
		return requests / coversMs * 1000
	}
	return proxy.expectedRate / float64(len(p.admission))
}

// averageObjective works out the admitted rate and, weighted by it, the mean latency objective in ms.
func (p *Policy) averageObjective() {
	p.admittedRate = 0
	p.latencyObjective = 0
	for index, class := range p.admission {
		admitted := class.demand * class.target
		p.admittedRate += admitted
		p.latencyObjective += (admitted + idleClassRate) * p.set.Classes[index].LatencyObjectiveMs
	}
	p.latencyObjective /= p.admittedRate + idleClassRate*float64(len(p.admission))
}

// pollEndpoints asks for the endpoint list where it comes only on request, until an update shows that it comes.
func (p *Policy) pollEndpoints(host Host) bool {
	if !p.set.WatchRequired || p.watching || p.now < p.pollAt {
		return false
	}
	p.pollAt = p.now + math.Max(p.pollBackoff, p.set.AssumeNotifiedMs/pollsUntilNotified)
	host.WatchEndpoints()
	return true
}

// backOffPolling waits twice as long after each failed poll, spread so that planners do not poll together.
func (p *Policy) backOffPolling() {
	p.watching = false
	p.pollAt = p.now + p.pollBackoff*(0.5+p.random.Float64())
	p.pollBackoff = math.Min(2*p.pollBackoff, p.set.AssumeNotifiedMs/2)
}
