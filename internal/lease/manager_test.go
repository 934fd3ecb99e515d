package lease

import "testing"

const (
	foreverMs = 1e9 // longer than any simulated run, in ms
	// unknownEpoch is above any epoch that a controller has reserved at the start of a simulation.
	unknownEpoch = 5_000_000
)

func TestManager(t *testing.T) {
	t.Run("proxies are divided among the controllers, and each soon has a lease holder", testProxiesAreDivided)
	t.Run("a crashed controller is replaced within a lease's duration, and regains its proxies gradually", testDeadControllerIsReplaced)
	t.Run("streams that connect one after the other cause no transfers", testLateStreamsCauseNoTransfers)
	t.Run("one controller of three soon holds all proxies if the others are not connected", testLoneControllerTakesAll)
	t.Run("a draining controller transfers all its leases, and no proxy is free for long", testDrainingControllerTransfersAll)
	t.Run("a full disk prevents new requests, and held leases are renewed", testFullDiskPreservesLeases)
	t.Run("proxies are not transferred repeatedly to a paused controller", testPausedControllerGetsNoTransfers)
	t.Run("a proxy whose epoch is above all epochs of the controllers gets a higher one", testUnknownEpochIsExceeded)
	t.Run("two controllers of the same name break no rule", testTwoControllersOfOneName)
}

func testProxiesAreDivided(t *testing.T) {
	w := newWorld(t, 1, 3, 60)
	w.run(1500)
	held := w.countHeld()
	if held[""] > 0 || held["A"] < 10 || held["B"] < 10 || held["C"] < 10 {
		t.Errorf("held %v", held)
	}
	w.checkRules(t)
}

func testDeadControllerIsReplaced(t *testing.T) {
	w := newWorld(t, 2, 3, 60)
	w.run(3000)
	before := w.countHeld()
	restarted := w.controllers["B"]
	w.kill(restarted)
	w.run(int(DurationMs*1.1 + 3*rankDelayMs))
	if held := w.countHeld(); held["B"] != 0 || held[""] != 0 {
		t.Errorf("held %v after B crashed", held)
	}
	restarted.start()
	w.connectAll(restarted)
	w.run(1000)
	if held := w.countHeld()["B"]; held != 0 {
		t.Errorf("B took %d proxies at once after its restart, want 0", held)
	}
	w.run(int(transferDelayMs) + 3000)
	held := w.countHeld()
	if held["B"] != before["B"] || restarted.manager.Takeovers != before["B"] {
		t.Errorf("held %v, before the crash %v, %d takeovers by B", held, before, restarted.manager.Takeovers)
	}
	w.checkRules(t)
}

// newWorldConnectedToA returns a world of three controllers of which only A is connected to the proxies.
func newWorldConnectedToA(t *testing.T) *world {
	t.Helper()
	w := newWorld(t, 3, 3, 60)
	for _, proxy := range w.proxies {
		w.disconnect(proxy, w.controllers["B"])
		w.disconnect(proxy, w.controllers["C"])
	}
	return w
}

// Guards against a start at which proxies go to the controller that they reach first, so that most are transferred 3 s
// later.
func testLateStreamsCauseNoTransfers(t *testing.T) {
	w := newWorldConnectedToA(t)
	w.run(100)
	w.connectAll(w.controllers["B"])
	w.run(200)
	w.connectAll(w.controllers["C"])
	w.run(8000)
	transferred := 0
	for _, controller := range w.controllers {
		transferred += controller.manager.Transferred
	}
	if transferred != 0 || w.countHeld()["C"] < 10 {
		t.Errorf("%d transferred, held %v", transferred, w.countHeld())
	}
}

// Guards against proxies that stay free because the only running controller waits for others that are down.
func testLoneControllerTakesAll(t *testing.T) {
	w := newWorldConnectedToA(t)
	w.run(int(connectGraceMs + 3*rankDelayMs))
	if held := w.countHeld(); held["A"] != 60 {
		t.Errorf("held %v", held)
	}
}

func testDrainingControllerTransfersAll(t *testing.T) {
	w := newWorld(t, 3, 3, 30)
	w.run(3000)
	w.longestFreeMs = 0
	w.controllers["A"].manager.SetDraining(true)
	w.run(3000)
	if held := w.countHeld(); held["A"] != 0 || held[""] != 0 || w.longestFreeMs > 300 {
		t.Errorf("held %v while A drains, free for up to %.0f ms", held, w.longestFreeMs)
	}
	w.controllers["A"].manager.SetDraining(false)
	w.run(6000)
	if held := w.countHeld(); held["A"] == 0 {
		t.Errorf("held %v after the drain", held)
	}
	w.checkRules(t)
}

func testFullDiskPreservesLeases(t *testing.T) {
	w := newWorld(t, 4, 2, 20)
	for _, controller := range w.controllers {
		controller.diskFull = true
	}
	w.run(2000)
	if held := w.countHeld(); held[""] != 20 {
		t.Errorf("leases were granted without a reservation of epochs: held %v", held)
	}
	w.controllers["A"].diskFull = false
	w.run(3000)
	w.controllers["A"].diskFull = true
	w.run(6000)
	if held := w.countHeld(); held["A"] != 20 {
		t.Errorf("held %v", held)
	}
	w.checkRules(t)
}

// The streams of a paused controller stay up, and in this test the proxies report the controller as reachable throughout.
// For about a third of the proxies the paused controller therefore ranks first. The other controllers must not transfer
// these proxies to it again and again.
func testPausedControllerGetsNoTransfers(t *testing.T) {
	w := newWorld(t, 7, 3, 30)
	w.run(3000)
	w.controllers["A"].pausedUntilMs = foreverMs
	w.run(30000)
	takeovers := w.controllers["B"].manager.Takeovers + w.controllers["C"].manager.Takeovers
	if takeovers > 130 || w.countHeld()["A"] != 0 {
		t.Errorf("%d takeovers of 30 proxies in 30 s, held %v", takeovers, w.countHeld())
	}
	t.Logf("%d takeovers", takeovers)
	w.checkRules(t)
	w.controllers["A"].pausedUntilMs = 0
	w.run(1000)
}

func testUnknownEpochIsExceeded(t *testing.T) {
	w := newWorld(t, 5, 2, 3)
	proxy := w.proxies[0]
	proxy.grantor.Epoch = unknownEpoch
	proxy.highestEpoch = unknownEpoch
	for _, name := range w.names {
		w.disconnect(proxy, w.controllers[name])
	}
	w.run(10)
	for _, name := range w.names {
		w.connect(proxy, w.controllers[name])
	}
	w.run(2000)
	if proxy.grantor.Controller == "" || proxy.grantor.Epoch <= unknownEpoch {
		t.Errorf("grantor %+v, want a holder under an epoch above unknownEpoch", proxy.grantor)
	}
	w.checkRules(t)
}

func testTwoControllersOfOneName(t *testing.T) {
	const incarnation = 77
	w := newWorld(t, 6, 2, 10)
	second := w.controllers["B"]
	second.name = "A"
	second.manager = NewManager("A", incarnation, 0, second.clockMs())
	second.incarnation = incarnation
	for _, proxy := range w.proxies {
		view := proxy.view()
		second.deliver(func() { second.manager.AddProxy(proxy.name, view) })
	}
	w.run(5000)
	w.checkRules(t)
}
