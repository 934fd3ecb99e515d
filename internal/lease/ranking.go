package lease

import "github.com/cespare/xxhash/v2"

// rankControllers returns how many of the reachable controllers rank before own for a proxy, and the name of the first. It
// ranks by rendezvous hashing: all that get the same view rank the same, and a controller that comes or goes moves its own
// share of proxies only.
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

// rendezvousScore is the same in all controllers and releases: where two rank differently they transfer proxies in turns.
func rendezvousScore(controller, proxy string) uint64 {
	return xxhash.Sum64String(controller + "\x00" + proxy)
}
