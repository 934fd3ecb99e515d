package policy

import "math"

// ramp returns the share of its capacity that a server may be assigned. For a cold or readmitted server, this share starts
// low and doubles over time; for an unverified server, it stays low.
func (p *Policy) ramp(server *server) float64 {
	share := math.Min(1, recoveryShare*math.Exp2((p.nowMs-server.readmittedMs)/recoveryDoublingMs))
	if p.cold(server) {
		doublings := math.Max(p.nowMs-server.StartedMs, 0) / slowStartDoublingMs
		share = math.Min(share, slowStartMargin*p.settings.ColdCapacity*math.Exp2(doublings))
	}
	if p.unverified(server) {
		share = math.Min(share, minCapacity)
	}
	return share
}

// capacities returns C of the paper for usable servers, in shares of the total demand, which is given in requests per second.
// Capacities are scaled to the demand with some headroom, but those of servers on a ramp are not scaled up.
func (p *Policy) capacities(servers []*server, demand float64) []float64 {
	C := make([]float64, len(servers))
	warmCapacity, warmingCapacity := 0.0, 0.0
	verified := filter(servers, func(server *server) bool { return !p.unverified(server) })
	verifiedCapacity := sumBy(verified, func(server *server) float64 { return server.RelativeCapacity })
	verifiedCapacity = math.Max(verifiedCapacity, minRelativeCapacity)
	// Servers on a ramp are assigned a share of the succeeded rate of the fleet instead of its demand. Otherwise, in an
	// overload, requests would concentrate on the least busy servers.
	succeededShare := math.Min(1, math.Max(p.succeededRate, minDemand*demand)/math.Max(demand, minDemand))
	for j, server := range servers {
		speed := math.Max(p.relativeSpeed(server), minCapacity)
		C[j] = server.RelativeCapacity / verifiedCapacity * speed * p.ramp(server)
		if p.ramp(server) < 1 {
			C[j] *= succeededShare
			warmingCapacity += C[j]
		} else {
			warmCapacity += C[j]
		}
	}
	lowLatency := math.Max(0, 1-p.latencyMs/p.latencyObjectiveMs/recoveryThreshold)
	headroom := capacityHeadroom + lowLatencyHeadroom*lowLatency
	for j, server := range servers {
		if p.ramp(server) >= 1 {
			C[j] *= math.Max(headroom-warmingCapacity, minWarmCapacity) / warmCapacity
		}
	}
	return C
}

// relativeSpeed returns the speed of a server by its baseline latency, 1 for the median server. The speed is reduced at once
// while the server is more overloaded than the fleet, or some of its attempts fail.
func (p *Policy) relativeSpeed(server *server) float64 {
	if server.baselineMs <= 0 || p.baselineMs <= 0 {
		return 1
	}
	reports := float64(len(server.reports))
	speed := math.Pow(p.baselineMs/server.baselineMs, reports/(reports+minBaselineSamples))
	recent := server.windowed
	if recent.attempts() >= minSpeedAttempts && recent.latencyMs > 0 {
		expectedMs := overloadSlack * p.overloadRatio * server.baselineMs
		speed *= math.Min(1, expectedMs/recent.latencyMs) * recent.succeeded / recent.attempts()
	}
	return speed
}
