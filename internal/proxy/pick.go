package proxy

import pb "lichenpick/proto/settings"

// choose picks one of the candidates, at least one, in the way that the settings say.
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

// chooseRandom picks at random by weight.
func (c *Core) chooseRandom(candidates []*weightEntry, total float64) *weightEntry {
	point := c.random.Float64() * total
	for _, entry := range candidates {
		point -= entry.weight
		if point < 0 {
			return entry
		}
	}
	return candidates[len(candidates)-1] // rounding may leave a rest
}

// chooseOfTwo draws two at random by weight and picks the one with fewer attempts in flight: the power of two choices.
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

// chooseRoundRobin picks by smooth weighted round robin: each entry gains its weight at each pick, and the picked one pays
// the total.
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
