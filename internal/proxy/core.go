// Package proxy is a plain proxy: it judges nothing, obeys the tables, withdrawals and levels that a planner sends,
// and keeps them when the planner is gone. Core decides picks and further tries without I/O; Run connects it to
// clients, servers and planners over HTTP and the order stream.
package proxy

import (
	"maps"
	"math/rand"
	"slices"

	"lichenpick/internal/lease"
	"lichenpick/internal/settings"
	"lichenpick/policy"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

// Outcome of one try.
type Outcome int

const (
	Delivered Outcome = iota
	Unrun             // failed, with proof that it never ran: no connection, or the server said so
	Dropped           // failed, and may have run
)

const leastLeft = 0.1 // part of the expiry that must be left for a further try; less would end unanswered anyway

// line is a server's part of a table.
type line struct {
	server string
	weight float64
	credit float64 // of the even pick
}

// table is what some traffic groups go by, with the withdrawals of the planner that gave it.
type table struct {
	groups []uint32
	lines  []*line
	out    map[string]bool
}

type level struct {
	share float64
	retry int
}

type sum struct {
	tries, dropped int
	latency        float64 // ms, over the delivered
}

// Core is a proxy's state. Its methods are called by one goroutine at a time.
type Core struct {
	groups  []*pb.Group
	pick    pb.Pick
	first   float64 // latency budgets that a try which may be followed waits
	usual   int     // retry mode of groups that were told none
	chance  *rand.Rand
	slots   []*table          // by group
	tables  map[uint32]*table // of the present stream
	out     map[string]bool   // withdrawn by the present stream
	levels  []level
	bound   bool // the present stream has bound a table
	inHand  map[string]int
	servers map[string]*sum
	came    []sum // by group: flows that came, and those let in without an answer
	since   float64
	arbiter lease.Arbiter
	going   map[string]float64 // withdrawn as they drain or are gone, by whomever, and when
	words   uint64
	recent  []float64 // times of the last messages of orders
}

// recentMs and recentMost bound what a proxy remembers of messages; a planner's span for them is seldom longer.
const (
	recentMs   = 60000.0
	recentMost = 1000

	goingMs = 600000.0 // ms that a drain is told to a next commander; its list shows it long before
)

// NewCore makes a proxy that goes by its standing table.
func NewCore(set *pb.Proxy, now float64) *Core {
	c := &Core{
		groups: set.Groups, pick: set.Pick, first: set.GetFirstWait(), usual: retryMode(set.DefaultRetry),
		chance: rand.New(rand.NewSource(int64(set.GetSeed()))), tables: map[uint32]*table{}, out: map[string]bool{},
		inHand: map[string]int{}, going: map[string]float64{}, servers: map[string]*sum{}, came: make([]sum, len(set.Groups)), since: now,
	}
	standing := &table{out: map[string]bool{}}
	for _, s := range set.Standing {
		standing.lines = append(standing.lines, &line{server: s, weight: 1})
	}
	for g := range set.Groups {
		standing.groups = append(standing.groups, uint32(g))
		c.slots, c.levels = append(c.slots, standing), append(c.levels, level{1, c.usual})
	}
	return c
}

func retryMode(r pb.Retry) int {
	return map[pb.Retry]int{
		pb.Retry_NEVER: policy.RetryNever, pb.Retry_AFTER_PROOF: policy.RetryProven,
		pb.Retry_ONCE: policy.RetryOnce, pb.Retry_TWICE: policy.RetryTwice,
	}[r]
}

// Holds says what the proxy goes by, for a Join.
func (c *Core) Holds() (holds []*order.Holding) {
	seen := map[*table]*order.Holding{}
	for g, t := range c.slots {
		h := seen[t]
		if h == nil {
			h = &order.Holding{}
			for _, l := range t.lines {
				h.Lines = append(h.Lines, &order.Line{Server: l.server, Weight: l.weight})
				if c.barred(t, l.server) {
					h.Withdrawn = append(h.Withdrawn, l.server)
				}
			}
			seen[t], holds = h, append(holds, h)
		}
		h.Groups = append(h.Groups, uint32(g))
	}
	return holds
}

// Welcomed starts a stream: tables and withdrawals of earlier ones hold until this one binds others.
func (c *Core) Welcomed(w *order.Welcome) {
	c.tables, c.out, c.bound = map[uint32]*table{}, map[string]bool{}, false
	for _, s := range w.Withdrawn {
		c.out[s] = true
	}
}

// Ordered obeys a message whole, and gives the receipts that it asks for.
func (c *Core) Ordered(m *order.Orders) (receipts []uint32) {
	for _, o := range m.Orders {
		switch w := o.What.(type) {
		case *order.Order_Line:
			c.setLine(w.Line.Table, w.Line.Line)
			if w.Line.Forget {
				delete(c.out, w.Line.Line.Server)
			}
		case *order.Order_Bind:
			c.bind(w.Bind)
		case *order.Order_Withdraw:
			if w.Withdraw.Out {
				c.out[w.Withdraw.Server] = true
			} else {
				delete(c.out, w.Withdraw.Server)
			}
			if delete(c.going, w.Withdraw.Server); w.Withdraw.Going {
				c.going[w.Withdraw.Server] = c.since
			}
		case *order.Order_Level:
			c.setLevel(w.Level)
		case *order.Order_Receipt:
			receipts = append(receipts, w.Receipt)
		}
	}
	return receipts
}

// Claim judges a controller's claim. A fresh one starts over like a new stream: what the proxy holds stays in force until
// the new commander binds other tables.
func (c *Core) Claim(now float64, m *order.Claim) (granted, fresh bool) {
	c.arbiter.Tick(now)
	before := c.arbiter.Epoch
	granted = c.arbiter.Claim(m.Controller, m.Incarnation, m.Epoch, float64(m.LeaseMs))
	if fresh = granted && m.Epoch != before; fresh {
		c.Welcomed(&order.Welcome{})
	}
	return granted, fresh
}

// Commanded says whether orders under an epoch from a controller are to be obeyed, and remembers those that are.
func (c *Core) Commanded(now float64, controller string, m *order.Orders) bool {
	c.arbiter.Tick(now)
	return c.arbiter.Obeys(controller, m.Incarnation, m.Epoch)
}

// Met remembers a message of orders, as each counts in its span whoever sent it.
func (c *Core) Met(now float64) {
	c.recent = append(c.recent, now)
	for c.recent[0] <= now-recentMs || len(c.recent) > recentMost {
		c.recent = c.recent[1:]
	}
}

// Word says who commands the proxy; to a fresh commander also what it holds, and what was ordered lately.
func (c *Core) Word(now float64, fresh bool) *order.Lease {
	c.arbiter.Tick(now)
	a := &c.arbiter
	c.words++
	w := &order.Lease{Count: c.words, Epoch: a.Epoch, Controller: a.Controller, Incarnation: a.Incarnation, LeftMs: a.Left()}
	if !fresh {
		return w
	}
	w.Holds = c.Holds()
	for g, l := range c.levels {
		w.Levels = append(w.Levels, &order.Level{Group: uint32(g), Share: l.share, Retry: uint32(l.retry)})
	}
	for _, at := range c.recent {
		w.MessagesAgoMs = append(w.MessagesAgoMs, now-at)
	}
	maps.DeleteFunc(c.going, func(_ string, at float64) bool { return now-at > goingMs })
	w.Going = slices.Sorted(maps.Keys(c.going))
	return w
}

func (c *Core) setLine(number uint32, l *order.Line) {
	t := c.tables[number]
	if t == nil {
		return
	}
	at := slices.IndexFunc(t.lines, func(x *line) bool { return x.server == l.Server })
	switch {
	case l.Weight <= 0 && at >= 0:
		t.lines = slices.Delete(t.lines, at, at+1)
	case at >= 0:
		t.lines[at].weight = l.Weight
	case l.Weight > 0:
		t.lines = append(t.lines, &line{server: l.Server, weight: l.Weight})
	}
}

func (c *Core) bind(b *order.Bind) {
	if !c.bound { // levels of an earlier planner end with its tables
		c.bound = true
		for g := range c.levels {
			c.levels[g] = level{1, c.usual}
		}
	}
	t := c.tables[b.Table]
	if t == nil {
		t = &table{out: c.out}
		c.tables[b.Table] = t
	}
	t.lines = t.lines[:0]
	for _, l := range b.Lines {
		if l.Weight > 0 {
			t.lines = append(t.lines, &line{server: l.Server, weight: l.Weight})
		}
	}
	for _, l := range b.Lines {
		delete(c.going, l.Server)
	}
	for _, s := range b.Withdrawn {
		c.out[s] = true
	}
	for _, s := range b.Going {
		c.going[s] = c.since
	}
	for _, g := range b.Groups {
		if int(g) < len(c.slots) {
			c.slots[g] = t
		}
	}
	for _, l := range b.Levels {
		c.setLevel(l)
	}
}

func (c *Core) setLevel(l *order.Level) {
	if int(l.Group) < len(c.levels) {
		c.levels[l.Group] = level{l.Share, int(l.Retry)}
	}
}

func (c *Core) barred(t *table, server string) bool { return t.out[server] || c.out[server] }

// Held says whether any group may still be sent to a server.
func (c *Core) Held(server string) bool {
	return slices.ContainsFunc(c.slots, func(t *table) bool {
		return !c.barred(t, server) && slices.ContainsFunc(t.lines, func(l *line) bool { return l.server == server })
	})
}

// Flow is one that was let in.
type Flow struct {
	Group int
	Tries int
	begun float64
	tried []string
}

// Admit counts a flow and says whether it is let in, at a time in ms.
func (c *Core) Admit(now float64, group int) (*Flow, bool) {
	c.came[group].tries++
	if share := c.levels[group].share; share < 1 && c.chance.Float64() >= share {
		return nil, false
	}
	return &Flow{Group: group, begun: now}, true
}

// further is how many more tries the orders allow after an outcome of the try at hand; never one that a flow of
// its kind cannot bear, whatever was ordered.
func (c *Core) further(f *Flow, o Outcome) int {
	retry := c.levels[f.Group].retry
	most := [...]int{policy.RetryNever: 0, policy.RetryProven: 1, policy.RetryOnce: 1, policy.RetryTwice: 2}[retry]
	proven := o == Unrun
	if !proven && (retry == policy.RetryProven || c.groups[f.Group].Repeat != pb.Repeat_RETRIABLE) {
		return 0
	}
	return max(most+1-f.Tries, 0)
}

// Pick gives the server for the next try and how long it may take, in ms; false if there is none to pick.
func (c *Core) Pick(now float64, f *Flow) (server string, within float64, ok bool) {
	t := c.slots[f.Group]
	open := make([]*line, 0, len(t.lines))
	total := 0.0
	for _, l := range t.lines {
		if l.weight > 0 && !c.barred(t, l.server) && !slices.Contains(f.tried, l.server) {
			open, total = append(open, l), total+l.weight
		}
	}
	if len(open) == 0 {
		return "", 0, false
	}
	var l *line
	switch c.pick {
	case pb.Pick_ROUND:
		l = c.even(open, total)
	case pb.Pick_TWO:
		if l = c.draw(open, total); len(open) > 1 {
			if m := c.draw(open, total); c.inHand[m.server] < c.inHand[l.server] {
				l = m
			}
		}
	default:
		l = c.draw(open, total)
	}
	f.Tries, f.tried = f.Tries+1, append(f.tried, l.server)
	c.inHand[l.server]++
	g := c.groups[f.Group]
	within = f.begun + settings.Ms(g.Expiry) - now
	if c.further(f, Dropped) > 0 && len(open) > 1 {
		within = min(within, c.first*settings.Ms(g.LatencyBudget))
	}
	return l.server, within, true
}

// draw picks at random by weight.
func (c *Core) draw(open []*line, total float64) *line {
	x := c.chance.Float64() * total
	for _, l := range open {
		if x -= l.weight; x < 0 {
			return l
		}
	}
	return open[len(open)-1]
}

// even picks by smooth weighted round robin: each line gains its weight at each pick, and the picked one pays.
func (c *Core) even(open []*line, total float64) (best *line) {
	for _, l := range open {
		if l.credit += l.weight; best == nil || l.credit > best.credit {
			best = l
		}
	}
	best.credit -= total
	return best
}

// Ended takes in how a try ended after some ms, and says whether the flow is to be tried again.
func (c *Core) Ended(now float64, f *Flow, server string, o Outcome, ms float64) (again bool) {
	if c.inHand[server]--; c.inHand[server] <= 0 {
		delete(c.inHand, server)
	}
	s := c.servers[server]
	if s == nil {
		s = &sum{}
		c.servers[server] = s
	}
	s.tries++
	if o == Delivered {
		s.latency += ms
		return false
	}
	s.dropped++
	expiry := settings.Ms(c.groups[f.Group].Expiry)
	if c.further(f, o) > 0 && f.begun+expiry-now > leastLeft*expiry && c.another(f) {
		return true
	}
	c.came[f.Group].dropped++
	return false
}

// GaveUp takes in that a flow that was let in found no server at all.
func (c *Core) GaveUp(f *Flow) { c.came[f.Group].dropped++ }

func (c *Core) another(f *Flow) bool {
	t := c.slots[f.Group]
	return slices.ContainsFunc(t.lines, func(l *line) bool {
		return l.weight > 0 && !c.barred(t, l.server) && !slices.Contains(f.tried, l.server)
	})
}

// Sums gives what was met since the last call, and starts anew.
func (c *Core) Sums(now float64) *order.Sums {
	m := &order.Sums{CoversMs: now - c.since}
	for name, s := range c.servers {
		x := &order.ServerSum{Server: name, Tries: uint32(s.tries), Dropped: uint32(s.dropped)}
		if good := s.tries - s.dropped; good > 0 {
			x.LatencyMs = s.latency / float64(good)
		}
		m.Servers = append(m.Servers, x)
	}
	slices.SortFunc(m.Servers, func(a, b *order.ServerSum) int {
		if a.Server < b.Server {
			return -1
		}
		return 1
	})
	for g, s := range c.came {
		m.Groups = append(m.Groups, &order.GroupSum{Group: uint32(g), Came: uint32(s.tries), Dropped: uint32(min(s.dropped, s.tries))})
		c.came[g] = sum{}
	}
	c.servers, c.since = map[string]*sum{}, now
	return m
}
