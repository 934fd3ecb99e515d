// Package model checks the lease protocol of package lease by exhaustive search of a small model in which time advances in
// whole ticks. Two controllers request and renew leases, send orders and restart; the real lease.Grantor decides for the
// proxies; messages are delayed for any time, and requests may be lost.
//
// The model needs no state for a paused controller: no controller ever has to act, and a message may arrive any time
// after it was sent. Unlike random runs, the search proves within its bounds that no sequence of events breaks a rule, or
// finds the shortest one that does.
package model

// Bounds keep the state space finite. There are always two controllers.
type Bounds struct {
	Proxies   int   // number of proxies, 1 or 2
	Epochs    uint8 // highest epoch that controllers request
	Restarts  uint8 // how often each controller may restart
	Losses    bool  // whether requests may be lost
	MaxStates int   // the search is abandoned as incomplete once it has reached more states than this
}

// Mutation disables a safeguard of the protocol, to test that the search finds the violation that the safeguard prevents.
type Mutation int

// Mutations are named after the safeguard that they disable or the fault that they introduce.
const (
	// NoMutation checks the protocol as it is.
	NoMutation Mutation = iota
	// WithoutFencing makes proxies obey every order that arrives, whatever the order's epoch.
	WithoutFencing
	// LeaseFromAnswer makes holders measure their lease from the arrival of the answer instead of the sending of the
	// request.
	LeaseFromAnswer
	// WithoutIncarnation makes a restarted controller indistinguishable from its previous process, and makes the controller
	// forget which epochs it used.
	WithoutIncarnation
	// WithoutClockRateBound makes holders use a lease for its full duration, although their clocks may be slow.
	WithoutClockRateBound
)

// Result is the outcome of a search.
type Result struct {
	States    int      // number of distinct states reached
	Depth     int      // number of completed levels of the breadth-first search
	Complete  bool     // whether all states within the bounds were reached, or a violation ended the search
	Violation string   // the rule that was broken; empty if none was
	Trace     []string // the steps of a shortest path to the violation
}

// Explore searches all states within the bounds, breadth first, until a rule is broken. It keeps every reached state and
// its predecessor in memory.
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
