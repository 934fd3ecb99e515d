package policy

import "math/rand"

// What a planner knows and has ordered: types alone.

// sample is a load report of a server or a demand report of a proxy, or several added up.
type sample struct {
	zone      int     // that the requests came from
	atMs      float64 // when it was recorded
	succeeded float64 // attempts; of a demand report, requests
	failed    float64
	latencyMs float64 // mean of what succeeded; 0 in a demand report
	coversMs  float64 // time that it covers
}

func (s sample) attempts() float64 { return s.succeeded + s.failed }

// server is what is known of a server, and what was ordered about it. It stays known until it is forgotten.
type server struct {
	Endpoint
	samples []sample // its last load reports, oldest first
	entries []*entry // in our tables
	ejected bool     // as last ordered to proxies

	unhealthy        bool    // ejected by evidence, or resting while cold
	unhealthyUntilMs float64 // when that ends
	ejections        int     // by evidence, since its last start
	evidenceFromMs   float64 // last ejection, readmission or start; evidence from before is void
	readmittedMs     float64 // end of the last ejection: start of the recovery ramp
	hasSucceeded     bool    // it has succeeded in some request
	discoveredLate   bool    // it was not in the list that the planner started with
	stateChangedMs   float64 // when its state in the list changed
	addedMs          float64 // when a table that did not hold it was last sent it

	// As of this evaluation:
	reports    []sample // its load reports since sinceMs, merged by period
	windowed   sample   // of these, those in the window
	lastRound  sample   // and those of the last round
	baselineMs float64  // its latency without overload, 0 before a load report shows it
}

// proxy is a joined proxy, and what was ordered to it.
type proxy struct {
	id           int
	zone         int
	cohort       int        // of its zone, by number; -1 before there are tables
	expectedRate float64    // requests per second, by its own statement
	joinedMs     float64    // when it joined, or the first message of the planner that it comes from was sent
	demand       [][]sample // its last demand reports, by traffic class
	tables       []*table   // that it follows, by part; nil before it is assigned one

	messageTimes     []float64       // times of its last messages
	ordered          float64         // entries ordered to it
	acknowledged     float64         // of these, known to have arrived
	acknowledgements map[int]float64 // entries ordered up to each request for an acknowledgement

	ejected             map[*server]bool // as last ordered to it
	inheritedEjections  bool             // it may hold tables and ejections of another planner
	pendingRestorations []restoration    // of servers in its tables, heaviest first in a takeover
	prepaidRestorations int              // of these, restored with the assignment
}

// restoration is what a proxy has yet to be sent of a server: an end of another planner's ejection, and its entry
// where that was omitted. Its cost is in entries of the channel.
type restoration struct {
	server  *server
	entries float64
}

// client is the paper's i: the proxies of one zone, for the traffic classes that may go to the same servers.
type client struct {
	zone    int
	classes []int
	cells   map[*server]cell // of the last solve
	demand  float64          // the paper's D: requests per second admitted, at the last solve
	tables  []*table         // one for each cohort
}

// cell is the solver's state for one client i and server j, as shares of the client's requests.
type cell struct {
	alpha  float64 // what the client sends to the server: Lemma 3
	beta   float64 // what the server accepts of it, alpha's copy in ADMM: Lemma 1
	lambda float64 // the price that makes the two equal: the dual step of ADMM-20
}

// table is the weight table of one cohort of a client. In a fleet larger than a table, cohorts hold different servers.
type table struct {
	number   int // by which the host knows it
	entries  []*entry
	proxies  []*proxy // that follow it
	rate     float64  // requests per second admitted at its proxies, joined or to be assigned
	urgentMs float64  // when urgent entries were last sent
	due      bool     // deferrable entries may be sent
}

// entry is a server's weight in a table, as decided and as last sent.
type entry struct {
	server *server
	table  *table
	target float64
	sent   float64
}

// admission is what is admitted of one traffic class, and how its requests are retried.
type admission struct {
	target float64 // part admitted, as decided
	sent   float64 // as last sent; -1 before the first order that is due
	demand float64 // requests per second, as of this evaluation
	retry  int     // mode, see RetryNever
}

// decision makes one call on the host, or none if nothing is due or there is no room for it, and says which.
type decision func(Host) bool

// Policy decides for the proxies joined to it. It shares nothing with other planners and has no lock: one goroutine at a
// time may call it. All times are in ms as given to SetTime.
type Policy struct {
	settings Settings
	random   *rand.Rand // for the spread of polls
	nowMs    float64
	servers  []*server // in order of discovery
	byName   map[string]*server
	proxies  []*proxy // joined, in order of joining
	byID     map[int]*proxy

	clients          []*client   // by zone, then part
	classGroups      int         // clients of a zone
	tables           []*table    // by number
	admission        []admission // by traffic class
	sheddingOrder    []int       // traffic classes, those that earn least for their work first
	pendingDecisions []decision  // of this evaluation

	solves           int     // so far
	solvedMs         float64 // time of the last solve
	admissionMs      float64 // time of the last step of admission
	evaluatedMs      float64 // time of the last evaluation
	timerMs          float64 // time that the host's timer is set to
	reportedMs       float64 // time of the last load report
	dirty            bool    // endpoints or proxies came or left since the last evaluation
	serversChanged   bool    // usable servers changed since the last solve
	joinsUnusedTable bool    // a proxy joins a table that nobody used
	rampedAtSolve    bool    // at the last solve a server was on its ramp
	anySuccess       bool    // some server has succeeded
	lagging          bool    // load reports come late
	watching         bool    // the endpoint list comes by itself
	pollMs           float64 // time of the next poll of the list
	pollBackoff      float64 // ms to wait after the next failed poll
	capacityRate     float64 // requests per second that the fleet has succeeded in

	// As of this evaluation; latencies and failures are those of the middle server:
	reportCoversMs     []float64 // ms that the last load reports cover
	baselineScratch    []float64 // scratch of baselineOf
	roundMs            float64   // in which each server reports once
	windowMs           float64   // that load reports are looked back for
	latencyMs          float64
	baselineMs         float64
	overloadRatio      float64 // latency over baseline
	failureShare       float64 // of attempts
	latencyObjectiveMs float64 // mean over the admitted requests
	admittedRate       float64 // requests per second
	succeededRate      float64 // the same

	// Of the control channel, in entries:
	backlog               float64 // that wait in it
	departedBacklog       float64 // that wait for proxies that left
	backlogUpdatedMs      float64 // time that the backlog is as of
	channelSlow           bool    // the last acknowledgement was late
	acknowledgedSolve     int     // number of solves when acknowledgements were last requested
	acknowledgementNumber int     // of the last request
}
