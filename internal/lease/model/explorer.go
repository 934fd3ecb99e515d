package model

import (
	"fmt"
	"slices"
)

// explorer is the state of a breadth-first search. The first violation ends the search.
type explorer struct {
	bounds       Bounds
	mutation     Mutation
	predecessors map[state]state // predecessor of each state reached; the initial state is its own predecessor
	discovered   []state         // states first reached at the current depth

	violation string // description of the broken rule; empty if no rule was broken
	lastState state  // state before the step that broke a rule
	lastStep  string // description of the step that broke a rule

	// describe, if set, is called for each step instead of continuing the search. It is used to build the trace.
	describe func(next state, step string)
}

// add records a step from one state to the next, and checks that no two controllers hold the same proxy's lease in the next
// state.
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

// recordViolation records that a step from a state broke a rule.
func (e *explorer) recordViolation(violation string, from state, step string) {
	e.violation = violation
	e.lastState = from
	e.lastStep = step
}

// trace returns the steps that lead to the violation. The search does not store steps, so trace expands each state on the
// path once more to find the step to the next state.
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
