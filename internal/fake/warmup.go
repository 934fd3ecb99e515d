package fake

import (
	"math"
	"math/rand"

	"lichenpick/internal/settings"
	pb "lichenpick/proto/settings"
)

// The work of a request is a fixed part plus an exponentially distributed random part. The constants are the fixed part, and
// the mean of the random part, as fractions of the mean work.
const (
	fixedWorkFraction  = 0.25
	randomWorkFraction = 0.75
)

// DrawWork draws the work of a request: the time in ms that one core at nominal speed takes for it.
func DrawWork(set *pb.Server, random *rand.Rand) float64 {
	return settings.Milliseconds(set.Work) * (fixedWorkFraction + randomWorkFraction*random.ExpFloat64())
}

// Capacity returns the capacity of a server as a number of cores at nominal speed. The capacity of a server that was started
// cold rises linearly, over the warm-up time, from the cold share to the full capacity. ageMs is the time since the start.
func Capacity(set *pb.Server, ageMs float64, cold bool) float64 {
	full := float64(set.GetCores()) * set.GetSpeed()
	warmUpMs := settings.Milliseconds(set.WarmUp)
	if !cold || ageMs >= warmUpMs {
		return full
	}
	coldShare := set.GetColdShare()
	return full * (coldShare + (1-coldShare)*math.Max(ageMs, 0)/warmUpMs)
}

// WarmUp models the slow start of a server: its capacity rises, and the server crashes if it receives too much work during
// that time. Its methods must be called in order of time and are not safe for concurrent use.
type WarmUp struct {
	settings   *pb.Server
	startedMs  float64   // time of the last cold start, in ms; 0: the server was started warm
	arrivals   []arrival // work received within the overload window
	overloaded bool
	overloads  int
}

// arrival is work that a server received.
type arrival struct{ atMs, workMs float64 }

// NewWarmUp returns the model of a server that is warm.
func NewWarmUp(set *pb.Server) *WarmUp { return &WarmUp{settings: set} }

// Start resets the model for a start of the server, cold or warm.
func (w *WarmUp) Start(nowMs float64, cold bool) {
	w.overloaded = false
	w.arrivals = nil
	w.startedMs = 0
	if cold {
		w.startedMs = math.Max(nowMs, 1) // at least 1, because 0 means that the server was started warm
	}
}

// StartedMs returns the time in ms of the last cold start, or 0 if the server was started warm.
func (w *WarmUp) StartedMs() float64 { return w.startedMs }

// Overloaded reports whether the server has crashed by overload since its last start.
func (w *WarmUp) Overloaded() bool { return w.overloaded }

// Overloads returns the number of crashes by overload over all starts.
func (w *WarmUp) Overloads() int { return w.overloads }

// Capacity returns the server's capacity at nowMs. The capacity depends on the time since the last cold start.
func (w *WarmUp) Capacity(nowMs float64) float64 {
	return Capacity(w.settings, nowMs-w.startedMs, w.startedMs > 0)
}

// RecordWork records work that counts towards an overload, such as a handshake. Only Receive checks whether the server is
// overloaded.
func (w *WarmUp) RecordWork(nowMs, workMs float64) {
	w.arrivals = append(w.arrivals, arrival{nowMs, workMs})
}

// Receive records the work of a request and reports whether the server has crashed since its start. A server that is warming up
// crashes when the work received within the overload window exceeds a multiple of what it can do in that time.
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
