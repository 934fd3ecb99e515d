package planner

import "math"

// maxTimerMs is the longest time between evaluations: late acknowledgements and silent streams are noticed this late at most.
const maxTimerMs = 250.0

// timers are the times, in ms, at which the policy and the lease manager want to be asked again, and the
// time for which the host's one timer was last set.
type timers struct {
	policyAtMs float64
	leaseAtMs  float64 // infinite: none
	setForMs   float64 // infinite: never set
}

// newTimers makes timers of which none is set but the policy's: it is asked at once.
func newTimers() timers { return timers{leaseAtMs: math.Inf(1), setForMs: math.Inf(1)} }

// updateTimer sets the host's timer for the next time at which something is due, and reports whether that changed.
func (c *Core) updateTimer(h Host) bool {
	due := min(c.timers.policyAtMs, c.timers.leaseAtMs, c.intake.deadline(), c.endpoints.tracker.Deadline()-policyOriginMs)
	if c.publisher.queue.Len() > 0 {
		due = min(due, c.publisher.queue.NextDeparture())
	}
	due = min(max(due, c.nowMs), c.nowMs+maxTimerMs)
	if due == c.timers.setForMs {
		return false
	}
	c.timers.setForMs = due
	h.SetTimer(due)
	return true
}
