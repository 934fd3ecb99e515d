// Package invariant checks the invariants of a fleet from the traffic observed on the fleet's sockets, independently of the
// code that maintains the invariants.
//
// Observers pass the frames and requests that they see to a [Checker], which has a Record method for each kind. From these,
// the Checker reconstructs what each planner knew and what each proxy holds, and it records each violation of a [Rule] with
// its evidence. [Checker.Finish] returns the violations.
//
// The package does no I/O, reads no clock and starts no goroutine. All times are in ms on the monotonic clock of the run.
package invariant

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// maxViolationsPerRule is how many violations of each rule are kept with their evidence; further ones are only counted.
const maxViolationsPerRule = 20

// Checker checks one run. Its methods must be called in order of time, by one goroutine at a time.
type Checker struct {
	// Totals for reports. Callers may read them between method calls.
	Messages      int        // number of messages that planners sent to proxies
	Entries       float64    // number of weight entries in these messages
	Attempts      int        // number of attempts that were sent to servers
	Takeovers     []Takeover // takeovers in order of time, including the first lease of each proxy
	Rejected      int        // number of messages that proxies rejected because of a past epoch
	ResentEntries int        // number of weight entries in whole tables that reached proxies after their second lease grant

	limits     Limits
	planners   map[string]*plannerState
	proxies    map[string]*proxyState
	attempts   attemptLog
	coldWork   map[string][]sentWork // work sent in the last Limits.ColdOverloadWindowMs, by warming server
	violations map[Rule][]Violation
	counts     map[Rule]int
}

// NewChecker returns a Checker without any observations. The limits must not change afterwards.
func NewChecker(limits Limits) *Checker {
	return &Checker{
		limits:     limits,
		planners:   map[string]*plannerState{},
		proxies:    map[string]*proxyState{},
		attempts:   attemptLog{byRequest: map[requestKey][]*attempt{}},
		coldWork:   map[string][]sentWork{},
		violations: map[Rule][]Violation{},
		counts:     map[Rule]int{},
	}
}

// Finish checks what can be checked only at the end of the run. It returns the violations in order of time, at most 20 of
// each rule, and the number of all violations by rule.
func (c *Checker) Finish(atMs float64) ([]Violation, map[Rule]int) {
	for name, proxy := range c.proxies {
		c.evaluateNoServer(name, proxy, atMs)
	}
	for name, planner := range c.planners {
		c.evaluateBacklog(name, planner)
	}
	var all []Violation
	for _, violations := range c.violations {
		all = append(all, violations...)
	}
	slices.SortStableFunc(all, func(a, b Violation) int { return cmp.Compare(a.AtMs, b.AtMs) })
	// Returns a copy of the counts, as frames may still be recorded while the caller shuts the run down.
	return all, maps.Clone(c.counts)
}

// recordViolation counts a violation, and keeps its evidence for the first maxViolationsPerRule of each rule.
func (c *Checker) recordViolation(rule Rule, atMs float64, format string, args ...any) {
	c.counts[rule]++
	if len(c.violations[rule]) >= maxViolationsPerRule {
		return
	}
	violation := Violation{Rule: rule, AtMs: atMs, Evidence: fmt.Sprintf(format, args...)}
	c.violations[rule] = append(c.violations[rule], violation)
}
