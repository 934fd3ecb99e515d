package lease

import (
	"fmt"
	"slices"
	"testing"
)

// TestRankControllers checks that all controllers compute the same ranking, and that only the proxies of a controller that
// leaves move to others.
func TestRankControllers(t *testing.T) {
	const proxyCount = 300
	all := []string{"A", "B", "C"}
	withoutB := []string{"C", "A"}
	held := map[string]int{}
	for number := range proxyCount {
		proxy := fmt.Sprint("p", number)
		_, first := rankControllers("A", proxy, all)
		held[first]++
		var ranks []int
		for _, controller := range all {
			rank, agreed := rankControllers(controller, proxy, all)
			if agreed != first || (rank == 0) != (controller == first) {
				t.Fatalf("proxy %s: %s ranks itself %d and %s first, but A ranks %s first", proxy, controller, rank, agreed, first)
			}
			ranks = append(ranks, rank)
		}
		slices.Sort(ranks)
		if !slices.Equal(ranks, []int{0, 1, 2}) {
			t.Fatalf("proxy %s: controllers rank themselves %v, want 0, 1 and 2", proxy, ranks)
		}
		if _, next := rankControllers("A", proxy, withoutB); first != "B" && next != first {
			t.Fatalf("proxy %s moves from %s to %s when B leaves", proxy, first, next)
		}
	}
	for _, controller := range all {
		if held[controller] < proxyCount/5 {
			t.Errorf("%s is first for %d of %d proxies", controller, held[controller], proxyCount)
		}
	}
	if rank, first := rankControllers("A", "p", nil); rank != 0 || first != "" {
		t.Errorf("without reachable controllers: rank %d, first %q; want 0 and none", rank, first)
	}
}
