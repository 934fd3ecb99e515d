package proxy

import pb "lichenpick/proto/settings"

// choose picks one of the candidates by the configured method. There must be at least one candidate.
func (c *Core) choose(candidates []*weightEntry) *weightEntry {
	total := 0.0
	for _, entry := range candidates {
		total += entry.weight
	}
	switch c.pickMethod {
	case pb.Pick_ROUND:
		return chooseRoundRobin(candidates, total)
	case pb.Pick_TWO:
		return c.chooseOfTwo(candidates, total)
	default:
		return c.chooseRandom(candidates, total)
	}
}

// chooseRandom picks a candidate at random, with a probability proportional to its weight.
func (c *Core) chooseRandom(candidates []*weightEntry, total float64) *weightEntry {
	point := c.random.Float64() * total
	for _, entry := range candidates {
		point -= entry.weight
		if point < 0 {
			return entry
		}
	}
	return candidates[len(candidates)-1] // reached only if rounding errors kept the loop from choosing a candidate
}

// chooseOfTwo draws two candidates at random by weight and picks the one with fewer attempts in flight ("power of two
// choices"). Both draws may give the same candidate.
func (c *Core) chooseOfTwo(candidates []*weightEntry, total float64) *weightEntry {
	first := c.chooseRandom(candidates, total)
	if len(candidates) == 1 {
		return first
	}
	second := c.chooseRandom(candidates, total)
	if c.inFlight[second.server] < c.inFlight[first.server] {
		return second
	}
	return first
}

// chooseRoundRobin picks by smooth weighted round robin: each pick adds every candidate's weight to its credit, chooses the
// candidate with the highest credit and subtracts the sum of the weights from that credit.
func chooseRoundRobin(candidates []*weightEntry, total float64) *weightEntry {
	var best *weightEntry
	for _, entry := range candidates {
		entry.credit += entry.weight
		if best == nil || entry.credit > best.credit {
			best = entry
		}
	}
	best.credit -= total
	return best
}
