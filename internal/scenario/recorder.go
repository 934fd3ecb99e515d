package scenario

import (
	"maps"
	"slices"
	"sync"

	"lichenpick/internal/clock"
	"lichenpick/internal/invariant"
)

// Kinds of traffic and events that could not be checked, as named in reports. Programs read these names, so they must not
// change.
const (
	unparsedPlannerFrame  = "frame to a planner"
	unparsedProxyFrame    = "frame to a proxy"
	unparsedEndpointFrame = "frame of the list"
	unparsedRequest       = "flow to a server"
	unparsedResponse      = "answer of a server"
	hungPlanners          = "planners that did not end when told"
)

// recorder passes the observations from many connections to one checker. Observers must hold mu while they use the checker.
type recorder struct {
	wallOffsetMs float64 // wall time minus monotonic time of this process

	mu        sync.Mutex // guards all fields below
	checker   *invariant.Checker
	bytesUp   int            // bytes on control streams from proxies to planners
	bytesDown int            // bytes on control streams from planners to proxies
	unparsed  map[string]int // number of frames and messages that could not be parsed, by kind
}

// newRecorder returns a recorder without any observations.
func newRecorder(checker *invariant.Checker, c clock.Clock) *recorder {
	return &recorder{
		wallOffsetMs: float64(c.WallTime().UnixMicro())/1000 - c.Monotonic(),
		checker:      checker,
		unparsed:     map[string]int{},
	}
}

// monotonicMs converts a wall time, in µs since the Unix epoch, to the monotonic clock of the run.
func (r *recorder) monotonicMs(unixUs uint64) float64 { return float64(unixUs)/1000 - r.wallOffsetMs }

// countUnparsed counts a frame or message that could not be parsed. The caller must hold mu.
func (r *recorder) countUnparsed(kind string) { r.unparsed[kind]++ }

// recordConnection records that a connection to a server was opened.
func (r *recorder) recordConnection(server string, atMs float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checker.RecordConnection(server, atMs)
}

// recordPlannerExit records that a planner ended.
func (r *recorder) recordPlannerExit(planner string, atMs float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checker.RecordPlannerExit(planner, atMs)
}

// observations holds what was recorded until the end of a run.
type observations struct {
	violations      []invariant.Violation
	violationCounts map[invariant.Rule]int
	messages        int
	entries         float64
	attempts        int
	takeovers       []invariant.Takeover
	rejected        int
	leasesByPlanner map[string]int
	resentEntries   int
	bytesUp         int
	bytesDown       int
	unparsed        map[string]int
}

// finish completes the checks of the run and returns the observations. Traffic that is observed later does not change the
// returned value.
func (r *recorder) finish(atMs float64) *observations {
	r.mu.Lock()
	defer r.mu.Unlock()
	violations, counts := r.checker.Finish(atMs)
	return &observations{
		violations:      violations,
		violationCounts: counts,
		messages:        r.checker.Messages,
		entries:         r.checker.Entries,
		attempts:        r.checker.Attempts,
		takeovers:       slices.Clone(r.checker.Takeovers),
		rejected:        r.checker.Rejected,
		leasesByPlanner: r.checker.LeasesByPlanner(),
		resentEntries:   r.checker.ResentEntries,
		bytesUp:         r.bytesUp,
		bytesDown:       r.bytesDown,
		unparsed:        maps.Clone(r.unparsed),
	}
}
