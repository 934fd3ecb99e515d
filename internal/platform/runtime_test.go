package platform

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"

	"lichenpick/internal/clock"
)

func TestRun(t *testing.T) {
	discovery := newFakeDiscovery(t, fourServers())
	planner := startPlanner(t, discovery)
	<-discovery.watched
	proxy := planner.dial("ping\r\njoined id=1 site=a rps=10")
	proxy.await(wirePong)
	proxy.write(" new=1\r\n")
	proxy.await("replace=1")
	collector := planner.dial("collector site=a\r\n")
	t.Run("after invalid data on a watch, the complete list and a later drain are applied", func(t *testing.T) {
		discovery.lines <- "{\"version\":2,\"fu\n"
		<-discovery.watched
		discovery.lines <- listText(12, false, "s-2:draining")
		proxy.await("s-2")
		asked := discovery.queries()
		if len(asked) < 3 || asked[0] != "follow=1&since=1" || asked[1] != "" || asked[2] != "follow=1&since=9" {
			t.Errorf("queried %q", asked)
		}
	})
	t.Run("a watch that ends within a line is resumed from the version before", func(t *testing.T) {
		discovery.lines <- `{"version":13,"full":false,`
		discovery.lines <- ""
		<-discovery.watched
		discovery.lines <- listText(14, false, "s-3:draining")
		proxy.await("s-3")
		if asked := discovery.queries(); asked[len(asked)-1] != "follow=1&since=12" {
			t.Errorf("queried %q", asked)
		}
	})
	t.Run("refused connections do not affect joined ones", func(t *testing.T) {
		exceedConnectionLimit(planner)
		planner.dial("joined id=2 site=b rps=10 new=1\r\n").await("replace=1")
		proxy.write("ping\r\n")
		proxy.await(wirePong)
		collector.write("ping\r\n")
		collector.await(wirePong)
	})
	t.Run("a proxy whose stream was reset can rejoin", func(t *testing.T) {
		peer := planner.dial("joined id=3 site=b rps=10 new=1\r\n")
		peer.await("replace=1")
		peer.reset()
		planner.dial("joined id=3 site=b rps=10 new=0\r\n").await("replace=1")
	})
	t.Run("an invalid configuration is rejected, and a valid one moves discovery without losing a stream", func(t *testing.T) {
		moveDiscovery(t, planner, proxy)
	})
	t.Run("the collector was only sent pongs", func(t *testing.T) {
		planner.stop()
		if text := collector.readAll(); text != "" {
			t.Errorf("sent %q", text)
		}
	})
}

// exceedConnectionLimit opens more connections than the planner has descriptors for, and waits until all are closed.
func exceedConnectionLimit(planner *testPlanner) {
	first := []string{"", "joined id", "ping\r\n", "GET / HTTP/1.1\r\n\r\n"}
	var peers []*testPeer
	for index := range 120 {
		peers = append(peers, planner.dial(first[index%len(first)]))
	}
	for _, peer := range peers {
		peer.readAll()
	}
}

func moveDiscovery(t *testing.T, planner *testPlanner, proxy *testPeer) {
	t.Helper()
	next := newFakeDiscovery(t, listText(20, true, "s-1:ready", "s-4:ready"))
	planner.configure(`{"name":"n0","disc`)
	planner.reload()
	proxy.write("ping\r\n")
	proxy.await(wirePong)
	planner.configure(configText(next.address(), 64)) // no other signal is sent, so a retry must read this configuration
	<-next.watched
	next.lines <- listText(21, false, "s-4:draining")
	proxy.await("s-4")
	if asked := next.queries(); asked[0] != "follow=1&since=14" {
		t.Errorf("queried %q", asked)
	}
}

// toSecondSite turns the configuration and the lists of the first site into those of a different site.
var toSecondSite = strings.NewReplacer(
	`"lookup"`, `"read"`,
	`"order"`, `"write"`,
	`"Azs":["a","b"]`, `"Azs":["x"]`,
	`"DataPlaneSize":8`, `"DataPlaneSize":3`,
	`"DefaultRetry":1`, `"DefaultRetry":2`,
	`"zone":"a"`, `"zone":"x"`,
	`s-`, `t-`,
)

func TestTwoSitesInOneProcess(t *testing.T) {
	first := newFakeDiscovery(t, listText(9, true, "s-1:ready"))
	second := newFakeDiscovery(t, toSecondSite.Replace(listText(9, true, "s-1:ready")))
	startFirst := func(t *testing.T) *testPlanner {
		config := strings.Replace(configText(first.address(), 64), `"DefaultRetry":1`, `"DefaultRetry":3`, 1)
		return startPlannerWith(t, config, nil)
	}
	startSecond := func(t *testing.T) *testPlanner {
		return startPlannerWith(t, toSecondSite.Replace(configText(second.address(), 64)), nil)
	}
	t.Run("side by side", func(t *testing.T) {
		checkSites(t, startFirst(t), startSecond(t))
	})
	t.Run("one after the other", func(t *testing.T) {
		t.Run("first alone", func(t *testing.T) {
			startFirst(t).dial("joined id=7 site=a rps=10 new=1\r\n").await("replace=1")
		})
		checkSites(t, startFirst(t), startSecond(t))
	})
}

// checkSites checks that two planners in one process share no settings or servers.
func checkSites(t *testing.T, first, second *testPlanner) {
	t.Helper()
	ofFirst := first.dial("joined id=7 site=a rps=10 new=1\r\n")
	ofSecond := second.dial("joined id=2 site=x rps=10 new=1\r\n")
	checkTable(t, ofFirst, []string{"s-1", "for=order"}, []string{"t-", "read", "write"})
	checkTable(t, ofSecond, []string{"t-1", "for=write"}, []string{"s-", "lookup", "order"})
	if text := second.dial("joined id=7 site=x rps=10 new=1\r\n").readAll(); text != "refused\r\n" {
		t.Errorf("a proxy beyond the number of this site is not refused: %q", text)
	}
}

// checkTable reads the first update of a proxy, and checks that the update contains all words of own and no word of foreign.
func checkTable(t *testing.T, peer *testPeer, own, foreign []string) {
	t.Helper()
	text := ""
	for !strings.Contains(text, " stamp=") {
		text += peer.readLine()
	}
	for _, word := range own {
		if !strings.Contains(text, word) {
			t.Errorf("%q is missing in %q", word, text)
		}
	}
	for _, word := range foreign {
		if strings.Contains(text, word) {
			t.Errorf("%q of the other site in %q", word, text)
		}
	}
}

func TestPanics(t *testing.T) {
	t.Run("a panic caused by the data of a peer only closes that peer's connection", func(t *testing.T) {
		discovery := newFakeDiscovery(t, listText(9, true, "s-1:ready"))
		planner := startPlannerWith(t, configText(discovery.address(), 64), func(o *Options) {
			o.Log = slog.New(panickingLog{slog.DiscardHandler})
		})
		faulty := planner.dial(joinText)
		other := planner.dial("joined id=2 site=a rps=10 new=1\r\n")
		other.await("replace=1")
		faulty.await("replace=1")
		faulty.write("usage id=1\r\n") // the message is rejected, which is logged, and the log handler panics
		faulty.readAll()
		other.write("ping\r\n")
		other.await(wirePong)
		planner.dial(rejoinText).await("replace=1")
	})
	t.Run("a planner whose every evaluation panics ends with an error", func(t *testing.T) {
		r := newBlockedRuntime(t, 64, 2)
		r.Clock = scaledClock{clock.NewReal(), 50, 1}
		original := r.core.policy
		r.core.policy = nil
		if err := r.decide(t.Context()); !errors.Is(err, ErrRepeatedPanics) {
			t.Errorf("decide ended with %v", err)
		}
		r.core.policy = original
	})
	// Guards against a planner that orders nothing for as long as it runs, because each solve panics and evaluations between
	// two solves succeed.
	t.Run("a planner whose evaluations panic by turns with others that succeed ends with an error", func(t *testing.T) {
		r := newBlockedRuntime(t, 64, 2)
		r.Clock = scaledClock{clock.NewReal(), 50, 1}
		trace := &panickingTrace{}
		r.Trace = trace // written once a second, and evaluations come every 200 ms
		if err := r.decide(t.Context()); !errors.Is(err, ErrRepeatedPanics) || trace.panics != maxPanics {
			t.Errorf("decide ended with %v after %d panics, want %d", err, trace.panics, maxPanics)
		}
	})
	t.Run("panics that come more slowly do not end a planner", func(t *testing.T) {
		const intervalMs = (panicWindowMs + 1) / (maxPanics - 1)
		var schedule decisionSchedule
		for count := range 10 * maxPanics {
			if schedule.addPanic(float64(count) * intervalMs) {
				t.Fatalf("ended at panic %d", count)
			}
		}
		if len(schedule.panicsMs) > maxPanics {
			t.Errorf("%d times are kept", len(schedule.panicsMs))
		}
	})
}

// panickingTrace is a trace whose writes panic.
type panickingTrace struct{ panics int }

func (w *panickingTrace) Write([]byte) (int, error) {
	w.panics++
	panic("panic injected by the test")
}

// panickingLog is a log handler that panics when a rejected message is logged.
type panickingLog struct{ slog.Handler }

func (panickingLog) Enabled(context.Context, slog.Level) bool { return true }

func (panickingLog) Handle(_ context.Context, record slog.Record) error {
	if record.Message == logMessageRejected {
		panic("panic injected by the test")
	}
	return nil
}
