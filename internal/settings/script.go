package settings

import "lichenpick/proto/script"

// ProxyCount returns the number of proxies in the fleet of a checked scenario.
func ProxyCount(scenario *script.Script) int {
	count := 0
	for _, place := range scenario.Places {
		count += int(place.GetProxies())
	}
	return count
}

// ClassShares returns the share of each traffic class in the requests of a checked scenario. The shares add up to 1. If the
// scenario states no shares, all are equal.
func ClassShares(scenario *script.Script) []float64 {
	configured := scenario.Traffic.Shares
	shares := make([]float64, len(scenario.Groups))
	total := 0.0
	for class := range shares {
		switch {
		case len(configured) == 0:
			shares[class] = 1
		case class < len(configured):
			shares[class] = configured[class]
		}
		total += shares[class]
	}
	for class := range shares {
		shares[class] /= total
	}
	return shares
}
