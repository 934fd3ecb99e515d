package settings

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"lichenpick/proto/script"
	pb "lichenpick/proto/settings"
)

func TestScenarioValues(t *testing.T) {
	classes := []*pb.Group{{Name: "browse"}, {Name: "pay"}}
	t.Run("the proxies of all zones are counted", func(t *testing.T) {
		scenario := &script.Script{Places: []*script.Place{{Proxies: proto.Uint32(3)}, {Proxies: proto.Uint32(4)}}}
		if count := ProxyCount(scenario); count != 7 {
			t.Errorf("%d proxies, want 7", count)
		}
	})
	t.Run("shares are scaled to add up to 1", func(t *testing.T) {
		scenario := &script.Script{Groups: classes, Traffic: &script.Traffic{Shares: []float64{3, 1}}}
		if shares := ClassShares(scenario); !slices.Equal(shares, []float64{0.75, 0.25}) {
			t.Errorf("shares %v, want 0.75 and 0.25", shares)
		}
		if given := scenario.Traffic.Shares; !slices.Equal(given, []float64{3, 1}) {
			t.Errorf("the scenario's shares were changed to %v", given)
		}
	})
	t.Run("omitted shares are equal", func(t *testing.T) {
		scenario := &script.Script{Groups: classes, Traffic: &script.Traffic{}}
		if shares := ClassShares(scenario); !slices.Equal(shares, []float64{0.5, 0.5}) {
			t.Errorf("shares %v, want 0.5 and 0.5", shares)
		}
	})
}
