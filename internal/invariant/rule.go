package invariant

// Rule identifies one invariant of the fleet.
type Rule int

// The rules, in the order in which the operators state them. Two follow from the first five where planners share a fleet.
const (
	// NoServer is broken when a connected proxy has had no server to pick for a traffic class, for longer than
	// [Limits.NoServerMs], while its planner knew a ready and warm one.
	NoServer Rule = 1 + iota
	// DuplicateEffect is broken when a request that is not idempotent is sent to a second server without proof that the
	// first did not process it.
	DuplicateEffect
	// SentToDraining is broken when a request is sent to a draining or removed server after the grace.
	SentToDraining
	// ColdOverload is broken when a server that is warming up is sent more work than it can take.
	ColdOverload
	// BacklogExceeded is broken when more weight entries wait at a planner, or more messages go to one proxy, than allowed.
	BacklogExceeded
	// SingleLeader is broken when a planner decides orders for a proxy that has granted its lease to another planner.
	SingleLeader
	// StaleEpoch is broken when a proxy obeys orders of a past epoch, or grants a lower epoch after a higher one.
	StaleEpoch
)

// ruleNames are the names of the rules in reports, which other programs read: they stay as they are.
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
	AtMs     float64 // on the monotonic clock of the run
	Evidence string  // what was observed, for people
}

// Idempotency states what a second processing of a request does, by traffic class.
type Idempotency int

const (
	// NonIdempotent requests must not be processed twice.
	NonIdempotent Idempotency = iota
	// Deduplicated requests carry an idempotency key, by which servers recognize a second one. The checker holds them to
	// the same rule as NonIdempotent, as a second server may know nothing of the first.
	Deduplicated
	// Idempotent requests may be processed any number of times.
	Idempotent
)

// Limits are the parameters of the rules. Times are in ms; work is in ms of one core at nominal speed.
type Limits struct {
	NoServerMs   float64 // how long a proxy may be without a server to pick
	DrainGraceMs float64 // from the time a planner learns that a server drains until no request may be sent to it
	SlowStartMs  float64 // how long a server warms up after its start
	MissingMs    float64 // after which a server that is missing from full endpoint lists counts as removed

	ColdOverloadWindowMs float64 // window over which work sent to a warming server is added up
	ColdOverloadMultiple float64 // of the work that the server can do in the window
	WorkMs               float64 // mean work of a request
	HandshakeMs          float64 // work of opening a connection

	MaxBacklog      float64 // weight entries that wait at a planner
	MaxMessages     int     // to one proxy within MessageWindowMs; 0: unlimited
	MessageWindowMs float64

	// SlackMs is the tolerance between the time a frame is observed and the time it is applied, or a server is picked and
	// the request is observed.
	SlackMs float64

	// Idempotency and SameZoneOnly have one element for each traffic class.
	Idempotency  []Idempotency
	SameZoneOnly []bool // requests of the class may only be sent to servers in the proxy's zone

	// Capacity returns the work in ms that a warming server can do in a ms, and 0 for one that is warm or unknown. Nil
	// disables ColdOverload. It must not call the Checker.
	Capacity func(server string, atMs float64) float64
}
