package proxy

import (
	"slices"

	"lichenpick/internal/settings"
	"lichenpick/policy"
	pb "lichenpick/proto/settings"
)

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	Succeeded   Outcome = iota // answered
	Unprocessed                // failed, with proof that no server processed it: no connection, or the server said so
	Failed                     // failed, and may have been processed
)

// minRemainingFraction is the part of a request's deadline that must be left for a retry. One with less would not be answered in
// time either, and only add load.
const minRemainingFraction = 0.1

// retriesByMode is how many retries a mode allows.
var retriesByMode = [...]int{
	policy.RetryNever:       0,
	policy.RetryUnprocessed: 1,
	policy.RetryOnce:        1,
	policy.RetryTwice:       2,
}

// Request is one that was admitted. Its attempts run one after the other.
type Request struct {
	Class      int // traffic class, as its index in the settings
	Attempts   int // started so far
	admittedMs float64
	attempted  []string // servers
}

// Admit counts a request of a class and says whether it is admitted. The caller rejects it otherwise.
func (c *Core) Admit(nowMs float64, class int) (request *Request, admitted bool) {
	c.statsByClass[class].requests++
	fraction := c.admissions[class].fraction
	if fraction < 1 && c.random.Float64() >= fraction {
		return nil, false
	}
	return &Request{Class: class, admittedMs: nowMs}, true
}

// Pick chooses the server of the next attempt and says how long that may take, in ms; ok is false if there is none. Each
// picked attempt must be ended by FinishAttempt; a request that found no server by RecordNoServer.
func (c *Core) Pick(nowMs float64, request *Request) (server string, limitMs float64, ok bool) {
	candidates := c.candidates(request)
	if len(candidates) == 0 {
		return "", 0, false
	}
	server = c.choose(candidates).server
	request.Attempts++
	request.attempted = append(request.attempted, server)
	c.inFlight[server]++
	class := c.classes[request.Class]
	limitMs = request.admittedMs + settings.Milliseconds(class.Expiry) - nowMs
	if c.remainingRetries(request, Failed) > 0 && len(candidates) > 1 {
		limitMs = min(limitMs, c.attemptLimitFactor*settings.Milliseconds(class.LatencyBudget))
	}
	return server, limitMs, true
}

// candidates are the entries that the next attempt of a request may go to.
func (c *Core) candidates(request *Request) []*weightEntry {
	assigned := c.tableByClass[request.Class]
	candidates := make([]*weightEntry, 0, len(assigned.entries))
	for _, entry := range assigned.entries {
		if c.isCandidate(assigned, entry, request) {
			candidates = append(candidates, entry)
		}
	}
	return candidates
}

// hasCandidate says whether the next attempt of a request has a server to go to.
func (c *Core) hasCandidate(request *Request) bool {
	assigned := c.tableByClass[request.Class]
	return slices.ContainsFunc(assigned.entries, func(entry *weightEntry) bool {
		return c.isCandidate(assigned, entry, request)
	})
}

// isCandidate says whether an entry can be picked: with weight, not ejected, and not attempted before, as a retry at the same
// server would most likely meet the same fault.
func (c *Core) isCandidate(assigned *table, entry *weightEntry, request *Request) bool {
	return entry.weight > 0 && !c.isEjected(assigned, entry.server) && !slices.Contains(request.attempted, entry.server)
}

// remainingRetries is how many more attempts the orders allow if the present one ends with an outcome. It guards against
// repeated effects: without proof that it was not processed, only an idempotent request is retried, whatever was ordered.
func (c *Core) remainingRetries(request *Request, outcome Outcome) int {
	mode := c.admissions[request.Class].retry
	idempotent := c.classes[request.Class].Repeat == pb.Repeat_RETRIABLE
	if outcome != Unprocessed && (mode == policy.RetryUnprocessed || !idempotent) {
		return 0
	}
	return max(retriesByMode[mode]+1-request.Attempts, 0)
}

// FinishAttempt records how an attempt ended after some ms, and says whether the request is to be retried by Pick.
func (c *Core) FinishAttempt(nowMs float64, request *Request, server string, outcome Outcome, tookMs float64) (retry bool) {
	c.inFlight[server]--
	if c.inFlight[server] <= 0 {
		delete(c.inFlight, server)
	}
	c.recordAttempt(server, outcome, tookMs)
	if outcome == Succeeded {
		return false
	}
	if c.mayRetry(nowMs, request, outcome) {
		return true
	}
	c.statsByClass[request.Class].failed++
	return false
}

// mayRetry says whether a failed request is to be retried: allowed, with time left, and with another server to go to.
func (c *Core) mayRetry(nowMs float64, request *Request, outcome Outcome) bool {
	deadlineMs := settings.Milliseconds(c.classes[request.Class].Expiry)
	remainingMs := request.admittedMs + deadlineMs - nowMs
	return c.remainingRetries(request, outcome) > 0 && remainingMs > minRemainingFraction*deadlineMs && c.hasCandidate(request)
}

// RecordNoServer records that an admitted request found no server.
func (c *Core) RecordNoServer(request *Request) { c.statsByClass[request.Class].failed++ }
