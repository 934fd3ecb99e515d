// Package invariant judges the invariants of a fleet from what passed on its sockets, independently of the code that is to
// keep them.
//
// A [Checker] is given the frames and requests that an observer saw, one Record method for each kind. From these it builds
// its own picture of what each planner knew and what each proxy holds, and it records each violation of a [Rule] with its
// evidence. [Checker.Finish] returns them.
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

// Checker judges one run. Its methods must be called in order of time, by one goroutine at a time.
type Checker struct {
	// Totals for reports. Callers may read them between calls.
	Messages      int        // messages that planners sent to proxies
	Entries       float64    // weight entries in them
	Attempts      int        // attempts that were sent to servers
	Takeovers     []Takeover // in order of time, each proxy's first lease included
	Rejected      int        // messages that proxies rejected for a past epoch
	ResentEntries int        // entries of whole tables that a later lease holder sent again

	limits     Limits
	planners   map[string]*plannerState
	proxies    map[string]*proxyState
	attempts   attemptLog
	coldWork   map[string][]sentWork // by server, within the window
	violations map[Rule][]Violation
	counts     map[Rule]int
}

// NewChecker returns a Checker that has seen nothing. The limits must not change afterwards.
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

// Finish judges what can be judged only at the end of the run. It returns the violations in order of time, at most 20 of
// each rule, and the number of violations by rule.
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
	// A copy, as frames may still be recorded while the caller shuts the run down.
	return all, maps.Clone(c.counts)
}

// recordViolation counts a violation, and keeps it while there are few of its rule.
func (c *Checker) recordViolation(rule Rule, atMs float64, format string, args ...any) {
	c.counts[rule]++
	if len(c.violations[rule]) >= maxViolationsPerRule {
		return
	}
	violation := Violation{Rule: rule, AtMs: atMs, Evidence: fmt.Sprintf(format, args...)}
	c.violations[rule] = append(c.violations[rule], violation)
}
