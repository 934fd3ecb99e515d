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
	joinMs              = 1500.0 // ms in which a connection must have joined; 1 s is due to it, 3 s is the most
	quietMs             = 6000.0 // ms without a word after which a stream that owes an answer is taken for dead
	departuresMs        = 200.0  // ms between notes of how far the channel has come
	slowest             = 8.0    // times slower that the channel may be on some days, by the bench's page
	forgetMs            = 9e5    // ms that a gone server is known, longer than the module remembers it
	eachZone            = 3      // collectors of a zone; an old one that was cut off may seem open beside its successor
	maxPongs            = 16     // answers owed to one connection; who asks faster than it reads gets no more
	maxAcknowledgements = 64     // unanswered marks of a proxy that are known
	maxCount            = 1e7    // tries in a report; more is a spoilt figure
	maxSpanMs           = 6e5    // ms that a report may cover, or a time in it
)

// Connection is one connection at the planner's address, as the core knows it.
type Connection struct {
	Transport any // the shell's own

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

// Unauthenticated says whether nothing has made the connection more than a stranger's.
func (c *Connection) Unauthenticated() bool { return c.proxy == nil && c.collector == 0 }

// proxy is a joined one.
type proxy struct {
	id, zone         int
	expectedRate     float64
	conn             *Connection
	tables           []*weighttable.Table[*proxy] // by group; nil where this stream bound none
	pending          *pendingUpdate               // decided in this look
	sent             []float64                    // times of the last messages on this stream: rule 5 counts from the joining
	acknowledgements []acknowledgement            // asked for and not answered, oldest first
	inactive         bool                         // silent for so long that the module takes it for left
}

type acknowledgement struct {
	number   int
	at       float64
	position uint64 // of its message among all that went into the channel
}

// departure notes that the channel had come as far as a message, as its mark was answered.
type departure struct {
	at       float64
	position uint64
}

// pendingUpdate is what a look has decided for a proxy. What tables and levels hold is read when the message is written.
type pendingUpdate struct {
	assigned             []*weighttable.Table[*proxy] // to be written whole
	changed              []change
	admission            []bool // by group
	eject, readmit       []string
	acknowledgement      int
	wantsAcknowledgement bool
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
	notified, possiblyNotified []uint64
	// Off the sockets since the last WriteState: tries, failed ones, and ms that the others took.
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
	Send(c *Connection, message []byte) // whole messages; the bytes are the core's again afterwards
	CloseConnection(c *Connection, why string)
	SetTimer(at float64)
}

// Core is one planner. Its methods are called by one at a time: SetTime, then inputs, then Next until it says false.
// Times are Unix ms by a clock that never jumps.
type Core struct {
	settings        simulator.Settings
	policy          *policy.Policy
	now             float64
	registry        *weighttable.Registry[*proxy]
	zones           map[string]int
	groups          map[string]int
	servers         map[string]*server
	proxies         []*proxy // by id; nil where not joined
	order           []*proxy // joined, in order of joining
	conns           map[*Connection]bool
	unauthenticated []*Connection   // unjoined, oldest first
	collectors      [][]*Connection // collectors by zone
	pendingReplies  []*Connection
	pending         []*proxy
	wakeAt          float64
	told            float64
	buf             []byte

	departures                    []departure // the last one of quietMs ago or more, and those since
	backlog, countedAt            float64     // lines that were sent off and would wait
	partialBytes, MaxPartialBytes int         // bytes of messages that have not ended, of all connections together; and the most

	Counts   Counts
	OnReject func(string) // told of each message that is not heard; may be nil
}

// NewCore starts a planner at a time.
func NewCore(site simulator.Settings, seed int64, now float64) *Core {
	site.Policy.ReadmitByWeight = true // as Withdraw and align do
	c := &Core{
		settings: site, policy: policy.New(site.Policy, seed), registry: weighttable.NewRegistry[*proxy](len(site.Classes)),
		zones: map[string]int{}, groups: map[string]int{}, servers: map[string]*server{}, conns: map[*Connection]bool{},
		proxies: make([]*proxy, site.Policy.Proxies), collectors: make([][]*Connection, len(site.Zones)), told: math.Inf(1), MaxPartialBytes: math.MaxInt,
	}
	for n, z := range site.Zones {
		c.zones[z] = n
	}
	for n, g := range site.Classes {
		c.groups[g] = n
	}
	c.SetTime(now)
	return c
}

// SetTime tells the time. What is decided until the next one leaves in one message a proxy.
func (c *Core) SetTime(now float64) {
	c.now = math.Max(now, c.now)
	c.policy.SetTime(c.now)
}

// UpdateEndpoints takes in a word of discovery, or with Restored what the configuration had of it.
func (c *Core) UpdateEndpoints(form policy.UpdateKind, list []policy.Endpoint) {
	if form != policy.FailedUpdate {
		c.Counts.Lists++
	}
	named := map[string]bool{}
	for _, e := range list {
		s := c.servers[e.Server]
		if s == nil {
			words := (len(c.proxies) + 63) / 64
			s = &server{name: e.Server, since: c.now, notified: make([]uint64, words), possiblyNotified: make([]uint64, words)}
			c.servers[e.Server] = s
		}
		if e.State != s.state {
			s.state, s.since = e.State, c.now
		}
		named[e.Server] = true
	}
	for name, s := range c.servers {
		if form != policy.DeltaUpdate && form != policy.FailedUpdate && !named[name] && s.state != policy.Removed {
			s.state, s.since = policy.Removed, c.now
		}
		if s.state == policy.Removed && c.now-s.since > forgetMs && !c.registry.Ejected[name] {
			delete(c.servers, name)
		}
	}
	c.policy.UpdateEndpoints(form, list)
}

// HandleConnect takes in a connection.
func (c *Core) HandleConnect(k *Connection) {
	k.opened, k.heard = c.now, c.now
	c.conns[k], c.unauthenticated = true, append(c.unauthenticated, k)
}

// OpenConnections is the number of connections that are not ended.
func (c *Core) OpenConnections() int { return len(c.conns) }

// HandleDisconnect takes in that a connection has ended, by whomever.
func (c *Core) HandleDisconnect(k *Connection) {
	if k.ended {
		return
	}
	k.ended = true
	delete(c.conns, k)
	k.lines.part = nil
	c.count(k)
	c.unauthenticated = without(c.unauthenticated, k)
	c.pendingReplies = without(c.pendingReplies, k)
	if k.collector > 0 {
		c.collectors[k.collector-1] = without(c.collectors[k.collector-1], k)
	}
	if p := k.proxy; p != nil && c.proxies[p.id] == p { // not replaced by a newer stream's
		c.Counts.Lost++
		c.removeProxy(p)
	}
}

func without[T comparable](list []T, x T) []T {
	return slices.DeleteFunc(list, func(y T) bool { return y == x })
}

// HandleHalfClose takes in that a connection's peer says no more, though it may still read: it is ended once it has its pongs.
func (c *Core) HandleHalfClose(k *Connection) {
	if k.ended || k.refuse {
		return
	}
	if p := k.proxy; p != nil && c.proxies[p.id] == p {
		c.Counts.Lost++
		c.removeProxy(p)
	}
	k.finished = true
	c.reject(k, "ended by its peer")
}

// Close ends all connections; each is given what it is owed first.
func (c *Core) Close(h Host) {
	for k := range c.conns {
		if !k.refuse {
			c.reject(k, "the planner ends")
		}
		c.sendReplies(h, k)
	}
	c.pendingReplies = nil
}

// removeProxy ends a proxy's part in all that is kept.
func (c *Core) removeProxy(p *proxy) {
	c.deactivate(p)
	c.proxies[p.id], c.order = nil, without(c.order, p)
}

// deactivate takes a proxy off the module and its tables.
func (c *Core) deactivate(p *proxy) {
	c.registry.RemoveProxy(p, p.tables)
	c.pending = without(c.pending, p)
	p.pending, p.acknowledgements = nil, nil
	c.policy.RemoveProxy(p.id)
}

// HandleData takes in bytes of a connection.
func (c *Core) HandleData(k *Connection, data []byte) {
	if k.ended || k.refuse {
		return
	}
	most := func() int { // anew for each line: one read may hold a first message and a long one behind it
		if k.Unauthenticated() {
			return firstLine
		}
		return maxLineBytes
	}
	err := k.lines.feed(data, most, func(line []byte) bool {
		c.handleMessage(k, line)
		return !k.ended && !k.refuse
	})
	if c.count(k); c.partialBytes > c.MaxPartialBytes {
		c.shedPartial()
	}
	if err != nil && !k.refuse {
		c.Counts.Unreadable++
		c.reject(k, err.Error())
	}
}

// shedPartial turns the connection away that holds most of a message that does not end. Guards the memory: each may hold a
// message's most, but not all of them at once.
func (c *Core) shedPartial() {
	var most *Connection
	for _, p := range c.order {
		if most == nil || len(p.conn.lines.part) > len(most.lines.part) {
			most = p.conn
		}
	}
	for _, k := range slices.Concat(c.collectors...) {
		if most == nil || len(k.lines.part) > len(most.lines.part) {
			most = k
		}
	}
	if most != nil && !most.refuse { // strangers' first messages are short
		c.Counts.Unreadable++
		c.reject(most, errPartial.Error())
	}
}

// reject marks a connection to be told refused and closed.
func (c *Core) reject(k *Connection, why string) {
	if k.Unauthenticated() && !k.finished {
		c.Counts.Refused++
	}
	k.refuse, k.why, k.lines.part = true, why, nil
	c.count(k)
	c.queueReply(k)
}

// count keeps the sum of what is held of messages that have not ended.
func (c *Core) count(k *Connection) {
	c.partialBytes += len(k.lines.part) - k.partial
	k.partial = len(k.lines.part)
}

func (c *Core) queueReply(k *Connection) {
	if !k.due {
		k.due, c.pendingReplies = true, append(c.pendingReplies, k)
	}
}

// handleMessage takes in one message. A spoilt one costs itself alone on a connection that has joined, and any other its place.
func (c *Core) handleMessage(k *Connection, text []byte) {
	w := take(text)
	switch {
	case w.kind == "":
		c.Counts.Unreadable++
		c.reject(k, errUnreadable.Error())
		return
	case w.kind == sayPing && w.err == nil:
		if k.pongs < maxPongs {
			k.pongs++
			c.queueReply(k)
		}
	case k.Unauthenticated() && w.kind == sayJoined:
		c.handleJoin(k, w)
	case k.Unauthenticated() && w.kind == sayCollector:
		c.handleCollector(k, w)
	case k.Unauthenticated():
		w.fault("%s before joining", w.kind)
	case w.kind == sayHeard && k.collector > 0:
		c.recordReport(w)
	case w.kind == sayUsage:
		c.recordDemand(k, w)
	case w.kind == sayApplied && k.proxy != nil:
		c.acknowledge(k.proxy, w)
	case w.kind == sayJoined || w.kind == sayCollector || w.kind == sayUpdate:
		w.fault("%s on a connection that has joined", w.kind)
	}
	if w.err != nil && k.Unauthenticated() {
		c.reject(k, w.err.Error())
		return
	}
	if w.err != nil {
		c.Counts.Spoilt++
		if c.OnReject != nil {
			c.OnReject(w.err.Error() + ": " + string(text))
		}
	}
	k.heard = c.now
	if p := k.proxy; p != nil && p.inactive && !k.ended {
		c.reactivate(p)
	}
}

func (c *Core) handleJoin(k *Connection, w *words) {
	id, zone := w.whole("id", len(c.proxies)-1), c.zone(w)
	usual, first := w.number("rps", maxCount), w.whole("new", 1) == 1
	if w.err != nil {
		return
	}
	p := &proxy{id: id, zone: zone, expectedRate: usual, conn: k, tables: make([]*weighttable.Table[*proxy], len(c.settings.Classes))}
	if old := c.proxies[id]; old != nil { // its stream has broken, even if nobody has told us
		c.removeProxy(old)
		c.reject(old.conn, "replaced by a newer stream of its proxy")
	}
	for _, s := range c.servers {
		setBit(s.notified, id, false)
		setBit(s.possiblyNotified, id, !first)
	}
	c.Counts.Joins++
	c.unauthenticated = without(c.unauthenticated, k)
	k.proxy, c.proxies[id], c.order = p, p, append(c.order, p)
	if c.policy.AddProxy(id, zone, usual); !first {
		c.policy.ExpectInheritedEjections(id)
	}
}

// reactivate takes a proxy back that was silent.
func (c *Core) reactivate(p *proxy) {
	p.inactive = false
	for _, s := range c.servers { // who knows what reached it
		setBit(s.possiblyNotified, p.id, true)
	}
	c.policy.AddProxy(p.id, p.zone, p.expectedRate, p.sent...)
	c.policy.ExpectInheritedEjections(p.id)
}

func (c *Core) zone(w *words) int {
	z, ok := c.zones[w.word("site")]
	if !ok {
		w.fault("field site names no zone")
	}
	return z
}

func (c *Core) handleCollector(k *Connection, w *words) {
	z := c.zone(w)
	if w.err != nil {
		return
	}
	c.unauthenticated = without(c.unauthenticated, k)
	k.collector = z + 1
	if all := c.collectors[z]; len(all) == eachZone { // the one longest silent was cut off
		old := slices.MinFunc(all, func(a, b *Connection) int { return int(math.Copysign(1, a.heard-b.heard)) })
		c.reject(old, "replaced by a newer collector of its zone")
		c.collectors[z] = without(all, old)
	}
	c.collectors[z] = append(c.collectors[z], k)
}

func (c *Core) recordReport(w *words) {
	zone, target := c.zone(w), w.word("target")
	count := w.whole("count", maxCount)
	failed := w.whole("fail", count)
	mean, over := w.number("mean", maxSpanMs), w.number("over", maxSpanMs)
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
	c.policy.RecordReport(target, zone, count, failed, mean, over)
}

func (c *Core) recordDemand(k *Connection, w *words) {
	id := w.whole("id", len(c.proxies)-1)
	group, ok := c.groups[w.word("lane")]
	// More may have failed in a period than came in it: they came before.
	count, failed, over := w.whole("count", maxCount), w.whole("fail", maxCount), w.number("over", maxSpanMs)
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
	c.policy.RecordDemand(id, group, count, failed, over)
}

func (c *Core) acknowledge(p *proxy, w *words) {
	id, number, took := w.whole("id", len(c.proxies)-1), w.whole("seq", math.MaxInt32), w.number("ms", maxSpanMs)
	n := slices.IndexFunc(p.acknowledgements, func(m acknowledgement) bool { return m.number == number })
	if id != p.id {
		w.fault("an answer of another proxy")
	} else if n < 0 {
		w.fault("an answer to a mark that was not sent")
	}
	if w.err != nil {
		return
	}
	c.recordDeparture(p.acknowledgements[n].position)
	p.acknowledgements = slices.Delete(p.acknowledgements, 0, n+1) // all before it were applied
	c.Counts.Marks++
	c.policy.Acknowledge(id, number, took)
}

// WriteState writes what the module believes, and beside it what came off the sockets since the last time.
func (c *Core) WriteState(w io.Writer) {
	c.policy.WriteState(w)
	fmt.Fprintf(w, "channel waiting=%.0f\n", math.Max(0, c.backlog-(c.now-c.countedAt)*c.settings.Policy.EntriesPerSecond/1000))
	for _, name := range slices.Sorted(maps.Keys(c.servers)) {
		s := c.servers[name]
		fmt.Fprintf(w, "heard %s state=%d out=%t tries=%.0f failed=%.0f mean=%.0f\n", name, s.state, c.registry.Ejected[name], s.tries,
			s.failed, s.took/math.Max(s.tries-s.failed, 1))
		s.tries, s.failed, s.took = 0, 0, 0
	}
}

// Next carries out at most one decision, and says whether it did.
func (c *Core) Next(h Host) bool {
	switch {
	case len(c.pendingReplies) > 0:
		k := c.pendingReplies[0]
		c.pendingReplies = c.pendingReplies[1:]
		c.sendReplies(h, k)
	case len(c.unauthenticated) > 0 && c.now >= c.unauthenticated[0].opened+joinMs:
		c.reject(c.unauthenticated[0], "not joined in time")
		c.unauthenticated = c.unauthenticated[1:]
	case c.policy.Next(policyHost{c}):
	case len(c.pending) > 0:
		p := c.pending[0]
		c.pending = c.pending[1:]
		c.send(h, p)
	case c.silent():
	default:
		return c.deactivateSilent(h)
	}
	return true
}

// ShedConnection ends the connection that is worth least, so that a new one finds its place: the oldest stranger, else the proxy
// that has been silent longest. It says whether there was one.
func (c *Core) ShedConnection(h Host) bool {
	var k *Connection
	if len(c.unauthenticated) > 0 {
		k = c.unauthenticated[0]
	}
	for _, p := range c.order {
		if k == nil && p.inactive {
			k = p.conn
		}
	}
	if k == nil {
		return false
	}
	if !k.refuse {
		c.reject(k, "room is needed")
	}
	c.sendReplies(h, k)
	return true
}

// sendReplies gives a connection what it is owed.
func (c *Core) sendReplies(h Host, k *Connection) {
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
		if k.Unauthenticated() && !k.finished {
			h.Send(k, []byte(sayRefused+"\r\n"))
		}
		c.HandleDisconnect(k)
		h.CloseConnection(k, k.why)
	}
}

// recordDeparture takes down how far the channel has come.
func (c *Core) recordDeparture(place uint64) {
	if n := len(c.departures); n == 0 || place > c.departures[n-1].position && c.now >= c.departures[n-1].at+departuresMs {
		c.departures = append(c.departures, departure{c.now, place})
	}
}

// silent finds a proxy that answers no mark and says nothing else: it is taken for left until it speaks again. Time
// alone shows nothing, as a message may wait in the channel for longer than any time that a proxy needs: in a fleet that
// joined at once, and with a slow channel, proxies were taken for left whose first table had not gone off, and when they
// spoke were sent it again on top. A later mark that another proxy has answered shows that the channel is past this one's.
// Where nobody answers, what waits bounds the time.
func (c *Core) silent() bool {
	m := c.settings.Policy
	longest := quietMs + slowest*m.MaxBacklog/m.EntriesPerSecond*1000
	for len(c.departures) > 1 && c.departures[1].at <= c.now-quietMs {
		c.departures = c.departures[1:]
	}
	for _, p := range c.order {
		if p.inactive || len(p.acknowledgements) == 0 || c.now-p.conn.heard <= quietMs {
			continue
		}
		first := p.acknowledgements[0]
		past := len(c.departures) > 0 && c.departures[0].at <= c.now-quietMs && c.departures[0].position > first.position
		if past || c.now-first.at > longest {
			c.deactivate(p)
			p.inactive = true
			c.Counts.Asleep++
			return true
		}
	}
	return false
}

func (c *Core) deactivateSilent(h Host) bool {
	due := c.wakeAt
	if len(c.unauthenticated) > 0 {
		due = math.Min(due, c.unauthenticated[0].opened+joinMs)
	}
	if due = math.Max(due, c.now); due == c.told {
		return false
	}
	c.told = due
	h.SetTimer(due)
	return true
}

// send writes what was decided for a proxy in this look as one message.
func (c *Core) send(h Host, p *proxy) {
	parts := c.parts(p)
	w := p.pending
	if p.pending = nil; len(parts) == 0 && !w.wantsAcknowledgement {
		return
	}
	if w.wantsAcknowledgement {
		if len(parts) == 0 {
			parts = append(parts, update{})
		}
		last := &parts[len(parts)-1]
		last.stamp, last.stamped = w.acknowledgement, true
		if p.acknowledgements = append(p.acknowledgements, acknowledgement{w.acknowledgement, c.now, c.Counts.Messages}); len(p.acknowledgements) > maxAcknowledgements {
			p.acknowledgements = slices.Delete(p.acknowledgements, 0, 1)
		}
	}
	if span := c.now - c.settings.Policy.MessageWindowMs; len(p.sent) > 0 && p.sent[0] < span {
		p.sent = slices.DeleteFunc(p.sent, func(at float64) bool { return at < span })
	}
	p.sent = append(p.sent, c.now)
	lines := 0
	for _, u := range parts {
		lines += u.lines()
	}
	c.backlog = math.Max(0, c.backlog-(c.now-c.countedAt)*c.settings.Policy.EntriesPerSecond/1000) + float64(lines) + c.settings.Policy.MessageOverhead
	c.countedAt, c.Counts.Lines, c.Counts.MostWaiting = c.now, c.Counts.Lines+uint64(lines), math.Max(c.Counts.MostWaiting, c.backlog)
	c.buf = appendUpdates(c.buf[:0], parts)
	c.Counts.Messages, c.Counts.Bytes = c.Counts.Messages+1, c.Counts.Bytes+uint64(len(c.buf))
	h.Send(p.conn, c.buf)
}

// parts puts together what a proxy is told: its tables, then levels, with servers to shut out or let back first.
func (c *Core) parts(p *proxy) (parts []update) {
	w := p.pending
	for g, t := range p.tables {
		if t == nil || slices.Contains(p.tables[:g], t) {
			continue
		}
		u := update{groups: c.names(func(g int) bool { return p.tables[g] == t }), replace: slices.Contains(w.assigned, t)}
		if u.replace {
			u.rows = t.Entries
		} else {
			for n, x := range w.changed {
				if x.table == t && !slices.Contains(w.changed[:n], x) {
					u.rows = append(u.rows, weighttable.Entry{Server: x.server, Weight: t.Weight(x.server)})
				}
			}
		}
		if len(u.rows) > 0 || u.replace {
			parts = append(parts, u)
		}
	}
	if len(w.eject)+len(w.readmit) > 0 {
		if len(parts) == 0 {
			parts = append(parts, update{})
		}
		parts[0].drop, parts[0].undrop = w.eject, w.readmit
	}
	for g, l := range c.registry.Admission {
		like := func(n int) bool { return w.admission[n] && c.registry.Admission[n] == l }
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
	for g, name := range c.settings.Classes {
		if fits(g) {
			names = append(names, name)
		}
	}
	if len(names) == len(c.settings.Classes) {
		return nil
	}
	return names
}

// pendingFor gives the message that is being put together for a proxy.
func (c *Core) pendingFor(p *proxy) *pendingUpdate {
	if p.pending == nil {
		p.pending = &pendingUpdate{admission: make([]bool, len(c.registry.Admission))}
		c.pending = append(c.pending, p)
	}
	return p.pending
}

// setEjected tells a proxy to shut a server out, or to let it back.
func (c *Core) setEjected(p *proxy, s *server, out bool) {
	w := c.pendingFor(p)
	w.eject, w.readmit = without(w.eject, s.name), without(w.readmit, s.name)
	if out {
		w.eject = append(w.eject, s.name)
	} else {
		w.readmit = append(w.readmit, s.name)
	}
	setBit(s.notified, p.id, out)
	setBit(s.possiblyNotified, p.id, false)
}

// alignEjection tells a proxy whose table has got a server whether that is shut out, where it may hold something else.
func (c *Core) alignEjection(p *proxy, name string) {
	s := c.servers[name]
	if out := c.registry.Ejected[name]; s != nil && (out != bit(s.notified, p.id) || bit(s.possiblyNotified, p.id)) {
		c.setEjected(p, s, out)
	}
}

// policyHost carries out the module's decisions: who holds what, and what is to be told to whom.
type policyHost struct{ c *Core }

func (o policyHost) SetWeight(number int, name string, weight float64) {
	t := o.c.registry.Table(number)
	t.Set(name, weight)
	for _, p := range t.Proxies {
		w := o.c.pendingFor(p)
		w.changed = append(w.changed, change{t, name})
		if weight > 0 {
			o.c.alignEjection(p, name)
		}
	}
}

func (o policyHost) AssignTable(id, number int, groups []int) {
	p, t := o.c.proxies[id], o.c.registry.Table(number)
	if p == nil {
		return
	}
	o.c.registry.Assign(p, p.tables, t, groups)
	w := o.c.pendingFor(p)
	w.assigned = append(w.assigned, t)
	for _, g := range groups { // levels are forgotten with the table that was before
		w.admission[g] = o.c.registry.Admission[g].Set
	}
	for _, l := range t.Entries {
		o.c.alignEjection(p, l.Server)
	}
}

// SetEjected concerns the proxies whose tables hold the server, and those that go by tables we do not know. One that was
// told and holds it no more is told of its end with the line that brings it back.
func (o policyHost) SetEjected(name string, out bool) {
	o.c.registry.SetEjected(name, out)
	s := o.c.servers[name]
	if s == nil {
		return
	}
	for _, p := range o.c.order {
		holds := slices.ContainsFunc(p.tables, func(t *weighttable.Table[*proxy]) bool { return t == nil || t.Index(name) >= 0 })
		if !p.inactive && holds && (out || bit(s.notified, p.id)) {
			o.c.setEjected(p, s, out)
		}
	}
}

func (o policyHost) SetAdmission(number, group int, share float64, retry int) {
	if number != policy.AllTables {
		panic("the module set the level of one table, which this front does not know")
	}
	o.c.registry.Admission[group] = weighttable.AdmissionRate{Fraction: share, Retry: retry, Set: true}
	for _, p := range o.c.order {
		if !p.inactive {
			o.c.pendingFor(p).admission[group] = true
		}
	}
}

func (o policyHost) RequestAcknowledgement(number int) {
	for _, p := range o.c.pending {
		p.pending.acknowledgement, p.pending.wantsAcknowledgement = number, true
	}
}

// WatchEndpoints is for lists that come to those who ask only; here the watch follows by itself.
func (o policyHost) WatchEndpoints() {}

func (o policyHost) SetTimer(inMs float64) { o.c.wakeAt = o.c.now + inMs }
