package invariant

// Rule identifies one invariant of the fleet.
type Rule int

// The first five rules are those of the operators, in the operators' order. The last two rules follow from the first five where
// planners share a fleet.
const (
	// NoServer is violated when a connected proxy has had no server to pick for a traffic class, for longer than
	// [Limits.NoServerMs], while the proxy's planner knew a ready and warm server.
	NoServer Rule = 1 + iota
	// DuplicateEffect is violated when a request that is not idempotent is sent to a second server without proof that the
	// first server did not process the request.
	DuplicateEffect
	// SentToDraining is violated when a request is sent to a server later than [Limits.DrainGraceMs] after the planner was
	// notified that the server drains or is removed.
	SentToDraining
	// ColdOverload is violated when a server that is warming up is sent more work than it can handle.
	ColdOverload
	// BacklogExceeded is violated when more weight entries are queued at a planner, or more messages are sent to one proxy,
	// than allowed.
	BacklogExceeded
	// SingleLeader is violated when a planner decides orders for a proxy that has granted its lease to another planner.
	SingleLeader
	// StaleEpoch is violated when a proxy applies orders of a past epoch, or grants a lower epoch after a higher one.
	StaleEpoch
)

// ruleNames are the names of the rules in reports. Other programs read these names, so the names must not change.
var ruleNames = [...]string{
	NoServer:        "bare",
	DuplicateEffect: "twice",
	SentToDraining:  "drain",
	ColdOverload:    "push-over",
	BacklogExceeded: "queue",
	SingleLeader:    "one-commander",
	StaleEpoch:      "stale-order",
}

// String returns the name of the rule in reports.
func (r Rule) String() string {
	if r <= 0 || int(r) >= len(ruleNames) {
		return "none"
	}
	return ruleNames[r]
}

// Violation is one violation of a rule.
type Violation struct {
	Rule     Rule
	AtMs     float64 // time of the violation on the monotonic clock of the run
	Evidence string  // what was observed, for human readers
}

// Idempotency states whether requests of a traffic class may be processed more than once.
type Idempotency int

const (
	// NonIdempotent requests must not be processed twice.
	NonIdempotent Idempotency = iota
	// Deduplicated requests carry an idempotency key, by which a server recognizes a repetition. The checker applies the same
	// rule as for NonIdempotent, as a second server may not know what the first one processed.
	Deduplicated
	// Idempotent requests may be processed any number of times.
	Idempotent
)

// Limits are the parameters of the rules. Times are in ms; work is in ms of one core at nominal speed.
type Limits struct {
	NoServerMs   float64 // longest time that a proxy may have no server to pick
	DrainGraceMs float64 // how long requests may be sent to a server after a planner is notified that this server drains
	SlowStartMs  float64 // duration of a server's warm-up after its start
	MissingMs    float64 // time after which a server that is missing from full endpoint lists counts as removed

	ColdOverloadWindowMs float64 // length of the window in which the work sent to a warming server is added up
	ColdOverloadMultiple float64 // limit of the work in the window, as a multiple of the work that the server can do
	WorkMs               float64 // mean work of a request
	HandshakeMs          float64 // work of opening a connection

	MaxBacklog      float64 // maximum number of weight entries queued at a planner
	MaxMessages     int     // maximum number of messages to one proxy in any period of MessageWindowMs; 0: unlimited
	MessageWindowMs float64

	// SlackMs is the tolerance for the time from the observation of a frame until it is applied, and from the pick of a server
	// until its request is observed.
	SlackMs float64

	// Idempotency and SameZoneOnly have one element for each traffic class.
	Idempotency  []Idempotency
	SameZoneOnly []bool // by class: requests may be sent only to servers in the proxy's zone

	// Capacity returns the work in ms that a warming server can do per ms, and 0 for a warm or unknown server. If Capacity is
	// nil, ColdOverload is not checked. Capacity must not call the Checker.
	Capacity func(server string, atMs float64) float64
}
