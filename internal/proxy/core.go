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
	Succeeded   Outcome = iota
	Unprocessed         // failed, with proof that it never ran: no connection, or the server said so
	Failed              // failed, and may have run
)

const minRemaining = 0.1 // part of the expiry that must be left for a further try; less would end unanswered anyway

// weightEntry is a server's part of a table.
type weightEntry struct {
	server string
	weight float64
	credit float64 // of the even pick
}

// table is what some traffic groups go by, with the withdrawals of the planner that gave it.
type table struct {
	groups  []uint32
	entries []*weightEntry
	ejected map[string]bool
}

type admission struct {
	fraction float64
	retry    int
}

type loadSample struct {
	tries, dropped int
	latency        float64 // ms, over the delivered
}

// Core is a proxy's state. Its methods are called by one goroutine at a time.
type Core struct {
	groups       []*pb.Group
	pick         pb.Pick
	first        float64 // latency budgets that a try which may be followed waits
	usual        int     // retry mode of groups that were told none
	chance       *rand.Rand
	tableByGroup []*table          // by group
	tables       map[uint32]*table // of the present stream
	ejected      map[string]bool   // withdrawn by the present stream
	admission    []admission
	assigned     bool // the present stream has bound a table
	inFlight     map[string]int
	servers      map[string]*loadSample
	came         []loadSample // by group: flows that came, and those let in without an answer
	since        float64
	grantor      lease.Grantor
	draining     map[string]float64 // withdrawn as they drain or are gone, by whomever, and when
	words        uint64
	recent       []float64 // times of the last messages of orders
}

// recentMs and recentMost bound what a proxy remembers of messages; a planner's span for them is seldom longer.
const (
	recentMs  = 60000.0
	maxRecent = 1000

	goingMs = 600000.0 // ms that a drain is told to a next commander; its list shows it long before
)

// NewCore makes a proxy that goes by its standing table.
func NewCore(set *pb.Proxy, now float64) *Core {
	c := &Core{
		groups: set.Groups, pick: set.Pick, first: set.GetFirstWait(), usual: retryMode(set.DefaultRetry),
		chance: rand.New(rand.NewSource(int64(set.GetSeed()))), tables: map[uint32]*table{}, ejected: map[string]bool{},
		inFlight: map[string]int{}, draining: map[string]float64{}, servers: map[string]*loadSample{}, came: make([]loadSample, len(set.Groups)), since: now,
	}
	standing := &table{ejected: map[string]bool{}}
	for _, s := range set.Standing {
		standing.entries = append(standing.entries, &weightEntry{server: s, weight: 1})
	}
	for g := range set.Groups {
		standing.groups = append(standing.groups, uint32(g))
		c.tableByGroup, c.admission = append(c.tableByGroup, standing), append(c.admission, admission{1, c.usual})
	}
	return c
}

func retryMode(r pb.Retry) int {
	return map[pb.Retry]int{
		pb.Retry_NEVER: policy.RetryNever, pb.Retry_AFTER_PROOF: policy.RetryUnprocessed,
		pb.Retry_ONCE: policy.RetryOnce, pb.Retry_TWICE: policy.RetryTwice,
	}[r]
}

// HeldTables says what the proxy goes by, for a Join.
func (c *Core) HeldTables() (holds []*order.Holding) {
	seen := map[*table]*order.Holding{}
	for g, t := range c.tableByGroup {
		h := seen[t]
		if h == nil {
			h = &order.Holding{}
			for _, l := range t.entries {
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

// StartSession starts a stream: tables and withdrawals of earlier ones hold until this one binds others.
func (c *Core) StartSession(w *order.Welcome) {
	c.tables, c.ejected, c.assigned = map[uint32]*table{}, map[string]bool{}, false
	for _, s := range w.Withdrawn {
		c.ejected[s] = true
	}
}

// ApplyOrders obeys a message whole, and gives the receipts that it asks for.
func (c *Core) ApplyOrders(m *order.Orders) (receipts []uint32) {
	for _, o := range m.Orders {
		switch w := o.What.(type) {
		case *order.Order_Line:
			c.setWeight(w.Line.Table, w.Line.Line)
			if w.Line.Forget {
				delete(c.ejected, w.Line.Line.Server)
			}
		case *order.Order_Bind:
			c.assignTable(w.Bind)
		case *order.Order_Withdraw:
			if w.Withdraw.Out {
				c.ejected[w.Withdraw.Server] = true
			} else {
				delete(c.ejected, w.Withdraw.Server)
			}
			if delete(c.draining, w.Withdraw.Server); w.Withdraw.Going {
				c.draining[w.Withdraw.Server] = c.since
			}
		case *order.Order_Level:
			c.setAdmission(w.Level)
		case *order.Order_Receipt:
			receipts = append(receipts, w.Receipt)
		}
	}
	return receipts
}

// HandleLeaseRequest judges a controller's claim. A fresh one starts over like a new stream: what the proxy holds stays in force until
// the new commander binds other tables.
func (c *Core) HandleLeaseRequest(now float64, m *order.Claim) (granted, fresh bool) {
	c.grantor.SetTime(now)
	before := c.grantor.Epoch
	granted = c.grantor.Grant(m.Controller, m.Incarnation, m.Epoch, float64(m.LeaseMs))
	if fresh = granted && m.Epoch != before; fresh {
		c.StartSession(&order.Welcome{})
	}
	return granted, fresh
}

// AcceptsOrders says whether orders under an epoch from a controller are to be obeyed, and remembers those that are.
func (c *Core) AcceptsOrders(now float64, controller string, m *order.Orders) bool {
	c.grantor.SetTime(now)
	return c.grantor.Accepts(controller, m.Incarnation, m.Epoch)
}

// RecordMessage remembers a message of orders, as each counts in its span whoever sent it.
func (c *Core) RecordMessage(now float64) {
	c.recent = append(c.recent, now)
	for c.recent[0] <= now-recentMs || len(c.recent) > maxRecent {
		c.recent = c.recent[1:]
	}
}

// LeaseState says who commands the proxy; to a fresh commander also what it holds, and what was ordered lately.
func (c *Core) LeaseState(now float64, fresh bool) *order.Lease {
	c.grantor.SetTime(now)
	a := &c.grantor
	c.words++
	w := &order.Lease{Count: c.words, Epoch: a.Epoch, Controller: a.Controller, Incarnation: a.Incarnation, LeftMs: a.RemainingMs()}
	if !fresh {
		return w
	}
	w.Holds = c.HeldTables()
	for g, l := range c.admission {
		w.Levels = append(w.Levels, &order.Level{Group: uint32(g), Share: l.fraction, Retry: uint32(l.retry)})
	}
	for _, at := range c.recent {
		w.MessagesAgoMs = append(w.MessagesAgoMs, now-at)
	}
	maps.DeleteFunc(c.draining, func(_ string, at float64) bool { return now-at > goingMs })
	w.Going = slices.Sorted(maps.Keys(c.draining))
	return w
}

func (c *Core) setWeight(number uint32, l *order.Line) {
	t := c.tables[number]
	if t == nil {
		return
	}
	at := slices.IndexFunc(t.entries, func(x *weightEntry) bool { return x.server == l.Server })
	switch {
	case l.Weight <= 0 && at >= 0:
		t.entries = slices.Delete(t.entries, at, at+1)
	case at >= 0:
		t.entries[at].weight = l.Weight
	case l.Weight > 0:
		t.entries = append(t.entries, &weightEntry{server: l.Server, weight: l.Weight})
	}
}

func (c *Core) assignTable(b *order.Bind) {
	if !c.assigned { // levels of an earlier planner end with its tables
		c.assigned = true
		for g := range c.admission {
			c.admission[g] = admission{1, c.usual}
		}
	}
	t := c.tables[b.Table]
	if t == nil {
		t = &table{ejected: c.ejected}
		c.tables[b.Table] = t
	}
	t.entries = t.entries[:0]
	for _, l := range b.Lines {
		if l.Weight > 0 {
			t.entries = append(t.entries, &weightEntry{server: l.Server, weight: l.Weight})
		}
	}
	for _, l := range b.Lines {
		delete(c.draining, l.Server)
	}
	for _, s := range b.Withdrawn {
		c.ejected[s] = true
	}
	for _, s := range b.Going {
		c.draining[s] = c.since
	}
	for _, g := range b.Groups {
		if int(g) < len(c.tableByGroup) {
			c.tableByGroup[g] = t
		}
	}
	for _, l := range b.Levels {
		c.setAdmission(l)
	}
}

func (c *Core) setAdmission(l *order.Level) {
	if int(l.Group) < len(c.admission) {
		c.admission[l.Group] = admission{l.Share, int(l.Retry)}
	}
}

func (c *Core) barred(t *table, server string) bool { return t.ejected[server] || c.ejected[server] }

// MayReceive says whether any group may still be sent to a server.
func (c *Core) MayReceive(server string) bool {
	return slices.ContainsFunc(c.tableByGroup, func(t *table) bool {
		return !c.barred(t, server) && slices.ContainsFunc(t.entries, func(l *weightEntry) bool { return l.server == server })
	})
}

// Request is one that was let in.
type Request struct {
	Class    int
	Attempts int
	begun    float64
	tried    []string
}

// Admit counts a flow and says whether it is let in, at a time in ms.
func (c *Core) Admit(now float64, group int) (*Request, bool) {
	c.came[group].tries++
	if share := c.admission[group].fraction; share < 1 && c.chance.Float64() >= share {
		return nil, false
	}
	return &Request{Class: group, begun: now}, true
}

// further is how many more tries the orders allow after an outcome of the try at hand; never one that a flow of
// its kind cannot bear, whatever was ordered.
func (c *Core) further(f *Request, o Outcome) int {
	retry := c.admission[f.Class].retry
	most := [...]int{policy.RetryNever: 0, policy.RetryUnprocessed: 1, policy.RetryOnce: 1, policy.RetryTwice: 2}[retry]
	proven := o == Unprocessed
	if !proven && (retry == policy.RetryUnprocessed || c.groups[f.Class].Repeat != pb.Repeat_RETRIABLE) {
		return 0
	}
	return max(most+1-f.Attempts, 0)
}

// Pick gives the server for the next try and how long it may take, in ms; false if there is none to pick.
func (c *Core) Pick(now float64, f *Request) (server string, within float64, ok bool) {
	t := c.tableByGroup[f.Class]
	open := make([]*weightEntry, 0, len(t.entries))
	total := 0.0
	for _, l := range t.entries {
		if l.weight > 0 && !c.barred(t, l.server) && !slices.Contains(f.tried, l.server) {
			open, total = append(open, l), total+l.weight
		}
	}
	if len(open) == 0 {
		return "", 0, false
	}
	var l *weightEntry
	switch c.pick {
	case pb.Pick_ROUND:
		l = c.even(open, total)
	case pb.Pick_TWO:
		if l = c.draw(open, total); len(open) > 1 {
			if m := c.draw(open, total); c.inFlight[m.server] < c.inFlight[l.server] {
				l = m
			}
		}
	default:
		l = c.draw(open, total)
	}
	f.Attempts, f.tried = f.Attempts+1, append(f.tried, l.server)
	c.inFlight[l.server]++
	g := c.groups[f.Class]
	within = f.begun + settings.Milliseconds(g.Expiry) - now
	if c.further(f, Failed) > 0 && len(open) > 1 {
		within = min(within, c.first*settings.Milliseconds(g.LatencyBudget))
	}
	return l.server, within, true
}

// draw picks at random by weight.
func (c *Core) draw(open []*weightEntry, total float64) *weightEntry {
	x := c.chance.Float64() * total
	for _, l := range open {
		if x -= l.weight; x < 0 {
			return l
		}
	}
	return open[len(open)-1]
}

// even picks by smooth weighted round robin: each line gains its weight at each pick, and the picked one pays.
func (c *Core) even(open []*weightEntry, total float64) (best *weightEntry) {
	for _, l := range open {
		if l.credit += l.weight; best == nil || l.credit > best.credit {
			best = l
		}
	}
	best.credit -= total
	return best
}

// FinishAttempt takes in how a try ended after some ms, and says whether the flow is to be tried again.
func (c *Core) FinishAttempt(now float64, f *Request, server string, o Outcome, ms float64) (again bool) {
	if c.inFlight[server]--; c.inFlight[server] <= 0 {
		delete(c.inFlight, server)
	}
	s := c.servers[server]
	if s == nil {
		s = &loadSample{}
		c.servers[server] = s
	}
	s.tries++
	if o == Succeeded {
		s.latency += ms
		return false
	}
	s.dropped++
	expiry := settings.Milliseconds(c.groups[f.Class].Expiry)
	if c.further(f, o) > 0 && f.begun+expiry-now > minRemaining*expiry && c.another(f) {
		return true
	}
	c.came[f.Class].dropped++
	return false
}

// RecordNoServer takes in that a flow that was let in found no server at all.
func (c *Core) RecordNoServer(f *Request) { c.came[f.Class].dropped++ }

func (c *Core) another(f *Request) bool {
	t := c.tableByGroup[f.Class]
	return slices.ContainsFunc(t.entries, func(l *weightEntry) bool {
		return l.weight > 0 && !c.barred(t, l.server) && !slices.Contains(f.tried, l.server)
	})
}

// TakeLoadReport gives what was met since the last call, and starts anew.
func (c *Core) TakeLoadReport(now float64) *order.Sums {
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
		c.came[g] = loadSample{}
	}
	c.servers, c.since = map[string]*loadSample{}, now
	return m
}
