// Package brain decides for one planner: which tables its proxies follow, and when they hear of it.
//
// How to call it: New at each start, then the input methods (Listed, Joined, Left, Heard, Usage, Applied)
// after a Tick with the time; they only update what is known. Then Next until it says false: each call makes
// at most one decision, by one call on the Host. The interface is in host.go, the reasons in docs/design.md.
package brain

import (
	"math"
	"math/rand"
	"slices"
	"sort"
)

const (
	// The split.
	solveEveryMs = 2500.0 // ms; half the design's 5 s: two copies then give each proxy news every 5 s
	soonMs       = 400.0  // ms; least time between solves that the list or health asks for, gathers changes
	iterations   = 20     // the paper's ADMM-20
	headroom     = 1.01   // sum of caps over demand; more idles the dearest servers of a linear cost
	calmRoom     = 0.4    // more of it while latencies are low; flows then stay in their zone
	step         = 0.3    // cost of an average line in units of an average share, so that rho 1 converges
	lambdaMost   = 4.0    // in the same unit; a price beyond it outlives the jam that made it
	leastDemand  = 0.02   // share of a client's fair part; an idle client still needs a sound table
	copies       = 2      // staged copies of a client's table; half the proxies try a split first
	notable      = 0.25   // part of a line's weight; smaller moves are within the noise of sums
	tiny         = 0.25   // part of an average line; a smaller one costs connections and brings little
	shift        = 0.3    // part of all demand that moved; old prices and shares are forgotten then
	hurryMs      = 1500.0 // ms between lines of a table that cannot wait; messages are few where tables run bare
	thin         = 0.4    // part of a table's weight that is missing when it cannot wait for its turn
	overshoot    = 0.005  // share of a table that a cold server's line may exceed its cap by; rounding
	leastLines   = 3      // lines a table keeps; two may be lost at once before the table is bare

	// What is heard.
	keepSamples = 24     // sums kept of each server and proxy; a floor is sought in all of them
	windowMs    = 3500.0 // ms; three sums or more; longer ones show a trouble too late
	capLeast    = 0.08   // part of a nominal cap; less would leave a slow server unheard
	sureAfter   = 3      // sums after which a floor counts half; fewer are chance
	jamSlack    = 1.5    // times the fleet's ratio of latency to floor that is no jam; sums are noisy
	doubleMs    = 5000.0 // ms; the design's doubling time of a new server's cap
	shyness     = 0.5    // part of the cold share that a start begins with; the pick of two may double it

	// Health.
	patienceMs = 6000.0 // ms that a server may take to be heard first; cold ones are slow to answer
	verdict    = 6.0    // nats; a dozen drops with nothing delivered, a false alarm in some 400 sums
	sumMost    = 4.0    // nats that a single sum may add; one odd report is never enough
	badShare   = 0.99   // share of drops of a dead server; one that delivers at all is full or slow, not dead
	goodShare  = 0.6    // least share of drops that a full server may have; its cap shrinks, it is not put out
	goodMost   = 0.95   // and the most, where the middle server drops half; an overload condemns nobody
	outMost    = 0.3    // part of the fleet out at once; beyond it the evidence is doubted
	outMs      = 5000.0 // ms; first stay out, doubled with each verdict: most hangs last 5 to 20 s
	outLongest = 20000.0
	restMost   = 0.8    // part of the fleet that may be out when cold ones rest; the others are mostly warm
	settleMs   = 5000.0 // ms after which a proxy has been heard and has dropped what it held against servers
	jamDrops   = 0.3    // share of drops at the middle server in which cold ones rest
	trialShare = 0.2    // part of its cap that a server is let back with; a second verdict costs little
	trialMs    = 1500.0 // ms in which that part doubles; full again in some three report periods
	cutMs      = 3000.0 // ms looked back for a cut between zones; two or three report periods
	cutDrops   = 6.0    // drops that a cut needs at least; tables send little across zones
	cutShare   = 0.9    // share of drops over a cut link; the rest was under way when it was cut

	// Levels.
	levelMs     = 2000.0 // ms; a level shows in the sums after about this time
	jam         = 0.5    // mean latency over latency budget above which a tenth or so is late
	calm        = 0.35   // and below which levels may rise
	dropsMost   = 0.12   // share of flows dropped that means overload rather than chance
	levelWaitMs = 1000.0 // ms more after a cut: a second one before it shows would be too deep
	levelDown   = 0.6    // most that one step may cut the flows let in to; sums may be late
	drain       = 0.85   // part of the delivered rate let in during a jam, so that it drains
	levelUp     = 0.3    // part more let in at each step while latency is nil, less the nearer it is to calm
	levelEach   = 0.1    // least level of a traffic group; some of it shows whether the jam is over

	// The channel.
	slowest    = 6.0    // times slower that the channel is taken to be after a late receipt
	keepTooks  = 8      // receipts kept; about one solve of a copy
	askAgainMs = 1200.0 // ms; first wait after a failed call for the list, doubled each time
	wakeMs     = 200.0  // ms between looks when nothing comes in; well under every grace
)

// Urgency of an order: tidy work leaves room for what cannot wait, and both for what the rules ask for.
const (
	tidy = iota
	urgent
	ruled
)

var (
	queueShare   = [...]float64{tidy: 0.15, urgent: 0.6, ruled: 0.9}  // part of the longest queue
	messageShare = [...]float64{tidy: 0.34, urgent: 0.5, ruled: 0.92} // part of the messages in a span
)

// sum is what proxies met at a server in one report period, or what came to a proxy.
type sum struct {
	zone                               int
	at, count, failed, latency, covers float64
}

// link is the way from the proxies of one zone to the servers of another.
type link struct{ shutAt, shutFor float64 }

type server struct {
	Entry
	sums     []sum   // the last ones, oldest first
	out, bad bool    // withdrawn at the proxies; judged unfit
	since    float64 // last verdict, return or start: evidence before it is void
	badUntil float64
	verdicts int
	told     float64 // when its state in the list changed
	tried    float64 // when it was let back after a verdict
}

type proxy struct {
	id, zone, copy int
	usual, joined  float64   // flows per second by its own word; when its stream came up
	usage          [][]sum   // by traffic group
	bound          []*table  // by traffic group
	sent           []float64 // times of the last messages
}

// client is the paper's i: the proxies of one zone, for one traffic group.
type client struct {
	zone, group int
	row         *TrafficGroup
	cells       map[*server]cell
	demand      float64 // at the last solve
	tables      [copies]*table
}

// cell holds the paper's variables for a client and a server.
type cell struct{ alpha, beta, lambda float64 }

type line struct {
	server *server
	share  float64
}

type table struct {
	number      int
	client      *client
	want, lines map[*server]float64 // as decided, as sent
	due         bool                // wants may be sent now
	hurried     float64             // when lines were last sent that could not wait
}

// level is the admission of one traffic group.
type level struct{ want, sent float64 }

// Planner decides for the proxies joined to it. It shares nothing with other planners.
type Planner struct {
	set    Settings
	chance *rand.Rand
	now    float64

	links   []link // from zone times zones plus to zone
	servers []*server
	byName  map[string]*server
	proxies []*proxy // joined, in order of joining
	byID    map[int]*proxy
	clients []*client
	tables  []*table
	levels  []level

	solvedAt, levelAt, thoughtAt float64
	solves                       int
	ramps                        bool // the last solve had servers on their ramp
	unsolved                     bool // what servers may be used has changed
	fleetHeard                   []float64

	// The channel: lines waiting, worked out when orders were last counted.
	waiting, countedAt float64
	tooks              []float64 // ways of the last messages, from order to effect
	marked             int       // solve that a receipt was last asked for

	following         bool
	followAt, askWait float64
	wakeAt            float64
}

// New starts a planner that knows its settings and nothing else.
func New(set Settings, seed int64) *Planner {
	p := &Planner{set: set, chance: rand.New(rand.NewSource(seed)), byName: map[string]*server{},
		byID: map[int]*proxy{}, askWait: askAgainMs, unsolved: true,
		solvedAt: math.Inf(-1), levelAt: math.Inf(-1), thoughtAt: math.Inf(-1), wakeAt: math.Inf(-1)}
	for g := range set.Groups {
		p.levels = append(p.levels, level{1, 1})
		if p.retry(g) != set.DefaultRetry {
			p.levels[g].sent = -1 // proxies must be told that they may not repeat
		}
	}
	for n := 0; n < set.Zones*set.Zones; n++ {
		p.links = append(p.links, link{shutAt: math.Inf(-1)})
	}
	for z := 0; z < set.Zones; z++ {
		for g := range set.Groups {
			c := &client{zone: z, group: g, row: &p.set.Groups[g], cells: map[*server]cell{}}
			for n := range c.tables {
				c.tables[n] = &table{number: len(p.tables), client: c, due: true, hurried: math.Inf(-1),
					lines: map[*server]float64{}}
				p.tables = append(p.tables, c.tables[n])
			}
			p.clients = append(p.clients, c)
		}
	}
	return p
}

// Tick tells the time. All that follows until the next Tick leaves in one message a proxy.
func (p *Planner) Tick(now float64) {
	p.now = now
}

// Listed updates the list.
func (p *Planner) Listed(form ListForm, list []Entry) {
	if form == Failed {
		p.following, p.followAt = false, p.now+p.askWait*(0.5+p.chance.Float64())
		p.askWait = math.Min(2*p.askWait, p.set.AskWithinMs/2)
		return
	}
	if form != Restored {
		p.askWait, p.following = askAgainMs, true
	}
	p.unsolved = true
	seen := map[*server]bool{}
	for _, e := range list {
		if e.Zone < 0 || e.Zone >= p.set.Zones {
			continue
		}
		s := p.byName[e.Server]
		if s == nil {
			s = &server{}
			p.byName[e.Server], p.servers = s, append(p.servers, s)
		}
		if s.Server == "" || e.BornMs > s.BornMs {
			// Back cold under its old name: what was heard is void, and what old tables sent it counts
			// against its budget, so that it rests until that is out of the window.
			rest := e.BornMs > p.now-p.set.WarmUpMs && s.Server != ""
			*s = server{out: s.out, since: p.now, tried: math.Inf(-1), bad: rest, badUntil: p.now + 2*p.set.FallMs}
		}
		if e.State != s.State {
			s.told = p.now
		}
		s.Entry, seen[s] = e, true
		s.Size = math.Max(e.Size, 1e-6)
	}
	for _, s := range p.servers {
		if form != Change && !seen[s] && s.State != Gone {
			s.State, s.told = Gone, p.now
		}
	}
}

// Joined is a proxy's new stream; it keeps what it held.
func (p *Planner) Joined(id, zone int, usual float64) {
	p.Left(id)
	if zone < 0 || zone >= p.set.Zones {
		return
	}
	q := &proxy{id: id, zone: zone, usual: usual, joined: p.now, usage: make([][]sum, len(p.set.Groups)),
		bound: make([]*table, len(p.set.Groups))}
	for _, o := range p.proxies {
		if o.zone == zone {
			q.copy = (q.copy + 1) % copies
		}
	}
	p.byID[id] = q
	p.proxies = append(p.proxies, q)
}

// Left is the end of a proxy's stream.
func (p *Planner) Left(id int) {
	gone := p.byID[id]
	delete(p.byID, id)
	p.proxies = only(p.proxies, func(q *proxy) bool { return q != gone })
}

// only is those of a list that fit.
func only[T any](list []T, fits func(T) bool) []T {
	return slices.DeleteFunc(slices.Clone(list), func(x T) bool { return !fits(x) })
}

func keep[T any](list []T, last T, most int) []T {
	if len(list) >= most {
		list = append(list[:0:0], list[1:]...)
	}
	return append(list, last)
}

// Heard is what the proxies of a zone met at a server.
func (p *Planner) Heard(name string, zone, count, failed int, latency, covers float64) {
	s := p.byName[name]
	if s == nil || count <= 0 || zone < 0 || zone >= p.set.Zones {
		return
	}
	if n := len(p.fleetHeard); n == 0 || p.now-p.fleetHeard[n-1] > p.set.ReportEveryMs/2 {
		p.fleetHeard = keep(p.fleetHeard, p.now, keepSamples)
	}
	a := sum{zone, p.now, float64(count), float64(failed), latency, covers}
	s.sums = keep(s.sums, a, keepSamples*p.set.Zones)
}

// Usage is what came to a proxy of one traffic group.
func (p *Planner) Usage(id, group, count, failed int, covers float64) {
	if q := p.byID[id]; q != nil && group >= 0 && group < len(q.usage) {
		a := sum{q.zone, p.now, float64(count), float64(failed), 0, covers}
		q.usage[group] = keep(q.usage[group], a, keepSamples)
	}
}

// Applied is the answer to a Receipt: how long an order took tells how fast the channel drains.
func (p *Planner) Applied(id, number int, took float64) { p.tooks = keep(p.tooks, took, keepTooks) }

// Next makes at most one decision and says whether it made one.
func (p *Planner) Next(h Host) bool {
	if p.now-p.thoughtAt >= wakeMs || p.unsolved && p.now > p.thoughtAt {
		p.thoughtAt = p.now
		p.watch()
		p.judge()
		p.levelIfDue()
		p.solveIfDue()
	}
	return p.follow(h) || p.withdraw(h) || p.publish(h, ruled) || p.bind(h) || p.publish(h, urgent) ||
		p.readmit(h) || p.admit(h) || p.publish(h, tidy) || p.receipt(h) || p.wake(h)
}

// follow keeps a subscription where the list comes only to those who ask, and paces repeated calls.
func (p *Planner) follow(h Host) bool {
	if !p.set.MustFollow || p.following || p.now < p.followAt {
		return false
	}
	p.followAt = p.now + math.Max(p.askWait, p.set.AskWithinMs/3)
	h.Follow()
	return true
}

// usable servers are listed ready and not judged bad.
func (s *server) usable() bool { return s.State == Ready && !s.bad }

func (p *Planner) cold(s *server) bool { return s.BornMs > 0 && p.now-s.BornMs < p.set.WarmUpMs }

// ramp is the part of its cap that a server may be given: a cold one starts low and doubles.
func (p *Planner) ramp(s *server) float64 {
	part := math.Min(1, trialShare*math.Exp2((p.now-s.tried)/trialMs))
	if p.cold(s) {
		part = math.Min(part, shyness*p.set.ColdShare*math.Exp2(math.Max(p.now-s.BornMs, 0)/doubleMs))
	}
	return part
}

// periods are the sums of a server since its last verdict, return or start, the zones of a period added up:
// a zone with few flows hears mostly noise. What came over a shut link tells of the link.
func (p *Planner) periods(s *server, span float64) []sum {
	var out []sum
	for _, a := range s.sums {
		if a.at <= s.since || a.at <= p.now-span || (a.zone != s.Zone && p.shut(a.zone, s.Zone)) {
			continue
		}
		n := len(out) - 1
		if n < 0 || a.at-out[n].at > p.set.ReportEveryMs/2 {
			out = append(out, a)
			continue
		}
		b, good := &out[n], a.count-a.failed
		b.latency = (b.latency*(b.count-b.failed) + a.latency*good) / math.Max(b.count-b.failed+good, 1)
		b.count, b.failed = a.count+b.count, a.failed+b.failed
	}
	return out
}

// recent adds up the sums of a server.
func (p *Planner) recent(s *server, span float64) (count, failed, latency float64) {
	for _, a := range p.periods(s, span) {
		count, failed = count+a.count, failed+a.failed
		latency += a.latency * (a.count - a.failed)
	}
	return count, failed, latency / math.Max(count-failed, 1)
}

// floor is a server's latency when not jammed, 0 when unheard: the lower quartile of noisy means.
func (p *Planner) floor(s *server) float64 {
	all := []float64{}
	for _, a := range p.periods(s, math.Inf(1)) {
		if a.count-a.failed >= 2 {
			all = append(all, a.latency)
		}
	}
	return quantile(all, 4)
}

func (p *Planner) shut(from, to int) bool {
	l := p.links[from*p.set.Zones+to]
	return p.now < l.shutAt+l.shutFor
}

// watch shuts links on which nearly all fails: a cut between zones or a zone lost. The way is blamed, not the
// servers; harmful where a zone's only server is slow, hence the many drops asked for.
func (p *Planner) watch() {
	count, failed := make([]float64, len(p.links)), make([]float64, len(p.links))
	for _, s := range p.servers {
		for _, a := range s.sums {
			if a.at > p.now-cutMs && a.zone != s.Zone && s.usable() {
				n := a.zone*p.set.Zones + s.Zone
				count[n], failed[n] = count[n]+a.count, failed[n]+a.failed
			}
		}
	}
	for n := range p.links {
		l := &p.links[n]
		if failed[n] >= math.Max(cutDrops, cutShare*count[n]) && p.now >= l.shutAt+l.shutFor+cutMs {
			if l.shutFor = math.Min(2*l.shutFor, outLongest); p.now > l.shutAt+2*l.shutFor {
				l.shutFor = outMs
			}
			l.shutAt, p.unsolved = p.now, true
		}
	}
}

// fleet is how the middle server in use fares, which a few dead, slow or hidden ones do not move.
func (p *Planner) fleet(span float64) (latency, drops, delivered float64) {
	var ls, ds []float64
	for _, s := range p.servers {
		c, f, l := p.recent(s, span)
		delivered += (c - f) / span * 1000
		if s.usable() && c > 0 {
			ds = append(ds, f/c)
		}
		if s.usable() && l > 0 {
			ls = append(ls, l)
		}
	}
	return quantile(ls, 2), quantile(ds, 2), delivered
}

// quantile is the sample that one part in so many lies below; 0 without samples.
func quantile(a []float64, part int) float64 {
	if len(a) == 0 {
		return 0
	}
	sort.Float64s(a)
	return a[len(a)/part]
}

// demand is the paper's D: flows per second of a client's joined proxies.
func (p *Planner) demand(c *client) (d float64) {
	for _, q := range p.proxies {
		count, covers := q.usual/float64(len(p.set.Groups))/1000, 0.0 // by its own word until it is heard
		for _, a := range q.usage[c.group] {
			if a.at > p.now-windowMs && covers == 0 {
				count = 0
			}
			if a.at > p.now-windowMs {
				count, covers = count+a.count, covers+a.covers
			}
		}
		if q.zone == c.zone {
			d += count / math.Max(covers, 1) * 1000
		}
	}
	return d * p.levels[c.group].want
}

// fit is a server's cap in parts of its size: its speed by the floors, at once less while it is jammed more
// than the fleet. A cap that followed every latency would swing.
func (p *Planner) fit(s *server, floor, jammed float64) float64 {
	own := p.floor(s)
	heard := float64(len(p.periods(s, math.Inf(1))))
	count, failed, latency := p.recent(s, windowMs)
	if own == 0 || floor == 0 {
		return 1
	}
	f := math.Pow(floor/own, heard/(heard+sureAfter))
	if count >= 4 && latency > 0 {
		f *= math.Min(1, jamSlack*jammed*own/latency) * (1 - failed/count)
	}
	return math.Max(f, capLeast)
}

// typical is the middle floor of servers in use, and the middle of how far latencies lie above floors.
func (p *Planner) typical(js []*server) (floor, jammed float64) {
	var fs, rs []float64
	for _, s := range js {
		if f := p.floor(s); f > 0 {
			fs = append(fs, f)
			if _, _, l := p.recent(s, windowMs); l > 0 {
				rs = append(rs, l/f)
			}
		}
	}
	return quantile(fs, 2), quantile(rs, 2)
}

// solveIfDue solves every few seconds, and soon after servers came or went.
func (p *Planner) solveIfDue() {
	js := only(p.servers, (*server).usable)
	since := p.now - p.solvedAt
	if len(js) == 0 || since < soonMs || since < solveEveryMs && !p.unsolved {
		return // with no server to use, tables keep what they hold
	}
	p.split(js, p.unsolved)
	p.solvedAt, p.unsolved, p.solves = p.now, false, p.solves+1
	for _, c := range p.clients {
		c.tables[p.solves%copies].due = true
	}
}

// split solves for all clients and sets what their tables should hold.
func (p *Planner) split(js []*server, changed bool) {
	I, J := len(p.clients), float64(len(js))
	D, cost, x := make([]float64, I), make([][]float64, I), make([][]cell, I)
	total, moved := 0.0, 0.0
	for i, c := range p.clients {
		D[i] = p.demand(c)
		total, moved = total+D[i], moved+math.Abs(D[i]-c.demand)/2
		c.demand = D[i]
	}
	// Old prices and shares are forgotten after a shift of demand or servers, and while caps ramp up.
	ramps := slices.ContainsFunc(js, func(s *server) bool { return p.ramp(s) < 1 })
	changed = changed || ramps || p.ramps || moved > shift*total
	p.ramps = ramps
	C := p.caps(js, total)
	unit := math.Max(total, leastDemand) / float64(I)
	for j := range C {
		C[j] *= float64(I)
	}
	// L is taken per zone: within one, lows show the speed of servers, which their caps have already.
	typical, _ := p.typical(js)
	typical = math.Max(typical, 1)
	low := slices.Repeat([]float64{typical}, p.set.Zones)
	for _, s := range js {
		if L := p.floor(s); L > 0 {
			low[s.Zone] = math.Min(low[s.Zone], L)
		}
	}
	for i, c := range p.clients {
		D[i] = math.Max(D[i]/unit, leastDemand)
		cost[i], x[i] = make([]float64, len(js)), make([]cell, len(js))
		sum := 0.0
		for j, s := range js {
			L := low[s.Zone]
			if s.Zone != c.zone {
				L += p.set.CrossPrice * c.row.BudgetMs
			}
			cost[i][j] = L / typical / J * step
			if s.Zone != c.zone && (c.row.OnlyZone || p.shut(c.zone, s.Zone)) {
				cost[i][j] = math.Inf(1)
				continue
			}
			sum += C[j]
		}
		for j, s := range js {
			if old, known := c.cells[s]; known && !changed {
				x[i][j] = old
			} else if !math.IsInf(cost[i][j], 1) {
				x[i][j] = cell{alpha: C[j] / sum, beta: C[j] / sum}
			}
		}
	}
	solve(D, C, cost, x, lambdaMost/J)
	load := make([]float64, len(js))
	for i := range x {
		for j := range js {
			load[j] += x[i][j].alpha * D[i]
		}
	}
	for i, c := range p.clients {
		c.cells = map[*server]cell{}
		var lines []line
		for j, s := range js {
			c.cells[s] = x[i][j]
			if math.IsInf(cost[i][j], 1) {
				continue
			}
			share := x[i][j].alpha
			// Guards a cold server's budget: a split cut off after 20 iterations may exceed its cap.
			if p.ramp(s) < 1 && load[j] > C[j] {
				share *= C[j] / load[j]
			}
			lines = append(lines, line{s, share})
		}
		p.wants(c, lines, tiny/J)
	}
}

// caps are the paper's C in parts of all demand, scaled to it with some room; cold ones are not scaled up.
func (p *Planner) caps(js []*server, total float64) []float64 {
	C := make([]float64, len(js))
	typical, jammed := p.typical(js)
	latency, _, delivered := p.fleet(windowMs)
	able := math.Min(1, math.Max(delivered, leastDemand*total)/math.Max(total, leastDemand))
	room := headroom + calmRoom*math.Max(0, 1-latency/p.budget()/calm)
	warm, cold, size := 0.0, 0.0, 0.0
	for _, s := range js {
		size += s.Size
	}
	for j, s := range js {
		C[j] = s.Size / size * p.fit(s, typical, jammed) * p.ramp(s)
		if p.ramp(s) < 1 {
			// Of what the fleet delivers, not of what comes: in a jam all flows run to the least busy.
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

// wants turns a client's shares into what its tables should hold: no tiny lines, but enough lines.
func (p *Planner) wants(c *client, lines []line, small float64) {
	sort.SliceStable(lines, func(a, b int) bool { return lines[a].share > lines[b].share })
	want := map[*server]float64{}
	for n, l := range lines {
		if l.share >= small || n < leastLines || p.ramp(l.server) < 1 && l.share > small/4 {
			want[l.server] = math.Round(math.Max(l.share, small/4)*1e4) / 1e4
		}
	}
	for _, t := range c.tables {
		t.want = want
	}
}

// solve runs ADMM with rho 1. The cells are warm and updated in place; D averages 1; a cost may be infinite.
func solve(D, C []float64, cost [][]float64, x [][]cell, most float64) {
	v, d, at := make([]float64, len(C)+len(D)), make([]float64, len(C)+len(D)), make([]int, len(C))
	for it := 0; it < iterations; it++ {
		for i := range D { // Lemma 3
			n := 0
			for j, c := range x[i] {
				x[i][j].alpha = 0
				if !math.IsInf(cost[i][j], 1) {
					v[n], d[n], at[n] = c.beta-D[i]*cost[i][j]-c.lambda, 1, j
					n++
				}
			}
			mu := waterline(v[:n], d[:n], 1)
			for k, j := range at[:n] {
				x[i][j].alpha = math.Max(v[k]-mu, 0)
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

// waterline finds nu with the sum of d*max(v-d*nu, 0) equal to C, exactly: it drains the highest first.
func waterline(v, d []float64, C float64) float64 {
	order := make([]int, len(v))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return v[order[a]]*d[order[b]] > v[order[b]]*d[order[a]] })
	sumDV, sumDD, nu := 0.0, 0.0, math.Inf(1)
	for _, i := range order {
		if sumDD > 0 && nu >= v[i]/d[i] {
			break
		}
		sumDV, sumDD = sumDV+d[i]*v[i], sumDD+d[i]*d[i]
		nu = (sumDV - C) / sumDD
	}
	return nu
}

// judge runs the sequential test on each server's sums and calls off verdicts that are served.
func (p *Planner) judge() {
	ready := only(p.servers, func(s *server) bool { return s.State == Ready })
	fleet, out := float64(len(ready)), float64(1+len(ready)-len(only(ready, (*server).usable)))
	_, drops, _ := p.fleet(windowMs)
	unheard := only(p.proxies, func(q *proxy) bool { return p.now-q.joined < settleMs })
	rough := drops > jamDrops || len(unheard) > len(p.proxies)/3 // or may be, beyond what is heard
	for _, s := range p.servers {
		switch {
		case s.State != Ready:
		case s.bad && p.now >= s.badUntil:
			s.bad, s.since, s.tried, p.unsolved = false, p.now, p.now, true
		case p.cold(s) && !s.bad && rough && out <= restMost*fleet:
			// Proxies keep away from servers that drop and try others: a cold one would get it all.
			out++
			s.bad, s.badUntil, p.unsolved = true, p.now+p.set.FallMs, true
		case s.bad || p.evidence(s, drops) < verdict || out > outMost*fleet:
			// Many bad servers at once are more likely a fault of what we hear: a cut, a jam, stale news.
		default:
			out++
			s.bad, s.since, p.unsolved = true, p.now, true
			s.badUntil = p.now + math.Min(outMs*math.Exp2(float64(s.verdicts)), outLongest)
			s.verdicts++
		}
	}
}

// evidence is a CUSUM of log likelihood ratios, dead against sound, by drops and silence.
func (p *Planner) evidence(s *server, drops float64) float64 {
	good := math.Min(math.Max(goodShare, 2*drops), goodMost)
	score := 0.0
	sums, n := p.periods(s, math.Inf(1)), 0
	expect := p.expected(s) * p.set.ReportEveryMs / 1000 // nothing while it is out
	for _, at := range p.fleetHeard {
		for n < len(sums) && sums[n].at < at-p.set.ReportEveryMs/2 {
			n++
		}
		if at <= s.since+p.set.LongestWayMs+p.set.ReportEveryMs {
			continue
		}
		add := 0.0
		if n < len(sums) && sums[n].at < at+p.set.ReportEveryMs/2 {
			f := sums[n].failed
			add = f*math.Log(badShare/good) + (sums[n].count-f)*math.Log((1-badShare)/(1-good))
		} else if n > 0 || at > s.since+patienceMs {
			add = expect // silence where flows were sent is evidence of a hang, not of health
		}
		score = math.Max(0, score+math.Max(-sumMost, math.Min(add, sumMost)))
	}
	return score
}

// expected is the rate of flows that our tables send to a server.
func (p *Planner) expected(s *server) (rate float64) {
	if s.out {
		return 0
	}
	for _, t := range p.tables {
		rate += t.lines[s] * p.demand(t.client) / copies
	}
	return rate
}

// budget is the mean latency budget of flows.
func (p *Planner) budget() float64 {
	sum, n := 0.0, 0.0
	for _, c := range p.clients {
		d := p.demand(c) + 0.01
		sum, n = sum+c.row.BudgetMs*d, n+d
	}
	return sum / math.Max(n, 0.001)
}

// levelIfDue moves the share of flows let in: down in a jam, up when calm. The traffic groups that earn least
// for their work, by utility for latency budget, give way first.
func (p *Planner) levelIfDue() {
	if !p.set.CanAdmit || p.now-p.levelAt < levelMs {
		return
	}
	p.levelAt = p.now
	span := levelMs + p.set.ReportEveryMs/2
	latency, drops, good := p.fleet(span)
	came, let, all := make([]float64, len(p.levels)), 0.0, 0.0
	for _, c := range p.clients {
		d := p.demand(c)
		came[c.group] += d / p.levels[c.group].want
		let, all = let+d, all+d/p.levels[c.group].want
	}
	if all == 0 || latency == 0 {
		return
	}
	share := let / all
	switch late := latency / p.budget(); {
	case late > jam || drops > dropsMost:
		// What is delivered now is what the fleet can do; less than that lets the jam drain.
		share = math.Max(share*levelDown, math.Min(share, good/all*drain))
		p.levelAt += levelWaitMs
	case late < calm && drops < dropsMost/2:
		share = math.Min(1, share*(1+levelUp*(1-late/calm)))
	}
	order := make([]int, len(came))
	for g := range order {
		order[g] = g
	}
	sort.SliceStable(order, func(a, b int) bool {
		g, h := p.set.Groups[order[a]], p.set.Groups[order[b]]
		return g.Utility*h.BudgetMs < h.Utility*g.BudgetMs
	})
	cut := (1 - share) * all
	for _, g := range order {
		here := math.Min(cut, came[g]*(1-levelEach))
		p.levels[g].want = math.Round((1-here/math.Max(came[g], 1e-9))*20) / 20
		cut -= here
	}
}

// retry is the boldest mode that no repeat rule can be broken by.
func (p *Planner) retry(g int) int {
	if p.set.Groups[g].Repeat == Retriable {
		return p.set.DefaultRetry
	}
	return min(p.set.DefaultRetry, RetryProven)
}

func (p *Planner) admit(h Host) bool {
	for g := range p.levels {
		l := &p.levels[g]
		if l.want == l.sent || (l.sent >= 0 && !p.pay(1, p.proxies, urgent)) {
			continue
		}
		l.sent = l.want
		h.Admit(AllTables, g, l.want, p.retry(g))
		return true
	}
	return false
}

// queue is how many lines wait, with heads, as the channel would have drained them since.
func (p *Planner) queue() float64 {
	rate := p.set.ChannelRate / 1000
	if len(p.tooks) > 0 && slices.Max(p.tooks) > 2*p.set.LongestWayMs {
		rate /= slowest
	}
	p.waiting = math.Max(0, p.waiting-(p.now-p.countedAt)*rate)
	p.countedAt = p.now
	return p.waiting
}

// pay counts an order of so many lines to each of some proxies, if there is room for it.
func (p *Planner) pay(lines float64, to []*proxy, urgency int) bool {
	cost := 0.0
	room, messages := p.set.MostWaiting*queueShare[urgency], float64(p.set.MostMessages)*messageShare[urgency]
	for _, q := range to {
		cost += lines
		if q.reached(p.now) {
			continue
		}
		cost += p.set.HeadLines
		recent := 1.0
		for _, at := range q.sent {
			if at > p.now-p.set.MessageSpanMs {
				recent++
			}
		}
		if p.set.MostMessages > 0 && recent > messages {
			return false
		}
	}
	if waiting := p.queue(); waiting+cost > room && (waiting > 0 || urgency < ruled) {
		return false
	}
	p.waiting += cost
	for _, q := range to {
		if !q.reached(p.now) {
			q.sent = keep(q.sent, p.now, p.set.MostMessages+1)
		}
	}
	return true
}

// reached says that a message leaves for the proxy in this tick.
func (q *proxy) reached(now float64) bool { return len(q.sent) > 0 && q.sent[len(q.sent)-1] == now }

// users are the proxies bound to a table.
func (p *Planner) users(t *table) []*proxy {
	return only(p.proxies, func(q *proxy) bool { return q.bound[t.client.group] == t })
}

// withdraw shuts out servers that drain, are gone or were judged bad.
func (p *Planner) withdraw(h Host) bool {
	for _, s := range p.servers {
		holds := func(t *table) bool { return t.lines[s] > 0 }
		if s.usable() || s.out || s.State == Ready && !slices.ContainsFunc(p.tables, holds) {
			continue
		}
		// A drain waits to share its message only while messages are short, and not too long.
		last := s.told + p.set.GraceMs/2 - p.set.LongestWayMs
		must := (s.State != Ready || p.cold(s)) && p.now >= last
		if p.pay(1, p.proxies, urgent) || must && p.pay(1, p.proxies, ruled) {
			s.out = true
			h.Withdraw(s.Server, true)
			return true
		}
	}
	return false
}

// setLine sends one line of a table.
func (p *Planner) setLine(h Host, t *table, s *server) bool {
	w := t.want[s]
	t.lines[s] = w
	if w == 0 {
		delete(t.lines, s)
	}
	h.SetLine(t.number, s.Server, w)
	return true
}

// change is the next line of a table to send, additions first so that none runs bare, and how urgent it is.
func (p *Planner) change(t *table, least float64) (next *server, urgency int) {
	missing, all, live := 0.0, 0.0, 0
	var drop *server
	for _, s := range p.servers {
		w, l := t.want[s], t.lines[s]
		if p.ramp(s) < 1 && s.usable() && t.over(s) && len(t.lines) > 1 {
			return s, urgent
		}
		if l > 0 && !s.out {
			live++
		}
		missing, all = missing+math.Max(w-l, 0), all+w
		if w > 0 && math.Abs(w-l) > least*l && next == nil {
			next = s
		}
		if w == 0 && l > 0 {
			drop = s
		}
	}
	switch {
	case next != nil && live == 0:
		return next, ruled
	case next != nil && (missing > thin*all || live == 1):
		return next, urgent
	case next != nil || len(t.want) == 0: // never empty a table
		return next, tidy
	}
	return drop, tidy
}

// over says that a table holds more of a server than its ramp allows.
func (t *table) over(s *server) bool { return t.lines[s] > 1.5*t.want[s]+overshoot }

// bind hands newly joined proxies their tables, whole.
func (p *Planner) bind(h Host) bool {
	if p.set.Sliced {
		return false
	}
	for _, q := range p.proxies {
		for g := range q.bound {
			t := p.clients[q.zone*len(p.set.Groups)+g].tables[q.copy]
			if q.bound[g] != nil || len(t.want) == 0 {
				continue
			}
			if len(p.users(t)) == 0 {
				if s, _ := p.change(t, 0); s != nil {
					return p.setLine(h, t, s)
				}
			}
			lines := 1 + float64(2*len(t.lines)+len(p.levels)) // as if all were withdrawn, at the most
			if !p.pay(lines, []*proxy{q}, ruled) {
				return false
			}
			q.bound[g] = t
			h.Bind(q.id, t.number, g)
			return true
		}
	}
	return false
}

// readmit lets a withdrawn server back once no table holds more of it than its ramp allows.
func (p *Planner) readmit(h Host) bool {
	for _, s := range p.servers {
		if !s.out || !s.usable() || p.unsolved {
			continue
		}
		over := slices.ContainsFunc(p.tables, func(t *table) bool { return t.over(s) })
		if !over && p.pay(1, p.proxies, urgent) {
			s.out = false
			h.Withdraw(s.Server, false)
			return true
		}
	}
	return false
}

// publish sends the notable changes of the copy whose turn it is, and at once those that cannot wait.
func (p *Planner) publish(h Host, urgency int) bool {
	for _, t := range p.tables {
		to := p.users(t)
		if len(to) == 0 || urgency > tidy && p.unsolved || urgency == tidy && !t.due {
			continue
		}
		s, need := p.change(t, notable)
		t.due = t.due && s != nil
		rested := urgency == tidy || t.hurried == p.now || p.now-t.hurried >= hurryMs
		if s != nil && need == urgency && rested && p.pay(1, to, urgency) {
			if urgency > tidy {
				t.hurried = p.now
			}
			return p.setLine(h, t, s)
		}
	}
	return false
}

// receipt asks how long the messages of this tick take, to learn whether the channel is slow.
func (p *Planner) receipt(h Host) bool {
	if p.marked == p.solves {
		return false
	}
	to := only(p.proxies, func(q *proxy) bool { return q.reached(p.now) })
	if len(to) == 0 || !p.pay(1, to, tidy) {
		return false
	}
	p.marked = p.solves
	h.Receipt(p.marked % 65536)
	return true
}

func (p *Planner) wake(h Host) bool {
	if p.now < p.wakeAt {
		return false
	}
	p.wakeAt = p.now + wakeMs
	h.Wake(wakeMs)
	return true
}
