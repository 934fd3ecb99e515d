package scenario

import (
	"maps"
	"slices"
	"sync"

	"lichenpick/internal/clock"
	"lichenpick/internal/invariant"
)

// What could not be judged, by kind. Readers of reports know these names.
const (
	unparsedPlannerFrame  = "frame to a planner"
	unparsedProxyFrame    = "frame to a proxy"
	unparsedEndpointFrame = "frame of the list"
	unparsedRequest       = "flow to a server"
	unparsedResponse      = "answer of a server"
	hungPlanners          = "planners that did not end when told"
)

// recorder passes what observers of many connections see to one checker. Observers hold its lock while they do so.
type recorder struct {
	wallOffsetMs float64 // wall time minus monotonic time, both of this process

	mu        sync.Mutex // guards all below
	checker   *invariant.Checker
	bytesUp   int            // from proxies to planners
	bytesDown int            // from planners to proxies
	unparsed  map[string]int // what could not be parsed, by kind
}

// newRecorder returns a recorder that has seen nothing.
func newRecorder(checker *invariant.Checker, c clock.Clock) *recorder {
	return &recorder{
		wallOffsetMs: float64(c.WallTime().UnixMicro())/1000 - c.Monotonic(),
		checker:      checker,
		unparsed:     map[string]int{},
	}
}

// monotonicMs converts a wall time, in µs since the Unix epoch, to the monotonic clock of the run.
func (r *recorder) monotonicMs(unixUs uint64) float64 { return float64(unixUs)/1000 - r.wallOffsetMs }

// countUnparsed counts what could not be parsed. The caller holds the lock.
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

// observations are what was recorded until the end of a run.
type observations struct {
	violations         []invariant.Violation
	violationCounts    map[invariant.Rule]int
	messages           int
	entries            float64
	attempts           int
	takeovers          []invariant.Takeover
	rejected           int
	leasesByController map[string]int
	resentEntries      int
	bytesUp            int
	bytesDown          int
	unparsed           map[string]int
}

// finish judges the run and returns what was recorded. Nothing that passes later changes it.
func (r *recorder) finish(atMs float64) *observations {
	r.mu.Lock()
	defer r.mu.Unlock()
	violations, counts := r.checker.Finish(atMs)
	return &observations{
		violations:         violations,
		violationCounts:    counts,
		messages:           r.checker.Messages,
		entries:            r.checker.Entries,
		attempts:           r.checker.Attempts,
		takeovers:          slices.Clone(r.checker.Takeovers),
		rejected:           r.checker.Rejected,
		leasesByController: r.checker.LeasesByPlanner(),
		resentEntries:      r.checker.ResentEntries,
		bytesUp:            r.bytesUp,
		bytesDown:          r.bytesDown,
		unparsed:           maps.Clone(r.unparsed),
	}
}
