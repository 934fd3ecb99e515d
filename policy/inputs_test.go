package policy

import "testing"

func TestEndpointListPolling(t *testing.T) {
	settings := testSettings()
	settings.WatchRequired = true
	t.Run("it polls from the start, and again with backoff after failures", func(t *testing.T) {
		f := startFleet(settings, 4)
		failed := 0
		for len(f.polls) < 6 && f.nowMs < 1.1e6 {
			if len(f.polls) > failed { // the planner has polled again since the last failure; this poll fails, too
				failed = len(f.polls)
				f.planner.UpdateEndpoints(FailedUpdate, nil)
			}
			f.run(1, nil)
		}
		if len(f.polls) < 2 {
			t.Fatal("no poll followed a failed one")
		}
		for index := 1; index < len(f.polls); index++ {
			gapMs := f.polls[index] - f.polls[index-1]
			if gapMs < pollBackoffMs/2 || gapMs > settings.AssumeNotifiedMs {
				t.Errorf("polled again after %.0f ms", gapMs)
			}
		}
	})
	t.Run("it stops polling after an update", func(t *testing.T) {
		f := startFleet(settings, 4)
		f.update()
		f.run(30, healthy)
		if len(f.polls) != 1 {
			t.Errorf("%d polls, want 1", len(f.polls))
		}
	})
}

func TestFirstUpdateReplacesRestoredList(t *testing.T) {
	f := startFleet(testSettings(), 4)
	listed := append(readyServers(3), Endpoint{Server: "s9", Zone: 1, RelativeCapacity: 1})
	f.planner.UpdateEndpoints(FullUpdate, listed)
	f.run(6, healthy)
	if !f.ejected["s3"] || f.share(1, 0, "s9") == 0 {
		t.Error("the tables follow the restored list after a full update")
	}
}

// Each release adds servers with new names. When removed servers were never deleted, the planner took ten times the CPU time
// after twenty releases.
func TestRemovedServerIsDeletedWithItsEjection(t *testing.T) {
	f := startFleet(testSettings(), 8)
	f.run(6, healthy)
	f.update(Endpoint{Server: "s3", Zone: 1, RelativeCapacity: 1, State: Removed})
	reports := except("s3", 0, 0, 0)
	f.run(30, reports)
	if !f.ejected["s3"] || f.planner.byName["s3"] == nil {
		t.Fatal("a removed server was deleted, or readmitted, before forgetRemovedMs")
	}
	f.nowMs += forgetRemovedMs
	f.run(2, reports)
	f.update()
	if f.ejected["s3"] || f.planner.byName["s3"] != nil || len(f.planner.servers) != 7 {
		t.Errorf("after 10 minutes: ejected %v, %d known servers, want 7 without s3", f.ejected["s3"], len(f.planner.servers))
	}
	for _, proxy := range f.planner.proxies {
		for server := range proxy.ejected {
			if server.Server == "s3" {
				t.Errorf("proxy %d still has an ejection record of the deleted server", proxy.id)
			}
		}
	}
	f.update(Endpoint{Server: "s3", Zone: 1, RelativeCapacity: 1})
	f.run(20, healthy)
	if f.share(1, 0, "s3") == 0 {
		t.Error("a deleted server that came back gets no requests")
	}
}

func TestUnknownNamesAreIgnored(t *testing.T) {
	f := startFleet(testSettings(), 2)
	f.planner.RecordLoadReport("unknown", 0, 3, 0, 10, 1000)
	f.planner.RecordLoadReport("s0", 7, 3, 0, 10, 1000)
	f.planner.RecordDemandReport(99, 0, 1, 0, 1000)
	f.planner.RecordDemandReport(0, 99, 1, 0, 1000)
	f.planner.RemoveProxy(99)
	f.planner.AddProxy(5, 9, 1)
	f.planner.Acknowledge(99, 9, 1)
	f.update(Endpoint{Server: "far", Zone: 9, RelativeCapacity: 1})
	f.run(2, healthy)
	if f.planner.byName["far"] != nil || f.planner.byID[5] != nil {
		t.Error("a server or proxy in an unknown zone was added")
	}
}

func TestReplacementOfTheOnlyServer(t *testing.T) {
	f := startPlanner(testSettings())
	f.planner.UpdateEndpoints(RestoredUpdate, readyServers(1))
	f.planner.AddProxy(0, 0, 5)
	f.run(3, healthy)
	checkNear(t, "share of the only server", f.share(0, 0, "s0"), 1, 0)
	f.planner.UpdateEndpoints(FullUpdate, []Endpoint{{Server: "n0", Zone: 1, RelativeCapacity: 1, StartedMs: f.nowMs}})
	f.run(20, healthy)
	checkNear(t, "share of its replacement", f.share(0, 0, "n0"), 1, 0)
}
