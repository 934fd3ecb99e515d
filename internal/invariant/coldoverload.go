package invariant

import "slices"

const (
	// randomVariationMargin is a factor on the work allowed to a warming server. Each request counts with the mean work of
	// requests, so random variation alone may exceed the limit slightly.
	randomVariationMargin = 1.15
	// minInformedShare is the minimum share of the work sent by proxies that could know that the server is warming up. Below
	// this share, the overload was not caused by a decision and is no violation.
	minInformedShare = 2.0 / 3
)

// sentWork is the work of one request or connection that was sent to a server.
type sentWork struct {
	atMs, workMs float64
	informed     bool // the proxy that sent the work could know that the server is warming up
}

// recordWork records work that was sent to a server, and checks [ColdOverload]: while the server warms up, the work sent to
// the server within [Limits.ColdOverloadWindowMs] must not exceed [Limits.ColdOverloadMultiple] times the work that the server
// can do in this window.
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
