package invariant

import "slices"

const (
	// randomVariationMargin is the margin over a warming server's limit: work is counted by its mean, so that chance alone may
	// exceed the limit a little.
	randomVariationMargin = 1.15
	// minInformedShare is the part of the work that must come from proxies which could know that the server warms up;
	// else no decision is at fault.
	minInformedShare = 2.0 / 3
)

// sentWork is work that was sent to a server.
type sentWork struct {
	atMs, workMs float64
	informed     bool // by a proxy that could know that the server warms up
}

// recordWork judges [ColdOverload]: the work sent to a warming server within the window, against a multiple of what the
// server can do.
func (c *Checker) recordWork(server string, sent sentWork) {
	if c.limits.Capacity == nil {
		return
	}
	capacity := c.limits.Capacity(server, sent.atMs)
	if capacity <= 0 {
		delete(c.coldWork, server)
		return
	}
	windowStartMs := sent.atMs - c.limits.ColdOverloadWindowMs
	recent := append(c.coldWork[server], sent)
	recent = slices.DeleteFunc(recent, func(work sentWork) bool { return work.atMs <= windowStartMs })
	c.coldWork[server] = recent
	totalMs := 0.0
	informedMs := 0.0
	for _, work := range recent {
		totalMs += work.workMs
		if work.informed {
			informedMs += work.workMs
		}
	}
	allowedMs := c.limits.ColdOverloadMultiple * capacity * c.limits.ColdOverloadWindowMs * randomVariationMargin
	if totalMs > allowedMs && informedMs >= minInformedShare*totalMs {
		c.recordViolation(ColdOverload, sent.atMs,
			"warming server %s was sent %.0f ms of work within %.0f ms, %.0f allowed; %.0f%% by proxies that could know",
			server, totalMs, c.limits.ColdOverloadWindowMs, allowedMs, 100*informedMs/totalMs)
		delete(c.coldWork, server)
	}
}
