package policy

import (
	"math"
	"slices"
)

// This file decides how servers in slow start are protected while most of the fleet is in slow start, or proxies send more than
// load reports show. Weights are relative: a table sends all requests to the servers that are left in it, however little these
// can do. So the admitted share is limited to what the servers can bear.

// mayHoldBackCold reports whether the cold servers may be ejected while demand is uncertain. The other servers get their load, so
// these must be most of the fleet by capacity: otherwise the load would concentrate on few servers, and those that are cold
// themselves would fail.
func (p *Policy) mayHoldBackCold() bool {
	ready, warm := 0.0, 0.0
	for _, server := range p.servers {
		if server.State != Ready || p.unverified(server) {
			continue
		}
		ready += server.RelativeCapacity
		if server.usable() && !p.cold(server) {
			warm += server.RelativeCapacity
		}
	}
	return warm >= minWarmShare*ready
}

// servedRate is a rate that the fleet has served: successful requests per second, per relative capacity of its servers. The
// highest one of a period is kept until the end of the next period, so that a wrong load report does not count for ever.
type servedRate struct {
	highest, previous float64 // highest rates of the present period and of the one before
	periodStartMs     float64
}

// record records a rate.
func (r *servedRate) record(rate, nowMs float64) {
	if nowMs-r.periodStartMs > servedPeriodMs {
		r.previous = r.highest
		r.highest = 0
		r.periodStartMs = nowMs
	}
	r.highest = math.Max(r.highest, rate)
}

func (r *servedRate) value() float64 { return math.Max(r.highest, r.previous) }

// updateServedRate records the rate that the fleet serves now, once a whole window of load reports has arrived.
func (p *Policy) updateServedRate() {
	fraction := p.joinedFraction()
	attempts, used := 0.0, 0.0
	for _, server := range p.servers {
		attempts += server.windowed.attempts()
		if server.usable() || server.windowed.attempts() > 0 {
			used += server.RelativeCapacity
		}
	}
	if attempts == 0 {
		p.servedFromMs = p.nowMs + p.windowMs
	}
	if attempts == 0 || p.nowMs < p.servedFromMs || fraction < minJoinedFraction {
		return
	}
	served := math.Min(p.admittedRate, p.succeededRate) // demand reports and load reports, either of which may be wrong
	p.served.record(served/fraction/math.Max(used, minRelativeCapacity), p.nowMs)
}

// unitRate returns the requests per second, per relative capacity, that the servers of the fleet are known to serve. A planner
// that has no load reports yet assumes that the servers in the list serve the rate that proxies usually get.
func (p *Policy) unitRate() float64 {
	if known := p.served.value(); known > 0 {
		return known
	}
	fraction := math.Max(p.joinedFraction(), minJoinedFraction)
	listed := filter(p.servers, func(server *server) bool { return server.State != Removed })
	capacity := sumBy(listed, func(server *server) float64 { return server.RelativeCapacity })
	expected := sumBy(p.proxies, func(proxy *proxy) float64 { return proxy.expectedRate })
	return expected / fraction / math.Max(capacity, minRelativeCapacity)
}

// joinedFraction returns the part of all proxies that have joined this planner.
func (p *Policy) joinedFraction() float64 {
	return math.Min(1, float64(len(p.proxies))/math.Max(float64(p.settings.Proxies), 1))
}

// rateLimit returns the requests per second that the proxies of this planner may send to a server while some server is cold.
func (p *Policy) rateLimit(server *server, unitRate float64) float64 {
	factor := warmLoadFactor
	if p.cold(server) || p.ramp(server) < 1 {
		factor = coldLoadFactor
	}
	return factor * unitRate * p.joinedFraction() * server.RelativeCapacity * p.ramp(server)
}

// loadLimits returns the load that each server of a problem may get, in the unit of C. That of a server on a ramp is at most its
// capacity. While some server is cold, the load of each is within its rateLimit.
func (p *Policy) loadLimits(problem *splitProblem) []float64 {
	limits := slices.Clone(problem.C)
	unitRate := p.unitRate()
	limited := unitRate > 0 && slices.ContainsFunc(problem.servers, p.cold)
	loadUnit := math.Max(p.unlimitedDemand(problem.demand), minDemand) / float64(len(problem.clients))
	for j, server := range problem.servers {
		if p.ramp(server) >= 1 {
			limits[j] = math.Inf(1)
		}
		if limited {
			limits[j] = math.Min(limits[j], p.rateLimit(server, unitRate)/loadUnit)
		}
	}
	return limits
}

// unlimitedDemand returns the requests per second that would be admitted without the limit for cold servers, where those of a
// number are admitted.
func (p *Policy) unlimitedDemand(admitted float64) float64 {
	if !p.admissionLimited {
		return admitted
	}
	return math.Max(admitted, p.unlimitedShare*p.totalDemand())
}

// limitAdmission keeps the admitted share within what cold servers can bear. A lower limit applies at once.
func (p *Policy) limitAdmission() {
	demand := p.totalDemand()
	if !p.settings.PartialAdmission || demand == 0 {
		return
	}
	wanted := p.admittedRate / demand
	if p.admissionLimited {
		wanted = p.unlimitedShare
	}
	if p.bearableShare == 1 && !p.admissionLimited {
		return
	}
	p.admissionLimited = p.bearableShare < 1
	p.unlimitedShare = wanted
	p.shed((1 - wanted*p.bearableShare) * demand)
}
