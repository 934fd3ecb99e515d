package policy

import (
	"math/rand"
)

// What a planner knows and has ordered: types alone, their decisions stand in brain.go.

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
	doubted               []*server        // in its tables, heaviest first; withdrawn there by others for all we know
}

// client is the paper's i: the proxies of one zone, for the traffic groups that may go to the same servers.
type client struct {
	zone   int
	groups []int
	cells  map[*server]cell
	demand float64 // the paper's D, flows per second let in, at the last solve
	tables []*table
}

// cell is the solver's state for one client i and server j, as shares of the client's requests.
type cell struct {
	alpha  float64 // what the client sends to the server: Lemma 3
	beta   float64 // what the server accepts of it, alpha's copy in ADMM: Lemma 1
	lambda float64 // the price that makes the two equal: the dual step of ADMM-20
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
	target float64 // part admitted, as decided
	sent   float64 // as last sent; -1 before the first order that is due
	demand float64 // requests per second, as of this evaluation
	retry  int     // mode, see RetryNever
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

// reached says whether a proxy gets a message at this time already, which further orders share.
func (q *proxy) reached(now float64) bool { return len(q.sent) > 0 && q.sent[len(q.sent)-1] == now }

// countOrder adds an order to the backlog and to what each recipient was sent; first are those that had no message yet.
func (p *Policy) countOrder(entries, cost float64, recipients, first []*proxy) {
	p.backlog += cost
	for _, proxy := range recipients {
		proxy.ordered += entries
	}
	for _, proxy := range first {
		proxy.sent = appendBounded(proxy.sent, p.now, p.set.MaxMessages+1)
		proxy.ordered += p.set.MessageOverhead
	}
}

// countRequests adds requests for acknowledgements to the backlog, and what each will show to have arrived.
func (p *Policy) countRequests(recipients []*proxy) {
	p.acknowledgedSolve = p.solves
	for _, proxy := range recipients {
		p.backlog++
		proxy.ordered++
		proxy.acknowledgements[p.acknowledgementNumber] = proxy.ordered
	}
}
