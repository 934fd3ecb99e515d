package policy

import "testing"

// addColdServer adds a server that starts now, and gives it time to get its first share.
func (f *fakeHost) addColdServer(reports serverReports) {
	f.update(Endpoint{Server: "new", Zone: 0, RelativeCapacity: 1, StartedMs: f.nowMs})
	f.run(6, reports)
}

func TestColdServersStartLowAndRestAfterARestart(t *testing.T) {
	f := startFleet(testSettings(), 6)
	f.run(12, healthy)
	f.update(
		Endpoint{Server: "s0", Zone: 0, RelativeCapacity: 1, StartedMs: f.nowMs - 500},
		Endpoint{Server: "new", Zone: 0, RelativeCapacity: 1, StartedMs: f.nowMs - 500},
	)
	f.decide()
	if f.share(0, 0, "s0") != 0 {
		t.Error("a restarted server is sent to by old tables")
	}
	f.run(8, healthy)
	for _, server := range []string{"s0", "new"} {
		if share := f.share(0, 0, server); share > 0.1 {
			t.Errorf("cold %s has %.3f of a proxy's requests", server, share)
		}
	}
	f.run(25, healthy)
	if share := f.share(0, 0, "s0"); share < 0.1 {
		t.Errorf("warm again, it has only %.3f", share)
	}
}

func TestColdServerRestsInAnOverload(t *testing.T) {
	for name, ejected := range map[string]int{
		"with all others in use":         0,
		"though most others are ejected": 6,
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(testSettings(), 10)
			f.run(10, healthy)
			f.addColdServer(healthy)
			if f.share(0, 0, "new") == 0 {
				t.Fatal("a cold server gets nothing without an overload")
			}
			for _, server := range f.planner.servers[:ejected] {
				server.unhealthy = true
				server.unhealthyUntilMs = f.nowMs + 9000
			}
			f.run(4, func(string) (int, int, float64) { return 10, 6, 300 })
			if share := f.share(0, 0, "new"); share != 0 {
				t.Errorf("a cold server has %.3f in an overload", share)
			}
		})
	}
}

func TestColdServerRestsWhileManyProxiesAreNew(t *testing.T) {
	f := startFleet(testSettings(), 10)
	f.run(10, healthy)
	f.addColdServer(healthy)
	f.planner.AddProxy(2, 0, 10)
	f.planner.AddProxy(3, 1, 10)
	f.run(2, healthy)
	if share := f.share(0, 0, "new"); share != 0 {
		t.Errorf("a cold server has %.3f of a proxy that is hardly known", share)
	}
}

// Proxies that are taken over reported to another planner until then; cold servers that rested at each takeover cost a
// fifth of the service of a day with releases. A planner without any report must stay careful, whoever sent it proxies.
func TestColdServersWhileProxiesAreTakenOver(t *testing.T) {
	for name, reported := range map[string]bool{
		"one works on": true,
		"one rests when a planner without reports takes all over": false,
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
				t.Errorf("the cold server has %.3f", share)
			}
		})
	}
}
