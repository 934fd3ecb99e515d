package lease

import (
	"flag"
	"testing"
)

const (
	faultsMs     = 20_000 // that faults are drawn for
	recoveryMs   = 4000   // after that
	requestLoss  = 0.02
	redialChance = 0.004 // of each missing stream, in a step
	meanPauseMs  = 2500
)

// Chances of each fault in a step, as bounds of one draw.
const (
	pauseBound         = 0.0007
	killBound          = 0.0010
	restartBound       = 0.0025
	disconnectBound    = 0.0040
	halfPartitionBound = 0.0042
	diskBound          = 0.0044
)

var seeds = flag.Int64("seeds", 15, "seeds of random faults")

// runWithFaults draws pauses, kills, partitions and full disks for a while, and then ends all faults. Unfenced proxies
// don't check epochs.
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

// injectRandomFault has a drawn controller meet a fault, or none.
func (w *world) injectRandomFault() {
	controller := w.controllers[w.names[w.random.Intn(len(w.names))]]
	switch draw := w.random.Float64(); {
	case draw < pauseBound && !controller.dead:
		controller.pausedUntilMs = w.nowMs + w.random.ExpFloat64()*meanPauseMs // as by SIGSTOP
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

// TestRandomFaults plays hundreds of pauses, kills and partitions by seed. After each step at most one controller believes
// that it holds a proxy's lease, and no proxy obeys an order of a past epoch. Afterwards all proxies have a holder again.
func TestRandomFaults(t *testing.T) {
	takeovers := 0
	for seed := range *seeds {
		w := runWithFaults(t, seed, false)
		if w.violation != "" {
			t.Fatalf("seed %d: %s", seed, w.violation)
		}
		if held := w.countHeld(); held[""] > 0 {
			t.Fatalf("seed %d: held %v at the end", seed, held)
		}
		takeovers += len(w.takeoverGapMs)
	}
	t.Logf("%d takeovers", takeovers)
	// The same with proxies that don't check epochs must be seen to fail, else the check above shows nothing.
	for seed := range *seeds {
		if runWithFaults(t, seed, true).violation != "" {
			return
		}
	}
	t.Error("no seed shows that an epoch check is left out")
}
