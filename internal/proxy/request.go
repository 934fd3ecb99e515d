package proxy

import (
	"slices"

	"lichenpick/internal/settings"
	"lichenpick/policy"
	pb "lichenpick/proto/settings"
)

// Outcome is the result of an attempt.
type Outcome int

// Outcomes of an attempt.
const (
	Succeeded   Outcome = iota // the server responded with a status below 500
	Unprocessed                // the server did not process the request: the dial failed, or the server's response says so
	Failed                     // the attempt failed, and the server may have processed the request
)

// minRemainingFraction is the fraction of a request's time limit that must remain for a retry. With less time left, the retry
// would most likely miss the deadline too and only add load.
const minRemainingFraction = 0.1

// retriesByMode is the number of retries that each retry mode allows.
var retriesByMode = [...]int{
	policy.RetryNever:       0,
	policy.RetryUnprocessed: 1,
	policy.RetryOnce:        1,
	policy.RetryTwice:       2,
}

// Request is the state of an admitted request. Its attempts run one after the other.
type Request struct {
	Class      int // traffic class, as an index into the settings' list of classes
	Attempts   int // number of attempts started
	admittedMs float64
	attempted  []string // servers to which attempts were started
}

// Admit counts a request of a traffic class and decides at random, by the class's admission rate, whether to admit it. The
// caller must reject a request that is not admitted.
func (c *Core) Admit(nowMs float64, class int) (request *Request, admitted bool) {
	c.statsByClass[class].requests++
	fraction := c.admissions[class].fraction
	if fraction < 1 && c.random.Float64() >= fraction {
		return nil, false
	}
	return &Request{Class: class, admittedMs: nowMs}, true
}

// Pick chooses the server of a request's next attempt and returns the attempt's time limit in ms. ok is false if there is no
// server. The caller must call FinishAttempt at the end of the attempt, or RecordNoServer if ok is false.
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

// candidates returns the table entries of the servers that the next attempt of a request may go to.
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

// hasCandidate reports whether there is a server that the next attempt of a request may go to.
func (c *Core) hasCandidate(request *Request) bool {
	assigned := c.tableByClass[request.Class]
	return slices.ContainsFunc(assigned.entries, func(entry *weightEntry) bool {
		return c.isCandidate(assigned, entry, request)
	})
}

// isCandidate reports whether an entry can be picked: it has a positive weight, and its server is not ejected and was not
// attempted before for this request. A retry at the same server would most likely fail for the same reason.
func (c *Core) isCandidate(assigned *table, entry *weightEntry, request *Request) bool {
	return entry.weight > 0 && !c.isEjected(assigned, entry.server) && !slices.Contains(request.attempted, entry.server)
}

// remainingRetries returns how many more attempts the retry mode allows if the current attempt ends with the given outcome.
// Even if the planner ordered retries, the result is 0 for a request that is not idempotent, unless the outcome proves that
// the server did not process the request. Otherwise the request could be processed twice.
func (c *Core) remainingRetries(request *Request, outcome Outcome) int {
	mode := c.admissions[request.Class].retry
	idempotent := c.classes[request.Class].Repeat == pb.Repeat_RETRIABLE
	if outcome != Unprocessed && (mode == policy.RetryUnprocessed || !idempotent) {
		return 0
	}
	return max(retriesByMode[mode]+1-request.Attempts, 0)
}

// FinishAttempt records the outcome and the duration of an attempt and reports whether the request is to be retried. To retry
// the request, the caller must call Pick again.
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

// mayRetry reports whether a failed request is to be retried: the retry mode allows a retry, enough time remains, and there is
// another server.
func (c *Core) mayRetry(nowMs float64, request *Request, outcome Outcome) bool {
	deadlineMs := settings.Milliseconds(c.classes[request.Class].Expiry)
	remainingMs := request.admittedMs + deadlineMs - nowMs
	return c.remainingRetries(request, outcome) > 0 && remainingMs > minRemainingFraction*deadlineMs && c.hasCandidate(request)
}

// RecordNoServer records that an admitted request failed because Pick found no server.
func (c *Core) RecordNoServer(request *Request) { c.statsByClass[request.Class].failed++ }
