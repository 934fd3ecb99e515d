package lease

import (
	"fmt"
	"slices"
	"testing"
)

// TestRankControllers states that controllers agree on who is first, and that one that goes moves its own proxies only.
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
				t.Fatalf("%s: %s ranks itself %d, %s first; A ranks %s first", proxy, controller, rank, agreed, first)
			}
			ranks = append(ranks, rank)
		}
		slices.Sort(ranks)
		if !slices.Equal(ranks, []int{0, 1, 2}) {
			t.Fatalf("%s: ranks %v", proxy, ranks)
		}
		if _, next := rankControllers("A", proxy, withoutB); first != "B" && next != first {
			t.Fatalf("%s moves from %s to %s as B goes", proxy, first, next)
		}
	}
	for _, controller := range all {
		if held[controller] < proxyCount/5 {
			t.Errorf("%s is first for %d of %d proxies", controller, held[controller], proxyCount)
		}
	}
	if rank, first := rankControllers("A", "p", nil); rank != 0 || first != "" {
		t.Errorf("rank %d, first %q of no controllers", rank, first)
	}
}
