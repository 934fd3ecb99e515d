// Package policy decides for one planner: which tables its proxies follow, and when they hear of it.
//
// How to call it: New at each start, then the input methods after a SetTime with the time; they only update what
// is known. Then Next until it says false: each call makes at most one decision, by one call on the Host. The
// interface is in host.go, the reasons in docs/design.md.
package policy

import (
	"cmp"
	"maps"
	"math"
	"math/rand"
	"slices"
)

const (
	solveEveryMs     = 2500.0 // ms; half the design's 5 s: two copies then give each proxy news every 5 s
	iterations       = 20     // the paper's ADMM-20
	capacityHeadroom = 1.01   // sum of caps over demand; more idles the dearest servers of a linear cost
	recoveryHeadroom = 0.4    // more of it while latencies are low; flows then stay in their zone
	step             = 0.3    // cost of an average line in units of an average share, so that rho 1 converges
	maxLambda        = 4.0    // in the same unit; a price beyond it outlives the jam that made it
	minDemand        = 0.02   // share of a client's fair part; an idle client still needs a sound table
	shift            = 0.3    // part of all demand that moved; old prices and shares are forgotten then

	cohorts                  = 2      // staged copies of a client's table, at least; half the proxies try a split first
	refreshMs                = 1000.0 // ms of the channel that all lines of all proxies may take; a rush of joins fits then
	connectionQuota          = 0.4    // part of the connections that the smallest server accepts; full ones work slower
	minRequestsPerConnection = 5.0    // flows on a line before its connection idles out; fewer open it ever anew
	minTableEntries          = 8      // lines; a table keeps most of its servers when a fifth fails
	minEntries               = 3      // lines of a client that are kept; two may be lost at once before a table is bare
	essential                = 0.8    // part of a table's weight that a proxy is sent at once in a rush of joins
	minWeightChange          = 0.25   // part of a line's weight that it moves by, or of an average line; less is noise
	urgentIntervalMs         = 1500.0 // ms between lines of a table that cannot wait; messages are few where tables run bare
	maxMissingWeight         = 0.4    // part of a table's weight that is missing when it cannot wait for its turn
	weightTolerance          = 0.005  // share of a table that a cold server's line may exceed its cap by; rounding

	maxSamples          = 24     // sums kept of each server and proxy; a floor is sought in all of them
	windowMs            = 3500.0 // ms; three sums or more; longer ones show a trouble too late
	reportRounds        = 1.5    // rounds of sums looked back for at least; each server is in one of them
	minCapacity         = 0.08   // part of a nominal cap; less would leave one unheard: slow, or new and maybe not ours
	minBaselineSamples  = 3      // sums after which a floor counts half; fewer are chance
	overloadSlack       = 1.5    // times the fleet's ratio of latency to floor that is no jam; sums are noisy
	slowStartDoublingMs = 5000.0 // ms; the design's doubling time of a new server's cap
	slowStartMargin     = 0.8    // part of the cold share that a start begins with; the pick of two may double it

	ejectionThreshold       = 6.0     // nats; a dozen drops with nothing delivered, a false alarm in some 400 sums
	maxSampleEvidence       = 4.0     // nats that a single sum may add; one odd report is never enough
	deadFailureShare        = 0.99    // share of drops of a dead server; one that delivers at all is full or slow, not dead
	minOverloadFailureShare = 0.6     // least share of drops that a full server may have; its cap shrinks, it is not put out
	maxOverloadFailureShare = 0.95    // and the most, where the middle server drops half; an overload condemns nobody
	maxEjected              = 0.3     // part of the fleet out at once, or of flows dropped; beyond it the evidence is doubted
	ejectionMs              = 5000.0  // ms; first stay out, doubled with each verdict, and time until one new can be judged
	maxEjectionMs           = 20000.0 // ms; the longest, as the longest hangs
	maxEjectedForRest       = 0.8     // part of the fleet that may be out when cold ones rest; the others are mostly warm
	recoveryShare           = 0.2     // part of its cap that a server is let back with; a second verdict costs little
	recoveryRampMs          = 1500.0  // ms in which that part doubles; full again in some three report periods

	admissionIntervalMs  = 2000.0 // ms; a level shows in the sums after about this time
	overloadThreshold    = 0.5    // latency over latency budget above which a tenth or so is late
	recoveryThreshold    = 0.35   // and below which drops are no jam; of the wait above floors, when levels may rise
	overloadFailureShare = 0.12   // share of flows dropped that means overload rather than chance
	admissionDecrease    = 0.6    // most that one step may cut the flows let in to; sums may be late
	admissionRounds      = 1.2    // rounds of sums that levels go by; older ones are from before the last step
	minCapacityKept      = 0.8    // part of what was once delivered that is believed in a jam; servers may be fewer
	recoveryAdmission    = 0.85   // part of the delivered rate let in during a jam, so that it drains
	admissionIncrease    = 0.3    // part more let in at each step while latency is nil, less the nearer it is to calm
	admissionStep        = 0.1    // least level of a traffic group; some of it shows whether the jam is over

	forgetRemovedMs      = 600000.0 // ms that a server gone, and in no table, is remembered; its name may come back
	maxQueueSlowdown     = 6.0      // times slower that the channel may be at the worst, until a receipt shows otherwise
	pollBackoffMs        = 1200.0   // ms; first wait after a failed call for the list, doubled each time
	evaluationIntervalMs = 200.0    // ms between looks when nothing comes in; well under every grace
)

// Urgency of an order: tidy work leaves room for what cannot wait, and both for what the rules ask for.
const (
	paid = iota - 1 // with an order before
	deferrable
	urgent
	required
	drainEjection // withdrawals of what drains or is gone: nothing else may use up their messages
)

var (
	queueShare   = [...]float64{deferrable: 0.15, urgent: 0.6, required: 0.65, drainEjection: 0.9} // part of the longest queue
	messageShare = [...]float64{deferrable: 0.34, urgent: 0.5, required: 0.7, drainEjection: 0.92} // of the messages in a span
	unset        = math.Inf(-1)
)

func New(set Settings, seed int64) *Policy {
	p := &Policy{
		set: set, random: rand.New(rand.NewSource(seed)), byName: map[string]*server{},
		byID: map[int]*proxy{}, pollBackoff: pollBackoffMs, unsolved: true,
		solvedAt: unset, admissionAt: unset, evaluatedAt: unset, wakeAt: unset, reportedAt: unset,
	}
	var parts [2][]int // traffic groups that may go to the same servers
	for g, row := range set.Classes {
		l := admission{target: 1, sent: 1, retry: set.DefaultRetry}
		if row.Idempotency != Idempotent && l.retry > RetryUnprocessed {
			l.sent, l.retry = -1, RetryUnprocessed // proxies must be told that they may not repeat
		}
		p.admission = append(p.admission, l)
		k := map[bool]int{true: 1}[row.SameZoneOnly]
		parts[k], p.order = append(parts[k], g), append(p.order, g)
	}
	slices.SortStableFunc(p.order, func(a, b int) int {
		g, h := set.Classes[a], set.Classes[b]
		return cmp.Compare(g.PriorityWeight*h.LatencyObjectiveMs, h.PriorityWeight*g.LatencyObjectiveMs)
	})
	for z := range set.Zones {
		for _, groups := range filter(parts[:], func(groups []int) bool { return len(groups) > 0 }) {
			p.clients = append(p.clients, &client{zone: z, groups: groups})
		}
	}
	p.parts = len(p.clients) / max(set.Zones, 1)
	return p
}

// SetTime tells the time. All that follows until the next SetTime leaves in one message a proxy.
func (p *Policy) SetTime(now float64) { p.now = now }

func (p *Policy) UpdateEndpoints(form UpdateKind, list []Endpoint) {
	if form == FailedUpdate {
		p.watching, p.pollAt = false, p.now+p.pollBackoff*(0.5+p.random.Float64())
		p.pollBackoff = math.Min(2*p.pollBackoff, p.set.AssumeNotifiedMs/2)
		return
	}
	if form != RestoredUpdate {
		p.pollBackoff, p.watching = pollBackoffMs, true
	}
	p.unsolved, p.dirty = true, true
	seen := map[*server]bool{}
	for _, e := range list {
		if e.Zone < 0 || e.Zone >= p.set.Zones {
			continue
		}
		s := p.byName[e.Server]
		if e.RelativeCapacity = math.Max(e.RelativeCapacity, 1e-6); s == nil {
			s = &server{discoveredLate: form != RestoredUpdate && p.solves > 0, since: p.now, readmittedAt: unset, addedAt: unset}
			p.byName[e.Server], p.servers = s, append(p.servers, s)
		} else if e.StartedMs > s.StartedMs {
			// Back cold under its old name: what was heard is void, and what old tables sent it counts
			// against its budget, so that it rests until that is out of the window.
			s.samples, s.since, s.readmittedAt, s.ejections = nil, p.now, unset, 0
			s.unhealthy, s.unhealthyUntil = e.StartedMs > p.now-p.set.SlowStartMs, p.now+p.set.ColdOverloadWindowMs+p.set.MaxPropagationMs
		}
		if e.State != s.State { // withdrawn while ready, it may have come into tables that were not told
			s.notified, s.ejected = p.now, s.ejected && s.State != Ready
		}
		s.Endpoint, seen[s] = e, true
	}
	for _, s := range p.servers {
		if form != DeltaUpdate && !seen[s] && s.State != Removed {
			s.State, s.notified, s.ejected = Removed, p.now, s.ejected && s.State != Ready
		}
	}
	p.servers = filter(p.servers, func(s *server) bool {
		keep := s.ejected || !p.expired(s)
		if !keep {
			delete(p.byName, s.Server)
			for _, q := range p.proxies {
				delete(q.ejected, s)
			}
		}
		return keep
	})
}

// expired is a server that nothing is left to decide of: its withdrawal ends, and then it is forgotten.
func (p *Policy) expired(s *server) bool {
	return s.State == Removed && p.now-s.notified > forgetRemovedMs && !slices.ContainsFunc(s.entries, (*entry).inUse)
}

// AddProxy takes in a proxy, with the times of messages that another planner sent it: they count in its span.
func (p *Policy) AddProxy(id, zone int, usual float64, sent ...float64) {
	p.RemoveProxy(id)
	if zone < 0 || zone >= p.set.Zones {
		return
	}
	q := &proxy{
		id: id, zone: zone, cohort: -1, expectedRate: usual, joined: p.now, sent: slices.Clone(sent),
		acknowledgements: map[int]float64{}, ejected: map[*server]bool{},
		demand: make([][]sample, len(p.admission)), bound: make([]*table, p.parts),
	}
	if p.anySuccess && len(sent) > 0 { // taken over: another heard it since then, and we hear others meanwhile
		q.joined = math.Min(q.joined, sent[0])
	}
	p.byID[id], p.proxies, p.dirty = q, append(p.proxies, q), true
}

// ExpectInheritedEjections tells that a joined proxy may hold tables and withdrawals of another planner. Restore ends these.
func (p *Policy) ExpectInheritedEjections(id int) {
	if q := p.byID[id]; q != nil {
		q.inheritedEjections = true
	}
}

func (p *Policy) RemoveProxy(id int) {
	gone := p.byID[id]
	if delete(p.byID, id); gone != nil { // what waits for it stays in the channel until that has drained
		p.queue()
		p.departedBacklog += gone.ordered - gone.acknowledged
	}
	p.proxies = filter(p.proxies, func(q *proxy) bool { return q != gone })
}

func (p *Policy) RecordReport(name string, zone, count, failed int, latency, covers float64) {
	s := p.byName[name]
	if s == nil || count <= 0 || zone < 0 || zone >= p.set.Zones {
		return
	}
	p.reportedAt, s.proven = p.now, s.proven || failed < count
	p.anySuccess, p.covers = p.anySuccess || s.proven, appendBounded(p.covers, covers, maxSamples)
	a := sample{zone, p.now, float64(count - failed), float64(failed), latency, covers}
	s.samples = appendBounded(s.samples, a, maxSamples*min(p.set.Zones, 2))
}

func (p *Policy) RecordDemand(id, group, count, failed int, covers float64) {
	if q := p.byID[id]; q != nil && group >= 0 && group < len(q.demand) {
		a := sample{q.zone, p.now, float64(count - failed), float64(failed), 0, covers}
		q.demand[group] = appendBounded(q.demand[group], a, maxSamples)
	}
}

// Acknowledge answers a RequestAcknowledgement: what was ordered before it waits no more; late, it shows a slow channel.
func (p *Policy) Acknowledge(id, number int, took float64) {
	p.queueSlow = took > 2*p.set.MaxPropagationMs
	if q := p.byID[id]; q != nil {
		q.acknowledged = math.Max(q.acknowledged, q.acknowledgements[number])
		maps.DeleteFunc(q.acknowledgements, func(_ int, lines float64) bool { return lines <= q.acknowledged }) // also of answers lost
	}
}

// SetLagging tells that the planner hears late, or no longer: tidy lines and needless receipts rest meanwhile.
func (p *Policy) SetLagging(on bool) { p.lagging = on }

// Next makes at most one decision and says whether it did. The orders of a look share a message a proxy.
func (p *Policy) Next(h Host) bool {
	if p.now-p.evaluatedAt >= evaluationIntervalMs || p.dirty {
		p.evaluatedAt, p.dirty = p.now, false
		p.evaluate()
		p.judge()
		p.updateAdmissionIfDue()
		p.solveIfDue()
		p.plan()
	}
	for len(p.pendingDecisions) > 0 {
		act := p.pendingDecisions[0]
		if p.pendingDecisions = p.pendingDecisions[1:]; act(h) {
			return true
		}
	}
	if p.now < p.wakeAt {
		return false
	}
	p.wakeAt = p.now + evaluationIntervalMs
	h.SetTimer(evaluationIntervalMs)
	return true
}

// evaluate works out the figures that a look needs of servers, proxies and tables.
func (p *Policy) evaluate() {
	// A round of sums takes longer where there are more of them than the intake lets through.
	p.round = math.Max(p.set.ReportIntervalMs, quantile(p.covers, 2, func(x float64) float64 { return x }))
	p.window = math.Max(windowMs, reportRounds*p.round)
	p.succeededRate, p.admittedRate, p.latencyObjective = 0, 0, 0
	live := func(r *entry) bool { return r.target > 0 || r.sent > 0 }
	for _, s := range p.servers {
		s.entries = filter(s.entries, live)
		p.aggregateReports(s)
		p.succeededRate += s.windowed.good / p.window * 1000
	}
	used := filter(p.servers, func(s *server) bool { return s.usable() && !p.unverified(s) && s.windowed.attempts() > 0 })
	p.failureShare = quantile(used, 2, func(s *server) float64 { return s.windowed.failed / s.windowed.attempts() })
	used = filter(used, func(s *server) bool { return s.baseline > 0 && s.windowed.latency > 0 })
	p.latency = quantile(used, 2, func(s *server) float64 { return s.windowed.latency })
	p.baselineLatency = quantile(used, 2, func(s *server) float64 { return s.baseline })
	p.overloadRatio = quantile(used, 2, func(s *server) float64 { return s.windowed.latency / s.baseline })
	for _, t := range p.tables {
		t.entries, t.proxies, t.rate = filter(t.entries, live), nil, 0
	}
	for g := range p.admission {
		p.admission[g].came = 0
	}
	for _, q := range p.proxies {
		p.assign(q)
	}
	for g, l := range p.admission {
		p.admittedRate, p.latencyObjective = p.admittedRate+l.came*l.target, p.latencyObjective+(l.came*l.target+0.01)*p.set.Classes[g].LatencyObjectiveMs
	}
	p.latencyObjective /= p.admittedRate + 0.01*float64(len(p.admission))
}

// aggregateReports adds up a server's sums since its last verdict, the zones of a period together: one alone is noisy.
func (p *Policy) aggregateReports(s *server) {
	s.reports = s.reports[:0]
	for _, a := range s.samples {
		if a.at <= s.since {
			continue
		}
		n := len(s.reports) - 1
		if n < 0 || a.at-s.reports[n].at > p.set.ReportIntervalMs/2 {
			s.reports = append(s.reports, a)
			continue
		}
		b := &s.reports[n]
		b.latency = (b.latency*b.good + a.latency*a.good) / math.Max(b.good+a.good, 1)
		b.good, b.failed = a.good+b.good, a.failed+b.failed
	}
	p.clear = p.clear[:0]
	for _, a := range s.reports {
		if a.good >= 2 {
			p.clear = append(p.clear, a.latency)
		}
	}
	if s.baseline = 0; len(p.clear) > 0 { // the lower quartile of noisy means
		slices.Sort(p.clear)
		s.baseline = p.clear[len(p.clear)/4]
	}
	s.windowed, s.last = s.recent(p.now-p.window), s.recent(p.now-admissionRounds*p.round)
}

func (s *server) recent(since float64) (a sample) {
	for _, b := range s.reports {
		if b.at > since {
			a.good, a.failed, a.latency = a.good+b.good, a.failed+b.failed, a.latency+b.latency*b.good
		}
	}
	a.latency /= math.Max(a.good, 1)
	return a
}

func (a sample) attempts() float64 { return a.good + a.failed }

// assign gives a proxy not bound yet the copy of its zone that has the least to do, and counts what it brings.
func (p *Policy) assign(q *proxy) {
	for k := range p.parts {
		c, brings := p.clients[q.zone*p.parts+k], 0.0
		for _, g := range c.groups {
			came, span, tries := q.expectedRate/float64(len(p.admission)), 0.0, 0.0 // by its own word until it is heard
			for _, a := range q.demand[g] {                                         // a loop, as there are many proxies
				if a.at > p.now-p.window {
					span, tries = span+a.covers, tries+a.attempts()
				}
			}
			if span > 0 {
				came = tries / span * 1000
			}
			brings, p.admission[g].came = brings+came*p.admission[g].target, p.admission[g].came+came
		}
		for n, t := range c.tables {
			if q.cohort < 0 || k == 0 && q.bound[0] == nil && t.rate < c.tables[q.cohort].rate {
				q.cohort = n
			}
		}
		if len(c.tables) > 0 {
			t := c.tables[q.cohort]
			if q.bound[k] == t {
				t.proxies = append(t.proxies, q)
			}
			p.emptyTable = p.emptyTable || q.bound[k] == nil && t.rate == 0
			t.rate += brings
		}
	}
}

func (p *Policy) pollEndpoints(h Host) bool {
	if !p.set.WatchRequired || p.watching || p.now < p.pollAt {
		return false
	}
	p.pollAt = p.now + math.Max(p.pollBackoff, p.set.AssumeNotifiedMs/3)
	h.WatchEndpoints()
	return true
}

func (s *server) usable() bool { return s.State == Ready && !s.unhealthy }

func (p *Policy) cold(s *server) bool {
	return s.StartedMs > 0 && p.now-s.StartedMs < p.set.SlowStartMs
}

// unverified is a server new to the list that never delivered, though it is said to run since long ago; a wrong
// list may name some that are not ours. One that says when it started is new, and has the ramp of cold ones.
// Harm: a wrong list with starts would be believed until the evidence is in.
func (p *Policy) unverified(s *server) bool {
	return p.anySuccess && !s.proven && s.discoveredLate && s.StartedMs == 0
}

// ramp is the part of its cap that a server may be given: a cold one starts low and doubles.
func (p *Policy) ramp(s *server) float64 {
	part := math.Min(1, recoveryShare*math.Exp2((p.now-s.readmittedAt)/recoveryRampMs))
	if p.cold(s) {
		part = math.Min(part, slowStartMargin*p.set.ColdCapacity*math.Exp2(math.Max(p.now-s.StartedMs, 0)/slowStartDoublingMs))
	}
	if p.unverified(s) {
		part = math.Min(part, minCapacity)
	}
	return part
}

// solveIfDue solves every few seconds, and soon after servers came or went.
func (p *Policy) solveIfDue() {
	js := filter(p.servers, (*server).usable)
	since := p.now - p.solvedAt
	if len(js) == 0 || p.set.Sharded || since < 2*evaluationIntervalMs || since < solveEveryMs && !p.unsolved && !p.emptyTable {
		return // with no server to use, tables keep what they hold
	}
	// Two copies of a table, or as many as give each server two lines in short ones.
	each := float64(p.set.Proxies) / math.Max(float64(p.set.Zones*p.set.Planners), 1) // proxies of a client
	n := max(cohorts, int(math.Min(cohorts*float64(len(js))/float64(p.maxShare(js)), each/cohorts)))
	for _, c := range p.clients {
		for p.solves == 0 && len(c.tables) < n {
			t := &table{number: len(p.tables), due: true, urgentAt: unset}
			c.tables, p.tables = append(c.tables, t), append(p.tables, t)
		}
	}
	p.evaluate() // anew, as verdicts void what was heard and levels change what comes
	p.split(js, p.unsolved)
	p.solvedAt, p.unsolved, p.emptyTable, p.solves = p.now, false, false, p.solves+1
	for _, t := range p.tables {
		t.due = t.due || t.number%cohorts == p.solves%cohorts
	}
}

// maxShare is the number of lines that a table should hold: so few that the channel can send all in a second,
// that servers accept the connections, and that these are used before they idle out.
func (p *Policy) maxShare(js []*server) int {
	all, n := math.Max(float64(p.set.Proxies), 1), float64(len(p.proxies))
	ours := math.Max(all/math.Max(float64(p.set.Planners), 1), n)
	lines := math.Min(p.set.EntriesPerSecond*refreshMs/1000/ours, p.set.MinServerConnections*connectionQuota*float64(len(js))/all)
	if n > 0 {
		usual := sumBy(p.proxies, func(q *proxy) float64 { return q.expectedRate }) / n
		lines = math.Min(lines, usual*p.set.IdleTimeoutMs/1000/minRequestsPerConnection)
	}
	return max(int(lines), minTableEntries)
}

// split solves for all clients and sets what their tables should hold.
func (p *Policy) split(js []*server, changed bool) {
	J, ours, moved := float64(len(js)), 0.0, 0.0
	clients := slices.Clone(p.clients)
	for _, c := range clients {
		d := sumBy(c.tables, func(t *table) float64 { return t.rate })
		ours, moved, c.demand = ours+d, moved+math.Abs(d-c.demand)/2, d
	}
	// Proxies not ours to hear, other planners' or cut off, are taken to spread evenly and to bring as much as
	// ours. Without them a planner with one zone's proxies would spread these as if no one else used the rest.
	for z := range p.set.Zones {
		seen := filter(p.proxies, func(q *proxy) bool { return q.zone == z })
		n := math.Max(0, float64(p.set.Proxies)/float64(p.set.Zones)-float64(len(seen)))
		clients = append(clients, &client{zone: z, demand: n * ours / math.Max(float64(len(p.proxies)), 1)})
	}
	I, most := len(clients), p.maxShare(js)
	// Old prices and shares are forgotten after a shift of demand or servers, and while caps ramp up.
	ramps := slices.ContainsFunc(js, func(s *server) bool { return p.ramp(s) < 1 })
	changed = changed || ramps || p.ramps || moved > shift*ours
	p.ramps = ramps
	C := p.caps(js, ours)
	// L is taken per zone: within one, lows show the speed of servers, which their caps have already.
	typical, all := math.Max(p.baselineLatency, 1), sumBy(C, func(c float64) float64 { return c })*float64(I)
	low := slices.Repeat([]float64{typical}, p.set.Zones)
	for j, s := range js {
		C[j] *= float64(I)
		if s.baseline > 0 {
			low[s.Zone] = math.Min(low[s.Zone], s.baseline)
		}
	}
	D, cost, x, load := make([]float64, I), make([][]float64, I), make([][]cell, I), make([]float64, len(js))
	unit := math.Max(sumBy(clients, func(c *client) float64 { return c.demand }), minDemand) / float64(I)
	for i, c := range clients {
		D[i], cost[i], x[i] = math.Max(c.demand/unit, minDemand), make([]float64, len(js)), make([]cell, len(js))
		local := len(c.groups) > 0 && p.set.Classes[c.groups[0]].SameZoneOnly
		for j, s := range js {
			L := low[s.Zone]
			if s.Zone != c.zone {
				L += p.set.CrossZoneCost * p.latencyObjective
			}
			if s.Zone != c.zone && local {
				L = math.Inf(1)
			}
			cost[i][j] = L / typical / J * step
			if old, known := c.cells[s]; known && !changed {
				x[i][j] = old
			} else if !math.IsInf(L, 1) {
				x[i][j] = cell{alpha: C[j] / all, beta: C[j] / all}
			}
		}
	}
	solve(D, C, cost, x, maxLambda/J)
	for i := range x {
		for j := range js {
			load[j] += x[i][j].alpha * D[i]
		}
	}
	// What is heard late is leaned on less: when a shift between zones shows, the servers of one have filled.
	late := math.Max(0, 1-windowMs/p.round)
	for i, c := range p.clients {
		c.cells = map[*server]cell{}
		var lines []*weightEntry
		for j, s := range js {
			c.cells[s] = x[i][j]
			share := x[i][j].alpha + late*(C[j]/all-x[i][j].alpha)
			// Guards a cold server's budget: a split cut off after 20 iterations may exceed its cap.
			if p.ramp(s) < 1 && load[j] > C[j] {
				share *= C[j] / load[j]
			}
			if !math.IsInf(cost[i][j], 1) {
				lines = append(lines, &weightEntry{server: s, share: share})
			}
		}
		p.needs(c, lines, most, minWeightChange/J)
	}
}

// caps are the paper's C in parts of all demand, scaled to it with some room; cold ones are not scaled up.
// They are listed sizes by the speed that floors show, less while a server is jammed more than the fleet.
func (p *Policy) caps(js []*server, demand float64) []float64 {
	C, warm, cold := make([]float64, len(js)), 0.0, 0.0
	// Of what the fleet delivers, not of what comes: in a jam all flows run to the least busy.
	able := math.Min(1, math.Max(p.succeededRate, minDemand*demand)/math.Max(demand, minDemand))
	room := capacityHeadroom + recoveryHeadroom*math.Max(0, 1-p.latency/p.latencyObjective/recoveryThreshold)
	fleet := filter(js, func(s *server) bool { return !p.unverified(s) })
	size := math.Max(sumBy(fleet, func(s *server) float64 { return s.RelativeCapacity }), 1e-6)
	for j, s := range js {
		f, n := 1.0, float64(len(s.reports))
		if s.baseline > 0 && p.baselineLatency > 0 {
			f = math.Pow(p.baselineLatency/s.baseline, n/(n+minBaselineSamples))
			if s.windowed.attempts() >= 4 && s.windowed.latency > 0 {
				f *= math.Min(1, overloadSlack*p.overloadRatio*s.baseline/s.windowed.latency) * s.windowed.good / s.windowed.attempts()
			}
		}
		C[j] = s.RelativeCapacity / size * math.Max(f, minCapacity) * p.ramp(s)
		if p.ramp(s) < 1 {
			C[j] *= able
			cold += C[j]
		} else {
			warm += C[j]
		}
	}
	for j, s := range js {
		if p.ramp(s) >= 1 {
			C[j] *= math.Max(room-cold, 0.5) / warm
		}
	}
	return C
}

// needs turns a client's shares into what its tables should hold: no tiny lines, but enough. A fleet larger
// than a table is shared out: a copy keeps what it holds, as moves cost lines, then takes what few hold.
func (p *Policy) needs(c *client, lines []*weightEntry, most int, small float64) {
	slices.SortStableFunc(lines, func(a, b *weightEntry) int { return cmp.Compare(b.share, a.share) })
	n, all := 0, 0.0
	for _, l := range lines {
		if l.share >= small || n < minEntries || p.ramp(l.server) < 1 && l.share > small/4 {
			l.share = math.Max(l.share, small/4)
			lines[n], n, all = l, n+1, all+l.share
		}
	}
	lines = lines[:n]
	in := filter(c.tables, func(t *table) bool { return t.rate > 0 || c.demand == 0 })
	for _, t := range in {
		for _, r := range t.entries {
			r.target = 0
		}
	}
	for _, t := range in {
		for _, l := range lines {
			kept := func(r *entry) bool { return r.table == t && r.inUse() }
			if l.rank = len(l.rows); !slices.ContainsFunc(l.server.entries, kept) {
				l.rank += len(in)
			}
		}
		byRank := slices.Clone(lines)
		slices.SortStableFunc(byRank, func(a, b *weightEntry) int { return a.rank - b.rank })
		for _, l := range byRank[:min(n, most)] {
			l.rows = append(l.rows, t.row(l.server))
		}
	}
	for m, l := range lines {
		if len(l.rows) == 0 { // no server is left out
			l.rows = append(l.rows, in[m%len(in)].row(l.server))
		}
	}
	p.weigh(in, lines, all)
}

func (t *table) row(s *server) *entry {
	if n := slices.IndexFunc(s.entries, func(r *entry) bool { return r.table == t }); n >= 0 {
		return s.entries[n]
	}
	r := &entry{server: s, table: t}
	t.entries, s.entries = append(t.entries, r), append(s.entries, r)
	return r
}

// weigh sets weights so that the copies together give each server what the split gives it, by the flows that
// each brings: servers and tables are scaled in turn; the last time cold servers, and down only.
func (p *Policy) weigh(in []*table, lines []*weightEntry, all float64) {
	brings := func(t *table) float64 { return math.Max(t.rate, minDemand) }
	rate := sumBy(in, brings) // once, as there are many lines and rounds
	each := func(do func(l *weightEntry, r *entry)) {
		for _, l := range lines {
			for _, r := range l.rows {
				do(l, r)
			}
		}
	}
	each(func(l *weightEntry, r *entry) { r.target = l.share })
	for it := range iterations + 1 {
		sums := map[*table]float64{}
		for _, l := range lines {
			got := sumBy(l.rows, func(r *entry) float64 { return r.target * brings(r.table) }) / rate
			f := l.share / all / got
			if it == iterations && (f > 1 || p.ramp(l.server) >= 1) {
				f = 1
			}
			for _, r := range l.rows {
				r.target *= f
				sums[r.table] += r.target
			}
		}
		each(func(l *weightEntry, r *entry) { r.target /= sums[r.table] })
	}
	each(func(l *weightEntry, r *entry) { r.target = math.Max(math.Round(r.target*1e4), 1) / 1e4 })
}

// solve runs ADMM with rho 1. The cells are warm and updated in place; D averages 1; a cost may be infinite.
func solve(D, C []float64, cost [][]float64, x [][]cell, most float64) {
	v, d := make([]float64, len(C)+len(D)), make([]float64, len(C)+len(D))
	for range iterations {
		for i := range D { // Lemma 3
			for j, c := range x[i] {
				v[j], d[j] = c.beta-D[i]*cost[i][j]-c.lambda, 1
			}
			mu := waterline(v[:len(C)], d[:len(C)], 1)
			for j := range C {
				x[i][j].alpha = math.Max(v[j]-mu, 0)
			}
		}
		for j := range C { // Lemma 1 with prices zero, and the dual step
			for i := range D {
				v[i], d[i] = math.Max(x[i][j].lambda+x[i][j].alpha, 0), D[i]
			}
			nu := math.Max(waterline(v[:len(D)], d[:len(D)], C[j]), 0)
			for i := range D {
				c := &x[i][j]
				c.beta = math.Max(v[i]-D[i]*nu, 0)
				c.lambda = math.Min(math.Max(c.lambda+c.alpha-c.beta, -most), most)
			}
		}
	}
}

// waterline finds nu with the sum of d*max(v-d*nu, 0) equal to C; leaving out those under it only raises it.
// Where it does not, by rounding, one at the line would come back in for ever.
func waterline(v, d []float64, C float64) float64 {
	for nu, n := -math.MaxFloat64, math.MaxInt; ; {
		sumDV, sumDD, in := 0.0, 0.0, 0
		for i := range v {
			if v[i] > d[i]*nu {
				sumDV, sumDD, in = sumDV+d[i]*v[i], sumDD+d[i]*d[i], in+1
			}
		}
		if in >= n || in == 0 {
			return nu
		}
		nu, n = (sumDV-C)/sumDD, in
	}
}

// judge runs the sequential test on each server's sums and calls off verdicts that are served.
func (p *Policy) judge() {
	fleet := filter(p.servers, func(s *server) bool { return s.State == Ready && !p.unverified(s) })
	n, out := float64(len(fleet)), float64(1+len(fleet)-len(filter(fleet, (*server).usable)))
	unheard := filter(p.proxies, func(q *proxy) bool { return p.now-q.joined < ejectionMs })
	rough := p.failureShare > maxEjected || len(unheard) > len(p.proxies)/3 // or may be, beyond what is heard
	for _, s := range p.servers {
		switch {
		case s.State != Ready || s.unhealthy && p.now < s.unhealthyUntil:
		case s.unhealthy:
			s.unhealthy, s.since, s.readmittedAt, p.unsolved = false, p.now, p.now, true
		case p.cold(s) && rough && out <= maxEjectedForRest*n:
			// Proxies keep away from servers that drop and try others: a cold one would get it all.
			s.unhealthy, s.unhealthyUntil, p.unsolved, out = true, p.now+p.set.ColdOverloadWindowMs, true, out+1
		case p.evidence(s) >= ejectionThreshold && out <= maxEjected*n:
			// Many bad servers at once are more likely a fault of what we hear: a cut, a jam, stale news.
			s.unhealthyUntil = p.now + math.Min(ejectionMs*math.Exp2(float64(s.ejections)), maxEjectionMs)
			s.unhealthy, s.since, p.unsolved, s.ejections, out = true, p.now, true, s.ejections+1, out+1
		}
	}
}

// evidence is a CUSUM of log likelihood ratios, dead against sound, by drops and silence. A round of sums is
// longer the more there is to tell; so only what is missing from a round counts as silence.
func (p *Policy) evidence(s *server) (score float64) {
	good := math.Min(math.Max(minOverloadFailureShare, 2*p.failureShare), maxOverloadFailureShare)
	way := p.set.MaxPropagationMs + p.set.ReportIntervalMs
	last := math.Max(s.since, s.addedAt) + math.Max(way, ejectionMs-reportRounds*p.round)
	for _, a := range s.reports {
		if a.at <= s.since+way {
			continue
		}
		add := a.failed*math.Log(deadFailureShare/good) + a.good*math.Log((1-deadFailureShare)/(1-good))
		score = math.Max(0, score+math.Max(-maxSampleEvidence, math.Min(add, maxSampleEvidence)))
		last = math.Max(a.at, s.addedAt+way)
	}
	if quiet := p.reportedAt - last - reportRounds*p.round; quiet > 0 && !s.ejected {
		sent := sumBy(s.entries, func(r *entry) float64 { return r.sent * r.table.rate }) / 1000
		score += quiet * math.Min(sent, maxSampleEvidence/p.set.ReportIntervalMs)
	}
	if p.unverified(s) {
		score *= 2 // it may be none of ours
	}
	return score
}

// updateAdmissionIfDue moves the share of flows let in. The groups that earn least for their work give way first.
func (p *Policy) updateAdmissionIfDue() {
	if !p.set.PartialAdmission || p.now-p.admissionAt < admissionIntervalMs {
		return
	}
	p.admissionAt = p.now
	all := sumBy(p.admission, func(l admission) float64 { return l.came })
	if all == 0 || p.latency == 0 {
		return
	}
	// Only the last sums count, as older ones are from before the last step. Drops without a wait are servers
	// that refuse us, not a fleet that is full.
	used := filter(p.servers, func(s *server) bool { return s.usable() && !p.unverified(s) && s.last.attempts() > 0 })
	drops := quantile(used, 2, func(s *server) float64 { return s.last.failed / s.last.attempts() })
	used = filter(used, func(s *server) bool { return s.last.latency > 0 })
	latency := quantile(used, 2, func(s *server) float64 { return s.last.latency })
	tries := sumBy(p.servers, func(s *server) float64 { return s.last.attempts() })
	delivered := p.admittedRate * sumBy(p.servers, func(s *server) float64 { return s.last.good }) / math.Max(tries, 1)
	share, late := p.admittedRate/all, latency/p.latencyObjective
	wait := math.Max(latency-p.baselineLatency, 0) / math.Max(p.latencyObjective-p.baselineLatency, p.baselineLatency)
	switch {
	case late > overloadThreshold || late > recoveryThreshold && drops > overloadFailureShare:
		// What was delivered is what the fleet can do; less lets the jam drain, and is let in at once afterwards.
		// A second cut before this one shows would be too deep.
		p.capacityRate, p.admissionAt = math.Max(delivered, minCapacityKept*p.capacityRate), p.now+admissionIntervalMs/2
		share = math.Min(share, math.Max(share*admissionDecrease, p.capacityRate*recoveryAdmission/all))
	case wait < recoveryThreshold && drops < overloadFailureShare:
		p.capacityRate = math.Max(p.capacityRate, delivered)
		share = math.Max(share*(1+admissionIncrease*(1-wait/recoveryThreshold)), math.Min(p.capacityRate*recoveryAdmission/all, 1))
	}
	cut := math.Max(1-share, 0) * all
	for _, g := range p.order {
		here := math.Min(cut, p.admission[g].came*(1-admissionStep))
		p.admission[g].target = math.Round((1-here/math.Max(p.admission[g].came, 1e-9))*20) / 20
		cut -= here
	}
}

// plan lists what is to do, what cannot wait first. Each entry is one decision, made if the channel has room.
func (p *Policy) plan() {
	p.pendingDecisions = append(p.pendingDecisions[:0:0], p.pollEndpoints)
	lines := [required + 1][]func(Host) bool{}
	for _, t := range p.tables {
		p.changes(t, &lines)
	}
	p.pendingDecisions = append(p.pendingDecisions, lines[required]...)
	rush := p.rush()
	drains, fit := p.drains(rush)
	if fit {
		for _, s := range drains {
			p.pendingDecisions = append(p.pendingDecisions, func(h Host) bool { return p.mask(h, s, true, rush) })
		}
	}
	for _, q := range p.proxies {
		for k := range p.parts {
			if q.bound[k] == nil && q.cohort >= 0 && fit {
				p.bind(q, k, rush)
			}
		}
	}
	for _, s := range p.servers { // after first tables: many cold servers rest at once when planners restart
		if out := !s.usable() && !p.expired(s); out != s.ejected && (out || !p.unsolved) && (!rush || s.State == Ready) {
			p.pendingDecisions = append(p.pendingDecisions, func(h Host) bool { return p.mask(h, s, out, rush) })
		}
	}
	p.pendingDecisions = append(p.pendingDecisions, lines[urgent]...)
	for g := range p.admission {
		p.pendingDecisions = append(p.pendingDecisions, func(h Host) bool {
			l := &p.admission[g]
			if l.target == l.sent || (l.sent >= 0 && !p.spendBudget(1, p.proxies, urgent)) {
				return false
			}
			l.sent = l.target
			h.SetAdmission(AllTables, g, l.target, l.retry)
			return true
		})
	}
	for _, q := range p.proxies {
		if q.inheritedEjections {
			p.pendingDecisions = append(p.pendingDecisions, func(h Host) bool { return p.restore(h, q, len(q.unrestored), deferrable) })
		}
	}
	if !p.lagging {
		p.pendingDecisions = append(p.pendingDecisions, lines[deferrable]...)
	}
	p.pendingDecisions = append(p.pendingDecisions, p.receipt)
}

// queue works out the lines that wait, with heads, as the channel drains them; no more than have not arrived.
func (p *Policy) queue() float64 {
	drained := (p.now - p.countedAt) * p.set.EntriesPerSecond / 1000
	if p.queueSlow {
		drained /= maxQueueSlowdown
	}
	p.departedBacklog = math.Max(0, p.departedBacklog-drained)
	p.backlog = math.Min(math.Max(0, p.backlog-drained), p.unsure())
	p.countedAt = p.now
	return p.backlog
}

// unsure are lines not known to have arrived: at the most, these wait, however slow the channel is.
func (p *Policy) unsure() float64 {
	return p.departedBacklog + sumBy(p.proxies, func(q *proxy) float64 { return q.ordered - q.acknowledged })
}

// spendBudget counts an order of so many lines to each of some proxies, if there is room for it.
func (p *Policy) spendBudget(lines float64, to []*proxy, urgency int) bool {
	fresh := filter(to, func(q *proxy) bool { return !q.reached(p.now) })
	cost := lines*float64(len(to)) + p.set.MessageOverhead*float64(len(fresh))
	for _, q := range fresh {
		recent := filter(q.sent, func(at float64) bool { return at > p.now-p.set.MessageWindowMs })
		if most := float64(p.set.MaxMessages) * messageShare[urgency]; most > 0 && float64(len(recent)+1) > most {
			return false
		}
	}
	full := p.queue()+cost > p.set.MaxBacklog*queueShare[urgency] ||
		p.unsure()+cost > p.set.MaxBacklog*max(queueShare[required], queueShare[urgency])
	if full && (p.unsure() > 0 || urgency < required) {
		return false
	}
	p.backlog += cost
	for _, q := range to {
		q.ordered += lines
	}
	for _, q := range fresh {
		q.sent, q.ordered = appendBounded(q.sent, p.now, p.set.MaxMessages+1), q.ordered+p.set.MessageOverhead
	}
	return true
}

func (q *proxy) reached(now float64) bool { return len(q.sent) > 0 && q.sent[len(q.sent)-1] == now }

// mask shuts out a server that drains, is gone or was judged bad, or lets one back once no table holds more
// of it than its ramp allows. It concerns proxies whose tables hold it or are not ours; else its line tells.
func (p *Policy) mask(h Host, s *server, out, rush bool) bool {
	if out && p.solves > 0 && !slices.ContainsFunc(s.entries, (*entry).inUse) &&
		(rush || !slices.ContainsFunc(p.proxies, (*proxy).foreign)) {
		return false // as below, but there may be many
	}
	to := p.holders(s, out, rush)
	if out && (len(to) == 0 || s.State == Ready && !slices.ContainsFunc(s.entries, (*entry).inUse)) ||
		!out && slices.ContainsFunc(s.entries, (*entry).overTarget) {
		return false
	}
	// A drain waits to share its message only while messages are short, and not too long.
	must := out && (s.State != Ready || p.cold(s)) &&
		(rush || p.now >= s.notified+p.set.DrainGraceMs/2-p.set.MaxPropagationMs)
	last := required + min(int(s.State), 1) // drained, unless it is ready
	lines := 1.0
	if !out && p.set.OmitsEntries {
		lines++ // the entry that was omitted, and the end of another planner's ejection
	}
	if !p.spendBudget(lines, to, urgent) && !(must && p.spendBudget(lines, to, last)) {
		return false
	}
	s.ejected = out
	for _, q := range to {
		q.ejected[s] = out
	}
	h.SetEjected(s.Server, out, !rush)
	return true
}

// changes lists the lines of a table to send, additions first so that none runs bare, by how urgent they are.
func (p *Policy) changes(t *table, lines *[required + 1][]func(Host) bool) {
	missing, all, live := 0.0, 0.0, 0
	var moved []*entry
	for _, r := range t.entries {
		if r.inUse() && !r.server.ejected {
			live++
		}
		missing, all = missing+math.Max(r.target-r.sent, 0), all+r.target
		if math.Abs(r.target-r.sent) > minWeightChange*r.sent {
			moved = append(moved, r)
		}
	}
	rested := !p.unsolved && (t.urgentAt == p.now || p.now-t.urgentAt >= urgentIntervalMs)
	slices.SortStableFunc(moved, func(a, b *entry) int { return cmp.Compare(b.target-b.sent, a.target-a.sent) })
	for _, r := range moved {
		need := deferrable
		switch {
		case live == 0 && r.target > 0 || len(t.proxies) == 0:
			need = required
		case r.target > 0 && (live == 1 || missing > maxMissingWeight*all),
			live > 1 && p.ramp(r.server) < 1 && r.server.usable() && r.overTarget():
			need = urgent
		}
		missing -= math.Max(r.target-r.sent, 0)
		if r.sent == 0 {
			live++
		}
		if all > 0 && (need == deferrable && t.due || need > deferrable && rested) { // never empty a table
			lines[need] = append(lines[need], func(h Host) bool { return p.send(h, r, need) })
		}
	}
	t.due = t.due && len(moved) > 0
}

func (p *Policy) send(h Host, r *entry, urgency int) bool {
	t, lines := r.table, 1.0
	if len(t.proxies) > 0 { // where it is withdrawn still, or another planner may have done so
		told := filter(t.proxies, func(q *proxy) bool {
			return r.sent == 0 && (q.inheritedEjections || q.ejected[r.server] && p.set.ReadmitByWeight) ||
				r.target > 0 && slices.ContainsFunc(q.unrestored, func(x restoration) bool { return x.server == r.server })
		})
		lines += float64(len(told)) / float64(len(t.proxies))
	}
	if r.target == r.sent || len(t.proxies) > 0 && !p.spendBudget(lines, t.proxies, urgency) {
		return false
	}
	if r.sent == 0 {
		r.server.addedAt = p.now
	}
	for _, q := range t.proxies {
		q.ejected[r.server] = r.server.ejected
	}
	if r.sent = r.target; urgency > deferrable {
		t.urgentAt = p.now
	}
	h.SetWeight(t.number, r.server.Server, r.target)
	return true
}

func (r *entry) inUse() bool { return r.sent > 0 }

func (r *entry) overTarget() bool { return r.sent > 1.5*r.target+weightTolerance }

// foreign is a proxy that may go by tables of another planner, as it is not bound to all of ours yet.
func (q *proxy) foreign() bool { return q.inheritedEjections && slices.Contains(q.bound, nil) }

// holders are the proxies that a withdrawal or its end concerns.
func (p *Policy) holders(s *server, out, rush bool) []*proxy {
	return filter(p.proxies, func(q *proxy) bool {
		return (out || q.ejected[s]) && slices.ContainsFunc(q.bound, func(t *table) bool {
			return t == nil && !rush ||
				t != nil && slices.ContainsFunc(s.entries, func(r *entry) bool { return r.table == t && r.inUse() })
		})
	})
}

// drains are the ejections that go before first tables in a rush: of the oldest notification, as both have its grace,
// and of later ones when theirs gets short. They go together, as few proxies hold each server, and one by one each
// would cost messages: tables wait until the channel has room for all, or little waits in it.
func (p *Policy) drains(rush bool) (drains []*server, fit bool) {
	if !rush {
		return nil, true
	}
	cost, to, oldest := 0.0, map[*proxy]bool{}, p.now
	for _, s := range p.servers {
		if s.State != Ready && p.now < s.notified+p.set.DrainGraceMs {
			oldest = min(oldest, s.notified)
		}
	}
	short := p.now - p.set.DrainGraceMs/2 + p.set.MaxPropagationMs // as in mask
	for _, s := range filter(p.servers, func(s *server) bool {
		return s.State != Ready && !s.ejected && s.notified <= max(oldest, short)
	}) {
		holders := p.holders(s, true, rush)
		for _, q := range holders {
			to[q] = true
		}
		drains, cost = append(drains, s), cost+float64(len(holders))
	}
	cost += p.set.MessageOverhead * float64(len(to))
	room := p.set.MaxBacklog*queueShare[drainEjection] - max(p.queue(), p.unsure())
	return drains, cost <= room || p.unsure() < p.set.MaxBacklog*queueShare[required]/2
}

// rush says that proxies with tables of other planners wait for ours while servers drain. Guards against telling
// each such proxy of each drain: that filled the channel, their tables waited, and the next drains cost as much.
func (p *Policy) rush() bool {
	foreign := filter(p.proxies, (*proxy).foreign)
	drains := func(s *server) bool { return s.State != Ready && p.now < s.notified+p.set.DrainGraceMs }
	if len(foreign) == 0 || !slices.ContainsFunc(p.servers, drains) {
		return false
	}
	for _, q := range foreign {
		for _, c := range p.clients[q.zone*p.parts : (q.zone+1)*p.parts] {
			if q.cohort < 0 || !slices.ContainsFunc(c.tables[q.cohort].entries, (*entry).inUse) {
				return false // there is no table to wait for
			}
		}
	}
	return true
}

// bind gives a proxy its first table. It takes the place of what another planner gave it, with all that drains:
// after many joins that costs less than an ejection of each server, and must not wait behind those. In a rush the
// light entries follow later.
func (p *Policy) bind(q *proxy, k int, rush bool) {
	c := p.clients[q.zone*p.parts+k]
	t := c.tables[q.cohort]
	p.pendingDecisions = append(p.pendingDecisions, func(h Host) bool {
		out := filter(t.entries, func(r *entry) bool { return r.server.ejected })
		back := filter(t.entries, func(r *entry) bool { return !r.server.ejected && q.ejected[r.server] })
		inherited := filter(t.entries, func(r *entry) bool {
			return q.inheritedEjections && r.inUse() && !r.server.ejected && !q.ejected[r.server]
		})
		restored := len(inherited) // with the table
		var omitted []*entry
		if rush && p.set.OmitsEntries {
			slices.SortStableFunc(inherited, func(a, b *entry) int { return cmp.Compare(b.sent, a.sent) })
			restored = min(restored, minEntries)
			omitted = omittedEntries(q, out, inherited)
		}
		cost := float64(1 + len(p.admission) + len(t.entries) + len(out) + len(back) + restored - len(omitted))
		cost -= float64(len(filter(omitted, func(r *entry) bool { return r.server.ejected }))) // not notified
		if !slices.ContainsFunc(t.entries, (*entry).inUse) || !p.spendBudget(cost, []*proxy{q}, required) {
			return false
		}
		q.bound[k], t.proxies = t, append(t.proxies, q)
		for _, r := range t.entries {
			q.ejected[r.server] = r.server.ejected
		}
		for _, r := range inherited {
			pending := restoration{server: r.server, entries: 1}
			if slices.Contains(omitted, r) {
				pending.entries++
			}
			q.unrestored = append(q.unrestored, pending)
		}
		q.paid += restored
		h.AssignTable(q.id, t.number, c.groups, serverNames(omitted))
		return true
	}, func(h Host) bool {
		most := q.paid
		q.paid = 0
		return p.restore(h, q, most, paid)
	})
}

// omittedEntries are those of a table that a proxy is not sent with its assignment: of ejected servers, and the
// light ones. Guards the channel when many proxies join during a release.
func omittedEntries(q *proxy, out, inherited []*entry) []*entry {
	omitted := filter(out, func(r *entry) bool { return r.inUse() && !q.ejected[r.server] })
	all, weight := sumBy(inherited, func(r *entry) float64 { return r.sent }), 0.0
	for n, r := range inherited {
		if n >= minEntries && weight >= essential*all {
			return append(omitted, inherited[n:]...)
		}
		weight += r.sent
	}
	if len(inherited) == 0 {
		return nil // a table is never sent empty
	}
	return omitted
}

// restore ends ejections that others may have ordered of servers in a proxy's tables, and sends entries that were
// omitted: of a few with the assignment, so that there is one to pick for certain, of the rest when there is room.
func (p *Policy) restore(h Host, q *proxy, most, urgency int) bool {
	restored := q.unrestored[:most]
	cost := sumBy(restored, func(r restoration) float64 { return r.entries })
	if most == 0 || urgency != paid && !p.spendBudget(cost, []*proxy{q}, urgency) {
		return false
	}
	servers := make([]string, 0, most)
	for _, r := range restored {
		servers = append(servers, r.server.Server)
	}
	q.unrestored = q.unrestored[most:]
	h.RestoreServers(q.id, servers)
	return true
}

// receipt asks how long the messages of this tick take: once a solve, and more often while much may wait.
func (p *Policy) receipt(h Host) bool {
	if (p.acknowledgedSolve == p.solves || p.lagging) && p.unsure() < p.set.MaxBacklog*queueShare[urgent]/2 {
		return false
	}
	to := filter(p.proxies, func(q *proxy) bool { return q.reached(p.now) })
	if len(to) == 0 {
		return false
	}
	p.acknowledgedSolve, p.acknowledgementNumber = p.solves, (p.acknowledgementNumber+1)%65536
	for _, q := range to { // not held back: without an answer a full queue would stay full
		p.backlog, q.ordered = p.backlog+1, q.ordered+1
		q.acknowledgements[p.acknowledgementNumber] = q.ordered
	}
	h.RequestAcknowledgement(p.acknowledgementNumber)
	return true
}
