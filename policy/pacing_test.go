package policy

import (
	"fmt"
	"testing"
)

func TestMessageLimit(t *testing.T) {
	settings := testSettings()
	settings.MaxMessages = 6
	t.Run("drains have a reserve of messages", func(t *testing.T) {
		f := startFleet(settings, 8)
		for f.planner.spendBudget(1, f.planner.proxies, required) {
			f.advance(100)
		}
		f.update(Endpoint{Server: "s2", Zone: 0, State: Draining, RelativeCapacity: 1})
		f.run(2, nil)
		if !f.ejected["s2"] {
			t.Error("a draining server was not ejected after other orders used up their messages")
		}
	})
	t.Run("no proxy is sent more messages than allowed", func(t *testing.T) {
		f := startFleet(settings, 8)
		for step := range 40 {
			state := State(step / 8 % 2)
			f.update(Endpoint{Server: fmt.Sprint("s", step%8), Zone: step % 2, State: state, RelativeCapacity: 1})
			f.run(1, healthy)
			for _, proxy := range f.planner.proxies {
				recent := filter(proxy.messageTimes, func(at float64) bool { return at > f.nowMs-settings.MessageWindowMs })
				if len(recent) > settings.MaxMessages {
					t.Fatalf("%d messages to a proxy within MessageWindowMs", len(recent))
				}
			}
		}
	})
	t.Run("AddProxy copies the message times", func(t *testing.T) {
		f := startFleet(testSettings(), 8)
		times := []float64{f.nowMs - 400, f.nowMs - 300, f.nowMs - 200, f.nowMs - 100}
		f.planner.AddProxy(1, 1, 10, times...)
		times[0] = f.nowMs
		if f.planner.byID[1].messageTimes[0] == f.nowMs {
			t.Error("AddProxy kept the caller's slice of message times")
		}
	})
}

func TestBacklog(t *testing.T) {
	t.Run("it drains more slowly after a late acknowledgement", func(t *testing.T) {
		f := startFleet(testSettings(), 6)
		f.planner.backlog = 1000
		f.planner.proxies[0].ordered = 1000
		f.planner.proxies[0].acknowledged = 0
		f.advance(100)
		checkNear(t, "backlog of a healthy channel", f.planner.updateBacklog(), 750, 1)
		f.planner.Acknowledge(0, 9, 5000)
		f.advance(100)
		checkNear(t, "backlog of a slow channel", f.planner.updateBacklog(), 750-250/slowChannelFactor, 1)
	})
	t.Run("unacknowledged entries use up the budget until an acknowledgement", func(t *testing.T) {
		f := startFleet(testSettings(), 6)
		f.run(10, healthy)
		proxy := f.planner.proxies[0]
		proxy.ordered = proxy.acknowledged + 3400 // the channel is slower than the settings state
		if f.planner.spendBudget(1, f.planner.proxies, required) {
			t.Error("an order was sent though the unacknowledged entries fill the backlog")
		}
		proxy.acknowledgements[7] = proxy.ordered
		f.planner.Acknowledge(proxy.id, 7, 900)
		if !f.planner.spendBudget(1, f.planner.proxies, required) {
			t.Error("acknowledged entries still use up the budget")
		}
	})
	t.Run("drains have a reserve in a backlog full of assignments and other ejections", func(t *testing.T) {
		f := startFleet(testSettings(), 6)
		f.planner.backlog = 2500
		f.planner.proxies[0].ordered = f.planner.proxies[0].acknowledged + 2500
		if f.planner.spendBudget(1, f.planner.proxies, required) {
			t.Error("a required order used up the reserve of drains")
		}
		if !f.planner.spendBudget(1, f.planner.proxies, drainEjection) {
			t.Error("the ejection of a draining server was refused its reserve")
		}
	})
}

// The channel's limit on waiting entries includes those for streams that have ended. When streams broke while the channel
// was full, their proxies rejoined at once, and assignments to them were sent in addition to the entries that still waited.
func TestBacklogCountsEntriesToRemovedProxies(t *testing.T) {
	for _, rejoin := range []bool{false, true} {
		t.Run(fmt.Sprint("rejoin ", rejoin), func(t *testing.T) {
			f := startFleet(testSettings(), 6)
			f.run(10, healthy)
			f.planner.updateBacklog() // counts what the channel has drained up to now
			f.planner.backlog = 3400
			for _, proxy := range f.planner.proxies {
				proxy.ordered = proxy.acknowledged + 850
			}
			for id := range 4 {
				f.planner.RemoveProxy(id)
				if rejoin {
					f.planner.AddProxy(id, id%2, 10)
				}
			}
			checkNear(t, "backlog", f.planner.updateBacklog(), 3400, 0)
			f.planner.AddProxy(9, 0, 10)
			if f.planner.spendBudget(8, f.planner.proxies, required) {
				t.Error("an order was sent though the unacknowledged entries fill the backlog")
			}
			f.advance(1500)
			checkNear(t, "backlog after the channel had time to drain", f.planner.updateBacklog(), 0, 0)
			checkNear(t, "unacknowledged entries after that time", f.planner.unacknowledged(), 0, 0)
		})
	}
}

func TestUnansweredAcknowledgementRequestsAreForgotten(t *testing.T) {
	f := startFleet(testSettings(), 6)
	proxy := f.planner.proxies[0]
	for number := range 100 {
		proxy.ordered++
		proxy.acknowledgements[number] = proxy.ordered
	}
	f.planner.Acknowledge(proxy.id, 98, 300) // orders arrive in sequence, so earlier orders have arrived, too
	if len(proxy.acknowledgements) != 1 || proxy.ordered-proxy.acknowledged != 1 {
		t.Errorf("%d requests and %g entries are unacknowledged, want 1 and 1", len(proxy.acknowledgements), proxy.ordered-proxy.acknowledged)
	}
}
