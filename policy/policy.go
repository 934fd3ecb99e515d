// Package policy decides for one planner: which tables its proxies follow, and when they hear of it.
//
// How to call it: New at each start, then the input methods after a Tick with the time; they only update what
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
	solveEveryMs = 2500.0 // ms; half the design's 5 s: two copies then give each proxy news every 5 s
	iterations   = 20     // the paper's ADMM-20
	headroom     = 1.01   // sum of caps over demand; more idles the dearest servers of a linear cost
	calmRoom     = 0.4    // more of it while latencies are low; flows then stay in their zone
	step         = 0.3    // cost of an average line in units of an average share, so that rho 1 converges
	lambdaMost   = 4.0    // in the same unit; a price beyond it outlives the jam that made it
	leastDemand  = 0.02   // share of a client's fair part; an idle client still needs a sound table
	shift        = 0.3    // part of all demand that moved; old prices and shares are forgotten then

	copies     = 2      // staged copies of a client's table, at least; half the proxies try a split first
	refreshMs  = 1000.0 // ms of the channel that all lines of all proxies may take; a rush of joins fits then
	connShare  = 0.4    // part of the connections that the smallest server accepts; full ones work slower
	keptOpen   = 5.0    // flows on a line before its connection idles out; fewer open it ever anew
	shortest   = 8      // lines; a table keeps most of its servers when a fifth fails
	leastLines = 3      // lines of a client that are kept; two may be lost at once before a table is bare
	notable    = 0.25   // part of a line's weight that it moves by, or of an average line; less is noise
	hurryMs    = 1500.0 // ms between lines of a table that cannot wait; messages are few where tables run bare
	thin       = 0.4    // part of a table's weight that is missing when it cannot wait for its turn
	overshoot  = 0.005  // share of a table that a cold server's line may exceed its cap by; rounding

	keepSamples = 24     // sums kept of each server and proxy; a floor is sought in all of them
	windowMs    = 3500.0 // ms; three sums or more; longer ones show a trouble too late
	roundsBack  = 1.5    // rounds of sums looked back for at least; each server is in one of them
	capLeast    = 0.08   // part of a nominal cap; less would leave one unheard: slow, or new and maybe not ours
	sureAfter   = 3      // sums after which a floor counts half; fewer are chance
	jamSlack    = 1.5    // times the fleet's ratio of latency to floor that is no jam; sums are noisy
	doubleMs    = 5000.0 // ms; the design's doubling time of a new server's cap
	shyness     = 0.8    // part of the cold share that a start begins with; the pick of two may double it

	verdict    = 6.0     // nats; a dozen drops with nothing delivered, a false alarm in some 400 sums
	sumMost    = 4.0     // nats that a single sum may add; one odd report is never enough
	badShare   = 0.99    // share of drops of a dead server; one that delivers at all is full or slow, not dead
	goodShare  = 0.6     // least share of drops that a full server may have; its cap shrinks, it is not put out
	goodMost   = 0.95    // and the most, where the middle server drops half; an overload condemns nobody
	outMost    = 0.3     // part of the fleet out at once, or of flows dropped; beyond it the evidence is doubted
	outMs      = 5000.0  // ms; first stay out, doubled with each verdict, and time until one new can be judged
	outLongest = 20000.0 // ms; the longest, as the longest hangs
	restMost   = 0.8     // part of the fleet that may be out when cold ones rest; the others are mostly warm
	trialShare = 0.2     // part of its cap that a server is let back with; a second verdict costs little
	trialMs    = 1500.0  // ms in which that part doubles; full again in some three report periods

	levelMs    = 2000.0 // ms; a level shows in the sums after about this time
	jam        = 0.5    // latency over latency budget above which a tenth or so is late
	calm       = 0.35   // and below which drops are no jam; of the wait above floors, when levels may rise
	dropsMost  = 0.12   // share of flows dropped that means overload rather than chance
	levelDown  = 0.6    // most that one step may cut the flows let in to; sums may be late
	lastRounds = 1.2    // rounds of sums that levels go by; older ones are from before the last step
	ableKept   = 0.8    // part of what was once delivered that is believed in a jam; servers may be fewer
	drain      = 0.85   // part of the delivered rate let in during a jam, so that it drains
	levelUp    = 0.3    // part more let in at each step while latency is nil, less the nearer it is to calm
	levelEach  = 0.1    // least level of a traffic group; some of it shows whether the jam is over

	forgetMs   = 600000.0 // ms that a server gone, and in no table, is remembered; its name may come back
	slowest    = 6.0      // times slower that the channel may be at the worst, until a receipt shows otherwise
	askAgainMs = 1200.0   // ms; first wait after a failed call for the list, doubled each time
	wakeMs     = 200.0    // ms between looks when nothing comes in; well under every grace
)

// Urgency of an order: tidy work leaves room for what cannot wait, and both for what the rules ask for.
const (
	tidy = iota
	urgent
	ruled
	drained // withdrawals of what drains or is gone: nothing else may use up their messages
)

var (
	queueShare   = [...]float64{tidy: 0.15, urgent: 0.6, ruled: 0.65, drained: 0.9} // part of the longest queue
	messageShare = [...]float64{tidy: 0.34, urgent: 0.5, ruled: 0.7, drained: 0.92} // of the messages in a span
	never        = math.Inf(-1)
)

type sum struct {
	zone                              int
	at, good, failed, latency, covers float64
}

type server struct {
	Entry
	sums            []sum   // the last ones, oldest first
	rows            []*row  // its lines in our tables
	out, bad        bool    // withdrawn at the proxies; judged unfit
	proven, late    bool    // has delivered; not in the list that the planner started with
	since, badUntil float64 // last verdict, return or start: evidence before it is void; end of a verdict
	told, tried     float64 // when its state in the list changed; when it was let back after a verdict
	raised          float64 // when a table that did not hold it was sent it
	verdicts        int
	heard           []sum   // as of this look: its sums since the last verdict, by report period
	past, last      sum     // of these, in the window and in the last round
	own             float64 // its latency when not jammed, 0 when unheard
}

type proxy struct {
	id, zone, copy int
	usual, joined  float64          // flows per second by its own word; when its stream came up
	usage          [][]sum          // by traffic group
	bound          []*table         // by part
	sent           []float64        // times of the last messages
	ordered, done  float64          // lines ordered to it, and known to have reached it
	marks          map[int]float64  // lines ordered up to each receipt asked for
	shut           map[*server]bool // told by us to shut it out
	brings         bool             // withdrawals of others; a table then names each server twice
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

// line is a server's share of a client's flows, and its rows in the copies that hold it.
type line struct {
	server *server
	share  float64
	rows   []*row
	rank   int // in the order in which a copy takes lines
}

// table is one copy of a client's table. In a fleet larger than a table, copies hold different servers.
type table struct {
	number        int
	rows          []*row
	users         []*proxy // bound to it
	rate, hurried float64  // flows per second of its proxies; when lines that could not wait were last sent
	due           bool     // wants may be sent now
}

// row is a server's line in a table: its weight as decided, and as sent.
type row struct {
	server     *server
	table      *table
	want, sent float64
}

// level is the admission of one traffic group, the flows per second that come, and when they are repeated.
type level struct {
	want, sent, came float64
	retry            int
}

// Planner decides for the proxies joined to it. It shares nothing with other planners.
type Planner struct {
	set     Settings
	chance  *rand.Rand
	now     float64
	servers []*server
	byName  map[string]*server
	proxies []*proxy // joined, in order of joining
	byID    map[int]*proxy
	parts   int       // clients of a zone
	clients []*client // by zone
	tables  []*table
	levels  []level
	order   []int             // of traffic groups: those that earn least for their work first
	todo    []func(Host) bool // decisions of this look that are left

	solvedAt, levelAt, lookedAt, heardAt float64
	solves                               int
	ramps, unsolved                      bool // the last solve had servers on their ramp; usable servers changed
	empty, stirred, known                bool // a proxy joins an unused table; news; some server has delivered

	// As of this look: ms that sums come apart and are looked back for; the middle server; flows per second.
	round, window, latency, drops, floor, jammed, budget, let, delivered, able float64
	waiting, countedAt, followAt, askWait, wakeAt                              float64
	parted                                                                     float64 // lines to who left

	covers, clear   []float64 // of the last sums; latencies at hand
	marked, number  int       // solve that a receipt was last asked for; its number
	following, slow bool      // the list; the last receipt was late
	behind          bool      // what is heard is late
}

func New(set Settings, seed int64) *Planner {
	p := &Planner{
		set: set, chance: rand.New(rand.NewSource(seed)), byName: map[string]*server{},
		byID: map[int]*proxy{}, askWait: askAgainMs, unsolved: true,
		solvedAt: never, levelAt: never, lookedAt: never, wakeAt: never, heardAt: never,
	}
	var parts [2][]int // traffic groups that may go to the same servers
	for g, row := range set.Groups {
		l := level{want: 1, sent: 1, retry: set.DefaultRetry}
		if row.Repeat != Retriable && l.retry > RetryProven {
			l.sent, l.retry = -1, RetryProven // proxies must be told that they may not repeat
		}
		p.levels = append(p.levels, l)
		k := map[bool]int{true: 1}[row.OnlyZone]
		parts[k], p.order = append(parts[k], g), append(p.order, g)
	}
	slices.SortStableFunc(p.order, func(a, b int) int {
		g, h := set.Groups[a], set.Groups[b]
		return cmp.Compare(g.Utility*h.BudgetMs, h.Utility*g.BudgetMs)
	})
	for z := range set.Zones {
		for _, groups := range only(parts[:], func(groups []int) bool { return len(groups) > 0 }) {
			p.clients = append(p.clients, &client{zone: z, groups: groups})
		}
	}
	p.parts = len(p.clients) / max(set.Zones, 1)
	return p
}

// Tick tells the time. All that follows until the next Tick leaves in one message a proxy.
func (p *Planner) Tick(now float64) { p.now = now }

func (p *Planner) Listed(form ListForm, list []Entry) {
	if form == Failed {
		p.following, p.followAt = false, p.now+p.askWait*(0.5+p.chance.Float64())
		p.askWait = math.Min(2*p.askWait, p.set.AskWithinMs/2)
		return
	}
	if form != Restored {
		p.askWait, p.following = askAgainMs, true
	}
	p.unsolved, p.stirred = true, true
	seen := map[*server]bool{}
	for _, e := range list {
		if e.Zone < 0 || e.Zone >= p.set.Zones {
			continue
		}
		s := p.byName[e.Server]
		if e.Size = math.Max(e.Size, 1e-6); s == nil {
			s = &server{late: form != Restored && p.solves > 0, since: p.now, tried: never, raised: never}
			p.byName[e.Server], p.servers = s, append(p.servers, s)
		} else if e.BornMs > s.BornMs {
			// Back cold under its old name: what was heard is void, and what old tables sent it counts
			// against its budget, so that it rests until that is out of the window.
			s.sums, s.since, s.tried, s.verdicts = nil, p.now, never, 0
			s.bad, s.badUntil = e.BornMs > p.now-p.set.WarmUpMs, p.now+p.set.FallMs+p.set.LongestWayMs
		}
		if e.State != s.State { // withdrawn while ready, it may have come into tables that were not told
			s.told, s.out = p.now, s.out && s.State != Ready
		}
		s.Entry, seen[s] = e, true
	}
	for _, s := range p.servers {
		if form != Change && !seen[s] && s.State != Gone {
			s.State, s.told, s.out = Gone, p.now, s.out && s.State != Ready
		}
	}
	p.servers = only(p.servers, func(s *server) bool {
		keep := s.out || !p.spent(s)
		if !keep {
			delete(p.byName, s.Server)
			for _, q := range p.proxies {
				delete(q.shut, s)
			}
		}
		return keep
	})
}

// spent is a server that nothing is left to decide of: its withdrawal ends, and then it is forgotten.
func (p *Planner) spent(s *server) bool {
	return s.State == Gone && p.now-s.told > forgetMs && !slices.ContainsFunc(s.rows, (*row).held)
}

// Joined takes in a proxy, with the times of messages that another planner sent it: they count in its span.
func (p *Planner) Joined(id, zone int, usual float64, sent ...float64) {
	p.Left(id)
	if zone < 0 || zone >= p.set.Zones {
		return
	}
	q := &proxy{
		id: id, zone: zone, copy: -1, usual: usual, joined: p.now, sent: slices.Clone(sent),
		marks: map[int]float64{}, shut: map[*server]bool{},
		usage: make([][]sum, len(p.levels)), bound: make([]*table, p.parts),
	}
	if p.known && len(sent) > 0 { // taken over: another heard it since then, and we hear others meanwhile
		q.joined = math.Min(q.joined, sent[0])
	}
	p.byID[id], p.proxies, p.stirred = q, append(p.proxies, q), true
}

// Brings tells that a joined proxy may hold others' withdrawals, which its front ends in binding it. Counted,
// as a rush of such proxies would otherwise fill the channel beyond its limit.
func (p *Planner) Brings(id int) {
	if q := p.byID[id]; q != nil {
		q.brings = true
	}
}

func (p *Planner) Left(id int) {
	gone := p.byID[id]
	if delete(p.byID, id); gone != nil { // what waits for it stays in the channel until that has drained
		p.queue()
		p.parted += gone.ordered - gone.done
	}
	p.proxies = only(p.proxies, func(q *proxy) bool { return q != gone })
}

func only[T any](list []T, fits func(T) bool) []T {
	return slices.DeleteFunc(slices.Clone(list), func(x T) bool { return !fits(x) })
}

func total[T any](list []T, of func(T) float64) (sum float64) {
	for _, x := range list {
		sum += of(x)
	}
	return sum
}

// keep appends to the last ones, in place, as there are many.
func keep[T any](list []T, last T, most int) []T {
	if drop := len(list) - most + 1; drop > 0 {
		list = slices.Delete(list, 0, drop)
	}
	return append(list, last)
}

func (p *Planner) Heard(name string, zone, count, failed int, latency, covers float64) {
	s := p.byName[name]
	if s == nil || count <= 0 || zone < 0 || zone >= p.set.Zones {
		return
	}
	p.heardAt, s.proven = p.now, s.proven || failed < count
	p.known, p.covers = p.known || s.proven, keep(p.covers, covers, keepSamples)
	a := sum{zone, p.now, float64(count - failed), float64(failed), latency, covers}
	s.sums = keep(s.sums, a, keepSamples*min(p.set.Zones, 2))
}

func (p *Planner) Usage(id, group, count, failed int, covers float64) {
	if q := p.byID[id]; q != nil && group >= 0 && group < len(q.usage) {
		a := sum{q.zone, p.now, float64(count - failed), float64(failed), 0, covers}
		q.usage[group] = keep(q.usage[group], a, keepSamples)
	}
}

// Applied answers a Receipt: what was ordered before it waits no more; late, it shows a slow channel.
func (p *Planner) Applied(id, number int, took float64) {
	p.slow = took > 2*p.set.LongestWayMs
	if q := p.byID[id]; q != nil {
		q.done = math.Max(q.done, q.marks[number])
		maps.DeleteFunc(q.marks, func(_ int, lines float64) bool { return lines <= q.done }) // also of answers lost
	}
}

// Behind tells that the planner hears late, or no longer: tidy lines and needless receipts rest meanwhile.
func (p *Planner) Behind(on bool) { p.behind = on }

// Next makes at most one decision and says whether it did. The orders of a look share a message a proxy.
func (p *Planner) Next(h Host) bool {
	if p.now-p.lookedAt >= wakeMs || p.stirred {
		p.lookedAt, p.stirred = p.now, false
		p.look()
		p.judge()
		p.levelIfDue()
		p.solveIfDue()
		p.plan()
	}
	for len(p.todo) > 0 {
		act := p.todo[0]
		if p.todo = p.todo[1:]; act(h) {
			return true
		}
	}
	if p.now < p.wakeAt {
		return false
	}
	p.wakeAt = p.now + wakeMs
	h.Wake(wakeMs)
	return true
}

// look works out the figures that a look needs of servers, proxies and tables.
func (p *Planner) look() {
	// A round of sums takes longer where there are more of them than the intake lets through.
	p.round = math.Max(p.set.ReportEveryMs, quantile(p.covers, 2, func(x float64) float64 { return x }))
	p.window = math.Max(windowMs, roundsBack*p.round)
	p.delivered, p.let, p.budget = 0, 0, 0
	live := func(r *row) bool { return r.want > 0 || r.sent > 0 }
	for _, s := range p.servers {
		s.rows = only(s.rows, live)
		p.hear(s)
		p.delivered += s.past.good / p.window * 1000
	}
	used := only(p.servers, func(s *server) bool { return s.usable() && !p.stranger(s) && s.past.tries() > 0 })
	p.drops = quantile(used, 2, func(s *server) float64 { return s.past.failed / s.past.tries() })
	used = only(used, func(s *server) bool { return s.own > 0 && s.past.latency > 0 })
	p.latency = quantile(used, 2, func(s *server) float64 { return s.past.latency })
	p.floor = quantile(used, 2, func(s *server) float64 { return s.own })
	p.jammed = quantile(used, 2, func(s *server) float64 { return s.past.latency / s.own })
	for _, t := range p.tables {
		t.rows, t.users, t.rate = only(t.rows, live), nil, 0
	}
	for g := range p.levels {
		p.levels[g].came = 0
	}
	for _, q := range p.proxies {
		p.seat(q)
	}
	for g, l := range p.levels {
		p.let, p.budget = p.let+l.came*l.want, p.budget+(l.came*l.want+0.01)*p.set.Groups[g].BudgetMs
	}
	p.budget /= p.let + 0.01*float64(len(p.levels))
}

// hear adds up a server's sums since its last verdict, the zones of a period together: one alone is noisy.
func (p *Planner) hear(s *server) {
	s.heard = s.heard[:0]
	for _, a := range s.sums {
		if a.at <= s.since {
			continue
		}
		n := len(s.heard) - 1
		if n < 0 || a.at-s.heard[n].at > p.set.ReportEveryMs/2 {
			s.heard = append(s.heard, a)
			continue
		}
		b := &s.heard[n]
		b.latency = (b.latency*b.good + a.latency*a.good) / math.Max(b.good+a.good, 1)
		b.good, b.failed = a.good+b.good, a.failed+b.failed
	}
	p.clear = p.clear[:0]
	for _, a := range s.heard {
		if a.good >= 2 {
			p.clear = append(p.clear, a.latency)
		}
	}
	if s.own = 0; len(p.clear) > 0 { // the lower quartile of noisy means
		slices.Sort(p.clear)
		s.own = p.clear[len(p.clear)/4]
	}
	s.past, s.last = s.recent(p.now-p.window), s.recent(p.now-lastRounds*p.round)
}

func (s *server) recent(since float64) (a sum) {
	for _, b := range s.heard {
		if b.at > since {
			a.good, a.failed, a.latency = a.good+b.good, a.failed+b.failed, a.latency+b.latency*b.good
		}
	}
	a.latency /= math.Max(a.good, 1)
	return a
}

func (a sum) tries() float64 { return a.good + a.failed }

// seat gives a proxy not bound yet the copy of its zone that has the least to do, and counts what it brings.
func (p *Planner) seat(q *proxy) {
	for k := range p.parts {
		c, brings := p.clients[q.zone*p.parts+k], 0.0
		for _, g := range c.groups {
			came, span, tries := q.usual/float64(len(p.levels)), 0.0, 0.0 // by its own word until it is heard
			for _, a := range q.usage[g] {                                // a loop, as there are many proxies
				if a.at > p.now-p.window {
					span, tries = span+a.covers, tries+a.tries()
				}
			}
			if span > 0 {
				came = tries / span * 1000
			}
			brings, p.levels[g].came = brings+came*p.levels[g].want, p.levels[g].came+came
		}
		for n, t := range c.tables {
			if q.copy < 0 || k == 0 && q.bound[0] == nil && t.rate < c.tables[q.copy].rate {
				q.copy = n
			}
		}
		if len(c.tables) > 0 {
			t := c.tables[q.copy]
			if q.bound[k] == t {
				t.users = append(t.users, q)
			}
			p.empty = p.empty || q.bound[k] == nil && t.rate == 0
			t.rate += brings
		}
	}
}

func (p *Planner) follow(h Host) bool {
	if !p.set.MustFollow || p.following || p.now < p.followAt {
		return false
	}
	p.followAt = p.now + math.Max(p.askWait, p.set.AskWithinMs/3)
	h.Follow()
	return true
}

func (s *server) usable() bool { return s.State == Ready && !s.bad }

func (p *Planner) cold(s *server) bool { return s.BornMs > 0 && p.now-s.BornMs < p.set.WarmUpMs }

// stranger is a server new to the list that never delivered, though it is said to run since long ago; a wrong
// list may name some that are not ours. One that says when it started is new, and has the ramp of cold ones.
// Harm: a wrong list with starts would be believed until the evidence is in.
func (p *Planner) stranger(s *server) bool { return p.known && !s.proven && s.late && s.BornMs == 0 }

// ramp is the part of its cap that a server may be given: a cold one starts low and doubles.
func (p *Planner) ramp(s *server) float64 {
	part := math.Min(1, trialShare*math.Exp2((p.now-s.tried)/trialMs))
	if p.cold(s) {
		part = math.Min(part, shyness*p.set.ColdShare*math.Exp2(math.Max(p.now-s.BornMs, 0)/doubleMs))
	}
	if p.stranger(s) {
		part = math.Min(part, capLeast)
	}
	return part
}

func quantile[T any](list []T, part int, of func(T) float64) float64 {
	if len(list) == 0 {
		return 0
	}
	figures := make([]float64, len(list))
	for n, x := range list {
		figures[n] = of(x)
	}
	slices.Sort(figures)
	return figures[len(list)/part]
}

// solveIfDue solves every few seconds, and soon after servers came or went.
func (p *Planner) solveIfDue() {
	js := only(p.servers, (*server).usable)
	since := p.now - p.solvedAt
	if len(js) == 0 || p.set.Sliced || since < 2*wakeMs || since < solveEveryMs && !p.unsolved && !p.empty {
		return // with no server to use, tables keep what they hold
	}
	// Two copies of a table, or as many as give each server two lines in short ones.
	each := float64(p.set.Proxies) / math.Max(float64(p.set.Zones*p.set.Planners), 1) // proxies of a client
	n := max(copies, int(math.Min(copies*float64(len(js))/float64(p.most(js)), each/copies)))
	for _, c := range p.clients {
		for p.solves == 0 && len(c.tables) < n {
			t := &table{number: len(p.tables), due: true, hurried: never}
			c.tables, p.tables = append(c.tables, t), append(p.tables, t)
		}
	}
	p.look() // anew, as verdicts void what was heard and levels change what comes
	p.split(js, p.unsolved)
	p.solvedAt, p.unsolved, p.empty, p.solves = p.now, false, false, p.solves+1
	for _, t := range p.tables {
		t.due = t.due || t.number%copies == p.solves%copies
	}
}

// most is the number of lines that a table should hold: so few that the channel can send all in a second,
// that servers accept the connections, and that these are used before they idle out.
func (p *Planner) most(js []*server) int {
	all, n := math.Max(float64(p.set.Proxies), 1), float64(len(p.proxies))
	ours := math.Max(all/math.Max(float64(p.set.Planners), 1), n)
	lines := math.Min(p.set.ChannelRate*refreshMs/1000/ours, p.set.LeastConns*connShare*float64(len(js))/all)
	if n > 0 {
		usual := total(p.proxies, func(q *proxy) float64 { return q.usual }) / n
		lines = math.Min(lines, usual*p.set.IdleMs/1000/keptOpen)
	}
	return max(int(lines), shortest)
}

// split solves for all clients and sets what their tables should hold.
func (p *Planner) split(js []*server, changed bool) {
	J, ours, moved := float64(len(js)), 0.0, 0.0
	clients := slices.Clone(p.clients)
	for _, c := range clients {
		d := total(c.tables, func(t *table) float64 { return t.rate })
		ours, moved, c.demand = ours+d, moved+math.Abs(d-c.demand)/2, d
	}
	// Proxies not ours to hear, other planners' or cut off, are taken to spread evenly and to bring as much as
	// ours. Without them a planner with one zone's proxies would spread these as if no one else used the rest.
	for z := range p.set.Zones {
		seen := only(p.proxies, func(q *proxy) bool { return q.zone == z })
		n := math.Max(0, float64(p.set.Proxies)/float64(p.set.Zones)-float64(len(seen)))
		clients = append(clients, &client{zone: z, demand: n * ours / math.Max(float64(len(p.proxies)), 1)})
	}
	I, most := len(clients), p.most(js)
	// Old prices and shares are forgotten after a shift of demand or servers, and while caps ramp up.
	ramps := slices.ContainsFunc(js, func(s *server) bool { return p.ramp(s) < 1 })
	changed = changed || ramps || p.ramps || moved > shift*ours
	p.ramps = ramps
	C := p.caps(js, ours)
	// L is taken per zone: within one, lows show the speed of servers, which their caps have already.
	typical, all := math.Max(p.floor, 1), total(C, func(c float64) float64 { return c })*float64(I)
	low := slices.Repeat([]float64{typical}, p.set.Zones)
	for j, s := range js {
		C[j] *= float64(I)
		if s.own > 0 {
			low[s.Zone] = math.Min(low[s.Zone], s.own)
		}
	}
	D, cost, x, load := make([]float64, I), make([][]float64, I), make([][]cell, I), make([]float64, len(js))
	unit := math.Max(total(clients, func(c *client) float64 { return c.demand }), leastDemand) / float64(I)
	for i, c := range clients {
		D[i], cost[i], x[i] = math.Max(c.demand/unit, leastDemand), make([]float64, len(js)), make([]cell, len(js))
		local := len(c.groups) > 0 && p.set.Groups[c.groups[0]].OnlyZone
		for j, s := range js {
			L := low[s.Zone]
			if s.Zone != c.zone {
				L += p.set.CrossPrice * p.budget
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
	solve(D, C, cost, x, lambdaMost/J)
	for i := range x {
		for j := range js {
			load[j] += x[i][j].alpha * D[i]
		}
	}
	// What is heard late is leaned on less: when a shift between zones shows, the servers of one have filled.
	late := math.Max(0, 1-windowMs/p.round)
	for i, c := range p.clients {
		c.cells = map[*server]cell{}
		var lines []*line
		for j, s := range js {
			c.cells[s] = x[i][j]
			share := x[i][j].alpha + late*(C[j]/all-x[i][j].alpha)
			// Guards a cold server's budget: a split cut off after 20 iterations may exceed its cap.
			if p.ramp(s) < 1 && load[j] > C[j] {
				share *= C[j] / load[j]
			}
			if !math.IsInf(cost[i][j], 1) {
				lines = append(lines, &line{server: s, share: share})
			}
		}
		p.wants(c, lines, most, notable/J)
	}
}

// caps are the paper's C in parts of all demand, scaled to it with some room; cold ones are not scaled up.
// They are listed sizes by the speed that floors show, less while a server is jammed more than the fleet.
func (p *Planner) caps(js []*server, demand float64) []float64 {
	C, warm, cold := make([]float64, len(js)), 0.0, 0.0
	// Of what the fleet delivers, not of what comes: in a jam all flows run to the least busy.
	able := math.Min(1, math.Max(p.delivered, leastDemand*demand)/math.Max(demand, leastDemand))
	room := headroom + calmRoom*math.Max(0, 1-p.latency/p.budget/calm)
	fleet := only(js, func(s *server) bool { return !p.stranger(s) })
	size := math.Max(total(fleet, func(s *server) float64 { return s.Size }), 1e-6)
	for j, s := range js {
		f, n := 1.0, float64(len(s.heard))
		if s.own > 0 && p.floor > 0 {
			f = math.Pow(p.floor/s.own, n/(n+sureAfter))
			if s.past.tries() >= 4 && s.past.latency > 0 {
				f *= math.Min(1, jamSlack*p.jammed*s.own/s.past.latency) * s.past.good / s.past.tries()
			}
		}
		C[j] = s.Size / size * math.Max(f, capLeast) * p.ramp(s)
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

// wants turns a client's shares into what its tables should hold: no tiny lines, but enough. A fleet larger
// than a table is shared out: a copy keeps what it holds, as moves cost lines, then takes what few hold.
func (p *Planner) wants(c *client, lines []*line, most int, small float64) {
	slices.SortStableFunc(lines, func(a, b *line) int { return cmp.Compare(b.share, a.share) })
	n, all := 0, 0.0
	for _, l := range lines {
		if l.share >= small || n < leastLines || p.ramp(l.server) < 1 && l.share > small/4 {
			l.share = math.Max(l.share, small/4)
			lines[n], n, all = l, n+1, all+l.share
		}
	}
	lines = lines[:n]
	in := only(c.tables, func(t *table) bool { return t.rate > 0 || c.demand == 0 })
	for _, t := range in {
		for _, r := range t.rows {
			r.want = 0
		}
	}
	for _, t := range in {
		for _, l := range lines {
			kept := func(r *row) bool { return r.table == t && r.held() }
			if l.rank = len(l.rows); !slices.ContainsFunc(l.server.rows, kept) {
				l.rank += len(in)
			}
		}
		byRank := slices.Clone(lines)
		slices.SortStableFunc(byRank, func(a, b *line) int { return a.rank - b.rank })
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

func (t *table) row(s *server) *row {
	if n := slices.IndexFunc(s.rows, func(r *row) bool { return r.table == t }); n >= 0 {
		return s.rows[n]
	}
	r := &row{server: s, table: t}
	t.rows, s.rows = append(t.rows, r), append(s.rows, r)
	return r
}

// weigh sets weights so that the copies together give each server what the split gives it, by the flows that
// each brings: servers and tables are scaled in turn; the last time cold servers, and down only.
func (p *Planner) weigh(in []*table, lines []*line, all float64) {
	brings := func(t *table) float64 { return math.Max(t.rate, leastDemand) }
	rate := total(in, brings) // once, as there are many lines and rounds
	each := func(do func(l *line, r *row)) {
		for _, l := range lines {
			for _, r := range l.rows {
				do(l, r)
			}
		}
	}
	each(func(l *line, r *row) { r.want = l.share })
	for it := range iterations + 1 {
		sums := map[*table]float64{}
		for _, l := range lines {
			got := total(l.rows, func(r *row) float64 { return r.want * brings(r.table) }) / rate
			f := l.share / all / got
			if it == iterations && (f > 1 || p.ramp(l.server) >= 1) {
				f = 1
			}
			for _, r := range l.rows {
				r.want *= f
				sums[r.table] += r.want
			}
		}
		each(func(l *line, r *row) { r.want /= sums[r.table] })
	}
	each(func(l *line, r *row) { r.want = math.Max(math.Round(r.want*1e4), 1) / 1e4 })
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
func (p *Planner) judge() {
	fleet := only(p.servers, func(s *server) bool { return s.State == Ready && !p.stranger(s) })
	n, out := float64(len(fleet)), float64(1+len(fleet)-len(only(fleet, (*server).usable)))
	unheard := only(p.proxies, func(q *proxy) bool { return p.now-q.joined < outMs })
	rough := p.drops > outMost || len(unheard) > len(p.proxies)/3 // or may be, beyond what is heard
	for _, s := range p.servers {
		switch {
		case s.State != Ready || s.bad && p.now < s.badUntil:
		case s.bad:
			s.bad, s.since, s.tried, p.unsolved = false, p.now, p.now, true
		case p.cold(s) && rough && out <= restMost*n:
			// Proxies keep away from servers that drop and try others: a cold one would get it all.
			s.bad, s.badUntil, p.unsolved, out = true, p.now+p.set.FallMs, true, out+1
		case p.evidence(s) >= verdict && out <= outMost*n:
			// Many bad servers at once are more likely a fault of what we hear: a cut, a jam, stale news.
			s.badUntil = p.now + math.Min(outMs*math.Exp2(float64(s.verdicts)), outLongest)
			s.bad, s.since, p.unsolved, s.verdicts, out = true, p.now, true, s.verdicts+1, out+1
		}
	}
}

// evidence is a CUSUM of log likelihood ratios, dead against sound, by drops and silence. A round of sums is
// longer the more there is to tell; so only what is missing from a round counts as silence.
func (p *Planner) evidence(s *server) (score float64) {
	good := math.Min(math.Max(goodShare, 2*p.drops), goodMost)
	way := p.set.LongestWayMs + p.set.ReportEveryMs
	last := math.Max(s.since, s.raised) + math.Max(way, outMs-roundsBack*p.round)
	for _, a := range s.heard {
		if a.at <= s.since+way {
			continue
		}
		add := a.failed*math.Log(badShare/good) + a.good*math.Log((1-badShare)/(1-good))
		score = math.Max(0, score+math.Max(-sumMost, math.Min(add, sumMost)))
		last = math.Max(a.at, s.raised+way)
	}
	if quiet := p.heardAt - last - roundsBack*p.round; quiet > 0 && !s.out {
		sent := total(s.rows, func(r *row) float64 { return r.sent * r.table.rate }) / 1000
		score += quiet * math.Min(sent, sumMost/p.set.ReportEveryMs)
	}
	if p.stranger(s) {
		score *= 2 // it may be none of ours
	}
	return score
}

// levelIfDue moves the share of flows let in. The groups that earn least for their work give way first.
func (p *Planner) levelIfDue() {
	if !p.set.CanAdmit || p.now-p.levelAt < levelMs {
		return
	}
	p.levelAt = p.now
	all := total(p.levels, func(l level) float64 { return l.came })
	if all == 0 || p.latency == 0 {
		return
	}
	// Only the last sums count, as older ones are from before the last step. Drops without a wait are servers
	// that refuse us, not a fleet that is full.
	used := only(p.servers, func(s *server) bool { return s.usable() && !p.stranger(s) && s.last.tries() > 0 })
	drops := quantile(used, 2, func(s *server) float64 { return s.last.failed / s.last.tries() })
	used = only(used, func(s *server) bool { return s.last.latency > 0 })
	latency := quantile(used, 2, func(s *server) float64 { return s.last.latency })
	tries := total(p.servers, func(s *server) float64 { return s.last.tries() })
	delivered := p.let * total(p.servers, func(s *server) float64 { return s.last.good }) / math.Max(tries, 1)
	share, late := p.let/all, latency/p.budget
	wait := math.Max(latency-p.floor, 0) / math.Max(p.budget-p.floor, p.floor)
	switch {
	case late > jam || late > calm && drops > dropsMost:
		// What was delivered is what the fleet can do; less lets the jam drain, and is let in at once afterwards.
		// A second cut before this one shows would be too deep.
		p.able, p.levelAt = math.Max(delivered, ableKept*p.able), p.now+levelMs/2
		share = math.Min(share, math.Max(share*levelDown, p.able*drain/all))
	case wait < calm && drops < dropsMost:
		p.able = math.Max(p.able, delivered)
		share = math.Max(share*(1+levelUp*(1-wait/calm)), math.Min(p.able*drain/all, 1))
	}
	cut := math.Max(1-share, 0) * all
	for _, g := range p.order {
		here := math.Min(cut, p.levels[g].came*(1-levelEach))
		p.levels[g].want = math.Round((1-here/math.Max(p.levels[g].came, 1e-9))*20) / 20
		cut -= here
	}
}

// plan lists what is to do, what cannot wait first. Each entry is one decision, made if the channel has room.
func (p *Planner) plan() {
	p.todo = append(p.todo[:0:0], p.follow)
	lines := [ruled + 1][]func(Host) bool{}
	for _, t := range p.tables {
		p.changes(t, &lines)
	}
	p.todo = append(p.todo, lines[ruled]...)
	for _, q := range p.proxies {
		for k := range p.parts {
			if q.bound[k] == nil && q.copy >= 0 {
				p.bind(q, k)
			}
		}
	}
	for _, s := range p.servers { // after first tables: many cold servers rest at once when planners restart
		if out := !s.usable() && !p.spent(s); out != s.out && (out || !p.unsolved) {
			p.todo = append(p.todo, func(h Host) bool { return p.mask(h, s, out) })
		}
	}
	p.todo = append(p.todo, lines[urgent]...)
	for g := range p.levels {
		p.todo = append(p.todo, func(h Host) bool {
			l := &p.levels[g]
			if l.want == l.sent || (l.sent >= 0 && !p.pay(1, p.proxies, urgent)) {
				return false
			}
			l.sent = l.want
			h.Admit(AllTables, g, l.want, l.retry)
			return true
		})
	}
	if !p.behind {
		p.todo = append(p.todo, lines[tidy]...)
	}
	p.todo = append(p.todo, p.receipt)
}

// queue works out the lines that wait, with heads, as the channel drains them; no more than have not arrived.
func (p *Planner) queue() float64 {
	drained := (p.now - p.countedAt) * p.set.ChannelRate / 1000
	if p.slow {
		drained /= slowest
	}
	p.parted = math.Max(0, p.parted-drained)
	p.waiting = math.Min(math.Max(0, p.waiting-drained), p.unsure())
	p.countedAt = p.now
	return p.waiting
}

// unsure are lines not known to have arrived: at the most, these wait, however slow the channel is.
func (p *Planner) unsure() float64 {
	return p.parted + total(p.proxies, func(q *proxy) float64 { return q.ordered - q.done })
}

// pay counts an order of so many lines to each of some proxies, if there is room for it.
func (p *Planner) pay(lines float64, to []*proxy, urgency int) bool {
	fresh := only(to, func(q *proxy) bool { return !q.reached(p.now) })
	cost := lines*float64(len(to)) + p.set.HeadLines*float64(len(fresh))
	for _, q := range fresh {
		recent := only(q.sent, func(at float64) bool { return at > p.now-p.set.MessageSpanMs })
		if most := float64(p.set.MostMessages) * messageShare[urgency]; most > 0 && float64(len(recent)+1) > most {
			return false
		}
	}
	full := p.queue()+cost > p.set.MostWaiting*queueShare[urgency] ||
		p.unsure()+cost > p.set.MostWaiting*max(queueShare[ruled], queueShare[urgency])
	if full && (p.unsure() > 0 || urgency < ruled) {
		return false
	}
	p.waiting += cost
	for _, q := range to {
		q.ordered += lines
	}
	for _, q := range fresh {
		q.sent, q.ordered = keep(q.sent, p.now, p.set.MostMessages+1), q.ordered+p.set.HeadLines
	}
	return true
}

func (q *proxy) reached(now float64) bool { return len(q.sent) > 0 && q.sent[len(q.sent)-1] == now }

// mask shuts out a server that drains, is gone or was judged bad, or lets one back once no table holds more
// of it than its ramp allows. It concerns proxies whose tables hold it or are not ours; else its line tells.
func (p *Planner) mask(h Host, s *server, out bool) bool {
	if out && p.solves > 0 && !slices.ContainsFunc(s.rows, (*row).held) {
		return false // as below, but there may be many
	}
	to := only(p.proxies, func(q *proxy) bool {
		return (out || q.shut[s]) && slices.ContainsFunc(q.bound, func(t *table) bool {
			return t == nil || slices.ContainsFunc(s.rows, func(r *row) bool { return r.table == t && r.held() })
		})
	})
	if out && (len(to) == 0 || s.State == Ready && !slices.ContainsFunc(s.rows, (*row).held)) ||
		!out && slices.ContainsFunc(s.rows, (*row).over) {
		return false
	}
	// A drain waits to share its message only while messages are short, and not too long.
	must := out && (s.State != Ready || p.cold(s)) && p.now >= s.told+p.set.GraceMs/2-p.set.LongestWayMs
	last := ruled + min(int(s.State), 1) // drained, unless it is ready
	if !p.pay(1, to, urgent) && !(must && p.pay(1, to, last)) {
		return false
	}
	s.out = out
	for _, q := range to {
		q.shut[s] = out
	}
	h.Withdraw(s.Server, out)
	return true
}

// changes lists the lines of a table to send, additions first so that none runs bare, by how urgent they are.
func (p *Planner) changes(t *table, lines *[ruled + 1][]func(Host) bool) {
	missing, all, live := 0.0, 0.0, 0
	var moved []*row
	for _, r := range t.rows {
		if r.held() && !r.server.out {
			live++
		}
		missing, all = missing+math.Max(r.want-r.sent, 0), all+r.want
		if math.Abs(r.want-r.sent) > notable*r.sent {
			moved = append(moved, r)
		}
	}
	rested := !p.unsolved && (t.hurried == p.now || p.now-t.hurried >= hurryMs)
	slices.SortStableFunc(moved, func(a, b *row) int { return cmp.Compare(b.want-b.sent, a.want-a.sent) })
	for _, r := range moved {
		need := tidy
		switch {
		case live == 0 && r.want > 0 || len(t.users) == 0:
			need = ruled
		case r.want > 0 && (live == 1 || missing > thin*all),
			live > 1 && p.ramp(r.server) < 1 && r.server.usable() && r.over():
			need = urgent
		}
		missing -= math.Max(r.want-r.sent, 0)
		if r.sent == 0 {
			live++
		}
		if all > 0 && (need == tidy && t.due || need > tidy && rested) { // never empty a table
			lines[need] = append(lines[need], func(h Host) bool { return p.send(h, r, need) })
		}
	}
	t.due = t.due && len(moved) > 0
}

func (p *Planner) send(h Host, r *row, urgency int) bool {
	t, lines := r.table, 1.0
	if r.sent == 0 && len(t.users) > 0 { // where it is withdrawn still, or another planner may have done so
		told := only(t.users, func(q *proxy) bool { return q.brings || q.shut[r.server] && p.set.EndsByLine })
		lines += float64(len(told)) / float64(len(t.users))
	}
	if r.want == r.sent || len(t.users) > 0 && !p.pay(lines, t.users, urgency) {
		return false
	}
	if r.sent == 0 {
		r.server.raised = p.now
	}
	for _, q := range t.users {
		q.shut[r.server] = r.server.out
	}
	if r.sent = r.want; urgency > tidy {
		t.hurried = p.now
	}
	h.SetLine(t.number, r.server.Server, r.want)
	return true
}

func (r *row) held() bool { return r.sent > 0 }

func (r *row) over() bool { return r.sent > 1.5*r.want+overshoot }

func (p *Planner) bind(q *proxy, k int) {
	c := p.clients[q.zone*p.parts+k]
	t := c.tables[q.copy]
	p.todo = append(p.todo, func(h Host) bool {
		out := only(t.rows, func(r *row) bool { return r.server.out })
		back := only(t.rows, func(r *row) bool { return !r.server.out && (q.brings || q.shut[r.server]) })
		cost := float64(1 + len(p.levels) + len(t.rows) + len(out) + len(back))
		if !slices.ContainsFunc(t.rows, (*row).held) || !p.pay(cost, []*proxy{q}, ruled) {
			return false
		}
		q.bound[k], t.users = t, append(t.users, q)
		for _, r := range t.rows {
			q.shut[r.server] = r.server.out
		}
		h.Bind(q.id, t.number, c.groups)
		return true
	})
}

// receipt asks how long the messages of this tick take: once a solve, and more often while much may wait.
func (p *Planner) receipt(h Host) bool {
	if (p.marked == p.solves || p.behind) && p.unsure() < p.set.MostWaiting*queueShare[urgent]/2 {
		return false
	}
	to := only(p.proxies, func(q *proxy) bool { return q.reached(p.now) })
	if len(to) == 0 {
		return false
	}
	p.marked, p.number = p.solves, (p.number+1)%65536
	for _, q := range to { // not held back: without an answer a full queue would stay full
		p.waiting, q.ordered = p.waiting+1, q.ordered+1
		q.marks[p.number] = q.ordered
	}
	h.Receipt(p.number)
	return true
}
