package planner

import "math"

// maxTimerMs is the longest time between evaluations of the core. Late acknowledgements and the ends of inherited drains
// have no timer of their own; the core notices them with at most this delay.
const maxTimerMs = 250.0

// timers holds the times, in ms, of the next calls that the policy and the lease manager have asked for, and the time for
// which the host's single timer is set.
type timers struct {
	policyAtMs float64
	leaseAtMs  float64 // time of the call that the lease manager asked for; infinite: none
	setForMs   float64 // time for which the host's timer is set; infinite: not set yet
}

// newTimers returns timers of which only the policy's is set. The policy's timer is due at once.
func newTimers() timers { return timers{leaseAtMs: math.Inf(1), setForMs: math.Inf(1)} }

// updateTimer sets the host's timer to the earliest time at which something is due, and reports whether that time has
// changed.
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
