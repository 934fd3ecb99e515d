package policy

import (
	"fmt"
	"testing"
)

func TestEjectionOfDrainedAndRemovedServers(t *testing.T) {
	t.Run("a draining server is ejected at once", func(t *testing.T) {
		f := startFleet(testSettings(), 6)
		f.run(5, healthy)
		f.update(Endpoint{Server: "s2", Zone: 0, State: Draining, RelativeCapacity: 1})
		f.decide()
		if !f.ejected["s2"] {
			t.Error("a draining server still gets requests")
		}
	})
	t.Run("a server missing from a full update is ejected", func(t *testing.T) {
		f := startFleet(testSettings(), 6)
		f.planner.UpdateEndpoints(FullUpdate, readyServers(5))
		f.decide()
		if !f.ejected["s5"] {
			t.Error("a server missing from a full update still gets requests")
		}
	})
	t.Run("a server ejected while ready is ejected again when it is removed", func(t *testing.T) {
		f := startFleet(testSettings(), 6)
		f.run(10, healthy)
		f.planner.byName["s2"].ejected = true // only some proxies were notified; tables of others hold s2 since then
		f.update(Endpoint{Server: "s2", Zone: 0, State: Removed, RelativeCapacity: 1})
		f.decide()
		if !f.ejected["s2"] {
			t.Error("a removed server stays in tables that were not notified of its first ejection")
		}
	})
}

func TestEjectionOfDeadServers(t *testing.T) {
	dead := except("s3", 5, 5, 0)
	t.Run("a server that only fails is ejected, and readmitted after it recovers", func(t *testing.T) {
		f := startFleet(testSettings(), 8)
		f.run(10, healthy)
		f.run(5, dead)
		if !f.ejected["s3"] {
			t.Fatal("a server that only fails still gets requests")
		}
		f.run(4, dead)
		f.run(12, healthy)
		if f.ejected["s3"] || f.share(1, 0, "s3") == 0 {
			t.Error("a server that recovered gets no requests")
		}
	})
	t.Run("a server whose load reports are missing is ejected", func(t *testing.T) {
		f := startFleet(testSettings(), 8)
		f.run(10, healthy)
		f.run(6, except("s3", 0, 0, 0))
		if !f.ejected["s3"] {
			t.Error("a server without load reports still gets requests")
		}
	})
}

func TestNoEjectionOnWeakEvidence(t *testing.T) {
	t.Run("long rounds of load reports eject no server", func(t *testing.T) {
		f := startFleet(testSettings(), 8)
		f.run(10, healthy)
		for range 8 { // each server reports once in 4 s, as if the planner accepted load reports at a low rate
			f.run(3, nil)
			for _, server := range f.planner.servers {
				f.planner.RecordLoadReport(server.Server, server.Zone, 20, 0, 100, 4000)
			}
			f.run(1, nil)
		}
		if len(f.ejected) > 0 {
			t.Errorf("servers were ejected: %v", f.ejected)
		}
	})
	t.Run("an overloaded server that succeeds at times is not ejected", func(t *testing.T) {
		f := startFleet(testSettings(), 8)
		f.run(10, healthy)
		f.run(10, except("s3", 10, 6, 300))
		if f.ejected["s3"] {
			t.Error("an overloaded server was ejected")
		}
	})
	t.Run("few servers are ejected when most seem dead", func(t *testing.T) {
		f := startFleet(testSettings(), 10)
		f.run(10, healthy)
		f.run(10, func(server string) (int, int, float64) {
			if server < "s7" {
				return 5, 5, 0
			}
			return healthy(server)
		})
		ejected := filter(readyServers(10), func(endpoint Endpoint) bool { return f.ejected[endpoint.Server] })
		if len(ejected) > 3 {
			t.Errorf("%d of 10 servers were ejected, want at most 3", len(ejected))
		}
	})
}

func TestUnverifiedServers(t *testing.T) {
	t.Run("they get few requests, and none once they failed some", func(t *testing.T) {
		f := startFleet(testSettings(), 8)
		f.run(10, healthy)
		var unknown []Endpoint
		for index := range 8 {
			unknown = append(unknown, Endpoint{Server: fmt.Sprint("x", index), Zone: index % 2, RelativeCapacity: 1})
		}
		f.update(unknown...)
		reports := func(server string) (int, int, float64) {
			if server[0] == 'x' {
				return 2, 2, 0
			}
			return healthy(server)
		}
		f.run(3, reports)
		if share := f.share(0, 0, "x0"); share > 0.05 {
			t.Errorf("an unverified server gets %.3f of a proxy's requests, want at most 0.05", share)
		}
		f.run(6, reports)
		for index, endpoint := range unknown {
			if !f.ejected[endpoint.Server] && f.share(index%2, 0, endpoint.Server) > 0 {
				t.Errorf("%s fails all requests and still gets some", endpoint.Server)
			}
		}
	})
	// A release under load replaced half of a fleet by servers with new names. When the new servers were limited to the
	// share of unverified servers until their first load reports, they were idle for seconds while the others were
	// overloaded.
	t.Run("a new server with a start time is not unverified", func(t *testing.T) {
		settings := testSettings()
		f := startFleet(settings, 8)
		f.run(10, healthy)
		startedMs := f.nowMs - settings.SlowStartMs - 1
		f.update(Endpoint{Server: "x", Zone: 0, RelativeCapacity: 1, StartedMs: startedMs})
		f.run(4, except("x", 0, 0, 0))
		if share := f.share(0, 0, "x"); share < 0.05 {
			t.Errorf("a new server gets %.3f of a proxy's requests before its first load report, want at least 0.05", share)
		}
	})
}
