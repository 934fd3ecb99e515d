package lease

import "github.com/cespare/xxhash/v2"

// rankControllers returns how many of the reachable controllers rank before the calling controller, named own, for a proxy,
// and the name of the best ranked controller. It ranks by rendezvous hashing: all controllers that receive the same view
// compute the same ranking, and when a controller joins or leaves, only its own share of the proxies moves.
func rankControllers(own, proxy string, reachable []string) (ownRank int, first string) {
	ownScore := rendezvousScore(own, proxy)
	firstScore := uint64(0)
	for _, controller := range reachable {
		score := rendezvousScore(controller, proxy)
		if first == "" || score > firstScore {
			firstScore = score
			first = controller
		}
		if controller != own && score > ownScore {
			ownRank++
		}
	}
	return ownRank, first
}

// rendezvousScore returns a controller's score for a proxy. The score must be the same in all releases: controllers that
// rank differently would transfer proxies back and forth.
func rendezvousScore(controller, proxy string) uint64 {
	return xxhash.Sum64String(controller + "\x00" + proxy)
}
