package policy

import (
	"fmt"
	"testing"
)

func TestEjectionOfDrainedAndRemovedServers(t *testing.T) {
	t.Run("a draining server is ejected in the same tick", func(t *testing.T) {
		f := startFleet(testSettings(), 6)
		f.run(5, healthy)
		f.update(Endpoint{Server: "s2", Zone: 0, State: Draining, RelativeCapacity: 1})
		f.decide()
		if !f.ejected["s2"] {
			t.Error("a draining server is still sent to")
		}
	})
	t.Run("a server missing from the whole list is removed", func(t *testing.T) {
		f := startFleet(testSettings(), 6)
		f.planner.UpdateEndpoints(FullUpdate, readyServers(5))
		f.decide()
		if !f.ejected["s5"] {
			t.Error("a server that the list left out is still sent to")
		}
	})
	t.Run("a server ejected while ready is ejected again when it is removed", func(t *testing.T) {
		f := startFleet(testSettings(), 6)
		f.run(10, healthy)
		f.planner.byName["s2"].ejected = true // at some proxies only: others were sent it since
		f.update(Endpoint{Server: "s2", Zone: 0, State: Removed, RelativeCapacity: 1})
		f.decide()
		if !f.ejected["s2"] {
			t.Error("tables that were not notified keep a server that is removed")
		}
	})
}

func TestEjectionOfDeadServers(t *testing.T) {
	dead := except("s3", 5, 5, 0)
	t.Run("dead by failures, ejected, and carefully back", func(t *testing.T) {
		f := startFleet(testSettings(), 8)
		f.run(10, healthy)
		f.run(5, dead)
		if !f.ejected["s3"] {
			t.Fatal("a server that only fails is still sent to")
		}
		f.run(4, dead)
		f.run(12, healthy)
		if f.ejected["s3"] || f.share(1, 0, "s3") == 0 {
			t.Error("a server that recovered stays ejected")
		}
	})
	t.Run("silence where requests were sent is a hang", func(t *testing.T) {
		f := startFleet(testSettings(), 8)
		f.run(10, healthy)
		f.run(6, except("s3", 0, 0, 0))
		if !f.ejected["s3"] {
			t.Error("a server that went silent is still sent to")
		}
	})
}

func TestNoEjectionOnWeakEvidence(t *testing.T) {
	t.Run("load reports that come in long rounds eject nobody", func(t *testing.T) {
		f := startFleet(testSettings(), 8)
		f.run(10, healthy)
		for range 8 { // a round of load reports takes four seconds where the intake is small
			f.run(3, nil)
			for _, server := range f.planner.servers {
				f.planner.RecordLoadReport(server.Server, server.Zone, 20, 0, 100, 4000)
			}
			f.run(1, nil)
		}
		if len(f.ejected) > 0 {
			t.Errorf("ejected: %v", f.ejected)
		}
	})
	t.Run("a full server that still succeeds is not ejected", func(t *testing.T) {
		f := startFleet(testSettings(), 8)
		f.run(10, healthy)
		f.run(10, except("s3", 10, 6, 300))
		if f.ejected["s3"] {
			t.Error("a full server was taken for dead")
		}
	})
	t.Run("when most look dead the evidence is distrusted", func(t *testing.T) {
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
			t.Errorf("%d of 10 servers are ejected", len(ejected))
		}
	})
}

func TestUnverifiedServers(t *testing.T) {
	t.Run("those in the list get little, and soon nothing", func(t *testing.T) {
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
			t.Errorf("an unverified server has %.3f of a proxy's requests", share)
		}
		f.run(6, reports)
		for index, endpoint := range unknown {
			if !f.ejected[endpoint.Server] && f.share(index%2, 0, endpoint.Server) > 0 {
				t.Errorf("%s rejects everything and is still sent to", endpoint.Server)
			}
		}
	})
	// A release under load replaced half of a fleet by new names; held to an unverified server's share until their first
	// load reports, they stood idle for seconds while the others were overloaded.
	t.Run("a new server that says when it started is not one", func(t *testing.T) {
		settings := testSettings()
		f := startFleet(settings, 8)
		f.run(10, healthy)
		startedMs := f.nowMs - settings.SlowStartMs - 1
		f.update(Endpoint{Server: "x", Zone: 0, RelativeCapacity: 1, StartedMs: startedMs})
		f.run(4, except("x", 0, 0, 0))
		if share := f.share(0, 0, "x"); share < 0.05 {
			t.Errorf("it has %.3f of a proxy's requests before its first load report", share)
		}
	})
}
