package policy

import "testing"

// Guards against a broken drain rule: the deadline of a drain began anew when the server was listed as removed, so that an
// ejection which waited to share a message came after the grace.
func TestRemovalDoesNotExtendTheDrainGrace(t *testing.T) {
	settings := testSettings()
	settings.DrainGraceMs = 10000 // the drain is due half of this, less the longest propagation, after it was listed: 4 s
	settings.MaxMessages = 3      // so few that an ejection waits to share a message until it is due
	f := startFleet(settings, 8)
	f.run(2, healthy)
	drained := Endpoint{Server: "s3", Zone: 1, RelativeCapacity: 1, State: Draining}
	f.update(drained)
	f.run(3, healthy)
	if f.ejected["s3"] {
		t.Fatal("the ejection did not wait, so the test shows nothing")
	}
	drained.State = Removed
	f.update(drained)
	f.run(2, healthy)
	if !f.ejected["s3"] {
		t.Error("the server is not ejected 5 s after its drain was listed, half of the grace")
	}
}

// Guards against a broken drain rule: an ejection waited for half the grace to share a message, and then stood behind a
// backlog for the rest of it.
func TestDrainDoesNotWaitWhileTheChannelIsFull(t *testing.T) {
	settings := testSettings()
	settings.DrainGraceMs = 10000
	settings.MaxMessages = 3
	settings.EntriesPerSecond = 8 // the first tables take more than 7 s
	f := startFleet(settings, 8)
	f.advance(400)
	if delayMs := f.planner.queueMs(); delayMs < 7000 || delayMs > settings.DrainGraceMs {
		t.Fatalf("the channel takes %.0f ms for its backlog, so the test shows nothing", delayMs)
	}
	f.update(Endpoint{Server: "s3", Zone: 1, RelativeCapacity: 1, State: Draining})
	f.decide()
	if !f.ejected["s3"] {
		t.Error("the ejection waits although it reaches proxies after more than half of the grace")
	}
}

// Guards against a broken drain rule: while no server was usable, nothing was solved, and weights of the last solve that had waited
// were sent for servers that had begun to drain since.
func TestWaitingWeightsOfDrainingServersAreNotSent(t *testing.T) {
	const servers = 6
	f := startFleet(testSettings(), servers)
	f.run(3, healthy)
	added := f.planner.byName["s5"]
	f.planner.split(filter(f.planner.servers, (*server).usable), true)
	for _, entry := range added.entries { // not sent yet, as if there had been no room in the channel
		entry.sent = 0
		entry.table.due = true
		f.weights[entry.table.number]["s5"] = 0
	}
	for _, endpoint := range readyServers(servers) {
		endpoint.State = Draining
		f.update(endpoint)
	}
	f.run(8, healthy)
	for table, weights := range f.weights {
		if weights["s5"] > 0 {
			t.Errorf("table %d got a weight of a server after its drain was listed", table)
		}
	}
}

// Guards against a broken drain rule: while no server was usable, so that no table could replace the old one, proxies that joined after
// the ejections of draining servers were never sent them (a planner restarted during a release of all servers).
func TestDrainsReachProxiesThatJoinWhileNoTableCanBeAssigned(t *testing.T) {
	settings := testSettings()
	settings.EjectsSingly = true
	f := startPlanner(settings)
	list := readyServers(6)
	for index := range list {
		list[index].State = Draining
	}
	f.planner.UpdateEndpoints(RestoredUpdate, list)
	f.planner.AddProxy(0, 0, 10)
	f.run(2, nil)
	f.planner.AddProxy(1, 1, 10)
	f.run(3, nil)
	for _, server := range f.planner.servers {
		for _, proxy := range f.planner.proxies {
			if !proxy.ejected[server] {
				t.Errorf("proxy %d, joined %.0f ms ago, was not sent the ejection of %s", proxy.id, f.nowMs-proxy.joinedMs, server.Server)
			}
		}
	}
}

// Guards against a zone without servers: a server that was ejected by evidence, left all tables and was then removed counted as
// readmitted by the policy only, so that its first weights after its return reached proxies together with the old ejection.
func TestServerThatLeftWhileEjectedIsReadmittedOnItsReturn(t *testing.T) {
	f := startFleet(testSettings(), 8)
	f.run(10, healthy)
	f.run(5, except("s3", 5, 5, 0))
	if !f.ejected["s3"] || f.planner.byName["s3"].inAnyTable() {
		t.Fatal("the failing server is not ejected from all tables, so the test shows nothing")
	}
	removed := Endpoint{Server: "s3", Zone: 1, RelativeCapacity: 1, State: Removed}
	f.update(removed)
	f.run(20, except("s3", 0, 0, 0))
	returned := removed
	returned.State = Ready
	f.update(returned)
	f.run(10, healthy)
	if f.ejected["s3"] || f.share(1, 0, "s3") == 0 {
		t.Errorf("ejected is %t and the share %g, 10 s after the return", f.ejected["s3"], f.share(1, 0, "s3"))
	}
}
