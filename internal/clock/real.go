package clock

import "time"

// Real is the machine's clock. NewReal makes it.
type Real struct{ origin time.Time }

// NewReal returns the machine's clock with the origin of Monotonic now.
func NewReal() *Real { return &Real{origin: time.Now()} }

// Monotonic implements Clock. It goes by the runtime's monotonic reading, which jumps of the date do not touch.
func (r *Real) Monotonic() float64 { return float64(time.Since(r.origin)) / float64(time.Millisecond) }

// WallTime implements Clock.
func (r *Real) WallTime() time.Time { return time.Now() }

// NewTimer implements Clock. A negative span is 0.
func (r *Real) NewTimer(ms float64) (fired <-chan time.Time, stop func()) {
	timer := time.NewTimer(durationOf(ms))
	return timer.C, func() { timer.Stop() }
}

// Deadline implements Clock. A negative span is 0.
func (r *Real) Deadline(ms float64) time.Time { return time.Now().Add(durationOf(ms)) }

// durationOf returns a span of ms; 0 for a negative one.
func durationOf(ms float64) time.Duration {
	return time.Duration(max(ms, 0) * float64(time.Millisecond))
}
