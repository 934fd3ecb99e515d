package invariant

import "math"

// maxAttempts is how many attempts are remembered; older ones are forgotten and no longer found as duplicates.
const maxAttempts = 200_000

// Attempt is one attempt of a request, as its head was observed on the way to a server.
type Attempt struct {
	ID     string // of the request, unique for each client's attempt
	Class  int    // traffic class
	Number int    // of the attempt, as the proxy counts
	Proxy  string
}

// requestKey identifies a request at one proxy.
type requestKey struct{ id, proxy string }

// attempt is an attempt that a server received.
type attempt struct {
	atMs        float64
	server      string
	unprocessed bool // the server proved that it did not begin
}

// attemptLog remembers the latest attempts.
type attemptLog struct {
	byRequest map[requestKey][]*attempt
	order     []requestKey // in order of time, one for each attempt
}

// add remembers an attempt, and forgets the oldest request when there are too many.
func (l *attemptLog) add(key requestKey, sent *attempt) {
	l.byRequest[key] = append(l.byRequest[key], sent)
	l.order = append(l.order, key)
	if len(l.order) > maxAttempts {
		delete(l.byRequest, l.order[0])
		l.order = l.order[1:]
	}
}

// RecordConnection records that a connection to a server was opened.
func (c *Checker) RecordConnection(server string, atMs float64) {
	c.recordWork(server, sentWork{atMs: atMs, workMs: c.limits.HandshakeMs})
}

// RecordAttempt records that the head of an attempt passed towards a server.
func (c *Checker) RecordAttempt(server string, atMs float64, sent Attempt) {
	c.Attempts++
	key := requestKey{id: sent.ID, proxy: sent.Proxy}
	c.evaluateDuplicate(key, server, atMs, sent)
	c.attempts.add(key, &attempt{atMs: atMs, server: server})
	c.recordWork(server, sentWork{
		atMs:     atMs,
		workMs:   c.limits.WorkMs,
		informed: c.evaluateDraining(server, atMs, sent),
	})
}

// evaluateDuplicate judges [DuplicateEffect] for an attempt.
func (c *Checker) evaluateDuplicate(key requestKey, server string, atMs float64, sent Attempt) {
	if sent.Class >= len(c.limits.Idempotency) || c.limits.Idempotency[sent.Class] == Idempotent {
		return
	}
	for _, earlier := range c.attempts.byRequest[key] {
		if !earlier.unprocessed {
			c.recordViolation(DuplicateEffect, atMs,
				"proxy %s sent request %s of traffic class %d to %s (attempt %d) at %.0f ms, "+
					"after %s received it at %.0f ms without proof that it was not processed",
				sent.Proxy, sent.ID, sent.Class, server, sent.Number, atMs, earlier.server, earlier.atMs)
		}
	}
}

// evaluateDraining judges [SentToDraining] for an attempt. It reports whether the proxy could know that the server had
// been started anew.
func (c *Checker) evaluateDraining(server string, atMs float64, sent Attempt) (informed bool) {
	proxy := c.proxies[sent.Proxy]
	if proxy == nil || proxy.planner == "" {
		return false
	}
	known := c.planner(proxy.planner).endpoints[server]
	if known == nil {
		return false
	}
	sinceMs := math.Max(known.removedAtMs, proxy.joinedAtMs)
	if atMs > sinceMs+c.limits.DrainGraceMs+c.limits.SlackMs {
		c.recordViolation(SentToDraining, atMs,
			"proxy %s sent a request to %s %.0f ms after its planner could know that the server drains or is gone; the grace is %.0f ms",
			sent.Proxy, server, atMs-sinceMs, c.limits.DrainGraceMs)
	}
	return proxy.appliedMs > known.startedAtMs || atMs > known.startedAtMs+c.limits.DrainGraceMs
}

// RecordResponse records a server's answer to an attempt; unprocessed is its proof that it did not begin.
func (c *Checker) RecordResponse(server string, sent Attempt, unprocessed bool) {
	if !unprocessed {
		return
	}
	for _, earlier := range c.attempts.byRequest[requestKey{id: sent.ID, proxy: sent.Proxy}] {
		if earlier.server == server {
			earlier.unprocessed = true
		}
	}
}
