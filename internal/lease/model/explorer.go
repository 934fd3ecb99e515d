package model

import (
	"fmt"
	"slices"
)

// explorer searches breadth first. A step is added by add; the first violation ends the search.
type explorer struct {
	bounds       Bounds
	mutation     Mutation
	predecessors map[state]state // of each state reached; the start is its own
	discovered   []state         // reached first by the present depth

	violation string // empty: none
	lastState state  // before the step that broke a rule
	lastStep  string // that step

	// describe, if set, is called for each step in place of searching. It is for traces.
	describe func(next state, step string)
}

// add records a step from one state to the next, and checks the rules of states.
func (e *explorer) add(next, from state, format string, args ...any) {
	if e.describe != nil {
		e.describe(next, fmt.Sprintf(format, args...))
		return
	}
	if e.violation != "" {
		return
	}
	for number := range e.bounds.Proxies {
		if next.links[0][number].heldRemaining > 0 && next.links[1][number].heldRemaining > 0 {
			violation := fmt.Sprintf("both controllers believe that they hold proxy %d", number)
			e.recordViolation(violation, from, fmt.Sprintf(format, args...))
			return
		}
	}
	if _, known := e.predecessors[next]; known {
		return
	}
	e.predecessors[next] = from
	e.discovered = append(e.discovered, next)
}

// recordViolation records that a step broke a rule.
func (e *explorer) recordViolation(violation string, from state, step string) {
	e.violation = violation
	e.lastState = from
	e.lastStep = step
}

// trace describes the way to the violation. Steps are not stored, so each state on the way is expanded once more to find the
// one that leads to the next.
func (e *explorer) trace() []string {
	steps := []string{e.lastStep}
	current := e.lastState
	for e.predecessors[current] != current {
		step := ""
		e.describe = func(next state, description string) {
			if next == current {
				step = description
			}
		}
		e.expand(e.predecessors[current])
		steps = append(steps, step)
		current = e.predecessors[current]
	}
	e.describe = nil
	slices.Reverse(steps)
	return steps
}
