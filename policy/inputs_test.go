package policy

import "testing"

func TestPollsOfTheEndpointList(t *testing.T) {
	settings := testSettings()
	settings.WatchRequired = true
	t.Run("it is asked for from the start, and again with backoff", func(t *testing.T) {
		f := startFleet(settings, 4)
		failed := 0
		for len(f.polls) < 6 && f.nowMs < 1.1e6 {
			if len(f.polls) > failed { // each poll fails once
				failed = len(f.polls)
				f.planner.UpdateEndpoints(FailedUpdate, nil)
			}
			f.run(1, nil)
		}
		if len(f.polls) < 2 {
			t.Fatal("a failed poll is not repeated")
		}
		for index := 1; index < len(f.polls); index++ {
			gapMs := f.polls[index] - f.polls[index-1]
			if gapMs < pollBackoffMs/2 || gapMs > settings.AssumeNotifiedMs {
				t.Errorf("asked again after %.0f ms", gapMs)
			}
		}
	})
	t.Run("no more polls once it comes", func(t *testing.T) {
		f := startFleet(settings, 4)
		f.update()
		f.run(30, healthy)
		if len(f.polls) != 1 {
			t.Errorf("%d polls", len(f.polls))
		}
	})
}

func TestStaleRestoredListIsMendedByTheFirstUpdate(t *testing.T) {
	f := startFleet(testSettings(), 4)
	listed := append(readyServers(3), Endpoint{Server: "s9", Zone: 1, RelativeCapacity: 1})
	f.planner.UpdateEndpoints(FullUpdate, listed)
	f.run(6, healthy)
	if !f.ejected["s3"] || f.share(1, 0, "s9") == 0 {
		t.Error("the tables follow the old list")
	}
}

// Releases name new servers each time; remembered for ever, they made a second of the planner ten times as dear after
// twenty.
func TestServerLongRemovedIsForgottenWithItsEjectionAndMayComeBack(t *testing.T) {
	f := startFleet(testSettings(), 8)
	f.run(6, healthy)
	f.update(Endpoint{Server: "s3", Zone: 1, RelativeCapacity: 1, State: Removed})
	reports := except("s3", 0, 0, 0)
	f.run(30, reports)
	if !f.ejected["s3"] || f.planner.byName["s3"] == nil {
		t.Fatal("it is forgotten at once")
	}
	f.nowMs += forgetRemovedMs
	f.run(2, reports)
	f.update()
	if f.ejected["s3"] || f.planner.byName["s3"] != nil || len(f.planner.servers) != 7 {
		t.Errorf("ejected %v, %d servers known", f.ejected["s3"], len(f.planner.servers))
	}
	for _, proxy := range f.planner.proxies {
		for server := range proxy.ejected {
			if server.Server == "s3" {
				t.Errorf("proxy %d is still known to have been notified of it", proxy.id)
			}
		}
	}
	f.update(Endpoint{Server: "s3", Zone: 1, RelativeCapacity: 1})
	f.run(20, healthy)
	if f.share(1, 0, "s3") == 0 {
		t.Error("it came back and is not sent to")
	}
}

func TestUnknownNamesAreHarmless(t *testing.T) {
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
		t.Error("a zone that does not exist was taken in")
	}
}

func TestAllServersReplacedWithOneServerAndOneProxy(t *testing.T) {
	f := startPlanner(testSettings())
	f.planner.UpdateEndpoints(RestoredUpdate, readyServers(1))
	f.planner.AddProxy(0, 0, 5)
	f.run(3, healthy)
	checkNear(t, "the only server", f.share(0, 0, "s0"), 1, 0)
	f.planner.UpdateEndpoints(FullUpdate, []Endpoint{{Server: "n0", Zone: 1, RelativeCapacity: 1, StartedMs: f.nowMs}})
	f.run(20, healthy)
	checkNear(t, "its successor", f.share(0, 0, "n0"), 1, 0)
}
