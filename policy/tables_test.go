package policy

import (
	"fmt"
	"math"
	"reflect"
	"testing"
)

func TestNewProxyIsAssignedATableForEachTrafficClass(t *testing.T) {
	f := startFleet(testSettings(), 6)
	for proxy := range 4 {
		for class := range 2 {
			if share := f.share(proxy, class, "s0") + f.share(proxy, class, "s1"); math.IsNaN(share) {
				t.Errorf("proxy %d has no table for class %d", proxy, class)
			}
		}
	}
}

func TestSplitByZone(t *testing.T) {
	t.Run("requests leave a zone that lacks capacity", func(t *testing.T) {
		f := startPlanner(testSettings())
		f.planner.UpdateEndpoints(FullUpdate, []Endpoint{
			{Server: "s0", Zone: 0, RelativeCapacity: 1},
			{Server: "s1", Zone: 1, RelativeCapacity: 1},
			{Server: "s3", Zone: 1, RelativeCapacity: 1},
			{Server: "s5", Zone: 1, RelativeCapacity: 1},
		})
		f.planner.AddProxy(0, 0, 30)
		f.planner.AddProxy(1, 1, 10)
		f.decide()
		if share := f.share(0, 0, "s0"); share > 0.7 {
			t.Errorf("%.2f of the requests stay in a zone that lacks capacity, want at most 0.7", share)
		}
	})
	t.Run("a SameZoneOnly class stays in its zone", func(t *testing.T) {
		settings := testSettings()
		settings.Classes[0].SameZoneOnly = true
		f := startFleet(settings, 6)
		if f.share(0, 0, "s1") != 0 || f.share(0, 1, "s0") == 0 {
			t.Error("the SameZoneOnly class leaves its zone, or the other class does not")
		}
	})
	t.Run("a planner with the proxies of one zone leaves other zones to other planners", func(t *testing.T) {
		settings := testSettings()
		settings.Proxies = 8
		settings.Planners = 2
		settings.CrossZoneCost = 0.05
		f := startPlanner(settings)
		f.planner.UpdateEndpoints(RestoredUpdate, readyServers(8))
		for id := range 4 {
			f.planner.AddProxy(id, 0, 10)
		}
		f.run(6, healthy)
		if away := f.shares(0, "s1", "s3", "s5", "s7"); away > 0.2 {
			t.Errorf("%.2f of the requests leave their zone, want at most 0.2", away)
		}
	})
}

// With five planners for 2,400 proxies, a round of load reports took 10 s. Splits kept requests in their zones by demand that
// was 10 s old, and a shift of demand overloaded the servers of one zone: the service was 0.752, where the simplest policy
// reached 0.898.
func TestLateLoadReportsMoveSplitTowardsCapacities(t *testing.T) {
	stays := map[float64]float64{}
	for _, coversMs := range []float64{1000, 14000} {
		settings := testSettings()
		settings.CrossZoneCost = 0.1
		f := startFleet(settings, 6)
		for range 20 {
			for _, server := range f.planner.servers {
				f.planner.RecordLoadReport(server.Server, server.Zone, 5, 0, 100, coversMs)
			}
			f.run(1, nil)
		}
		stays[coversMs] = f.shares(0, "s0", "s2", "s4")
	}
	if stays[1000] < 0.9 || stays[14000] > 0.7 || stays[14000] < 0.5 {
		t.Errorf("share of a zone's requests that stay in it, by coversMs: %v", stays)
	}
}

func TestTableChanges(t *testing.T) {
	t.Run("few entries are sent while nothing changes", func(t *testing.T) {
		f := startFleet(testSettings(), 6)
		f.run(20, healthy)
		f.orders = nil
		f.run(10, healthy)
		if sent := f.countOrders(weightOrder); sent > 6 {
			t.Errorf("%d entries were sent without a change, want at most 6", sent)
		}
	})
	t.Run("the share of a slow server falls", func(t *testing.T) {
		f := startFleet(testSettings(), 6)
		f.run(15, healthy)
		before := f.share(0, 0, "s0")
		f.run(15, except("s0", 5, 0, 900))
		if after := f.share(0, 0, "s0"); after > 0.6*before {
			t.Errorf("share of the slow server is %.3f, it was %.3f before", after, before)
		}
	})
	t.Run("a table that loses all servers gets others at once", func(t *testing.T) {
		f := startFleet(testSettings(), 8)
		f.run(6, healthy)
		for index := 0; index < 8; index += 2 {
			f.update(Endpoint{Server: fmt.Sprint("s", index), Zone: 0, State: Removed, RelativeCapacity: 1})
		}
		f.run(1, nil)
		if f.shares(0, "s1", "s3", "s5", "s7") == 0 {
			t.Error("the proxy has no server with a weight")
		}
	})
	t.Run("without usable servers, tables stay as they are", func(t *testing.T) {
		f := startFleet(testSettings(), 4)
		f.planner.UpdateEndpoints(FullUpdate, nil)
		f.orders = nil
		f.run(5, nil)
		if sent := f.countOrders(weightOrder); sent > 0 {
			t.Errorf("%d entries were sent without a listed server: %q", sent, f.orders)
		}
	})
}

// A planner that receives load reports late would send entries based on outdated reports, and answers to optional requests for
// acknowledgements would delay it further. Draining servers must be ejected nevertheless.
func TestLaggingDefersEntriesButNotEjections(t *testing.T) {
	for _, lagging := range []bool{false, true} {
		t.Run(fmt.Sprint("lagging ", lagging), func(t *testing.T) {
			f := startFleet(testSettings(), 6)
			f.run(15, healthy)
			f.planner.SetLagging(lagging)
			f.orders = nil
			f.run(10, except("s0", 5, 0, 400))
			entries := f.countOrders(weightOrder)
			requests := f.countOrders(acknowledgeOrder)
			f.update(Endpoint{Server: "s2", Zone: 0, RelativeCapacity: 1, State: Draining})
			f.run(1, healthy)
			if (entries > 0) == lagging || (requests > 0) == lagging || !f.ejected["s2"] {
				t.Errorf("%d entries sent, %d acknowledgements requested, draining server ejected: %v", entries, requests, f.ejected["s2"])
			}
		})
	}
}

func TestShortTablesLoadALargeFleetEvenly(t *testing.T) {
	settings := testSettings()
	settings.Proxies = 40
	settings.Zones = 1
	settings.EntriesPerSecond = 400
	f := startPlanner(settings)
	var list []Endpoint
	for index := range 60 {
		list = append(list, Endpoint{Server: fmt.Sprint("s", index), RelativeCapacity: 1})
	}
	f.planner.UpdateEndpoints(RestoredUpdate, list)
	for id := range 40 {
		f.planner.AddProxy(id, 0, 10)
	}
	for range 100 {
		f.decide()
		f.acknowledgeAll()
		f.advance(200)
	}
	load := map[string]float64{}
	for proxy := range 40 {
		table := f.weights[f.assigned[fmt.Sprint(proxy, "/0")]]
		if len(table) == 0 || len(table) > 15 {
			t.Errorf("proxy %d has a table of %d entries, want 1 to 15", proxy, len(table))
		}
		for server := range table {
			load[server] += f.share(proxy, 0, server)
		}
	}
	for _, endpoint := range list {
		checkNear(t, "load, in requests of one proxy, at "+endpoint.Server, load[endpoint.Server], 40.0/60, 0.25)
	}
}

func TestDeterminism(t *testing.T) {
	reports := func(server string) (int, int, float64) {
		return 3, int(server[1]) % 2, 90 + 7*float64(server[1])
	}
	first := startFleet(testSettings(), 9)
	second := startFleet(testSettings(), 9)
	first.run(12, reports)
	second.run(12, reports)
	if !reflect.DeepEqual(first.orders, second.orders) {
		t.Error("two planners with the same inputs made different decisions")
	}
}

// BenchmarkSecond measures one second of a planner of full size: evaluations, a round of load reports, and its orders.
func BenchmarkSecond(b *testing.B) {
	settings := testSettings()
	settings.Zones = 3
	settings.Proxies = 420
	settings.Planners = 1
	settings.MaxMessages = 0
	f := startPlanner(settings)
	var list []Endpoint
	for index := range 550 {
		list = append(list, Endpoint{Server: fmt.Sprint("s", index), Zone: index % 3, RelativeCapacity: 1})
	}
	f.planner.UpdateEndpoints(RestoredUpdate, list)
	for id := range 420 {
		f.planner.AddProxy(id, id%3, 5)
	}
	for second := 0; b.Loop(); second++ {
		for range 5 {
			f.advance(200)
			f.acknowledgeAll()
			f.decide()
		}
		for index, server := range f.planner.servers {
			latencyMs := float64(90 + (index+second)%40)
			f.planner.RecordLoadReport(server.Server, server.Zone, 8, 0, latencyMs, 2000)
		}
		f.orders = nil
	}
}
