package policy

import "testing"

// addColdServer adds a server that starts now, and advances time until the server gets its first share.
func (f *fakeHost) addColdServer(reports serverReports) {
	f.update(Endpoint{Server: "new", Zone: 0, RelativeCapacity: 1, StartedMs: f.nowMs})
	f.run(6, reports)
}

func TestSlowStart(t *testing.T) {
	f := startFleet(testSettings(), 6)
	f.run(12, healthy)
	f.update(
		Endpoint{Server: "s0", Zone: 0, RelativeCapacity: 1, StartedMs: f.nowMs - 500},
		Endpoint{Server: "new", Zone: 0, RelativeCapacity: 1, StartedMs: f.nowMs - 500},
	)
	f.decide()
	if f.share(0, 0, "s0") != 0 {
		t.Error("a restarted server gets requests by the weights of before")
	}
	f.run(8, healthy)
	for _, server := range []string{"s0", "new"} {
		if share := f.share(0, 0, server); share > 0.1 {
			t.Errorf("cold server %s gets %.3f of a proxy's requests, want at most 0.1", server, share)
		}
	}
	f.run(25, healthy)
	if share := f.share(0, 0, "s0"); share < 0.1 {
		t.Errorf("a warm server gets %.3f of a proxy's requests, want at least 0.1", share)
	}
}

func TestColdServerIsEjectedDuringOverload(t *testing.T) {
	for name, ejected := range map[string]int{
		"all other servers in use":   0,
		"most other servers ejected": 6,
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(testSettings(), 10)
			f.run(10, healthy)
			f.addColdServer(healthy)
			if f.share(0, 0, "new") == 0 {
				t.Fatal("a cold server gets no requests without an overload")
			}
			for _, server := range f.planner.servers[:ejected] {
				server.unhealthy = true
				server.unhealthyUntilMs = f.nowMs + 9000
			}
			f.run(4, func(string) (int, int, float64) { return 10, 6, 300 })
			if share := f.share(0, 0, "new"); share != 0 {
				t.Errorf("a cold server gets %.3f of a proxy's requests during an overload", share)
			}
		})
	}
}

func TestColdServerIsEjectedWhileManyProxiesAreNew(t *testing.T) {
	f := startFleet(testSettings(), 10)
	f.run(10, healthy)
	f.addColdServer(healthy)
	f.planner.AddProxy(2, 0, 10)
	f.planner.AddProxy(3, 1, 10)
	f.run(2, healthy)
	if share := f.share(0, 0, "new"); share != 0 {
		t.Errorf("a cold server gets %.3f of a proxy's requests while many proxies are new", share)
	}
}

// Proxies that are taken over are not new, as they reported to another planner before. When each takeover counted them as
// new, the ejections of cold servers cost a fifth of the service in a run with releases. A planner without load reports must
// still eject cold servers when it takes over proxies.
func TestColdServerDuringTakeover(t *testing.T) {
	for name, reported := range map[string]bool{
		"stays in use where load reports are known":    true,
		"is ejected by a planner without load reports": false,
	} {
		t.Run(name, func(t *testing.T) {
			f := startPlanner(testSettings())
			f.planner.UpdateEndpoints(RestoredUpdate, readyServers(10))
			var reports serverReports
			if reported {
				reports = healthy
			}
			f.planner.AddProxy(0, 0, 10)
			f.planner.AddProxy(1, 1, 10)
			f.run(10, reports)
			f.addColdServer(reports)
			f.planner.AddProxy(2, 0, 10, f.nowMs-9000, f.nowMs-100)
			f.planner.AddProxy(3, 1, 10, f.nowMs-9000, f.nowMs-100)
			f.run(2, reports)
			if share := f.share(2, 0, "new"); reported != (share > 0) {
				t.Errorf("the cold server gets %.3f of a proxy's requests", share)
			}
		})
	}
}
