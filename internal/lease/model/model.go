// Package model explores the lease protocol of package lease exhaustively, at a small size and in whole ticks: two
// controllers that request, renew, order and restart, proxies that decide by lease.Grantor itself, and messages that are lost
// or take any time.
//
// A pause of a controller needs no state of its own: nobody must act at any time, and what was decided may arrive at any time
// after. The exploration shows what random runs cannot: that no order of events breaks a rule, or the shortest one that does.
package model

// Bounds make the state space finite. There are always two controllers.
type Bounds struct {
	Proxies   int   // 1 or 2
	Epochs    uint8 // the highest that is requested
	Restarts  uint8 // of each controller
	Losses    bool  // whether requests may be lost
	MaxStates int   // exploration ends, incomplete, beyond this number of states
}

// Mutation is a part of the protocol that is left out, to show that the explorer finds the fault that it guards against.
type Mutation int

// Mutations, each by the guard that is left out.
const (
	// NoMutation explores the protocol as it is.
	NoMutation Mutation = iota
	// WithoutFencing has proxies obey whatever order arrives.
	WithoutFencing
	// LeaseFromAnswer has holders count their lease from the answer in place of the request.
	LeaseFromAnswer
	// WithoutIncarnation has a restarted controller pass for the process before, and forget which epochs it used.
	WithoutIncarnation
	// WithoutClockRateBound has holders believe in the whole lease, though their clocks may be slow.
	WithoutClockRateBound
)

// Result is what an exploration found.
type Result struct {
	States    int      // distinct states that were reached
	Depth     int      // steps to the last of them
	Complete  bool     // all states within the bounds were reached, or the search ended at a violation
	Violation string   // the rule that was broken; empty: none
	Trace     []string // the shortest way to the violation, step by step
}

// Explore goes through all states within the bounds, breadth first, until a rule is broken. It holds each state that it has
// reached in memory, with its predecessor.
func Explore(bounds Bounds, mutation Mutation) Result {
	start := state{}
	explorer := &explorer{
		bounds:       bounds,
		mutation:     mutation,
		predecessors: map[state]state{start: start},
	}
	result := Result{Complete: true}
	frontier := []state{start}
	for len(frontier) > 0 {
		explorer.discovered = nil
		for _, current := range frontier {
			explorer.expand(current)
			if explorer.violation != "" {
				result.States = len(explorer.predecessors)
				result.Violation = explorer.violation
				result.Trace = explorer.trace()
				return result
			}
		}
		frontier = explorer.discovered
		if len(explorer.predecessors) > bounds.MaxStates {
			result.Complete = false
			break
		}
		result.Depth++
	}
	result.States = len(explorer.predecessors)
	return result
}
