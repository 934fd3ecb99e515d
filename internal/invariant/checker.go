// Package invariant judges the five rules from what passed on the sockets, apart from the code that keeps them: it is
// told of frames and flows as they pass, keeps its own picture of what each proxy was told, and names each breach
// with its evidence.
package invariant

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"

	"lichenpick/proto/order"
)

// Rule of the five.
type Rule int

const (
	NoServer        Rule = 1 + iota // a joined proxy without a server to pick
	DuplicateEffect                 // an effect twice
	SentToDraining                  // sent to what drains or is gone
	ColdOverload                    // a cold server sent too much
	BacklogExceeded                 // lines waiting, messages to one proxy
	SingleLeader                    // orders decided for a proxy that had granted another
	StaleEpoch                      // orders obeyed under an epoch that is past
)

func (r Rule) String() string {
	return [...]string{"none", "bare", "twice", "drain", "push-over", "queue", "one-commander", "stale-order"}[r]
}

// Violation is one rule broken, once.
type Violation struct {
	Rule     Rule
	AtMs     float64
	Evidence string
}

// Limits are the figures of the rules. Times in ms.
type Limits struct {
	NoServerMs, DrainGraceMs, SlowStartMs, MissingMs float64 // MissingMs: after which a server that lists only lack counts as gone
	ColdOverloadWindowMs, ColdOverloadMultiple       float64
	WorkMs, HandshakeMs                              float64 // mean work of a flow, and of a connection
	MaxBacklog                                       float64
	MaxMessages                                      int
	MessageWindowMs                                  float64
	SlackMs                                          float64 // between a frame's passing and its obeying, or a flow's pick and its passing
	Idempotency                                      []Idempotency
	SameZoneOnly                                     []bool
	Capacity                                         func(server string, at float64) float64 // of a stand-in, work a ms; 0 for one not known
}

// Idempotency is what a traffic group bears.
type Idempotency int

const (
	NonIdempotent Idempotency = iota
	Deduplicated              // within WindowMs
	Idempotent
)

const (
	chanceSlack = 1.15 // of a cold server's budget; work is counted by its mean
	maxReported = 20   // breaches kept of each rule
	knowing     = 2.0 / 3
)

// Attempt is a try as its head passed.
type Attempt struct {
	ID     string
	Class  int
	Number int
	Proxy  string
}

type listing struct {
	state  uint32
	zone   string
	born   uint64
	bornAt float64 // when the planner was told of this birth
	told   float64 // when it was told that the server drains or is gone; infinite while ready
}

type planner struct {
	list    map[string]*listing
	waiting []message // queued and passed
}

type message struct{ decided, passed, lines float64 }

type lines struct {
	weights map[string]float64
	out     map[string]bool
}

type proxy struct {
	planner  string // joined to; empty: none
	joined   float64
	zone     string
	tables   map[uint32]*lines
	slots    []*lines
	out      map[string]bool
	bare     []float64 // since when, by group; infinite: not
	told     []bool    // breach told
	messages []float64
	free     float64 // since when it has no commander
	spoke    float64 // last frame of its commander
	decided  float64 // of the last message that passed
	shared   bool
	holder   string // by its own grants; empty: free
	epoch    uint64
	count    uint64 // of its word that granted that
	grants   int    // to new commanders
	granted  float64
	passed   map[string]map[uint64]uint64 // epochs of messages not answered yet, by controller and number
}

type try struct {
	at     float64
	server string
	unrun  bool
}

type sentWork struct {
	at, work float64
	knows    bool
}

// Takeover is one proxy that granted a controller anew, and since when it had none.
type Takeover struct {
	Proxy, Controller                 string
	LastFrameMs, ExpiredMs, GrantedMs float64 // last frame of the one before; end of its lease; the grant
}

// Checker judges. Its methods are called in order of time, by one goroutine at a time.
type Checker struct {
	lim      Limits
	planners map[string]*planner
	proxies  map[string]*proxy
	flows    map[string][]*try // by flow and proxy
	old      []string          // flows in order of coming, to forget
	cold     map[string][]sentWork
	breaches map[Rule][]Violation
	counts   map[Rule]int
	Messages int
	Entries  float64
	Requests int

	Takeovers     []Takeover
	Rejected      int // messages that proxies refused, as they were past
	ResentEntries int // lines of tables that later commanders bound
}

// NewChecker makes one that has seen nothing.
func NewChecker(lim Limits) *Checker {
	return &Checker{
		lim: lim, planners: map[string]*planner{}, proxies: map[string]*proxy{}, flows: map[string][]*try{},
		cold: map[string][]sentWork{}, breaches: map[Rule][]Violation{}, counts: map[Rule]int{},
	}
}

func (c *Checker) broke(r Rule, at float64, format string, args ...any) {
	c.counts[r]++
	if len(c.breaches[r]) < maxReported {
		c.breaches[r] = append(c.breaches[r], Violation{r, at, fmt.Sprintf(format, args...)})
	}
}

func (c *Checker) planner(name string) *planner {
	p := c.planners[name]
	if p == nil {
		p = &planner{list: map[string]*listing{}}
		c.planners[name] = p
	}
	return p
}

// RecordEndpoints saw a list on its way to a planner.
func (c *Checker) RecordEndpoints(name string, at float64, m *order.Listing) {
	if m.Form == order.Listing_FAILED {
		return
	}
	p := c.planner(name)
	seen := map[string]bool{}
	for _, e := range m.Entries {
		seen[e.Server] = true
		l := p.list[e.Server]
		if l == nil {
			l = &listing{told: math.Inf(1)}
			p.list[e.Server] = l
		}
		if e.BornUnixMs != l.born || l.bornAt == 0 {
			l.bornAt = at
		}
		if e.State == 0 {
			l.told = math.Inf(1)
		} else if math.IsInf(l.told, 1) || l.told > at {
			l.told = at
		}
		l.state, l.zone, l.born = e.State, e.Zone, e.BornUnixMs
	}
	if m.Form == order.Listing_WHOLE {
		for name, l := range p.list {
			if !seen[name] && math.IsInf(l.told, 1) {
				l.told = at + c.lim.MissingMs
			}
		}
	}
	for name, q := range c.proxies {
		c.look(name, q, at)
	}
}

// RecordPlannerExit saw that a planner ended: what it knew of the list is void.
func (c *Checker) RecordPlannerExit(name string, at float64) {
	delete(c.planners, name)
	for id, q := range c.proxies {
		if q.planner == name {
			c.RecordDisconnect(id, name, at)
		}
	}
}

// RecordJoin saw a proxy's first frame on its way to a planner.
func (c *Checker) RecordJoin(name, planner string, at float64, j *order.Join) {
	if old := c.proxies[name]; j.Lease != nil && old != nil && old.shared {
		return // a further stream; who commands is in its word
	}
	q := &proxy{planner: planner, joined: at, zone: j.Zone, tables: map[uint32]*lines{}, out: map[string]bool{}}
	for range c.lim.Idempotency {
		q.slots, q.bare, q.told = append(q.slots, &lines{}), append(q.bare, math.Inf(1)), append(q.told, false)
	}
	for _, h := range j.Holds {
		t := &lines{weights: map[string]float64{}, out: map[string]bool{}}
		for _, l := range h.Lines {
			t.weights[l.Server] = l.Weight
		}
		for _, s := range h.Withdrawn {
			t.out[s] = true
		}
		for _, g := range h.Groups {
			if int(g) < len(q.slots) {
				q.slots[g] = t
			}
		}
	}
	if j.Lease != nil {
		q.shared, q.planner, q.passed = true, "", map[string]map[uint64]uint64{}
	}
	c.proxies[name] = q
	c.look(name, q, at)
}

// RecordLease saw a proxy's word on who commands it pass towards a controller.
func (c *Checker) RecordLease(name, controller string, at float64, m *order.Lease) {
	q := c.proxies[name]
	if q == nil || !q.shared {
		return
	}
	// Words of a proxy pass each other on its streams; their count and epoch tell which is older.
	switch {
	case m.Granted && m.Epoch < q.epoch && m.Count > q.count:
		c.broke(StaleEpoch, at, "proxy %s granted epoch %d after %d", name, m.Epoch, q.epoch)
	case m.Granted && m.Epoch > q.epoch:
		free := q.free
		if q.holder != "" { // its holder claimed it anew, on another stream
			free = at
		}
		c.Takeovers = append(c.Takeovers, Takeover{name, controller, q.spoke, free, at})
		q.spoke, q.grants = at, q.grants+1
		q.holder, q.epoch, q.count, q.granted, q.joined = controller, m.Epoch, m.Count, at, at
		c.hold(name, q, at, m)
	case m.Controller == "" && q.holder != "" && m.Epoch == q.epoch && m.Count > q.count:
		q.holder, q.free = "", at
		c.look(name, q, at)
		q.planner = ""
	}
}

// RecordFrame saw a frame of a controller pass towards a proxy.
func (c *Checker) RecordFrame(name, controller string, at float64) {
	if q := c.proxies[name]; q != nil && q.holder == controller {
		q.spoke = at
	}
}

// hold starts over with what a proxy says that it holds.
func (c *Checker) hold(name string, q *proxy, at float64, m *order.Lease) {
	c.look(name, q, at)
	q.planner, q.tables, q.out = q.holder, map[uint32]*lines{}, map[string]bool{}
	for g := range q.bare {
		q.bare[g], q.told[g] = math.Inf(1), false
	}
	for _, h := range m.Holds {
		t := &lines{weights: map[string]float64{}, out: map[string]bool{}}
		for _, l := range h.Lines {
			t.weights[l.Server] = l.Weight
		}
		for _, s := range h.Withdrawn {
			t.out[s] = true
		}
		for _, g := range h.Groups {
			if int(g) < len(q.slots) {
				q.slots[g] = t
			}
		}
	}
	c.look(name, q, at)
}

// CountByController counts each controller's proxies now.
func (c *Checker) CountByController() map[string]int {
	held := map[string]int{}
	for _, q := range c.proxies {
		if q.holder != "" {
			held[q.holder]++
		}
	}
	return held
}

// RecordAck saw a proxy's answer to a message of a controller: whether it obeyed is its own word.
func (c *Checker) RecordAck(name, controller string, at float64, m *order.Applied) {
	q := c.proxies[name]
	if q == nil || !q.shared {
		return
	}
	epoch, known := q.passed[controller][m.Number]
	delete(q.passed[controller], m.Number)
	if known && !m.Refused && epoch != m.Epoch {
		c.broke(StaleEpoch, at, "proxy %s obeyed message %d of %s under epoch %d, when it had granted %d", name, m.Number, controller, epoch, m.Epoch)
	}
	if m.Refused {
		c.Rejected++
	}
}

// RecordDisconnect saw that a proxy's stream ended.
func (c *Checker) RecordDisconnect(name, planner string, at float64) {
	if q := c.proxies[name]; q != nil && q.planner == planner {
		c.look(name, q, at)
		q.planner = ""
	}
}

// RecordWelcome saw the answer to a join reach the proxy.
func (c *Checker) RecordWelcome(name string, at float64, w *order.Welcome) {
	if q := c.proxies[name]; q != nil {
		for _, s := range w.Withdrawn {
			q.out[s] = true
		}
		c.look(name, q, at)
	}
}

// RecordSend saw a message leave its planner, decided at a time by the same clock.
func (c *Checker) RecordSend(name, by string, at, decided float64, m *order.Orders) {
	c.Messages++
	c.Entries += m.Lines
	p := c.planner(by)
	p.waiting = append(p.waiting, message{decided, at, m.Lines})
	q := c.proxies[name]
	if q == nil {
		return
	}
	if q.shared {
		if q.holder != "" && q.holder != by && q.granted < decided {
			c.broke(SingleLeader, at, "%s decided orders for proxy %s %.1f ms after %s was granted epoch %d", by, name, decided-q.granted, q.holder, q.epoch)
		}
		if q.passed[by] == nil {
			q.passed[by] = map[uint64]uint64{}
		}
		q.passed[by][m.Number] = m.Epoch
	}
	q.messages = append(q.messages, decided)
	q.messages = slices.DeleteFunc(q.messages, func(t float64) bool {
		return t <= decided-c.lim.MessageWindowMs || !q.shared && t < q.joined-c.lim.SlackMs
	})
	if c.lim.MaxMessages > 0 && len(q.messages) > c.lim.MaxMessages {
		c.broke(BacklogExceeded, at, "proxy %s: %d messages within %g ms, %d allowed", name, len(q.messages), c.lim.MessageWindowMs, c.lim.MaxMessages)
	}
}

// RecordDelivery saw a message reach a proxy.
func (c *Checker) RecordDelivery(name, by string, at, decided float64, m *order.Orders) {
	q := c.proxies[name]
	if q == nil || q.shared && (q.holder != by || q.epoch != m.Epoch) {
		return
	}
	q.decided = decided
	for _, o := range m.Orders {
		switch w := o.What.(type) {
		case *order.Order_Bind:
			if q.grants > 1 {
				c.ResentEntries += len(w.Bind.Lines)
			}
			t := &lines{weights: map[string]float64{}, out: q.out}
			for _, l := range w.Bind.Lines {
				t.weights[l.Server] = l.Weight
			}
			for _, s := range w.Bind.Withdrawn {
				q.out[s] = true
			}
			q.tables[w.Bind.Table] = t
			for _, g := range w.Bind.Groups {
				if int(g) < len(q.slots) {
					q.slots[g] = t
				}
			}
		case *order.Order_Line:
			if t := q.tables[w.Line.Table]; t != nil {
				t.weights[w.Line.Line.Server] = w.Line.Line.Weight
			}
			if w.Line.Forget {
				delete(q.out, w.Line.Line.Server)
			}
		case *order.Order_Withdraw:
			if w.Withdraw.Out {
				q.out[w.Withdraw.Server] = true
			} else {
				delete(q.out, w.Withdraw.Server)
			}
		}
	}
	c.look(name, q, at)
}

// look judges the first rule for a proxy: how long each group has been bare while an open warm server was listed.
func (c *Checker) look(name string, q *proxy, at float64) {
	if q.planner == "" {
		return
	}
	p := c.planner(q.planner)
	for g, t := range q.slots {
		bare := true
		for s, w := range t.weights {
			if w > 0 && !t.out[s] && !q.out[s] {
				bare = false
			}
		}
		listed := false
		for _, l := range p.list {
			warm := l.born == 0 || at-l.bornAt >= c.lim.SlowStartMs
			if l.told > at && warm && (!c.lim.SameZoneOnly[g] || l.zone == q.zone) {
				listed = true
			}
		}
		if since := q.bare[g]; at-since > c.lim.NoServerMs && !q.told[g] {
			q.told[g] = true
			c.broke(NoServer, at, "proxy %s had nothing to pick for group %d from %.0f to %.0f ms", name, g, since, at)
		}
		switch {
		case !bare || !listed:
			q.bare[g], q.told[g] = math.Inf(1), false
		case math.IsInf(q.bare[g], 1):
			q.bare[g] = at
		}
	}
}

// RecordConnection saw a connection open towards a server.
func (c *Checker) RecordConnection(server string, at float64) {
	c.load(server, at, c.lim.HandshakeMs, false)
}

// RecordAttempt saw the head of a try pass towards a server.
func (c *Checker) RecordAttempt(server string, at float64, f Attempt) {
	c.Requests++
	key := f.ID + "\x00" + f.Proxy
	if f.Class < len(c.lim.Idempotency) && c.lim.Idempotency[f.Class] != Idempotent {
		for _, t := range c.flows[key] {
			if !t.unrun {
				c.broke(DuplicateEffect, at, "proxy %s sent flow %s of group %d to %s (try %d) at %.0f ms, after %s got it at %.0f ms and never proved that it did not run",
					f.Proxy, f.ID, f.Class, server, f.Number, at, t.server, t.at)
			}
		}
	}
	c.flows[key] = append(c.flows[key], &try{at: at, server: server})
	if c.old = append(c.old, key); len(c.old) > 200000 {
		delete(c.flows, c.old[0])
		c.old = c.old[1:]
	}
	q := c.proxies[f.Proxy]
	if q == nil || q.planner == "" {
		c.load(server, at, c.lim.WorkMs, false)
		return
	}
	l := c.planner(q.planner).list[server]
	if l != nil {
		if from := math.Max(l.told, q.joined); at > from+c.lim.DrainGraceMs+c.lim.SlackMs {
			c.broke(SentToDraining, at, "proxy %s sent a flow to %s %.0f ms after its planner could know that it goes; the grace is %.0f ms",
				f.Proxy, server, at-from, c.lim.DrainGraceMs)
		}
	}
	c.load(server, at, c.lim.WorkMs, l != nil && (q.decided > l.bornAt || at > l.bornAt+c.lim.DrainGraceMs))
}

// RecordAnswer saw a server's answer to a try; unrun is its proof that it did not begin.
func (c *Checker) RecordAnswer(server string, at float64, f Attempt, unrun bool) {
	for _, t := range c.flows[f.ID+"\x00"+f.Proxy] {
		if t.server == server {
			t.unrun = t.unrun || unrun
		}
	}
}

// load judges the fourth rule: work sent to a cold server in any window against a multiple of what it can do.
func (c *Checker) load(server string, at, work float64, knows bool) {
	if c.lim.Capacity == nil {
		return
	}
	able, cold := c.coldCapacity(server, at)
	if !cold {
		delete(c.cold, server)
		return
	}
	in := append(c.cold[server], sentWork{at, work, knows})
	in = slices.DeleteFunc(in, func(s sentWork) bool { return s.at <= at-c.lim.ColdOverloadWindowMs })
	c.cold[server] = in
	sum, known := 0.0, 0.0
	for _, s := range in {
		if sum += s.work; s.knows {
			known += s.work
		}
	}
	if most := c.lim.ColdOverloadMultiple * able * c.lim.ColdOverloadWindowMs * chanceSlack; sum > most && known >= knowing*sum {
		c.broke(ColdOverload, at, "cold server %s was sent %.0f ms of work within %.0f ms, %.0f allowed; %.0f%% by proxies that could know",
			server, sum, c.lim.ColdOverloadWindowMs, most, 100*known/sum)
		delete(c.cold, server)
	}
}

// coldCapacity gives a cold server's capacity; the limits' function says 0 for a warm one.
func (c *Checker) coldCapacity(server string, at float64) (able float64, cold bool) {
	able = c.lim.Capacity(server, at)
	return able, able > 0
}

// Finish judges what can be judged only at the end, and gives all breaches by time, and their number by rule.
func (c *Checker) Finish(at float64) ([]Violation, map[Rule]int) {
	for name, q := range c.proxies {
		c.look(name, q, at)
	}
	for name, p := range c.planners {
		c.queue(name, p)
	}
	var all []Violation
	for _, b := range c.breaches {
		all = append(all, b...)
	}
	sort.SliceStable(all, func(a, b int) bool { return all[a].AtMs < all[b].AtMs })
	return all, maps.Clone(c.counts) // what still passes while the day is taken down must not change them
}

// queue judges how many lines waited at any time: those decided and not passed yet.
func (c *Checker) queue(name string, p *planner) {
	type edge struct{ at, lines float64 }
	var edges []edge
	for _, m := range p.waiting {
		edges = append(edges, edge{m.decided, m.lines}, edge{m.passed, -m.lines})
	}
	sort.SliceStable(edges, func(a, b int) bool {
		return edges[a].at < edges[b].at || edges[a].at == edges[b].at && edges[a].lines < edges[b].lines
	})
	waiting, most, when := 0.0, 0.0, 0.0
	for _, e := range edges {
		if waiting += e.lines; waiting > most {
			most, when = waiting, e.at
		}
	}
	if most > c.lim.MaxBacklog {
		c.broke(BacklogExceeded, when, "planner %s: %.0f lines waited, %.0f allowed", name, most, c.lim.MaxBacklog)
	}
}
