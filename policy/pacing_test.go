package policy

import (
	"fmt"
	"testing"
)

func TestMessageQuota(t *testing.T) {
	settings := testSettings()
	settings.MaxMessages = 6
	t.Run("drains keep messages of their own", func(t *testing.T) {
		f := startFleet(settings, 8)
		for f.planner.spendBudget(1, f.planner.proxies, required) {
			f.advance(100)
		}
		f.update(Endpoint{Server: "s2", Zone: 0, State: Draining, RelativeCapacity: 1})
		f.run(2, nil)
		if !f.ejected["s2"] {
			t.Error("other orders used up the messages")
		}
	})
	t.Run("no proxy gets more messages than allowed", func(t *testing.T) {
		f := startFleet(settings, 8)
		for step := range 40 {
			state := State(step / 8 % 2)
			f.update(Endpoint{Server: fmt.Sprint("s", step%8), Zone: step % 2, State: state, RelativeCapacity: 1})
			f.run(1, healthy)
			for _, proxy := range f.planner.proxies {
				recent := filter(proxy.messageTimes, func(at float64) bool { return at > f.nowMs-settings.MessageWindowMs })
				if len(recent) > settings.MaxMessages {
					t.Fatalf("%d messages in a span", len(recent))
				}
			}
		}
	})
	t.Run("the times of messages that a host hands over stay the host's own", func(t *testing.T) {
		f := startFleet(testSettings(), 8)
		times := []float64{f.nowMs - 400, f.nowMs - 300, f.nowMs - 200, f.nowMs - 100}
		f.planner.AddProxy(1, 1, 10, times...)
		times[0] = f.nowMs
		if f.planner.byID[1].messageTimes[0] == f.nowMs {
			t.Error("the host's list is taken for the module's")
		}
	})
}

func TestBacklog(t *testing.T) {
	t.Run("it counts entries and messages and drains slowly after late acknowledgements", func(t *testing.T) {
		f := startFleet(testSettings(), 6)
		f.planner.backlog = 1000
		f.planner.proxies[0].ordered = 1000
		f.planner.proxies[0].acknowledged = 0
		f.advance(100)
		checkNear(t, "healthy", f.planner.updateBacklog(), 750, 1)
		f.planner.Acknowledge(0, 9, 5000)
		f.advance(100)
		checkNear(t, "slow", f.planner.updateBacklog(), 750-250/slowChannelFactor, 1)
	})
	t.Run("entries not known to have arrived fill it until an acknowledgement", func(t *testing.T) {
		f := startFleet(testSettings(), 6)
		f.run(10, healthy)
		proxy := f.planner.proxies[0]
		proxy.ordered = proxy.acknowledged + 3400 // a channel slower than it was said to be
		if f.planner.spendBudget(1, f.planner.proxies, required) {
			t.Error("more is ordered than may wait")
		}
		proxy.acknowledgements[7] = proxy.ordered
		f.planner.Acknowledge(proxy.id, 7, 900)
		if !f.planner.spendBudget(1, f.planner.proxies, required) {
			t.Error("what has arrived still counts")
		}
	})
	t.Run("one full of first tables and resting servers holds back no drain", func(t *testing.T) {
		f := startFleet(testSettings(), 6)
		f.planner.backlog = 2500
		f.planner.proxies[0].ordered = f.planner.proxies[0].acknowledged + 2500
		if f.planner.spendBudget(1, f.planner.proxies, required) {
			t.Error("first tables use up what is kept for drains")
		}
		if !f.planner.spendBudget(1, f.planner.proxies, drainEjection) {
			t.Error("urgency does not decide")
		}
	})
}

// The platform keeps counting what waited for a stream that has ended. Streams cut while the channel was full came back
// at once and got their tables again, on top of what waited still.
func TestEntriesToProxiesThatLeftFillTheBacklogUntilTheChannelHasDrainedThem(t *testing.T) {
	for _, rejoin := range []bool{false, true} {
		t.Run(fmt.Sprint("rejoin ", rejoin), func(t *testing.T) {
			f := startFleet(testSettings(), 6)
			f.run(10, healthy)
			f.planner.updateBacklog() // as of now
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
				t.Error("more is ordered than may wait")
			}
			f.advance(1500)
			checkNear(t, "left", f.planner.updateBacklog(), 0, 0)
			checkNear(t, "unacknowledged", f.planner.unacknowledged(), 0, 0)
		})
	}
}

func TestRequestsWhoseAnswersWereLostAreNotKeptForEver(t *testing.T) {
	f := startFleet(testSettings(), 6)
	proxy := f.planner.proxies[0]
	for number := range 100 {
		proxy.ordered++
		proxy.acknowledgements[number] = proxy.ordered
	}
	f.planner.Acknowledge(proxy.id, 98, 300) // applied in order: all before are, too
	if len(proxy.acknowledgements) != 1 || proxy.ordered-proxy.acknowledged != 1 {
		t.Errorf("%d requests, %g entries unacknowledged", len(proxy.acknowledgements), proxy.ordered-proxy.acknowledged)
	}
}
