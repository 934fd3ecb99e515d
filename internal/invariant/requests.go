package invariant

import "math"

// maxAttempts is the maximum number of attempts in an attemptLog. A duplicate of an older attempt is not detected.
const maxAttempts = 200_000

// Attempt is one attempt of a request, from the head that was observed on its way to a server.
type Attempt struct {
	ID     string // ID of the request; a client that retries a request uses a new ID
	Class  int    // traffic class
	Number int    // index of the attempt among the attempts of its request; the first is 1
	Proxy  string
}

// requestKey identifies a request at one proxy.
type requestKey struct{ id, proxy string }

// attempt is an attempt that a server received.
type attempt struct {
	atMs        float64
	server      string
	unprocessed bool // the server proved that it did not begin to process the request
}

// attemptLog holds the latest attempts of all requests.
type attemptLog struct {
	byRequest   map[requestKey][]*attempt
	oldestFirst []requestKey // keys of the attempts' requests, one per attempt, in order of time
}

// add adds an attempt. If the log then has more than maxAttempts attempts, add discards all attempts of the oldest attempt's
// request.
func (l *attemptLog) add(key requestKey, sent *attempt) {
	l.byRequest[key] = append(l.byRequest[key], sent)
	l.oldestFirst = append(l.oldestFirst, key)
	if len(l.oldestFirst) > maxAttempts {
		delete(l.byRequest, l.oldestFirst[0])
		l.oldestFirst = l.oldestFirst[1:]
	}
}

// RecordConnection records that a connection to a server was opened.
func (c *Checker) RecordConnection(server string, atMs float64) {
	c.recordWork(server, sentWork{atMs: atMs, workMs: c.limits.HandshakeMs})
}

// RecordAttempt records an attempt after its head was observed on the way to a server.
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

// evaluateDuplicate checks [DuplicateEffect] for an attempt.
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

// evaluateDraining checks [SentToDraining] for an attempt. It reports whether the proxy could know the server's current
// incarnation, and so whether the server is warming up.
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
	return proxy.appliedDecisionMs > known.startedAtMs || atMs > known.startedAtMs+c.limits.DrainGraceMs
}

// RecordResponse records a server's response to an attempt; unprocessed states whether the response proves that the server did
// not begin to process the request.
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
