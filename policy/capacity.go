package policy

import "math"

// ramp is the part of its capacity that a server may be given. A cold one, and one that was ejected, starts
// low and doubles; an unverified one stays low.
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

// capacities are the paper's C of usable servers in parts of all demand, which is in requests per second.
// They are scaled to demand with some headroom; those on a ramp are not scaled up.
func (p *Policy) capacities(servers []*server, demand float64) []float64 {
	C := make([]float64, len(servers))
	warmCapacity, warmingCapacity := 0.0, 0.0
	verified := filter(servers, func(server *server) bool { return !p.unverified(server) })
	verifiedCapacity := sumBy(verified, func(server *server) float64 { return server.RelativeCapacity })
	verifiedCapacity = math.Max(verifiedCapacity, minRelativeCapacity)
	// A ramp is of what the fleet succeeds in: in an overload all requests run to the least busy servers.
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
	headroom := capacityHeadroom + recoveryHeadroom*lowLatency
	for j, server := range servers {
		if p.ramp(server) >= 1 {
			C[j] *= math.Max(headroom-warmingCapacity, minWarmCapacity) / warmCapacity
		}
	}
	return C
}

// relativeSpeed is the speed of a server by its baseline latency, 1 for the middle one, less at once while it
// is more overloaded than the fleet.
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
