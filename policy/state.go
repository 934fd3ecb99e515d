package policy

import "math/rand"

// This file holds the types of the state only.

// sample is a load report of a server, a demand report of a proxy, or the sum of several reports.
type sample struct {
	zone      int     // zone of the proxies that sent or received the requests
	atMs      float64 // ms; time at which the report was recorded
	succeeded float64 // successful attempts, or requests in a demand report
	failed    float64
	latencyMs float64 // mean latency of the successful attempts; 0 in a demand report
	coversMs  float64 // length of the reported period
}

func (s sample) attempts() float64 { return s.succeeded + s.failed }

// server is the state of a server: what is known of it, and what was ordered about it. forgetRemoved deletes it.
type server struct {
	Endpoint
	samples   []sample // last load reports, oldest first
	entries   []*entry // entries of the server in tables of this planner
	ejected   bool     // whether the last order about the server ejected it; the host holds the same
	ejectedMs float64  // when the last order that ejected the server was made

	unhealthy        bool    // the server is to be ejected, by evidence or because it is cold
	unhealthyUntilMs float64 // end of the time for which the server is unhealthy
	ejections        int     // number of ejections by evidence since the last start of the server
	evidenceFromMs   float64 // time of the last ejection, readmission or start; earlier reports are ignored
	readmittedMs     float64 // time at which the last ejection ended and the recovery ramp started
	hasSucceeded     bool    // some attempt at the server succeeded
	discoveredLate   bool    // the server was first listed after the first solve
	listedMs         float64 // when the list first showed the server
	stateChangedMs   float64 // last change of the server's state in the list
	drainOrdered     bool    // whether the server was ejected since it ceased to be ready
	leftReadyMs      float64 // when the list last ceased to show the server as ready: the start of its drain grace
	addedMs          float64 // last time that the server was added to a table

	// Statistics, updated by each evaluation:
	reports    []sample // load reports since evidenceFromMs, merged by period
	windowed   sample   // sum of the reports within windowMs
	lastRound  sample   // sum of the reports of the last round of load reports
	baselineMs float64  // latency without overload; 0 while unknown
}

// proxy is the state of a joined proxy: what is known of it, and what was ordered to it.
type proxy struct {
	id           int
	zone         int
	cohort       int        // index of the proxy's cohort in its zone; -1 before there are tables
	expectedRate float64    // requests per second that the proxy stated when it joined
	joinedMs     float64    // when the proxy joined, or was sent its first known message by another planner
	addedMs      float64    // when the proxy was last added to this planner
	demand       [][]sample // last demand reports, by traffic class
	tables       []*table   // tables that the proxy follows, by class group; nil until assigned

	messageTimes     []float64       // when the last messages to the proxy were sent
	ordered          float64         // entries ordered to the proxy, with message overhead
	acknowledged     float64         // part of ordered that is known to have arrived
	acknowledgements map[int]float64 // value of ordered at each acknowledgement request, by the number of the request

	ejected             map[*server]bool // whether the last order to the proxy ejected the server
	inheritedEjections  bool             // the proxy may hold tables and ejections of another planner
	pendingRestorations []restoration    // of servers in the proxy's tables; in a takeover by weight, largest first
	prepaidRestorations int              // length of the first part of pendingRestorations, whose budget was spent already
}

// restoration is an order that a proxy is yet to be sent about a server: the end of an ejection that another planner may have
// ordered, together with the entry of the server if the assignment omitted it. entries is the cost of the order in the
// channel, in entries.
type restoration struct {
	server  *server
	entries float64
}

// client is a client i of the paper: the proxies of one zone, for one group of traffic classes, which may go to the same
// servers.
type client struct {
	zone    int
	classes []int
	cells   map[*server]cell // result of the last solve
	demand  float64          // D of the paper: admitted requests per second at the last solve
	tables  []*table         // one for each cohort
}

// cell is the state of the solver for one client i and server j, in shares of the client's requests.
type cell struct {
	alpha  float64 // share that the client sends to the server (Lemma 3)
	beta   float64 // share that the server accepts, the copy of alpha in ADMM (Lemma 1)
	lambda float64 // price that drives alpha and beta together (dual step of ADMM-20)
}

// table is the weight table of one cohort of a client. Where a table cannot hold the whole fleet, the tables of cohorts hold
// different servers.
type table struct {
	number   int // number by which the host knows the table
	entries  []*entry
	proxies  []*proxy // proxies that follow the table
	rate     float64  // admitted requests per second of the proxies that follow the table or will follow it
	urgentMs float64  // when an urgent entry of the table was last sent
	due      bool     // a solve gave this table its turn to be sent deferrable entries
}

// entry is the weight of a server in a table, from 0 to 1.
type entry struct {
	server *server
	table  *table
	target float64 // weight as decided
	sent   float64 // weight as last sent; 0 while the proxies of the table do not hold the server
}

// admission is the admission rate and the retry mode of a traffic class.
type admission struct {
	target float64 // admitted share, as decided
	sent   float64 // admitted share, as last sent; -1 if a first order must be sent
	demand float64 // requests per second, before admission; updated by each evaluation
	retry  int     // retry mode: RetryNever or one of the constants after it
}

// decision makes one call on the host and returns true, or returns false where nothing is due or the budget is exhausted.
type decision func(Host) bool

// Policy makes the decisions for the proxies that joined one planner. It shares no state with other planners and has no
// lock: only one goroutine at a time may call it. All times are in ms of the clock that SetTime follows.
type Policy struct {
	settings Settings
	observer Observer
	random   *rand.Rand // for the random waits between polls
	nowMs    float64
	servers  []*server // known servers, in order of discovery
	byName   map[string]*server
	proxies  []*proxy // joined proxies, in order of joining
	byID     map[int]*proxy

	clients          []*client   // by zone, then class group
	classGroups      int         // number of class groups, which is also the number of clients in a zone
	tables           []*table    // by number
	admission        []admission // by traffic class
	sheddingOrder    []int       // traffic classes by priority weight per work, lowest first
	pendingDecisions []decision  // queued by the last evaluation

	solves           int     // number of solves
	solvedMs         float64 // time of the last solve
	admissionMs      float64 // time of the last admission step, or a later time that delays the next step
	evaluatedMs      float64 // time of the last evaluation
	timerMs          float64 // time at which the host's timer expires
	reportedMs       float64 // time of the last load report
	dirty            bool    // endpoints or proxies changed since the last evaluation
	serversChanged   bool    // the usable servers may have changed since the last solve
	joinsUnusedTable bool    // a proxy awaits a table that had no demand; set since the last solve
	rampedAtSolve    bool    // some server was on a ramp at the last solve
	anySuccess       bool    // some server has succeeded
	lagging          bool    // load reports reach the planner late
	watching         bool    // an update of the endpoint list arrived after the last failed poll
	pollMs           float64 // time of the next poll of the endpoint list
	pollBackoff      float64 // wait after the next failed poll, in ms
	served           servedRate
	servedFromMs     float64 // when a whole window of load reports has arrived
	admissionLimited bool    // admission is limited for cold servers
	unlimitedShare   float64 // share of the demand that would be admitted without that limit
	bearableShare    float64 // part of that share with which no server gets more than its limit by the last split; 1: all
	capacityRate     float64 // known capacity of the fleet in successful requests per second

	unsentCount      int     // number of late drains at the last evaluation
	unsentReportedMs float64 // when the observer was last notified of late drains

	// Statistics, updated by each evaluation. Latencies and failure shares are those of the median server.
	reportCoversMs     []float64 // lengths in ms of the periods that the last load reports cover
	baselineScratch    []float64 // buffer of baselineOf
	roundMs            float64   // time in which each server reports once
	windowMs           float64   // age up to which load reports count
	latencyMs          float64
	baselineMs         float64
	overloadRatio      float64 // ratio of latency to baseline latency
	failureShare       float64 // failed part of the attempts
	latencyObjectiveMs float64 // mean latency objective of the classes, weighted by admitted requests
	admittedRate       float64 // admitted requests per second
	succeededRate      float64 // successful attempts per second

	// Control channel; the backlog is in entries.
	backlog               float64 // entries that wait in the channel
	departedBacklog       float64 // entries that wait for proxies that left
	backlogUpdatedMs      float64 // when the backlog was last updated
	channelSlow           bool    // the last acknowledgement was late
	acknowledgedSolve     int     // value of the field solves when acknowledgements were last requested
	acknowledgementNumber int     // number of the last request for acknowledgements
}
