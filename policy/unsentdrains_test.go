package policy

import "testing"

// drainObserver records the late drains that a policy reports.
type drainObserver struct{ reports [][]UnsentDrain }

func (*drainObserver) ServerChanged(ServerChange)        {}
func (*drainObserver) Solved(SolveSummary)               {}
func (o *drainObserver) DrainsUnsent(late []UnsentDrain) { o.reports = append(o.reports, late) }

// Guards against drains that are broken unseen: a proxy that may not be sent another message is not sent an ejection, and the
// observer is told of it, once a second, until the ejection has been sent.
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
