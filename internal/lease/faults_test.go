package lease

import (
	"flag"
	"testing"
)

const (
	faultsMs     = 20_000 // duration of the random faults
	recoveryMs   = 4000   // time without faults after the random faults
	requestLoss  = 0.02   // share of lease requests that are lost, together with the stream that carries them
	redialChance = 0.004  // probability per step that a missing stream is dialed again
	meanPauseMs  = 2500   // mean duration of a controller's pause
)

// Upper bounds for choosing a fault by a random number in [0, 1). Each step draws one number, and injects the first fault
// whose bound is above the number and that is possible for the chosen controller.
const (
	pauseBound         = 0.0007
	killBound          = 0.0010
	restartBound       = 0.0025
	disconnectBound    = 0.0040
	halfPartitionBound = 0.0042
	diskBound          = 0.0044
)

var seeds = flag.Int64("seeds", 15, "number of seeds to run TestRandomFaults with")

// runWithFaults runs three controllers and six proxies with random pauses, crashes, partitions and full disks, and then for
// a while without faults. If unfenced is set, proxies obey orders without checking the epoch of the order.
func runWithFaults(t *testing.T, seed int64, unfenced bool) *world {
	t.Helper()
	w := newWorld(t, seed, 3, 6)
	w.unfenced = unfenced
	w.loss = requestLoss
	for w.nowMs < faultsMs {
		w.step()
		w.injectRandomFault()
		w.redial()
	}
	for _, name := range w.names {
		controller := w.controllers[name]
		controller.diskFull = false
		controller.pausedUntilMs = 0
		if controller.dead {
			controller.start()
		}
	}
	for range recoveryMs {
		w.step()
		for _, proxy := range w.proxies {
			for _, name := range w.names {
				w.connect(proxy, w.controllers[name])
			}
		}
	}
	return w
}

// injectRandomFault injects a random fault, or none, at a random controller.
func (w *world) injectRandomFault() {
	controller := w.controllers[w.names[w.random.Intn(len(w.names))]]
	switch draw := w.random.Float64(); {
	case draw < pauseBound && !controller.dead:
		controller.pausedUntilMs = w.nowMs + w.random.ExpFloat64()*meanPauseMs // paused as by SIGSTOP
	case draw < killBound && !controller.dead:
		w.kill(controller)
	case draw < restartBound && controller.dead:
		controller.start()
		controller.pausedUntilMs = 0
		controller.inbox = nil
	case draw < disconnectBound:
		w.disconnect(w.proxies[w.random.Intn(len(w.proxies))], controller)
	case draw < halfPartitionBound:
		for _, proxy := range w.proxies[:len(w.proxies)/2] {
			w.disconnect(proxy, controller)
		}
	case draw < diskBound:
		controller.diskFull = !controller.diskFull
	}
}

func (w *world) redial() {
	for _, proxy := range w.proxies {
		for _, name := range w.names {
			if !proxy.connected[name] && w.random.Float64() < redialChance {
				w.connect(proxy, w.controllers[name])
			}
		}
	}
}

// TestRandomFaults runs hundreds of random pauses, crashes and partitions per seed. After each step at most one controller
// may consider itself the holder of a proxy's lease, and no proxy may obey an order of a past epoch. After the faults, each
// proxy must have a lease holder again.
func TestRandomFaults(t *testing.T) {
	takeovers := 0
	for seed := range *seeds {
		w := runWithFaults(t, seed, false)
		if w.violation != "" {
			t.Fatalf("seed %d: %s", seed, w.violation)
		}
		if held := w.countHeld(); held[""] > 0 {
			t.Fatalf("seed %d: proxies without a lease holder at the end: held %v", seed, held)
		}
		takeovers += len(w.takeoverGapMs)
	}
	t.Logf("%d takeovers", takeovers)
	// If proxies do not check epochs, the random faults must cause a violation. Otherwise a run without violations would
	// prove nothing.
	for seed := range *seeds {
		if runWithFaults(t, seed, true).violation != "" {
			return
		}
	}
	t.Error("no seed causes a violation although proxies do not check epochs")
}
