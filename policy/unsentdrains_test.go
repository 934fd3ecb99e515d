package policy

import (
	"fmt"
	"testing"
)

// drainObserver records the late drains that a policy reports.
type drainObserver struct{ reports [][]UnsentDrain }

func (*drainObserver) ServerChanged(ServerChange)        {}
func (*drainObserver) Solved(SolveSummary)               {}
func (o *drainObserver) DrainsUnsent(late []UnsentDrain) { o.reports = append(o.reports, late) }

// Guards against drains that are broken unseen: a proxy that may not be sent another message is not sent an ejection, and the
// observer is notified of it, once a second, until the ejection has been sent.
func TestLateDrainsAreObserved(t *testing.T) {
	settings := testSettings()
	settings.MaxMessages = 2
	f := startPlanner(settings)
	observer := &drainObserver{}
	f.planner.SetObserver(observer)
	f.planner.UpdateEndpoints(RestoredUpdate, readyServers(4))
	f.planner.AddProxy(0, 0, 10, f.nowMs, f.nowMs)
	f.run(1, nil)
	f.update(Endpoint{Server: "s2", Zone: 0, RelativeCapacity: 1, State: Draining})
	f.run(2, nil)
	if count := f.planner.UnsentDrains(); count != 0 || len(observer.reports) > 0 {
		t.Fatalf("%d late drains after 2 s, with a grace of %.0f ms", count, settings.DrainGraceMs)
	}
	f.run(3, nil)
	if count := f.planner.UnsentDrains(); count != 1 {
		t.Errorf("%d late drains after 5 s, want 1", count)
	}
	if len(observer.reports) != 3 {
		t.Fatalf("%d reports in 2.75 s, want 3", len(observer.reports))
	}
	want := UnsentDrain{Server: "s2", AgeMs: 2400, Reason: UnsentMessageLimit}
	if late := observer.reports[0]; len(late) != 1 || late[0] != want {
		t.Errorf("the first report is %+v, want %+v", late, want)
	}
	f.run(10, nil) // the proxy may be sent messages again
	if count := f.planner.UnsentDrains(); count != 0 {
		t.Errorf("%d late drains 15 s after the drain began", count)
	}
}

const lateJoinServers = 6

// lateJoinSettings returns settings with a class that keeps to the proxy's zone.
func lateJoinSettings(ejectsSingly bool) Settings {
	settings := testSettings()
	settings.EjectsSingly = ejectsSingly
	settings.Classes[1].SameZoneOnly = true
	return settings
}

// drainZone returns a list of lateJoinServers in which the servers of zone 1 have another state.
func drainZone(state State) []Endpoint {
	list := readyServers(lateJoinServers)
	for index := range list {
		if list[index].Zone == 1 {
			list[index].State = state
		}
	}
	return list
}

// checkDrainsSent fails the test for each draining or removed server of zone 1 whose ejection a proxy has not been sent.
func (f *fakeHost) checkDrainsSent(t *testing.T, proxies ...int) {
	t.Helper()
	for _, id := range proxies {
		joined := f.planner.byID[id]
		for _, server := range f.planner.servers {
			if server.Zone == 1 && server.State != Ready && !joined.ejected[server] {
				t.Errorf("proxy %d was not sent the ejection of %s, %.0f ms after it joined", id, server.Server, f.nowMs-joined.addedMs)
			}
		}
	}
}

// Guards against a broken drain rule: proxies that joined after the servers of their zone had been ejected were never sent these
// ejections, as there was no table to assign for a class that keeps to the zone, while servers of other zones were usable.
func TestDrainsReachLateJoinersWithoutATableForAClass(t *testing.T) {
	for _, ejectsSingly := range []bool{true, false} {
		for _, state := range []State{Draining, Removed} {
			t.Run(fmt.Sprintf("%s, EjectsSingly %t", state, ejectsSingly), func(t *testing.T) {
				f := startPlanner(lateJoinSettings(ejectsSingly))
				f.planner.UpdateEndpoints(RestoredUpdate, drainZone(Draining))
				f.planner.AddProxy(0, 1, 10)
				f.planner.ExpectInheritedEjections(0)
				f.run(1, nil)
				f.checkDrainsSent(t, 0)
				f.planner.UpdateEndpoints(DeltaUpdate, drainZone(state))
				f.planner.AddProxy(1, 1, 10) // with the table that it started with
				f.run(1, nil)
				f.planner.AddProxy(2, 1, 10) // with tables of another planner
				f.planner.ExpectInheritedEjections(2)
				f.run(2, nil)
				f.checkDrainsSent(t, 0, 1, 2)
				f.planner.AddProxy(0, 1, 10) // on a new stream
				f.planner.ExpectInheritedEjections(0)
				f.run(2, nil)
				f.checkDrainsSent(t, 0, 1, 2)
				if f.planner.UnsentDrains() > 0 {
					t.Errorf("%d late drains", f.planner.UnsentDrains())
				}
			})
		}
	}
}

// Guards against a broken drain rule: servers that no table of the planner had ever held were not ejected at proxies that go by the
// table that they started with.
func TestDrainsReachProxiesWithStartingTables(t *testing.T) {
	for _, ejectsSingly := range []bool{true, false} {
		f := startPlanner(lateJoinSettings(ejectsSingly))
		f.planner.UpdateEndpoints(RestoredUpdate, drainZone(Draining))
		f.planner.AddProxy(0, 1, 10)
		f.run(2, nil)
		f.planner.AddProxy(1, 1, 10)
		f.run(2, nil)
		f.checkDrainsSent(t, 0, 1)
	}
}

// Guards against a channel full of ejections after many joins: a proxy that is to be assigned a table for some classes is sent only the
// ejections of servers that its table for the other classes may hold.
func TestProxiesThatAwaitATableAreNotSentAllDrains(t *testing.T) {
	settings := lateJoinSettings(true)
	settings.MaxBacklog = 40 // room for two tables, and for ejections at each proxy
	settings.EntriesPerSecond = 1
	f := startPlanner(settings)
	list := drainZone(Draining)
	list[0].State = Draining // in the other zone
	f.planner.UpdateEndpoints(RestoredUpdate, list)
	for id := range 4 {
		f.planner.AddProxy(id, 1, 10)
	}
	for range 15 {
		f.advance(200)
		f.decide()
	}
	waiting := filter(f.planner.proxies, func(proxy *proxy) bool { return proxy.tables[0] == nil })
	ejected := filter(waiting, func(proxy *proxy) bool { return proxy.ejected[f.planner.byName["s1"]] })
	if len(waiting) == 0 || len(ejected) == 0 {
		t.Fatalf("%d proxies await a table, and %d of these were sent ejections, so the test shows nothing", len(waiting), len(ejected))
	}
	for _, proxy := range waiting {
		if proxy.ejected[f.planner.byName["s0"]] {
			t.Errorf("proxy %d was sent the ejection of a server that its next table replaces", proxy.id)
		}
	}
}

// Guards against drains that wait for the whole fleet: a proxy that had been sent all the messages it may be sent kept an ejection
// from all other proxies.
func TestDrainsDoNotWaitForProxiesAtTheirMessageLimit(t *testing.T) {
	settings := testSettings()
	settings.EjectsSingly = true
	f := startFleet(settings, 6)
	f.run(12, healthy)
	limited := f.planner.byID[3]
	for range settings.MaxMessages {
		limited.messageTimes = append(limited.messageTimes, f.nowMs)
	}
	f.update(Endpoint{Server: "s2", Zone: 0, RelativeCapacity: 1, State: Draining})
	f.run(2, healthy)
	drained := f.planner.byName["s2"]
	for _, proxy := range f.planner.proxies {
		if proxy != limited && proxy.mayUse(drained, true) && !proxy.ejected[drained] {
			t.Errorf("proxy %d may use the server 2 s after its drain began", proxy.id)
		}
	}
	if limited.ejected[drained] {
		t.Error("the proxy at its message limit was sent the ejection")
	}
	f.run(10, healthy)
	if limited.mayUse(drained, true) && !limited.ejected[drained] {
		t.Error("the proxy at its message limit may use the server 12 s after its drain began")
	}
}

// Guards against a broken drain rule: ten minutes after the servers of a zone were removed, their ejections ended at proxies that
// still went by tables with these servers, as there was no other table to assign.
func TestRemovedServersStayEjectedAtProxiesWithOldTables(t *testing.T) {
	const tenMinutes = 600
	f := startPlanner(lateJoinSettings(true))
	f.planner.UpdateEndpoints(RestoredUpdate, drainZone(Draining))
	f.planner.AddProxy(0, 1, 10)
	f.planner.ExpectInheritedEjections(0)
	f.run(1, nil)
	f.update(drainZone(Removed)...)
	f.run(tenMinutes+10, nil)
	f.update(readyServers(1)...)
	f.run(1, nil)
	for _, server := range []string{"s1", "s3", "s5"} {
		if !f.ejected[server] {
			t.Errorf("%s is no longer ejected", server)
		}
	}
	f.planner.RemoveProxy(0)
	f.update(readyServers(1)...)
	f.run(1, nil)
	f.update(readyServers(1)...)
	if known := len(f.planner.servers); known != 3 {
		t.Errorf("%d servers are known after the proxy has left, want the 3 of the other zone", known)
	}
}
