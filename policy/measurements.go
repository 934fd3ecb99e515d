package policy

import (
	"math"
	"slices"
)

// This file computes the demand and the statistics of servers and fleet that decisions are based on. It decides nothing.

// evaluate updates the statistics of servers, proxies and tables.
func (p *Policy) evaluate() {
	p.updateReportRound()
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
	p.updateLatencyObjective()
	p.updateServedRate()
}

// updateReportRound sets the duration of a round of load reports, in which each server reports once, and from it the age up
// to which load and demand reports are included in the statistics. A round takes longer than the report interval if the
// planner limits the rate at which it accepts load reports.
func (p *Policy) updateReportRound() {
	medianCoversMs := median(p.reportCoversMs, func(coversMs float64) float64 { return coversMs })
	p.roundMs = math.Max(p.settings.ReportIntervalMs, medianCoversMs)
	p.windowMs = math.Max(minWindowMs, windowRounds*p.roundMs)
}

// evaluateServers updates the statistics of each server, and those of the fleet, most of which are medians over its servers.
func (p *Policy) evaluateServers() {
	p.succeededRate = 0
	for _, server := range p.servers {
		server.entries = filter(server.entries, (*entry).live)
		p.aggregateReports(server)
		p.succeededRate += server.windowed.succeeded / p.windowMs * 1000
	}
	used := filter(p.servers, func(server *server) bool {
		return server.usable() && !p.unverified(server) && server.windowed.attempts() > 0
	})
	p.failureShare = median(used, func(server *server) float64 {
		return server.windowed.failed / server.windowed.attempts()
	})
	used = filter(used, func(server *server) bool { return server.baselineMs > 0 && server.windowed.latencyMs > 0 })
	p.latencyMs = median(used, func(server *server) float64 { return server.windowed.latencyMs })
	p.baselineMs = median(used, func(server *server) float64 { return server.baselineMs })
	p.overloadRatio = median(used, func(server *server) float64 {
		return server.windowed.latencyMs / server.baselineMs
	})
}

// countDemand adds the demand of a proxy to its tables and to the traffic classes.
func (p *Policy) countDemand(proxy *proxy) {
	for group := range p.classGroups {
		client := p.clients[proxy.zone*p.classGroups+group]
		admitted := 0.0
		for _, index := range client.classes {
			class := &p.admission[index]
			demand := p.demandOf(proxy, index)
			admitted += demand * class.target
			class.demand += demand
		}
		if len(client.tables) == 0 {
			continue
		}
		table := client.tables[proxy.cohort]
		if proxy.tables[group] == table {
			table.proxies = append(table.proxies, proxy)
		}
		p.joinsUnusedTable = p.joinsUnusedTable || proxy.tables[group] == nil && table.rate == 0
		table.rate += admitted
	}
}

// demandOf returns the requests per second of a traffic class at a proxy. Until the proxy reports its demand, this is an
// equal part of the rate that it expected when it joined.
func (p *Policy) demandOf(proxy *proxy, class int) float64 {
	coversMs, requests := 0.0, 0.0
	for index := range proxy.demand[class] { // by index, as copying each sample is slow with many proxies
		report := &proxy.demand[class][index]
		if report.atMs > p.nowMs-p.windowMs {
			coversMs += report.coversMs
			requests += report.attempts()
		}
	}
	if coversMs > 0 {
		return requests / coversMs * 1000
	}
	return proxy.expectedRate / float64(len(p.admission))
}

// updateLatencyObjective updates the admitted rate and the mean latency objective in ms, weighted by the rates of classes.
func (p *Policy) updateLatencyObjective() {
	p.admittedRate = 0
	p.latencyObjectiveMs = 0
	for index, class := range p.admission {
		admitted := class.demand * class.target
		p.admittedRate += admitted
		p.latencyObjectiveMs += (admitted + idleClassRate) * p.settings.Classes[index].LatencyObjectiveMs
	}
	p.latencyObjectiveMs /= p.admittedRate + idleClassRate*float64(len(p.admission))
}

// fleetLoad is the load of the fleet, computed from the last round of load reports. Older reports would show the load before
// the last admission step.
type fleetLoad struct {
	latencyRatio  float64 // latency of the median server, divided by the latency objective
	waitRatio     float64 // median latency above the baseline, divided by the wait that the latency objective allows
	failureShare  float64 // failure share of the median server
	succeededRate float64 // successful requests per second
}

// fleetLoad computes medians over the usable, verified servers, and the succeeded rate over all servers.
func (p *Policy) fleetLoad() fleetLoad {
	used := filter(p.servers, func(server *server) bool {
		return server.usable() && !p.unverified(server) && server.lastRound.attempts() > 0
	})
	failureShare := median(used, func(server *server) float64 {
		return server.lastRound.failed / server.lastRound.attempts()
	})
	used = filter(used, func(server *server) bool { return server.lastRound.latencyMs > 0 })
	latencyMs := median(used, func(server *server) float64 { return server.lastRound.latencyMs })
	attempts := sumBy(p.servers, func(server *server) float64 { return server.lastRound.attempts() })
	succeeded := sumBy(p.servers, func(server *server) float64 { return server.lastRound.succeeded })
	allowedWait := math.Max(p.latencyObjectiveMs-p.baselineMs, p.baselineMs)
	return fleetLoad{
		latencyRatio:  latencyMs / p.latencyObjectiveMs,
		waitRatio:     math.Max(latencyMs-p.baselineMs, 0) / allowedWait,
		failureShare:  failureShare,
		succeededRate: p.admittedRate * succeeded / math.Max(attempts, 1),
	}
}

// aggregateReports merges the load reports of a server and updates its statistics from them.
func (p *Policy) aggregateReports(server *server) {
	server.mergeReports(p.settings.ReportIntervalMs * mergeGapShare)
	server.baselineMs = p.baselineOf(server.reports)
	server.windowed = server.recent(p.nowMs - p.windowMs)
	server.lastRound = server.recent(p.nowMs - admissionWindowRounds*p.roundMs)
}

// updateDemand sets the demand of each client to that of its tables. It returns the total demand, and the part of it that
// moved from one client to another.
func (p *Policy) updateDemand() (total, moved float64) {
	for _, client := range p.clients {
		demand := sumBy(client.tables, func(table *table) float64 { return table.rate })
		total += demand
		moved += math.Abs(demand-client.demand) / 2
		client.demand = demand
	}
	return total, moved
}

// mergeReports merges the load reports since evidenceFromMs that cover the same period, from all zones, as a single report
// is noisy. Reports more than gapMs apart belong to different periods.
func (s *server) mergeReports(gapMs float64) {
	s.reports = s.reports[:0]
	for _, report := range s.samples {
		if report.atMs <= s.evidenceFromMs {
			continue
		}
		last := len(s.reports) - 1
		if last < 0 || report.atMs-s.reports[last].atMs > gapMs {
			s.reports = append(s.reports, report)
			continue
		}
		merged := &s.reports[last]
		latencySumMs := merged.latencyMs*merged.succeeded + report.latencyMs*report.succeeded
		merged.latencyMs = latencySumMs / math.Max(merged.succeeded+report.succeeded, 1)
		merged.succeeded += report.succeeded
		merged.failed += report.failed
	}
}

// recent returns the sum of the merged reports after a time.
func (s *server) recent(sinceMs float64) sample {
	var total sample
	for _, report := range s.reports {
		if report.atMs > sinceMs {
			total.succeeded += report.succeeded
			total.failed += report.failed
			total.latencyMs += report.latencyMs * report.succeeded
		}
	}
	total.latencyMs /= math.Max(total.succeeded, 1)
	return total
}

// zoneLatencies returns the lowest baseline latency of each zone in ms. Differences within a zone show the speed of servers,
// which capacities account for already.
func (p *Policy) zoneLatencies(servers []*server) []float64 {
	lowest := slices.Repeat([]float64{p.typicalLatency()}, p.settings.Zones)
	for _, server := range servers {
		if server.baselineMs > 0 {
			lowest[server.Zone] = math.Min(lowest[server.Zone], server.baselineMs)
		}
	}
	return lowest
}

// typicalLatency returns the latency in ms that costs are relative to. It is above 0 even before there are load reports.
func (p *Policy) typicalLatency() float64 { return math.Max(p.baselineMs, 1) }

// baselineOf returns the lower quartile of reported latencies in ms, or 0 where no report has enough successes.
func (p *Policy) baselineOf(reports []sample) float64 {
	p.baselineScratch = p.baselineScratch[:0]
	for _, report := range reports {
		if report.succeeded >= minBaselineRequests {
			p.baselineScratch = append(p.baselineScratch, report.latencyMs)
		}
	}
	if len(p.baselineScratch) == 0 {
		return 0
	}
	slices.Sort(p.baselineScratch)
	return p.baselineScratch[len(p.baselineScratch)/baselineQuantileDivisor]
}
