// Package planner is a planner without and with its sockets: Core holds the module, what the proxies were told and
// what waits to be sent, and does no I/O; Run connects it to listeners, streams, the list source and the clock.
package planner

import (
	"fmt"
	"io"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gaissmai/bart"
	"google.golang.org/protobuf/proto"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/discovery"
	"lichenpick/internal/lease"
	"lichenpick/internal/settings"
	"lichenpick/internal/weighttable"
	"lichenpick/policy"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

const (
	answerShare = 0.5    // part of the grace in which a withdrawal of what drains must be answered; the module takes the rest
	lastInputs  = 4096   // inputs kept for a dump; some seconds of a large fleet
	originMs    = 1e9    // ms of the module's clock at the start; births some days before it stay above 0, as 0 is long past
	idlestMs    = 250.0  // ms between looks at the latest; answers and silences are noticed this late at most
	goneMs      = 9e5    // ms that a gone server's name is known, longer than the module remembers it
	behindMs    = 1000.0 // ms that a report may wait; beyond it decisions go by old news, and the planner says that it is behind
	caughtMs    = 100.0  // ms that it waits once that is over
	behindJoins = 0.1    // part of the pace of joins while behind; each costs a whole table
	deadMs      = 2500.0 // ms without a frame after which another process may take a proxy's name
)

// Stream is one connection of a proxy, as the core knows it.
type Stream struct {
	Address netip.Addr
	Out     any // the shell's own

	peer  *peer
	ended bool
}

// Name is the proxy's, once it has joined.
func (s *Stream) Name() string {
	if s.peer == nil {
		return ""
	}
	return s.peer.name
}

// Host carries out what the core decides. Each method is one decision.
type Host interface {
	Send(s *Stream, kind controlstream.Kind, m proto.Message)
	End(s *Stream, why *controlstream.Ending)
	Wake(at float64)     // ms of the clock that Tick goes by
	Reserve(upTo uint64) // write a mark down, and then call Reserved: only where controllers share
}

// peer is a joined proxy.
type peer struct {
	name        string
	number      int // the module's
	zone        int
	stream      *Stream
	incarnation uint64
	streams     uint64
	heard       float64
	link        *controlstream.Link
	tables      []*weighttable.Table[*peer] // by group; nil where this stream bound none
	holds       []*order.Holding            // by its own word, from earlier streams
	out         map[string]bool             // withdrawals that it was told of
	wait        *order.Orders               // decided in this look
	cost        float64
	must        bool // holds a withdrawal of what drains or is gone
	messages    uint64
	unanswered  []sent
	usual       float64
	commanded   bool               // the module knows it; always, where nothing is shared
	epoch       uint64             // under which it is commanded
	going       []string           // what its last commander withdrew as it drains or is gone
	inherited   map[string]float64 // of these, what our list does not show: kept out until then
	before      []float64          // messages that others sent it, as times of the clock
	usage       []*tally           // by group
}

// listing is a server as the list last named it.
type listing struct {
	state   policy.State
	tallies []*tally // by the zone of the proxies that met it
	since   float64  // of the state
}

// sent is a message that was not answered yet.
type sent struct {
	number   uint64
	decided  float64
	must     bool
	receipts map[uint32]bool
}

type input struct {
	at   float64
	what string
	s    *Stream // whose; may be nil
	m    proto.Message
}

// Counts are what happened since the start.
type Counts struct {
	Joins, Messages, Lines, Sums, Unheard, Shed, Marks uint64
	Endings                                            map[controlstream.Reason]uint64
}

// Core is one planner. Its methods are called from one goroutine: Tick, then inputs, then Next until it says false.
type Core struct {
	set         *pb.Planner
	module      Decider
	now         float64
	wall        time.Time
	incarnation uint64
	memory      *discovery.Memory
	intake      *intake
	channel     *controlstream.Channel[*message]
	zones       *bart.Table[int]
	zoneNames   map[string]int
	listed      map[string]*listing
	names       map[string]*peer
	peers       []*peer // by the module's number; nil where one left
	free        []int
	pending     []*peer // with orders decided in this look
	book        *weighttable.Book[*peer]
	todo        []func(Host) // carried out before anything new is decided
	wakeAt      float64
	toldWake    float64
	inputs      [lastInputs]input
	nextInput   int
	listChanged bool
	lag         float64 // ms that reports waited last
	behind      bool
	answerDue   float64       // no answer is late before
	share       *lease.Sharer // nil: nothing is shared
	shareWake   float64
	heirs       []*peer // with drains that a predecessor knew
	shared      bool    // package lease has nothing more to decide at this time

	Counts Counts
	Order  *hdrhistogram.Histogram // us from a decision to its answer
}

// message is one that waits in the channel.
type message struct {
	to       *peer
	m        *order.Orders
	receipts map[uint32]bool
}

// Decider is what decides: the module, or in rehearsals a baseline. Its methods are the module's.
type Decider interface {
	Tick(now float64)
	Listed(form policy.ListForm, list []policy.Entry)
	Joined(id, zone int, usual float64, sent ...float64)
	Left(id int)
	Heard(server string, zone, count, failed int, latency, covers float64)
	Usage(id, group, count, failed int, covers float64)
	Applied(id, number int, took float64)
	Behind(on bool)
	Next(h policy.Host) bool
}

// NewModule makes the module for some settings.
func NewModule(set *pb.Planner) Decider { return policy.New(moduleSettings(set), int64(set.GetSeed())) }

// NewCore starts a planner at a time. The incarnation tells it from earlier ones under its name.
func NewCore(set *pb.Planner, module Decider, incarnation uint64, now float64) *Core {
	c := &Core{
		module: module, set: set, incarnation: incarnation, now: now, zones: &bart.Table[int]{}, zoneNames: map[string]int{},
		listed: map[string]*listing{}, names: map[string]*peer{}, book: weighttable.NewBook[*peer](len(set.Groups)),
		toldWake: math.Inf(1), Order: hdrhistogram.New(1, 600e6, 3),
	}
	c.Counts.Endings = map[controlstream.Reason]uint64{}
	var names []string
	for n, z := range set.Zones {
		names = append(names, z.Name)
		c.zoneNames[z.Name] = n
		for _, p := range z.Prefixes {
			c.zones.Insert(netip.MustParsePrefix(p).Masked(), n)
		}
	}
	c.memory = discovery.NewMemory(names, int(set.List.GetMostServers()))
	c.intake = newIntake(settings.Ms(set.Reports.Every), settings.PerS(set.Reports.Intake), int(set.Reports.GetMostPending()), now)
	c.channel = controlstream.NewChannel[*message](controlstream.ChannelLimits{
		LinesPerS: settings.PerS(set.Channel.Lines),
		HeadLines: set.Channel.GetHeadLines(), MostWaiting: float64(set.Channel.GetMostWaiting()),
		MostMessages: int(set.Channel.GetMostMessages()), SpanMs: settings.Ms(set.Channel.MessageSpan),
	})
	c.shareWake = math.Inf(1)
	c.Tick(now, time.Time{})
	return c
}

// Share makes the planner one of several that share a fleet; mark is what its store has reserved. It must come first.
func (c *Core) Share(mark uint64) {
	c.share = lease.NewSharer(c.set.Name, c.incarnation, mark, c.now)
}

var repeats = map[pb.Repeat]policy.Repeat{
	pb.Repeat_NON_RETRIABLE: policy.NonRetriable, pb.Repeat_DEDUPED: policy.Deduped,
	pb.Repeat_RETRIABLE: policy.Retriable,
}

// RetryMode gives the module's word for a retry of the settings.
func RetryMode(r pb.Retry) int {
	return map[pb.Retry]int{
		pb.Retry_NEVER: policy.RetryNever, pb.Retry_AFTER_PROOF: policy.RetryProven,
		pb.Retry_ONCE: policy.RetryOnce, pb.Retry_TWICE: policy.RetryTwice,
	}[r]
}

func moduleSettings(set *pb.Planner) policy.Settings {
	s := policy.Settings{
		Zones: len(set.Zones), DefaultRetry: RetryMode(set.DefaultRetry), CanAdmit: true,
		ChannelRate: settings.PerS(set.Channel.Lines), HeadLines: set.Channel.GetHeadLines(),
		MostWaiting: float64(set.Channel.GetMostWaiting()), MostMessages: int(set.Channel.GetMostMessages()),
		MessageSpanMs: settings.Ms(set.Channel.MessageSpan), LongestWayMs: settings.Ms(set.Channel.LongestWay),
		ReportEveryMs: settings.Ms(set.Reports.Every), ColdShare: set.Servers.GetColdShare(),
		WarmUpMs: settings.Ms(set.Servers.WarmUp), GraceMs: settings.Ms(set.Servers.DrainGrace),
		FallMs: settings.Ms(set.Servers.FallWindow), CrossPrice: set.GetCrossPrice(), Proxies: int(set.GetProxies()),
		Planners: int(set.GetPlanners()), LeastConns: float64(set.Servers.GetLeastConnections()),
		IdleMs: settings.Ms(set.Servers.ConnectionIdle),
	}
	for _, g := range set.Groups {
		s.Groups = append(s.Groups, policy.TrafficGroup{
			BudgetMs: settings.Ms(g.LatencyBudget), Utility: g.GetUtility(),
			Repeat: repeats[g.Repeat], OnlyZone: g.OnlyZone,
		})
	}
	return s
}

// Tick tells the time, by a clock that never jumps and by the date. What is decided until the next one leaves in
// one message a proxy.
func (c *Core) Tick(now float64, wall time.Time) {
	c.now, c.wall = now, wall
	c.module.Tick(originMs + now)
	c.memory.Tick(originMs + now)
	c.intake.tick(now)
	if c.share != nil {
		c.share.Tick(now)
		c.shared = false
	}
}

func (c *Core) keep(what string, s *Stream, m proto.Message) {
	c.inputs[c.nextInput%lastInputs] = input{c.now, what, s, m}
	c.nextInput++
}

// Dump writes the last inputs, oldest first, a line each.
func (c *Core) Dump(w io.Writer) {
	for n := max(0, c.nextInput-lastInputs); n < c.nextInput; n++ {
		in := c.inputs[n%lastInputs]
		text := fmt.Sprintf("%.3f %s", in.at, in.what)
		if in.s != nil {
			text += " " + in.s.Name()
		}
		if in.m != nil {
			text += " " + strings.Join(strings.Fields(fmt.Sprint(in.m)), " ")
		}
		fmt.Fprintln(w, text)
	}
}

// Listed takes in a word of the list source.
func (c *Core) Listed(u discovery.Update) {
	c.keep(fmt.Sprintf("list form=%d version=%d as_of=%d entries=%d %s", u.Form, u.Version, u.AsOfMs, len(u.Entries), u.Trouble), nil, nil)
	c.memory.Told(u)
}

// Joined takes in a proxy's first frame.
func (c *Core) Joined(s *Stream, j *order.Join) {
	c.keep("join", nil, j)
	if s.ended {
		return
	}
	zone, known := c.zoneNames[j.Zone]
	if j.Zone == "" {
		zone, known = c.zones.Lookup(s.Address.Unmap())
	}
	switch {
	case !known:
		c.end(s, &controlstream.Ending{Reason: controlstream.Strange, Detail: fmt.Sprintf("no zone %q, and none of %s", j.Zone, s.Address)})
		return
	case int(j.Groups) != len(c.set.Groups):
		c.end(s, &controlstream.Ending{Reason: controlstream.Strange, Detail: fmt.Sprintf("%d traffic groups; %d here", j.Groups, len(c.set.Groups))})
		return
	}
	if (j.Lease != nil) != (c.share != nil) {
		c.end(s, &controlstream.Ending{Reason: controlstream.Strange, Detail: "'sharing' is set at one side only"})
		return
	}
	if old := c.names[j.Proxy]; old != nil {
		// The same process with a newer stream has lost the older one, even if nobody told us. Another process may
		// have the name once the first is silent: two that are alive would otherwise throw each other out for ever.
		newer := old.incarnation == j.Incarnation && j.Stream > old.streams
		if !newer && c.now-old.heard < deadMs {
			c.end(s, &controlstream.Ending{Reason: controlstream.Taken, Detail: fmt.Sprintf("%q is joined from %s", j.Proxy, old.stream.Address)})
			return
		}
		c.end(old.stream, &controlstream.Ending{Reason: controlstream.Replaced, Detail: fmt.Sprintf("by a stream from %s", s.Address)})
	}
	p := &peer{
		name: j.Proxy, zone: zone, stream: s, incarnation: j.Incarnation, streams: j.Stream, heard: c.now,
		link: &controlstream.Link{}, tables: make([]*weighttable.Table[*peer], len(c.book.Levels)), holds: j.Holds, out: map[string]bool{}, usual: j.UsualPerS,
	}
	if n := len(c.free); n > 0 {
		p.number, c.free = c.free[n-1], c.free[:n-1]
		c.peers[p.number] = p
	} else {
		p.number, c.peers = len(c.peers), append(c.peers, p)
	}
	s.peer, c.names[p.name] = p, p
	c.Counts.Joins++
	w := &order.Welcome{
		Planner: c.set.Name, Incarnation: c.incarnation,
		ReportEveryMs: uint32(settings.Ms(c.set.Reports.Every)), Sharing: c.share != nil,
	}
	if c.share != nil { // it is ours only once it says so
		c.todo = append(c.todo, func(h Host) {
			h.Send(s, controlstream.Welcome, w)
			h.Send(s, controlstream.Standing, c.standing())
		})
		c.share.Joined(p.name, viewOf(j.Lease))
		return
	}
	// What is withdrawn binds from the first moment on, also for tables that others gave it.
	for _, h := range p.holds {
		for _, l := range h.Lines {
			if c.book.Out[l.Server] && !p.out[l.Server] {
				p.out[l.Server], w.Withdrawn = true, append(w.Withdrawn, l.Server)
			}
		}
	}
	c.await(p, sent{decided: c.now, must: len(w.Withdrawn) > 0})
	p.commanded = true
	c.module.Joined(p.number, zone, j.UsualPerS)
	c.todo = append(c.todo, func(h Host) { h.Send(s, controlstream.Welcome, w) })
}

// Lost takes in that a stream ended, by whomever.
func (c *Core) Lost(s *Stream, why *controlstream.Ending) {
	c.keep("lost, "+why.Error()+",", s, nil)
	if !s.ended {
		c.Counts.Endings[why.Reason]++
	}
	c.leave(s)
}

// end ends a stream from this side.
func (c *Core) end(s *Stream, why *controlstream.Ending) {
	if s.ended {
		return
	}
	c.Counts.Endings[why.Reason]++
	c.leave(s)
	c.todo = append(c.todo, func(h Host) { h.End(s, why) })
}

func (c *Core) leave(s *Stream) {
	s.ended = true
	p := s.peer
	if p == nil || c.names[p.name] != p {
		return
	}
	delete(c.names, p.name)
	if c.share != nil {
		c.share.Lost(p.name)
	}
	if p.commanded {
		c.unseat(p)
	}
	c.peers[p.number], c.free = nil, append(c.free, p.number)
}

// unseat ends a proxy's part in the module, the tables and the channel.
func (c *Core) unseat(p *peer) {
	p.commanded = false
	c.channel.Drop(p.link)
	c.intake.forget(p.usage)
	p.usage = nil
	c.book.Leave(p, p.tables)
	c.pending = slices.DeleteFunc(c.pending, func(q *peer) bool { return q == p })
	p.wait, p.cost, p.must, p.unanswered = nil, 0, false, nil
	c.module.Left(p.number)
}

// Beat takes in that a stream is alive.
func (c *Core) Beat(s *Stream) {
	if s.peer != nil {
		s.peer.heard = c.now
	}
}

// Summed takes in what a proxy met. Sums of servers that were never listed are not heard.
func (c *Core) Summed(s *Stream, m *order.Sums) {
	c.keep("sums", s, m)
	p := s.peer
	if p == nil || s.ended {
		return
	}
	if p.heard = c.now; !p.commanded {
		return
	}
	for _, x := range m.Servers {
		l := c.listed[x.Server]
		if l == nil || x.Tries == 0 {
			c.Counts.Unheard++
			continue
		}
		if l.tallies == nil {
			l.tallies = make([]*tally, len(c.set.Zones))
		}
		if l.tallies[p.zone] == nil {
			l.tallies[p.zone] = &tally{server: x.Server, zone: p.zone}
		}
		c.Counts.Sums++
		c.intake.add(l.tallies[p.zone], int(x.Tries), int(x.Dropped), x.LatencyMs)
	}
	if p.usage == nil {
		for g := range c.book.Levels {
			p.usage = append(p.usage, &tally{proxy: p, group: g})
		}
	}
	for _, x := range m.Groups {
		if int(x.Group) < len(c.book.Levels) {
			c.intake.add(p.usage[x.Group], int(x.Came), int(x.Dropped), 0)
		}
	}
}

// Lagged takes in how long reports waited for the core, in ms.
func (c *Core) Lagged(ms float64) {
	if c.lag = ms; ms > behindMs && !c.behind || ms < caughtMs && c.behind {
		c.behind = !c.behind
		c.module.Behind(c.behind)
	}
}

// Answered takes in that a proxy has applied a message and all before.
func (c *Core) Answered(s *Stream, m *order.Applied) {
	c.keep("applied", s, m)
	p := s.peer
	if p == nil || s.ended {
		return
	}
	p.heard = c.now
	if m.Refused && c.share != nil {
		c.share.Refused(p.name)
		return
	}
	for len(p.unanswered) > 0 && p.unanswered[0].number <= m.Number {
		u := p.unanswered[0]
		p.unanswered = p.unanswered[1:]
		if u.number > 0 {
			c.Order.RecordValue(max(int64((c.now-u.decided)*1000), 1))
		}
		for _, r := range m.Receipts {
			if u.receipts[r] {
				c.module.Applied(p.number, int(r), c.now-u.decided)
			}
		}
	}
}

// Next carries out at most one decision, and says whether it did.
func (c *Core) Next(h Host) bool {
	if len(c.todo) > 0 {
		act := c.todo[0]
		c.todo = c.todo[1:]
		act(h)
		return true
	}
	if c.share != nil && !c.shared {
		if c.share.Next(sharer{c, h}) || c.outlived() {
			return true
		}
		c.shared = true // it hears nothing new before the next Tick
	}
	if c.memory.Next(toModule{c}) {
		return true
	}
	if t := c.intake.next(); t != nil {
		c.hear(t)
		return true
	}
	if c.module.Next(orderer{c}) {
		return true
	}
	if len(c.pending) > 0 {
		p := c.pending[0]
		c.pending = c.pending[1:]
		c.queue(p)
		return true
	}
	if m, ok := c.channel.Next(c.now); ok {
		c.send(h, m.What, m.Decided)
		return true
	}
	if c.now >= c.answerDue && c.unanswered() {
		return true
	}
	return c.wake(h)
}

// unanswered ends at most one stream on which no answer came in time, and says whether it did. What is due next only comes
// later than was thought as answers come, so that all are looked at only then.
func (c *Core) unanswered() bool {
	c.answerDue = math.Inf(1)
	for _, p := range c.peers {
		if p == nil || len(p.unanswered) == 0 {
			continue
		}
		by := c.answerBy(p)
		if c.now >= by {
			c.answerDue = c.now
			c.end(p.stream, &controlstream.Ending{Reason: controlstream.NoAnswer, Detail: fmt.Sprintf("message %d of %d, decided %.0f ms ago",
				p.unanswered[0].number, p.messages, c.now-p.unanswered[0].decided)})
			return true
		}
		c.answerDue = math.Min(c.answerDue, by)
	}
	return false
}

func (c *Core) await(p *peer, u sent) {
	p.unanswered = append(p.unanswered, u)
	c.answerDue = math.Min(c.answerDue, c.answerBy(p))
}

// answerBy is when a proxy must have answered: what drains must not be sent anything after the grace, so that a
// proxy of which this is not known is better without a planner, and dials again.
func (c *Core) answerBy(p *peer) float64 {
	by := p.unanswered[0].decided + settings.Ms(c.set.Streams.SilentAfter)
	for _, u := range p.unanswered {
		if u.must {
			by = math.Min(by, u.decided+answerShare*settings.Ms(c.set.Servers.DrainGrace))
		}
	}
	return by
}

func (c *Core) wake(h Host) bool {
	due := math.Min(math.Min(c.wakeAt, c.shareWake), math.Min(c.intake.due(), c.memory.Due()-originMs))
	if c.channel.Messages() > 0 {
		due = math.Min(due, c.channel.Due())
	}
	due = math.Min(math.Max(due, c.now), c.now+idlestMs)
	if due == c.toldWake {
		return false
	}
	c.toldWake = due
	h.Wake(due)
	return true
}

func (c *Core) hear(t *tally) {
	f := t.take()
	if t.proxy != nil {
		c.module.Usage(t.proxy.number, t.group, f.count, f.failed, t.covers)
	} else {
		mean := 0.0
		if good := f.count - f.failed; good > 0 {
			mean = f.latency / float64(good)
		}
		c.module.Heard(t.server, t.zone, f.count, f.failed, mean, t.covers)
	}
	c.Counts.Shed = uint64(c.intake.dropped)
}

// queue puts what was decided for a proxy in this look into the channel, as one message.
func (c *Core) queue(p *peer) {
	m, must, cost := p.wait, p.must, p.cost
	p.wait, p.must, p.cost = nil, false, 0
	p.messages++
	m.Number, m.Lines = p.messages, cost+c.set.Channel.GetHeadLines()
	receipts := map[uint32]bool{}
	for _, o := range m.Orders {
		if r, ok := o.What.(*order.Order_Receipt); ok {
			receipts[r.Receipt] = true
		}
	}
	if why := c.channel.Put(c.now, p.link, cost, &message{p, m, receipts}); why != nil {
		c.end(p.stream, why)
		return
	}
	c.await(p, sent{m.Number, c.now, must, receipts})
}

func (c *Core) send(h Host, m *message, decided float64) {
	if c.share != nil {
		epoch, ok := c.share.Commands(m.to.name)
		if !ok || epoch != m.to.epoch {
			return // it is ours no longer; that is noticed in a moment
		}
		m.m.Epoch = epoch
	}
	c.Counts.Messages, c.Counts.Lines = c.Counts.Messages+1, c.Counts.Lines+uint64(m.m.Lines)
	h.Send(m.to.stream, controlstream.Orders, m.m)
}

// order adds an order to what is decided for a proxy in this look.
func (c *Core) order(p *peer, lines float64, o *order.Order) {
	if p.wait == nil {
		p.wait = &order.Orders{Planner: c.set.Name, Incarnation: c.incarnation, DecidedUnixUs: uint64(max(c.wall.UnixMicro(), 0))}
		c.pending = append(c.pending, p)
	}
	p.wait.Orders, p.cost = append(p.wait.Orders, o), p.cost+lines
}

// holding says whether a proxy goes by a table with a server: one bound by this stream, or for groups that are
// not, one that it brought along.
func (c *Core) holding(p *peer, server string) bool {
	bare := false
	for _, t := range p.tables {
		if t == nil {
			bare = true
		} else if t.Find(server) >= 0 {
			return true
		}
	}
	return bare && slices.ContainsFunc(p.holds, func(h *order.Holding) bool {
		return slices.ContainsFunc(h.Lines, func(l *order.Line) bool { return l.Server == server })
	})
}

func (c *Core) withdraw(p *peer, server string, out bool) {
	going := out && c.gone(p, server)
	c.order(p, 1, &order.Order{What: &order.Order_Withdraw{Withdraw: &order.Withdraw{Server: server, Out: out, Going: going}}})
	p.must = p.must || going
	if p.out[server] = out; !out {
		delete(p.out, server)
	}
}

// toModule passes the list on.
type toModule struct{ c *Core }

func (t toModule) Listed(form policy.ListForm, entries []policy.Entry) {
	for _, e := range entries {
		l := t.c.listed[e.Server]
		if l == nil {
			l = &listing{}
			t.c.listed[e.Server] = l
		}
		l.state, l.since = e.State, t.c.now
		for _, p := range t.c.peers { // our list knows of it by now, or it has started anew
			if p != nil && (e.State != policy.Ready || e.BornMs > t.c.now+originMs-settings.Ms(t.c.set.Servers.WarmUp)) {
				delete(p.inherited, e.Server)
			}
		}
	}
	t.c.listChanged = t.c.listChanged || form != policy.Failed
	t.c.module.Listed(form, entries)
	for name, l := range t.c.listed {
		if l.state == policy.Gone && t.c.now-l.since > goneMs && !t.c.book.Out[name] {
			delete(t.c.listed, name)
		}
	}
}

// orderer carries out the module's decisions: who holds what, and what is to be told to whom.
type orderer struct{ c *Core }

func (o orderer) SetLine(number int, server string, weight float64) {
	t := o.c.book.Table(number)
	t.Set(server, weight)
	for _, p := range t.Users {
		forget := weight <= 0 && p.out[server] && !o.c.holding(p, server)
		if forget {
			delete(p.out, server)
		}
		// A withdrawal holds for all joined proxies; one that held no table with the server was not told.
		if weight > 0 && (o.c.book.Out[server] || p.inherited[server] > 0) && !p.out[server] {
			o.c.withdraw(p, server, true)
		}
		o.c.order(p, 1, &order.Order{What: &order.Order_Line{Line: &order.SetLine{
			Table: uint32(number),
			Line:  &order.Line{Server: server, Weight: weight}, Forget: forget,
		}}})
	}
}

func (o orderer) Bind(proxy, number int, groups []int) {
	p, t := o.c.peers[proxy], o.c.book.Table(number)
	if p == nil || !p.commanded {
		return
	}
	b := &order.Bind{Table: uint32(number), Lines: make([]*order.Line, 0, len(t.Lines))}
	for _, g := range groups {
		b.Groups = append(b.Groups, uint32(g))
	}
	o.c.book.Bind(p, p.tables, t, groups)
	for _, l := range t.Lines {
		b.Lines = append(b.Lines, &order.Line{Server: l.Server, Weight: l.Weight})
		if o.c.book.Out[l.Server] || p.inherited[l.Server] > 0 {
			b.Withdrawn, p.out[l.Server] = append(b.Withdrawn, l.Server), true
			if o.c.gone(p, l.Server) {
				b.Going = append(b.Going, l.Server)
			}
		}
	}
	for g, l := range o.c.book.Levels {
		if l.Set {
			b.Levels = append(b.Levels, &order.Level{Group: uint32(g), Share: l.Share, Retry: uint32(l.Retry)})
		}
	}
	o.c.order(p, float64(1+len(b.Lines)+len(b.Withdrawn)+len(b.Levels)), &order.Order{What: &order.Order_Bind{Bind: b}})
}

func (o orderer) Withdraw(server string, out bool) {
	o.c.book.Withdraw(server, out)
	for _, p := range o.c.peers {
		if p != nil && p.commanded && (out && o.c.holding(p, server) || !out && p.out[server] && p.inherited[server] == 0) {
			o.c.withdraw(p, server, out)
		}
	}
}

func (o orderer) Admit(number, group int, share float64, retry int) {
	if number != policy.AllTables {
		panic("the module set the level of one table, which the stream cannot say")
	}
	o.c.book.Levels[group] = weighttable.Level{Share: share, Retry: retry, Set: true}
	for _, p := range o.c.peers {
		if p != nil && p.commanded {
			o.c.order(p, 1, &order.Order{What: &order.Order_Level{Level: &order.Level{Group: uint32(group), Share: share, Retry: uint32(retry)}}})
		}
	}
}

func (o orderer) Receipt(number int) {
	for _, p := range o.c.pending {
		o.c.order(p, 1, &order.Order{What: &order.Order_Receipt{Receipt: uint32(number)}})
	}
}

// Follow is for lists that come to those who ask only; sources here push or poll by themselves.
func (o orderer) Follow() {}

func (o orderer) Wake(inMs float64) { o.c.wakeAt = o.c.now + inMs }
