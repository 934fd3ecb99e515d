package policy

import "math/rand"

// What a planner knows and has ordered: types alone, their decisions stand in brain.go.

type sample struct {
	zone                              int
	at, good, failed, latency, covers float64
}

type server struct {
	Endpoint
	samples                []sample // the last ones, oldest first
	entries                []*entry // its lines in our tables
	ejected, unhealthy     bool     // withdrawn at the proxies; judged unfit
	proven, discoveredLate bool     // has delivered; not in the list that the planner started with
	since, unhealthyUntil  float64  // last verdict, return or start: evidence before it is void; end of a verdict
	notified, readmittedAt float64  // when its state in the list changed; when it was let back after a verdict
	addedAt                float64  // when a table that did not hold it was sent it
	ejections              int
	reports                []sample // as of this look: its sums since the last verdict, by report period
	windowed, last         sample   // of these, in the window and in the last round
	baseline               float64  // its latency when not jammed, 0 when unheard
}

type proxy struct {
	id, zone, cohort      int
	expectedRate, joined  float64          // flows per second by its own word; when its stream came up
	demand                [][]sample       // by traffic group
	bound                 []*table         // by part
	sent                  []float64        // times of the last messages
	ordered, acknowledged float64          // lines ordered to it, and known to have reached it
	acknowledgements      map[int]float64  // lines ordered up to each receipt asked for
	ejected               map[*server]bool // told by us to shut it out
	inheritedEjections    bool             // tables and withdrawals of others, until it is bound and told otherwise
	unrestored            []restoration    // in its tables, heaviest first
	paid                  int              // of these, restored with the assignment
}

// client is the paper's i: the proxies of one zone, for the traffic groups that may go to the same servers.
type client struct {
	zone   int
	groups []int
	cells  map[*server]cell
	demand float64 // the paper's D, flows per second let in, at the last solve
	tables []*table
}

type cell struct{ alpha, beta, lambda float64 }

// weightEntry is a server's share of a client's flows, and its rows in the copies that hold it.
type weightEntry struct {
	server *server
	share  float64
	rows   []*entry
	rank   int // in the order in which a copy takes lines
}

// table is one copy of a client's table. In a fleet larger than a table, copies hold different servers.
type table struct {
	number         int
	entries        []*entry
	proxies        []*proxy // bound to it
	rate, urgentAt float64  // flows per second of its proxies; when lines that could not wait were last sent
	due            bool     // wants may be sent now
}

// entry is a server's line in a table: its weight as decided, and as sent.
type entry struct {
	server       *server
	table        *table
	target, sent float64
}

// admission is the admission of one traffic group, the flows per second that come, and when they are repeated.
type admission struct {
	target, sent, came float64
	retry              int
}

// Policy decides for the proxies joined to it. It shares nothing with other planners.
type Policy struct {
	set              Settings
	random           *rand.Rand
	now              float64
	servers          []*server
	byName           map[string]*server
	proxies          []*proxy // joined, in order of joining
	byID             map[int]*proxy
	parts            int       // clients of a zone
	clients          []*client // by zone
	tables           []*table
	admission        []admission
	order            []int             // of traffic groups: those that earn least for their work first
	pendingDecisions []func(Host) bool // decisions of this look that are left

	solvedAt, admissionAt, evaluatedAt, reportedAt float64
	solves                                         int
	ramps, unsolved                                bool // the last solve had servers on their ramp; usable servers changed
	emptyTable, dirty, anySuccess                  bool // a proxy joins an unused table; news; some server has delivered

	// As of this look: ms that sums come apart and are looked back for; the middle server; flows per second.
	round, window, latency, failureShare, baselineLatency, overloadRatio, latencyObjective, admittedRate, succeededRate, capacityRate float64
	backlog, countedAt, pollAt, pollBackoff, wakeAt                                                                                   float64
	departedBacklog                                                                                                                   float64 // lines to who left

	covers, clear                            []float64 // of the last sums; latencies at hand
	acknowledgedSolve, acknowledgementNumber int       // solve that a receipt was last asked for; its number
	watching, queueSlow                      bool      // the list; the last receipt was late
	lagging                                  bool      // what is heard is late
}

// restoration is what a proxy has yet to be sent of a server: an end of another planner's ejection, and its entry
// where that was omitted. Its cost is in entries of the channel.
type restoration struct {
	server  *server
	entries float64
}
