// Package platform is the planner's door to the operators' platform: lines on streams of proxies and collectors, a list
// that an agent serves over HTTP. Core holds the module and what the proxies were told, and does no I/O; Run connects it
// to sockets, signals and the clock. It decides nothing on tables, health, levels or pace: that is the module's.
package platform

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"

	"lichenpick/internal/simulator"
	"lichenpick/internal/weighttable"
	"lichenpick/policy"
)

const (
	joinMs     = 1500.0 // ms in which a connection must have joined; 1 s is due to it, 3 s is the most
	quietMs    = 6000.0 // ms without a word after which a stream that owes an answer is taken for dead
	passesMs   = 200.0  // ms between notes of how far the channel has come
	slowest    = 8.0    // times slower that the channel may be on some days, by the bench's page
	forgetMs   = 9e5    // ms that a gone server is known, longer than the module remembers it
	eachZone   = 3      // collectors of a zone; an old one that was cut off may seem open beside its successor
	mostPongs  = 16     // answers owed to one connection; who asks faster than it reads gets no more
	mostMarks  = 64     // unanswered marks of a proxy that are known
	mostCount  = 1e7    // tries in a report; more is a spoilt figure
	mostSpanMs = 6e5    // ms that a report may cover, or a time in it
)

// Conn is one connection at the planner's address, as the core knows it.
type Conn struct {
	Out any // the shell's own

	lines     splitter
	opened    float64
	heard     float64 // last readable line
	proxy     *proxy  // joined as this one
	collector int     // 1 + its zone
	pongs     int     // owed
	due       bool    // in the core's list of those owed something
	refuse    bool    // is to be told so and closed
	partial   int     // bytes of its unended message, as counted in the core's sum
	finished  bool    // and is told nothing of it: it asked for nothing more
	why       string  // that is so; its own, as another may be turned away before it is settled
	ended     bool
}

// Unjoined says whether nothing has made the connection more than a stranger's.
func (c *Conn) Unjoined() bool { return c.proxy == nil && c.collector == 0 }

// proxy is a joined one.
type proxy struct {
	id, zone int
	usual    float64
	conn     *Conn
	held     []*weighttable.Table[*proxy] // by group; nil where this stream bound none
	wait     *pending                     // decided in this look
	sent     []float64                    // times of the last messages on this stream: rule 5 counts from the joining
	marks    []mark                       // asked for and not answered, oldest first
	asleep   bool                         // silent for so long that the module takes it for left
}

type mark struct {
	number int
	at     float64
	place  uint64 // of its message among all that went into the channel
}

// pass notes that the channel had come as far as a message, as its mark was answered.
type pass struct {
	at    float64
	place uint64
}

// pending is what a look has decided for a proxy. What tables and levels hold is read when the message is written.
type pending struct {
	bound        []*weighttable.Table[*proxy] // to be written whole
	changed      []change
	levels       []bool // by group
	drop, undrop []string
	mark         int
	marked       bool
}

type change struct {
	table  *weighttable.Table[*proxy]
	server string
}

// server is one that the list has named.
type server struct {
	name  string
	state policy.State
	since float64
	// By proxy id: told to shut it out by us; perhaps told so by another planner, or by us before we started.
	told, maybe []uint64
	// Off the sockets since the last View: tries, failed ones, and ms that the others took.
	tries, failed, took float64
}

func bit(set []uint64, id int) bool { return set[id/64]>>(id%64)&1 == 1 }

func setBit(set []uint64, id int, on bool) {
	if set[id/64] &^= 1 << (id % 64); on {
		set[id/64] |= 1 << (id % 64)
	}
}

// Counts are what happened since the start.
type Counts struct {
	Joins, Lost, Asleep, Refused, Unreadable, Spoilt, Heard, Usage, Marks, Messages, Lines, Bytes, Lists uint64
	MostWaiting                                                                                          float64 // lines in the channel, were it as fast as stated; the module's own figure is in the trace
}

// Host carries out what the core decides. Each method is one decision.
type Host interface {
	Send(c *Conn, message []byte) // whole messages; the bytes are the core's again afterwards
	End(c *Conn, why string)
	Wake(at float64)
}

// Core is one planner. Its methods are called by one at a time: Tick, then inputs, then Next until it says false.
// Times are Unix ms by a clock that never jumps.
type Core struct {
	site    simulator.Site
	module  *policy.Planner
	now     float64
	book    *weighttable.Book[*proxy]
	zones   map[string]int
	groups  map[string]int
	servers map[string]*server
	proxies []*proxy // by id; nil where not joined
	order   []*proxy // joined, in order of joining
	conns   map[*Conn]bool
	fresh   []*Conn   // unjoined, oldest first
	sources [][]*Conn // collectors by zone
	owed    []*Conn
	pending []*proxy
	wakeAt  float64
	told    float64
	buf     []byte

	passes               []pass  // the last one of quietMs ago or more, and those since
	waiting, countedAt   float64 // lines that were sent off and would wait
	partial, MostPartial int     // bytes of messages that have not ended, of all connections together; and the most

	Counts Counts
	Doubt  func(string) // told of each message that is not heard; may be nil
}

// NewCore starts a planner at a time.
func NewCore(site simulator.Site, seed int64, now float64) *Core {
	site.Module.EndsByLine = true // as Withdraw and align do
	c := &Core{
		site: site, module: policy.New(site.Module, seed), book: weighttable.NewBook[*proxy](len(site.Groups)),
		zones: map[string]int{}, groups: map[string]int{}, servers: map[string]*server{}, conns: map[*Conn]bool{},
		proxies: make([]*proxy, site.Module.Proxies), sources: make([][]*Conn, len(site.Zones)), told: math.Inf(1), MostPartial: math.MaxInt,
	}
	for n, z := range site.Zones {
		c.zones[z] = n
	}
	for n, g := range site.Groups {
		c.groups[g] = n
	}
	c.Tick(now)
	return c
}

// Tick tells the time. What is decided until the next one leaves in one message a proxy.
func (c *Core) Tick(now float64) {
	c.now = math.Max(now, c.now)
	c.module.Tick(c.now)
}

// Listed takes in a word of discovery, or with Restored what the configuration had of it.
func (c *Core) Listed(form policy.ListForm, list []policy.Entry) {
	if form != policy.Failed {
		c.Counts.Lists++
	}
	named := map[string]bool{}
	for _, e := range list {
		s := c.servers[e.Server]
		if s == nil {
			words := (len(c.proxies) + 63) / 64
			s = &server{name: e.Server, since: c.now, told: make([]uint64, words), maybe: make([]uint64, words)}
			c.servers[e.Server] = s
		}
		if e.State != s.state {
			s.state, s.since = e.State, c.now
		}
		named[e.Server] = true
	}
	for name, s := range c.servers {
		if form != policy.Change && form != policy.Failed && !named[name] && s.state != policy.Gone {
			s.state, s.since = policy.Gone, c.now
		}
		if s.state == policy.Gone && c.now-s.since > forgetMs && !c.book.Out[name] {
			delete(c.servers, name)
		}
	}
	c.module.Listed(form, list)
}

// Opened takes in a connection.
func (c *Core) Opened(k *Conn) {
	k.opened, k.heard = c.now, c.now
	c.conns[k], c.fresh = true, append(c.fresh, k)
}

// Open is the number of connections that are not ended.
func (c *Core) Open() int { return len(c.conns) }

// Lost takes in that a connection has ended, by whomever.
func (c *Core) Lost(k *Conn) {
	if k.ended {
		return
	}
	k.ended = true
	delete(c.conns, k)
	k.lines.part = nil
	c.count(k)
	c.fresh = without(c.fresh, k)
	c.owed = without(c.owed, k)
	if k.collector > 0 {
		c.sources[k.collector-1] = without(c.sources[k.collector-1], k)
	}
	if p := k.proxy; p != nil && c.proxies[p.id] == p { // not replaced by a newer stream's
		c.Counts.Lost++
		c.leave(p)
	}
}

func without[T comparable](list []T, x T) []T {
	return slices.DeleteFunc(list, func(y T) bool { return y == x })
}

// Finished takes in that a connection's peer says no more, though it may still read: it is ended once it has its pongs.
func (c *Core) Finished(k *Conn) {
	if k.ended || k.refuse {
		return
	}
	if p := k.proxy; p != nil && c.proxies[p.id] == p {
		c.Counts.Lost++
		c.leave(p)
	}
	k.finished = true
	c.turnAway(k, "ended by its peer")
}

// Close ends all connections; each is given what it is owed first.
func (c *Core) Close(h Host) {
	for k := range c.conns {
		if !k.refuse {
			c.turnAway(k, "the planner ends")
		}
		c.settle(h, k)
	}
	c.owed = nil
}

// leave ends a proxy's part in all that is kept.
func (c *Core) leave(p *proxy) {
	c.rest(p)
	c.proxies[p.id], c.order = nil, without(c.order, p)
}

// rest takes a proxy off the module and its tables.
func (c *Core) rest(p *proxy) {
	c.book.Leave(p, p.held)
	c.pending = without(c.pending, p)
	p.wait, p.marks = nil, nil
	c.module.Left(p.id)
}

// Fed takes in bytes of a connection.
func (c *Core) Fed(k *Conn, data []byte) {
	if k.ended || k.refuse {
		return
	}
	most := func() int { // anew for each line: one read may hold a first message and a long one behind it
		if k.Unjoined() {
			return firstLine
		}
		return mostLine
	}
	err := k.lines.feed(data, most, func(line []byte) bool {
		c.line(k, line)
		return !k.ended && !k.refuse
	})
	if c.count(k); c.partial > c.MostPartial {
		c.shedPartial()
	}
	if err != nil && !k.refuse {
		c.Counts.Unreadable++
		c.turnAway(k, err.Error())
	}
}

// shedPartial turns the connection away that holds most of a message that does not end. Guards the memory: each may hold a
// message's most, but not all of them at once.
func (c *Core) shedPartial() {
	var most *Conn
	for _, p := range c.order {
		if most == nil || len(p.conn.lines.part) > len(most.lines.part) {
			most = p.conn
		}
	}
	for _, k := range slices.Concat(c.sources...) {
		if most == nil || len(k.lines.part) > len(most.lines.part) {
			most = k
		}
	}
	if most != nil && !most.refuse { // strangers' first messages are short
		c.Counts.Unreadable++
		c.turnAway(most, errPartial.Error())
	}
}

// turnAway marks a connection to be told refused and closed.
func (c *Core) turnAway(k *Conn, why string) {
	if k.Unjoined() && !k.finished {
		c.Counts.Refused++
	}
	k.refuse, k.why, k.lines.part = true, why, nil
	c.count(k)
	c.owe(k)
}

// count keeps the sum of what is held of messages that have not ended.
func (c *Core) count(k *Conn) {
	c.partial += len(k.lines.part) - k.partial
	k.partial = len(k.lines.part)
}

func (c *Core) owe(k *Conn) {
	if !k.due {
		k.due, c.owed = true, append(c.owed, k)
	}
}

// line takes in one message. A spoilt one costs itself alone on a connection that has joined, and any other its place.
func (c *Core) line(k *Conn, text []byte) {
	w := take(text)
	switch {
	case w.kind == "":
		c.Counts.Unreadable++
		c.turnAway(k, errUnreadable.Error())
		return
	case w.kind == sayPing && w.err == nil:
		if k.pongs < mostPongs {
			k.pongs++
			c.owe(k)
		}
	case k.Unjoined() && w.kind == sayJoined:
		c.join(k, w)
	case k.Unjoined() && w.kind == sayCollector:
		c.collect(k, w)
	case k.Unjoined():
		w.fault("%s before joining", w.kind)
	case w.kind == sayHeard && k.collector > 0:
		c.hear(w)
	case w.kind == sayUsage:
		c.use(k, w)
	case w.kind == sayApplied && k.proxy != nil:
		c.applied(k.proxy, w)
	case w.kind == sayJoined || w.kind == sayCollector || w.kind == sayUpdate:
		w.fault("%s on a connection that has joined", w.kind)
	}
	if w.err != nil && k.Unjoined() {
		c.turnAway(k, w.err.Error())
		return
	}
	if w.err != nil {
		c.Counts.Spoilt++
		if c.Doubt != nil {
			c.Doubt(w.err.Error() + ": " + string(text))
		}
	}
	k.heard = c.now
	if p := k.proxy; p != nil && p.asleep && !k.ended {
		c.wake(p)
	}
}

func (c *Core) join(k *Conn, w *words) {
	id, zone := w.whole("id", len(c.proxies)-1), c.zone(w)
	usual, first := w.number("rps", mostCount), w.whole("new", 1) == 1
	if w.err != nil {
		return
	}
	p := &proxy{id: id, zone: zone, usual: usual, conn: k, held: make([]*weighttable.Table[*proxy], len(c.site.Groups))}
	if old := c.proxies[id]; old != nil { // its stream has broken, even if nobody has told us
		c.leave(old)
		c.turnAway(old.conn, "replaced by a newer stream of its proxy")
	}
	for _, s := range c.servers {
		setBit(s.told, id, false)
		setBit(s.maybe, id, !first)
	}
	c.Counts.Joins++
	c.fresh = without(c.fresh, k)
	k.proxy, c.proxies[id], c.order = p, p, append(c.order, p)
	if c.module.Joined(id, zone, usual); !first {
		c.module.Brings(id)
	}
}

// wake takes a proxy back that was silent.
func (c *Core) wake(p *proxy) {
	p.asleep = false
	for _, s := range c.servers { // who knows what reached it
		setBit(s.maybe, p.id, true)
	}
	c.module.Joined(p.id, p.zone, p.usual, p.sent...)
	c.module.Brings(p.id)
}

func (c *Core) zone(w *words) int {
	z, ok := c.zones[w.word("site")]
	if !ok {
		w.fault("field site names no zone")
	}
	return z
}

func (c *Core) collect(k *Conn, w *words) {
	z := c.zone(w)
	if w.err != nil {
		return
	}
	c.fresh = without(c.fresh, k)
	k.collector = z + 1
	if all := c.sources[z]; len(all) == eachZone { // the one longest silent was cut off
		old := slices.MinFunc(all, func(a, b *Conn) int { return int(math.Copysign(1, a.heard-b.heard)) })
		c.turnAway(old, "replaced by a newer collector of its zone")
		c.sources[z] = without(all, old)
	}
	c.sources[z] = append(c.sources[z], k)
}

func (c *Core) hear(w *words) {
	zone, target := c.zone(w), w.word("target")
	count := w.whole("count", mostCount)
	failed := w.whole("fail", count)
	mean, over := w.number("mean", mostSpanMs), w.number("over", mostSpanMs)
	if w.pairs("util"); w.err != nil {
		return
	}
	s := c.servers[target]
	if s == nil {
		w.fault("field target names no server")
		return
	}
	s.tries, s.failed, s.took = s.tries+float64(count), s.failed+float64(failed), s.took+mean*float64(count-failed)
	c.Counts.Heard++
	c.module.Heard(target, zone, count, failed, mean, over)
}

func (c *Core) use(k *Conn, w *words) {
	id := w.whole("id", len(c.proxies)-1)
	group, ok := c.groups[w.word("lane")]
	// More may have failed in a period than came in it: they came before.
	count, failed, over := w.whole("count", mostCount), w.whole("fail", mostCount), w.number("over", mostSpanMs)
	if !ok {
		w.fault("field lane names no traffic group")
	}
	if k.proxy != nil && k.proxy.id != id {
		w.fault("a report of another proxy")
	}
	if w.err != nil {
		return
	}
	c.Counts.Usage++
	c.module.Usage(id, group, count, failed, over)
}

func (c *Core) applied(p *proxy, w *words) {
	id, number, took := w.whole("id", len(c.proxies)-1), w.whole("seq", math.MaxInt32), w.number("ms", mostSpanMs)
	n := slices.IndexFunc(p.marks, func(m mark) bool { return m.number == number })
	if id != p.id {
		w.fault("an answer of another proxy")
	} else if n < 0 {
		w.fault("an answer to a mark that was not sent")
	}
	if w.err != nil {
		return
	}
	c.passed(p.marks[n].place)
	p.marks = slices.Delete(p.marks, 0, n+1) // all before it were applied
	c.Counts.Marks++
	c.module.Applied(id, number, took)
}

// View writes what the module believes, and beside it what came off the sockets since the last time.
func (c *Core) View(w io.Writer) {
	c.module.View(w)
	fmt.Fprintf(w, "channel waiting=%.0f\n", math.Max(0, c.waiting-(c.now-c.countedAt)*c.site.Module.ChannelRate/1000))
	for _, name := range slices.Sorted(maps.Keys(c.servers)) {
		s := c.servers[name]
		fmt.Fprintf(w, "heard %s state=%d out=%t tries=%.0f failed=%.0f mean=%.0f\n", name, s.state, c.book.Out[name], s.tries,
			s.failed, s.took/math.Max(s.tries-s.failed, 1))
		s.tries, s.failed, s.took = 0, 0, 0
	}
}

// Next carries out at most one decision, and says whether it did.
func (c *Core) Next(h Host) bool {
	switch {
	case len(c.owed) > 0:
		k := c.owed[0]
		c.owed = c.owed[1:]
		c.settle(h, k)
	case len(c.fresh) > 0 && c.now >= c.fresh[0].opened+joinMs:
		c.turnAway(c.fresh[0], "not joined in time")
		c.fresh = c.fresh[1:]
	case c.module.Next(orderer{c}):
	case len(c.pending) > 0:
		p := c.pending[0]
		c.pending = c.pending[1:]
		c.send(h, p)
	case c.silent():
	default:
		return c.sleep(h)
	}
	return true
}

// Shed ends the connection that is worth least, so that a new one finds its place: the oldest stranger, else the proxy
// that has been silent longest. It says whether there was one.
func (c *Core) Shed(h Host) bool {
	var k *Conn
	if len(c.fresh) > 0 {
		k = c.fresh[0]
	}
	for _, p := range c.order {
		if k == nil && p.asleep {
			k = p.conn
		}
	}
	if k == nil {
		return false
	}
	if !k.refuse {
		c.turnAway(k, "room is needed")
	}
	c.settle(h, k)
	return true
}

// settle gives a connection what it is owed.
func (c *Core) settle(h Host, k *Conn) {
	k.due = false
	if k.pongs > 0 && !k.ended {
		c.buf = c.buf[:0]
		for range k.pongs {
			c.buf = append(c.buf, sayPong+"\r\n"...)
		}
		k.pongs = 0
		h.Send(k, c.buf)
	}
	if k.refuse && !k.ended {
		if k.Unjoined() && !k.finished {
			h.Send(k, []byte(sayRefused+"\r\n"))
		}
		c.Lost(k)
		h.End(k, k.why)
	}
}

// passed takes down how far the channel has come.
func (c *Core) passed(place uint64) {
	if n := len(c.passes); n == 0 || place > c.passes[n-1].place && c.now >= c.passes[n-1].at+passesMs {
		c.passes = append(c.passes, pass{c.now, place})
	}
}

// silent finds a proxy that answers no mark and says nothing else: it is taken for left until it speaks again. Time
// alone shows nothing, as a message may wait in the channel for longer than any time that a proxy needs: in a fleet that
// joined at once, and with a slow channel, proxies were taken for left whose first table had not gone off, and when they
// spoke were sent it again on top. A later mark that another proxy has answered shows that the channel is past this one's.
// Where nobody answers, what waits bounds the time.
func (c *Core) silent() bool {
	m := c.site.Module
	longest := quietMs + slowest*m.MostWaiting/m.ChannelRate*1000
	for len(c.passes) > 1 && c.passes[1].at <= c.now-quietMs {
		c.passes = c.passes[1:]
	}
	for _, p := range c.order {
		if p.asleep || len(p.marks) == 0 || c.now-p.conn.heard <= quietMs {
			continue
		}
		first := p.marks[0]
		past := len(c.passes) > 0 && c.passes[0].at <= c.now-quietMs && c.passes[0].place > first.place
		if past || c.now-first.at > longest {
			c.rest(p)
			p.asleep = true
			c.Counts.Asleep++
			return true
		}
	}
	return false
}

func (c *Core) sleep(h Host) bool {
	due := c.wakeAt
	if len(c.fresh) > 0 {
		due = math.Min(due, c.fresh[0].opened+joinMs)
	}
	if due = math.Max(due, c.now); due == c.told {
		return false
	}
	c.told = due
	h.Wake(due)
	return true
}

// send writes what was decided for a proxy in this look as one message.
func (c *Core) send(h Host, p *proxy) {
	parts := c.parts(p)
	w := p.wait
	if p.wait = nil; len(parts) == 0 && !w.marked {
		return
	}
	if w.marked {
		if len(parts) == 0 {
			parts = append(parts, update{})
		}
		last := &parts[len(parts)-1]
		last.stamp, last.stamped = w.mark, true
		if p.marks = append(p.marks, mark{w.mark, c.now, c.Counts.Messages}); len(p.marks) > mostMarks {
			p.marks = slices.Delete(p.marks, 0, 1)
		}
	}
	if span := c.now - c.site.Module.MessageSpanMs; len(p.sent) > 0 && p.sent[0] < span {
		p.sent = slices.DeleteFunc(p.sent, func(at float64) bool { return at < span })
	}
	p.sent = append(p.sent, c.now)
	lines := 0
	for _, u := range parts {
		lines += u.lines()
	}
	c.waiting = math.Max(0, c.waiting-(c.now-c.countedAt)*c.site.Module.ChannelRate/1000) + float64(lines) + c.site.Module.HeadLines
	c.countedAt, c.Counts.Lines, c.Counts.MostWaiting = c.now, c.Counts.Lines+uint64(lines), math.Max(c.Counts.MostWaiting, c.waiting)
	c.buf = appendUpdates(c.buf[:0], parts)
	c.Counts.Messages, c.Counts.Bytes = c.Counts.Messages+1, c.Counts.Bytes+uint64(len(c.buf))
	h.Send(p.conn, c.buf)
}

// parts puts together what a proxy is told: its tables, then levels, with servers to shut out or let back first.
func (c *Core) parts(p *proxy) (parts []update) {
	w := p.wait
	for g, t := range p.held {
		if t == nil || slices.Contains(p.held[:g], t) {
			continue
		}
		u := update{groups: c.names(func(g int) bool { return p.held[g] == t }), replace: slices.Contains(w.bound, t)}
		if u.replace {
			u.rows = t.Lines
		} else {
			for n, x := range w.changed {
				if x.table == t && !slices.Contains(w.changed[:n], x) {
					u.rows = append(u.rows, weighttable.Line{Server: x.server, Weight: t.Weight(x.server)})
				}
			}
		}
		if len(u.rows) > 0 || u.replace {
			parts = append(parts, u)
		}
	}
	if len(w.drop)+len(w.undrop) > 0 {
		if len(parts) == 0 {
			parts = append(parts, update{})
		}
		parts[0].drop, parts[0].undrop = w.drop, w.undrop
	}
	for g, l := range c.book.Levels {
		like := func(n int) bool { return w.levels[n] && c.book.Levels[n] == l }
		first := 0 // of those alike, which share a part
		for first < g && !like(first) {
			first++
		}
		if like(g) && first == g {
			parts = append(parts, update{groups: c.names(like), level: l})
		}
	}
	return parts
}

// names gives the names of the groups that fit, none where all do.
func (c *Core) names(fits func(group int) bool) (names []string) {
	for g, name := range c.site.Groups {
		if fits(g) {
			names = append(names, name)
		}
	}
	if len(names) == len(c.site.Groups) {
		return nil
	}
	return names
}

// wait gives the message that is being put together for a proxy.
func (c *Core) wait(p *proxy) *pending {
	if p.wait == nil {
		p.wait = &pending{levels: make([]bool, len(c.book.Levels))}
		c.pending = append(c.pending, p)
	}
	return p.wait
}

// shut tells a proxy to shut a server out, or to let it back.
func (c *Core) shut(p *proxy, s *server, out bool) {
	w := c.wait(p)
	w.drop, w.undrop = without(w.drop, s.name), without(w.undrop, s.name)
	if out {
		w.drop = append(w.drop, s.name)
	} else {
		w.undrop = append(w.undrop, s.name)
	}
	setBit(s.told, p.id, out)
	setBit(s.maybe, p.id, false)
}

// align tells a proxy whose table has got a server whether that is shut out, where it may hold something else.
func (c *Core) align(p *proxy, name string) {
	s := c.servers[name]
	if out := c.book.Out[name]; s != nil && (out != bit(s.told, p.id) || bit(s.maybe, p.id)) {
		c.shut(p, s, out)
	}
}

// orderer carries out the module's decisions: who holds what, and what is to be told to whom.
type orderer struct{ c *Core }

func (o orderer) SetLine(number int, name string, weight float64) {
	t := o.c.book.Table(number)
	t.Set(name, weight)
	for _, p := range t.Users {
		w := o.c.wait(p)
		w.changed = append(w.changed, change{t, name})
		if weight > 0 {
			o.c.align(p, name)
		}
	}
}

func (o orderer) Bind(id, number int, groups []int) {
	p, t := o.c.proxies[id], o.c.book.Table(number)
	if p == nil {
		return
	}
	o.c.book.Bind(p, p.held, t, groups)
	w := o.c.wait(p)
	w.bound = append(w.bound, t)
	for _, g := range groups { // levels are forgotten with the table that was before
		w.levels[g] = o.c.book.Levels[g].Set
	}
	for _, l := range t.Lines {
		o.c.align(p, l.Server)
	}
}

// Withdraw concerns the proxies whose tables hold the server, and those that go by tables we do not know. One that was
// told and holds it no more is told of its end with the line that brings it back.
func (o orderer) Withdraw(name string, out bool) {
	o.c.book.Withdraw(name, out)
	s := o.c.servers[name]
	if s == nil {
		return
	}
	for _, p := range o.c.order {
		holds := slices.ContainsFunc(p.held, func(t *weighttable.Table[*proxy]) bool { return t == nil || t.Find(name) >= 0 })
		if !p.asleep && holds && (out || bit(s.told, p.id)) {
			o.c.shut(p, s, out)
		}
	}
}

func (o orderer) Admit(number, group int, share float64, retry int) {
	if number != policy.AllTables {
		panic("the module set the level of one table, which this front does not know")
	}
	o.c.book.Levels[group] = weighttable.Level{Share: share, Retry: retry, Set: true}
	for _, p := range o.c.order {
		if !p.asleep {
			o.c.wait(p).levels[group] = true
		}
	}
}

func (o orderer) Receipt(number int) {
	for _, p := range o.c.pending {
		p.wait.mark, p.wait.marked = number, true
	}
}

// Follow is for lists that come to those who ask only; here the watch follows by itself.
func (o orderer) Follow() {}

func (o orderer) Wake(inMs float64) { o.c.wakeAt = o.c.now + inMs }
