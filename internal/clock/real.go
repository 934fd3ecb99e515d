package clock

import "time"

// Real is the machine's clock. Use NewReal to create it.
type Real struct{ origin time.Time }

// NewReal returns the machine's clock. The clock's method Monotonic returns the time since this call of NewReal.
func NewReal() *Real { return &Real{origin: time.Now()} }

// Monotonic implements Clock. It uses the monotonic clock reading of package time, which is unaffected by changes of the
// machine's date.
func (r *Real) Monotonic() float64 { return float64(time.Since(r.origin)) / float64(time.Millisecond) }

// WallTime implements Clock.
func (r *Real) WallTime() time.Time { return time.Now() }

// NewTimer implements Clock. A negative duration counts as 0.
func (r *Real) NewTimer(ms float64) (fired <-chan time.Time, stop func()) {
	timer := time.NewTimer(durationOf(ms))
	return timer.C, func() { timer.Stop() }
}

// Deadline implements Clock. A negative duration counts as 0.
func (r *Real) Deadline(ms float64) time.Time { return time.Now().Add(durationOf(ms)) }

// durationOf converts a duration in ms to a time.Duration; a negative duration becomes 0.
func durationOf(ms float64) time.Duration {
	return time.Duration(max(ms, 0) * float64(time.Millisecond))
}
