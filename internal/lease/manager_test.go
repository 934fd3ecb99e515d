package lease

import "testing"

const (
	foreverMs = 1e9 // ms
	// unknownEpoch is beyond what any controller of a new world has reserved.
	unknownEpoch = 5_000_000
)

func TestManager(t *testing.T) {
	t.Run("proxies are divided among controllers, and each has a lease holder soon", testProxiesAreDivided)
	t.Run("a dead controller is replaced within a lease, and regains its share gradually", testDeadControllerIsReplaced)
	t.Run("streams that come up one after the other cause no transfers", testLateStreamsCauseNoTransfers)
	t.Run("one controller of three takes all proxies soon", testLoneControllerTakesAll)
	t.Run("a draining controller transfers all and leaves no proxy free for long", testDrainingControllerTransfersAll)
	t.Run("a full disk stops new requests and preserves held leases", testFullDiskPreservesLeases)
	t.Run("proxies are not transferred again and again to a paused controller", testPausedControllerGetsNoTransfers)
	t.Run("a proxy whose epoch is beyond what any controller knows gets a higher one", testUnknownEpochIsExceeded)
	t.Run("two controllers of one name break no rule", testTwoControllersOfOneName)
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
		t.Errorf("held %v after a death", held)
	}
	restarted.start()
	w.connectAll(restarted)
	w.run(1000)
	if held := w.countHeld()["B"]; held != 0 {
		t.Errorf("took %d at once", held)
	}
	w.run(int(transferDelayMs) + 3000)
	held := w.countHeld()
	if held["B"] != before["B"] || restarted.manager.Takeovers != before["B"] {
		t.Errorf("held %v, before %v, %d takeovers", held, before, restarted.manager.Takeovers)
	}
	w.checkRules(t)
}

// newWorldConnectedToA is three controllers of which only A has streams.
func newWorldConnectedToA(t *testing.T) *world {
	t.Helper()
	w := newWorld(t, 3, 3, 60)
	for _, proxy := range w.proxies {
		w.disconnect(proxy, w.controllers["B"])
		w.disconnect(proxy, w.controllers["C"])
	}
	return w
}

// At a start most proxies were once requested by the controller that they reached first, and transferred 3 s later.
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

// Waiting for the other controllers must not leave proxies free where these are dead.
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
		t.Errorf("leases were requested without a reservation: held %v", held)
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

// A paused controller's streams stay up, so proxies name it reachable for a while, and the others rank it.
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
		t.Errorf("%+v", proxy.grantor)
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
