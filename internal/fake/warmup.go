package fake

import (
	"math"
	"math/rand"

	"lichenpick/internal/settings"
	pb "lichenpick/proto/settings"
)

// The work of a request is its mean times a fixed part, plus an exponentially distributed part.
const (
	fixedWorkFraction  = 0.25
	randomWorkFraction = 0.75
)

// DrawWork draws the work of a request, in ms of one core at nominal speed.
func DrawWork(set *pb.Server, rng *rand.Rand) float64 {
	return settings.Milliseconds(set.Work) * (fixedWorkFraction + randomWorkFraction*rng.ExpFloat64())
}

// Capacity returns the work that a server can do, in ms of one core at nominal speed a ms. That of a cold server rises evenly
// with its age until it is warm. The age is in ms.
func Capacity(set *pb.Server, ageMs float64, cold bool) float64 {
	full := float64(set.GetCores()) * set.GetSpeed()
	warmUpMs := settings.Milliseconds(set.WarmUp)
	if !cold || ageMs >= warmUpMs {
		return full
	}
	coldShare := set.GetColdShare()
	return full * (coldShare + (1-coldShare)*math.Max(ageMs, 0)/warmUpMs)
}

// WarmUp is the model of a server's slow start: its capacity rises, and it crashes if it is sent too much meanwhile. Its
// methods must be called in order of time, by one goroutine at a time. All times are in ms.
type WarmUp struct {
	settings   *pb.Server
	startedMs  float64   // of the last cold start; 0: the server is warm
	arrivals   []arrival // within the window
	overloaded bool
	overloads  int
}

// arrival is work that a server was sent.
type arrival struct{ atMs, workMs float64 }

// NewWarmUp returns the model of a server that is warm.
func NewWarmUp(set *pb.Server) *WarmUp { return &WarmUp{settings: set} }

// Start starts the server anew, cold or warm.
func (w *WarmUp) Start(nowMs float64, cold bool) {
	w.overloaded = false
	w.arrivals = nil
	w.startedMs = 0
	if cold {
		w.startedMs = math.Max(nowMs, 1) // 0 would be warm
	}
}

// StartedMs returns the time of the last cold start, and 0 where the server was started warm.
func (w *WarmUp) StartedMs() float64 { return w.startedMs }

// Overloaded reports whether the server has crashed since its start.
func (w *WarmUp) Overloaded() bool { return w.overloaded }

// Overloads returns how many times the server has crashed, over all its starts.
func (w *WarmUp) Overloads() int { return w.overloads }

// Capacity returns the capacity at a time, as of function Capacity.
func (w *WarmUp) Capacity(nowMs float64) float64 {
	return Capacity(w.settings, nowMs-w.startedMs, w.startedMs > 0)
}

// RecordWork records work that counts towards an overload, but does not cause one by itself.
func (w *WarmUp) RecordWork(nowMs, workMs float64) {
	w.arrivals = append(w.arrivals, arrival{nowMs, workMs})
}

// Receive records the work of a request, and reports whether the server has crashed. It does if, while it is cold, the work of
// a window exceeds a multiple of what it can do.
func (w *WarmUp) Receive(nowMs, workMs float64) bool {
	w.RecordWork(nowMs, workMs)
	windowMs := settings.Milliseconds(w.settings.FallWindow)
	for len(w.arrivals) > 0 && w.arrivals[0].atMs <= nowMs-windowMs {
		w.arrivals = w.arrivals[1:]
	}
	warm := w.startedMs == 0 || nowMs-w.startedMs >= settings.Milliseconds(w.settings.WarmUp)
	if warm || w.overloaded {
		return w.overloaded
	}
	offeredMs := 0.0
	for _, earlier := range w.arrivals {
		offeredMs += earlier.workMs
	}
	if offeredMs > w.settings.GetFallMultiple()*w.Capacity(nowMs)*windowMs {
		w.overloaded = true
		w.overloads++
	}
	return w.overloaded
}
