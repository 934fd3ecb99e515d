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
	answerShare  = 0.5    // part of the grace in which a withdrawal of what drains must be answered; the module takes the rest
	lastInputs   = 4096   // inputs kept for a dump; some seconds of a large fleet
	originMs     = 1e9    // ms of the module's clock at the start; births some days before it stay above 0, as 0 is long past
	idlestMs     = 250.0  // ms between looks at the latest; answers and silences are noticed this late at most
	goneMs       = 9e5    // ms that a gone server's name is known, longer than the module remembers it
	laggingMs    = 1000.0 // ms that a report may wait; beyond it decisions go by old news, and the planner says that it is behind
	caughtMs     = 100.0  // ms that it waits once that is over
	laggingJoins = 0.1    // part of the pace of joins while behind; each costs a whole table
	deadMs       = 2500.0 // ms without a frame after which another process may take a proxy's name
)

// Stream is one connection of a proxy, as the core knows it.
type Stream struct {
	Address   netip.Addr
	Transport any // the shell's own

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
	Send(s *Stream, kind controlstream.FrameKind, m proto.Message)
	Close(s *Stream, why *controlstream.CloseError)
	SetTimer(at float64)       // ms of the clock that SetTime goes by
	ReserveEpochs(upTo uint64) // write a mark down, and then call EpochsReserved: only where controllers share
}

// peer is a joined proxy.
type peer struct {
	name            string
	number          int // the module's
	zone            int
	stream          *Stream
	incarnation     uint64
	streams         uint64
	heard           float64
	window          *controlstream.MessageWindow
	tables          []*weighttable.Table[*peer] // by group; nil where this stream bound none
	reportedTables  []*order.Holding            // by its own word, from earlier streams
	ejected         map[string]bool             // withdrawals that it was told of
	pending         *order.Orders               // decided in this look
	cost            float64
	urgent          bool // holds a withdrawal of what drains or is gone
	messages        uint64
	unanswered      []sentUpdate
	expectedRate    float64
	commanded       bool               // the module knows it; always, where nothing is shared
	epoch           uint64             // under which it is commanded
	inheritedDrains []string           // what its last commander withdrew as it drains or is gone
	inherited       map[string]float64 // of these, what our list does not show: kept out until then
	sentByOthers    []float64          // messages that others sent it, as times of the clock
	demand          []*tally           // by group
}

// listing is a server as the list last named it.
type listing struct {
	state   policy.State
	tallies []*tally // by the zone of the proxies that met it
	since   float64  // of the state
}

// sentUpdate is a message that was not answered yet.
type sentUpdate struct {
	number   uint64
	decided  float64
	urgent   bool
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
	Joins, Messages, Entries, LoadReports, Ignored, Shed, EpochReservations uint64
	Closes                                                                  map[controlstream.CloseReason]uint64
}

// Core is one planner. Its methods are called from one goroutine: SetTime, then inputs, then Next until it says false.
type Core struct {
	set              *pb.Planner
	policy           Decider
	now              float64
	wall             time.Time
	incarnation      uint64
	tracker          *discovery.Tracker
	intake           *intake
	sendQueue        *controlstream.SendQueue[*message]
	zones            *bart.Table[int]
	zoneNames        map[string]int
	listed           map[string]*listing
	names            map[string]*peer
	peers            []*peer // by the module's number; nil where one left
	free             []int
	pending          []*peer // with orders decided in this look
	registry         *weighttable.Registry[*peer]
	pendingDecisions []func(Host) // carried out before anything new is decided
	wakeAt           float64
	toldWake         float64
	inputs           [lastInputs]input
	nextInput        int
	listChanged      bool
	lag              float64 // ms that reports waited last
	lagging          bool
	answerDue        float64        // no answer is late before
	leases           *lease.Manager // nil: nothing is shared
	leaseTimerAt     float64
	heirs            []*peer // with drains that a predecessor knew
	shared           bool    // package lease has nothing more to decide at this time

	Counts       Counts
	OrderLatency *hdrhistogram.Histogram // us from a decision to its answer
}

// message is one that waits in the channel.
type message struct {
	to       *peer
	m        *order.Orders
	receipts map[uint32]bool
}

// Decider is what decides: the module, or in rehearsals a baseline. Its methods are the module's.
type Decider interface {
	SetTime(now float64)
	UpdateEndpoints(form policy.UpdateKind, list []policy.Endpoint)
	AddProxy(id, zone int, usual float64, sent ...float64)
	RemoveProxy(id int)
	RecordReport(server string, zone, count, failed int, latency, covers float64)
	RecordDemand(id, group, count, failed int, covers float64)
	Acknowledge(id, number int, took float64)
	SetLagging(on bool)
	Next(h policy.Host) bool
}

// NewPolicy makes the module for some settings.
func NewPolicy(set *pb.Planner) Decider { return policy.New(policySettings(set), int64(set.GetSeed())) }

// NewCore starts a planner at a time. The incarnation tells it from earlier ones under its name.
func NewCore(set *pb.Planner, module Decider, incarnation uint64, now float64) *Core {
	c := &Core{
		policy: module, set: set, incarnation: incarnation, now: now, zones: &bart.Table[int]{}, zoneNames: map[string]int{},
		listed: map[string]*listing{}, names: map[string]*peer{}, registry: weighttable.NewRegistry[*peer](len(set.Groups)),
		toldWake: math.Inf(1), OrderLatency: hdrhistogram.New(1, 600e6, 3),
	}
	c.Counts.Closes = map[controlstream.CloseReason]uint64{}
	var names []string
	for n, z := range set.Zones {
		names = append(names, z.Name)
		c.zoneNames[z.Name] = n
		for _, p := range z.Prefixes {
			c.zones.Insert(netip.MustParsePrefix(p).Masked(), n)
		}
	}
	c.tracker = discovery.NewTracker(names, int(set.List.GetMostServers()))
	c.intake = newIntake(settings.Milliseconds(set.Reports.Every), settings.PerSecond(set.Reports.Intake), int(set.Reports.GetMostPending()), now)
	c.sendQueue = controlstream.NewSendQueue[*message](controlstream.SendQueueLimits{
		EntriesPerSecond: settings.PerSecond(set.Channel.Lines),
		MessageOverhead:  set.Channel.GetHeadLines(), MaxBacklog: float64(set.Channel.GetMostWaiting()),
		MaxMessages: int(set.Channel.GetMostMessages()), WindowMs: settings.Milliseconds(set.Channel.MessageSpan),
	})
	c.leaseTimerAt = math.Inf(1)
	c.SetTime(now, time.Time{})
	return c
}

// EnableLeases makes the planner one of several that share a fleet; mark is what its store has reserved. It must come first.
func (c *Core) EnableLeases(mark uint64) {
	c.leases = lease.NewManager(c.set.Name, c.incarnation, mark, c.now)
}

var repeats = map[pb.Repeat]policy.Idempotency{
	pb.Repeat_NON_RETRIABLE: policy.NonIdempotent, pb.Repeat_DEDUPED: policy.Deduplicated,
	pb.Repeat_RETRIABLE: policy.Idempotent,
}

// RetryMode gives the module's word for a retry of the settings.
func RetryMode(r pb.Retry) int {
	return map[pb.Retry]int{
		pb.Retry_NEVER: policy.RetryNever, pb.Retry_AFTER_PROOF: policy.RetryUnprocessed,
		pb.Retry_ONCE: policy.RetryOnce, pb.Retry_TWICE: policy.RetryTwice,
	}[r]
}

func policySettings(set *pb.Planner) policy.Settings {
	s := policy.Settings{
		Zones: len(set.Zones), DefaultRetry: RetryMode(set.DefaultRetry), PartialAdmission: true,
		EntriesPerSecond: settings.PerSecond(set.Channel.Lines), MessageOverhead: set.Channel.GetHeadLines(),
		MaxBacklog: float64(set.Channel.GetMostWaiting()), MaxMessages: int(set.Channel.GetMostMessages()),
		MessageWindowMs: settings.Milliseconds(set.Channel.MessageSpan), MaxPropagationMs: settings.Milliseconds(set.Channel.LongestWay),
		ReportIntervalMs: settings.Milliseconds(set.Reports.Every), ColdCapacity: set.Servers.GetColdShare(),
		SlowStartMs: settings.Milliseconds(set.Servers.WarmUp), DrainGraceMs: settings.Milliseconds(set.Servers.DrainGrace),
		ColdOverloadWindowMs: settings.Milliseconds(set.Servers.FallWindow), CrossZoneCost: set.GetCrossPrice(), Proxies: int(set.GetProxies()),
		Planners: int(set.GetPlanners()), MinServerConnections: float64(set.Servers.GetLeastConnections()),
		IdleTimeoutMs: settings.Milliseconds(set.Servers.ConnectionIdle),
	}
	for _, g := range set.Groups {
		s.Classes = append(s.Classes, policy.TrafficClass{
			LatencyObjectiveMs: settings.Milliseconds(g.LatencyBudget), PriorityWeight: g.GetUtility(),
			Idempotency: repeats[g.Repeat], SameZoneOnly: g.OnlyZone,
		})
	}
	return s
}

// SetTime tells the time, by a clock that never jumps and by the date. What is decided until the next one leaves in
// one message a proxy.
func (c *Core) SetTime(now float64, wall time.Time) {
	c.now, c.wall = now, wall
	c.policy.SetTime(originMs + now)
	c.tracker.SetTime(originMs + now)
	c.intake.tick(now)
	if c.leases != nil {
		c.leases.SetTime(now)
		c.shared = false
	}
}

func (c *Core) recordInput(what string, s *Stream, m proto.Message) {
	c.inputs[c.nextInput%lastInputs] = input{c.now, what, s, m}
	c.nextInput++
}

// DumpInputs writes the last inputs, oldest first, a line each.
func (c *Core) DumpInputs(w io.Writer) {
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

// UpdateEndpoints takes in a word of the list source.
func (c *Core) UpdateEndpoints(u discovery.Update) {
	c.recordInput(fmt.Sprintf("list form=%d version=%d as_of=%d entries=%d %s", u.Kind, u.Version, u.AsOfMs, len(u.Endpoints), u.Fault), nil, nil)
	c.tracker.RecordUpdate(u)
}

// HandleJoin takes in a proxy's first frame.
func (c *Core) HandleJoin(s *Stream, j *order.Join) {
	c.recordInput("join", nil, j)
	if s.ended {
		return
	}
	zone, known := c.zoneNames[j.Zone]
	if j.Zone == "" {
		zone, known = c.zones.Lookup(s.Address.Unmap())
	}
	switch {
	case !known:
		c.closeStream(s, &controlstream.CloseError{Reason: controlstream.ReasonUnknownPeer, Detail: fmt.Sprintf("no zone %q, and none of %s", j.Zone, s.Address)})
		return
	case int(j.Groups) != len(c.set.Groups):
		c.closeStream(s, &controlstream.CloseError{Reason: controlstream.ReasonUnknownPeer, Detail: fmt.Sprintf("%d traffic groups; %d here", j.Groups, len(c.set.Groups))})
		return
	}
	if (j.Lease != nil) != (c.leases != nil) {
		c.closeStream(s, &controlstream.CloseError{Reason: controlstream.ReasonUnknownPeer, Detail: "'sharing' is set at one side only"})
		return
	}
	if old := c.names[j.Proxy]; old != nil {
		// The same process with a newer stream has lost the older one, even if nobody told us. Another process may
		// have the name once the first is silent: two that are alive would otherwise throw each other out for ever.
		newer := old.incarnation == j.Incarnation && j.Stream > old.streams
		if !newer && c.now-old.heard < deadMs {
			c.closeStream(s, &controlstream.CloseError{Reason: controlstream.ReasonNameInUse, Detail: fmt.Sprintf("%q is joined from %s", j.Proxy, old.stream.Address)})
			return
		}
		c.closeStream(old.stream, &controlstream.CloseError{Reason: controlstream.ReasonSuperseded, Detail: fmt.Sprintf("by a stream from %s", s.Address)})
	}
	p := &peer{
		name: j.Proxy, zone: zone, stream: s, incarnation: j.Incarnation, streams: j.Stream, heard: c.now,
		window: &controlstream.MessageWindow{}, tables: make([]*weighttable.Table[*peer], len(c.registry.Admission)), reportedTables: j.Holds, ejected: map[string]bool{}, expectedRate: j.UsualPerS,
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
		ReportEveryMs: uint32(settings.Milliseconds(c.set.Reports.Every)), Sharing: c.leases != nil,
	}
	if c.leases != nil { // it is ours only once it says so
		c.pendingDecisions = append(c.pendingDecisions, func(h Host) {
			h.Send(s, controlstream.FrameWelcome, w)
			h.Send(s, controlstream.FrameControllerStatus, c.standing())
		})
		c.leases.AddProxy(p.name, viewOf(j.Lease))
		return
	}
	// What is withdrawn binds from the first moment on, also for tables that others gave it.
	for _, h := range p.reportedTables {
		for _, l := range h.Lines {
			if c.registry.Ejected[l.Server] && !p.ejected[l.Server] {
				p.ejected[l.Server], w.Withdrawn = true, append(w.Withdrawn, l.Server)
			}
		}
	}
	c.await(p, sentUpdate{decided: c.now, urgent: len(w.Withdrawn) > 0})
	p.commanded = true
	c.policy.AddProxy(p.number, zone, j.UsualPerS)
	c.pendingDecisions = append(c.pendingDecisions, func(h Host) { h.Send(s, controlstream.FrameWelcome, w) })
}

// HandleDisconnect takes in that a stream ended, by whomever.
func (c *Core) HandleDisconnect(s *Stream, why *controlstream.CloseError) {
	c.recordInput("lost, "+why.Error()+",", s, nil)
	if !s.ended {
		c.Counts.Closes[why.Reason]++
	}
	c.detach(s)
}

// closeStream ends a stream from this side.
func (c *Core) closeStream(s *Stream, why *controlstream.CloseError) {
	if s.ended {
		return
	}
	c.Counts.Closes[why.Reason]++
	c.detach(s)
	c.pendingDecisions = append(c.pendingDecisions, func(h Host) { h.Close(s, why) })
}

func (c *Core) detach(s *Stream) {
	s.ended = true
	p := s.peer
	if p == nil || c.names[p.name] != p {
		return
	}
	delete(c.names, p.name)
	if c.leases != nil {
		c.leases.RemoveProxy(p.name)
	}
	if p.commanded {
		c.removeProxy(p)
	}
	c.peers[p.number], c.free = nil, append(c.free, p.number)
}

// removeProxy ends a proxy's part in the module, the tables and the channel.
func (c *Core) removeProxy(p *peer) {
	p.commanded = false
	c.sendQueue.Remove(p.window)
	c.intake.forget(p.demand)
	p.demand = nil
	c.registry.RemoveProxy(p, p.tables)
	c.pending = slices.DeleteFunc(c.pending, func(q *peer) bool { return q == p })
	p.pending, p.cost, p.urgent, p.unanswered = nil, 0, false, nil
	c.policy.RemoveProxy(p.number)
}

// HandleHeartbeat takes in that a stream is alive.
func (c *Core) HandleHeartbeat(s *Stream) {
	if s.peer != nil {
		s.peer.heard = c.now
	}
}

// HandleLoadReport takes in what a proxy met. Sums of servers that were never listed are not heard.
func (c *Core) HandleLoadReport(s *Stream, m *order.Sums) {
	c.recordInput("sums", s, m)
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
			c.Counts.Ignored++
			continue
		}
		if l.tallies == nil {
			l.tallies = make([]*tally, len(c.set.Zones))
		}
		if l.tallies[p.zone] == nil {
			l.tallies[p.zone] = &tally{server: x.Server, zone: p.zone}
		}
		c.Counts.LoadReports++
		c.intake.add(l.tallies[p.zone], int(x.Tries), int(x.Dropped), x.LatencyMs)
	}
	if p.demand == nil {
		for g := range c.registry.Admission {
			p.demand = append(p.demand, &tally{proxy: p, group: g})
		}
	}
	for _, x := range m.Groups {
		if int(x.Group) < len(c.registry.Admission) {
			c.intake.add(p.demand[x.Group], int(x.Came), int(x.Dropped), 0)
		}
	}
}

// RecordLag takes in how long reports waited for the core, in ms.
func (c *Core) RecordLag(ms float64) {
	if c.lag = ms; ms > laggingMs && !c.lagging || ms < caughtMs && c.lagging {
		c.lagging = !c.lagging
		c.policy.SetLagging(c.lagging)
	}
}

// HandleAck takes in that a proxy has applied a message and all before.
func (c *Core) HandleAck(s *Stream, m *order.Applied) {
	c.recordInput("applied", s, m)
	p := s.peer
	if p == nil || s.ended {
		return
	}
	p.heard = c.now
	if m.Refused && c.leases != nil {
		c.leases.OrdersRejected(p.name)
		return
	}
	for len(p.unanswered) > 0 && p.unanswered[0].number <= m.Number {
		u := p.unanswered[0]
		p.unanswered = p.unanswered[1:]
		if u.number > 0 {
			c.OrderLatency.RecordValue(max(int64((c.now-u.decided)*1000), 1))
		}
		for _, r := range m.Receipts {
			if u.receipts[r] {
				c.policy.Acknowledge(p.number, int(r), c.now-u.decided)
			}
		}
	}
}

// Next carries out at most one decision, and says whether it did.
func (c *Core) Next(h Host) bool {
	if len(c.pendingDecisions) > 0 {
		act := c.pendingDecisions[0]
		c.pendingDecisions = c.pendingDecisions[1:]
		act(h)
		return true
	}
	if c.leases != nil && !c.shared {
		if c.leases.Next(leaseHost{c, h}) || c.outlived() {
			return true
		}
		c.shared = true // it hears nothing new before the next SetTime
	}
	if c.tracker.Next(policyUpdater{c}) {
		return true
	}
	if t := c.intake.next(); t != nil {
		c.forwardReport(t)
		return true
	}
	if c.policy.Next(policyHost{c}) {
		return true
	}
	if len(c.pending) > 0 {
		p := c.pending[0]
		c.pending = c.pending[1:]
		c.enqueue(p)
		return true
	}
	if m, ok := c.sendQueue.Pop(c.now); ok {
		c.send(h, m.Payload, m.DecidedMs)
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
			c.closeStream(p.stream, &controlstream.CloseError{Reason: controlstream.ReasonAckTimeout, Detail: fmt.Sprintf("message %d of %d, decided %.0f ms ago",
				p.unanswered[0].number, p.messages, c.now-p.unanswered[0].decided)})
			return true
		}
		c.answerDue = math.Min(c.answerDue, by)
	}
	return false
}

func (c *Core) await(p *peer, u sentUpdate) {
	p.unanswered = append(p.unanswered, u)
	c.answerDue = math.Min(c.answerDue, c.answerBy(p))
}

// answerBy is when a proxy must have answered: what drains must not be sent anything after the grace, so that a
// proxy of which this is not known is better without a planner, and dials again.
func (c *Core) answerBy(p *peer) float64 {
	by := p.unanswered[0].decided + settings.Milliseconds(c.set.Streams.SilentAfter)
	for _, u := range p.unanswered {
		if u.urgent {
			by = math.Min(by, u.decided+answerShare*settings.Milliseconds(c.set.Servers.DrainGrace))
		}
	}
	return by
}

func (c *Core) wake(h Host) bool {
	due := math.Min(math.Min(c.wakeAt, c.leaseTimerAt), math.Min(c.intake.due(), c.tracker.Deadline()-originMs))
	if c.sendQueue.Len() > 0 {
		due = math.Min(due, c.sendQueue.NextDeparture())
	}
	due = math.Min(math.Max(due, c.now), c.now+idlestMs)
	if due == c.toldWake {
		return false
	}
	c.toldWake = due
	h.SetTimer(due)
	return true
}

func (c *Core) forwardReport(t *tally) {
	f := t.take()
	if t.proxy != nil {
		c.policy.RecordDemand(t.proxy.number, t.group, f.count, f.failed, t.covers)
	} else {
		mean := 0.0
		if good := f.count - f.failed; good > 0 {
			mean = f.latency / float64(good)
		}
		c.policy.RecordReport(t.server, t.zone, f.count, f.failed, mean, t.covers)
	}
	c.Counts.Shed = uint64(c.intake.dropped)
}

// enqueue puts what was decided for a proxy in this look into the channel, as one message.
func (c *Core) enqueue(p *peer) {
	m, must, cost := p.pending, p.urgent, p.cost
	p.pending, p.urgent, p.cost = nil, false, 0
	p.messages++
	m.Number, m.Lines = p.messages, cost+c.set.Channel.GetHeadLines()
	receipts := map[uint32]bool{}
	for _, o := range m.Orders {
		if r, ok := o.What.(*order.Order_Receipt); ok {
			receipts[r.Receipt] = true
		}
	}
	if why := c.sendQueue.Push(c.now, p.window, cost, &message{p, m, receipts}); why != nil {
		c.closeStream(p.stream, why)
		return
	}
	c.await(p, sentUpdate{m.Number, c.now, must, receipts})
}

func (c *Core) send(h Host, m *message, decided float64) {
	if c.leases != nil {
		epoch, ok := c.leases.HoldsLease(m.to.name)
		if !ok || epoch != m.to.epoch {
			return // it is ours no longer; that is noticed in a moment
		}
		m.m.Epoch = epoch
	}
	c.Counts.Messages, c.Counts.Entries = c.Counts.Messages+1, c.Counts.Entries+uint64(m.m.Lines)
	h.Send(m.to.stream, controlstream.FrameOrders, m.m)
}

// order adds an order to what is decided for a proxy in this look.
func (c *Core) order(p *peer, lines float64, o *order.Order) {
	if p.pending == nil {
		p.pending = &order.Orders{Planner: c.set.Name, Incarnation: c.incarnation, DecidedUnixUs: uint64(max(c.wall.UnixMicro(), 0))}
		c.pending = append(c.pending, p)
	}
	p.pending.Orders, p.cost = append(p.pending.Orders, o), p.cost+lines
}

// holding says whether a proxy goes by a table with a server: one bound by this stream, or for groups that are
// not, one that it brought along.
func (c *Core) holding(p *peer, server string) bool {
	bare := false
	for _, t := range p.tables {
		if t == nil {
			bare = true
		} else if t.Index(server) >= 0 {
			return true
		}
	}
	return bare && slices.ContainsFunc(p.reportedTables, func(h *order.Holding) bool {
		return slices.ContainsFunc(h.Lines, func(l *order.Line) bool { return l.Server == server })
	})
}

func (c *Core) setEjected(p *peer, server string, out bool) {
	going := out && c.gone(p, server)
	c.order(p, 1, &order.Order{What: &order.Order_Withdraw{Withdraw: &order.Withdraw{Server: server, Out: out, Going: going}}})
	p.urgent = p.urgent || going
	if p.ejected[server] = out; !out {
		delete(p.ejected, server)
	}
}

// policyUpdater passes the list on.
type policyUpdater struct{ c *Core }

func (t policyUpdater) UpdateEndpoints(form policy.UpdateKind, entries []policy.Endpoint) {
	for _, e := range entries {
		l := t.c.listed[e.Server]
		if l == nil {
			l = &listing{}
			t.c.listed[e.Server] = l
		}
		l.state, l.since = e.State, t.c.now
		for _, p := range t.c.peers { // our list knows of it by now, or it has started anew
			if p != nil && (e.State != policy.Ready || e.StartedMs > t.c.now+originMs-settings.Milliseconds(t.c.set.Servers.WarmUp)) {
				delete(p.inherited, e.Server)
			}
		}
	}
	t.c.listChanged = t.c.listChanged || form != policy.FailedUpdate
	t.c.policy.UpdateEndpoints(form, entries)
	for name, l := range t.c.listed {
		if l.state == policy.Removed && t.c.now-l.since > goneMs && !t.c.registry.Ejected[name] {
			delete(t.c.listed, name)
		}
	}
}

// policyHost carries out the module's decisions: who holds what, and what is to be told to whom.
type policyHost struct{ c *Core }

func (o policyHost) SetWeight(number int, server string, weight float64) {
	t := o.c.registry.Table(number)
	t.Set(server, weight)
	for _, p := range t.Proxies {
		forget := weight <= 0 && p.ejected[server] && !o.c.holding(p, server)
		if forget {
			delete(p.ejected, server)
		}
		// A withdrawal holds for all joined proxies; one that held no table with the server was not told.
		if weight > 0 && (o.c.registry.Ejected[server] || p.inherited[server] > 0) && !p.ejected[server] {
			o.c.setEjected(p, server, true)
		}
		o.c.order(p, 1, &order.Order{What: &order.Order_Line{Line: &order.SetLine{
			Table: uint32(number),
			Line:  &order.Line{Server: server, Weight: weight}, Forget: forget,
		}}})
	}
}

func (o policyHost) AssignTable(proxy, number int, groups []int, _ []string) {
	p, t := o.c.peers[proxy], o.c.registry.Table(number)
	if p == nil || !p.commanded {
		return
	}
	b := &order.Bind{Table: uint32(number), Lines: make([]*order.Line, 0, len(t.Entries))}
	for _, g := range groups {
		b.Groups = append(b.Groups, uint32(g))
	}
	o.c.registry.Assign(p, p.tables, t, groups)
	for _, l := range t.Entries {
		b.Lines = append(b.Lines, &order.Line{Server: l.Server, Weight: l.Weight})
		if o.c.registry.Ejected[l.Server] || p.inherited[l.Server] > 0 {
			b.Withdrawn, p.ejected[l.Server] = append(b.Withdrawn, l.Server), true
			if o.c.gone(p, l.Server) {
				b.Going = append(b.Going, l.Server)
			}
		}
	}
	for g, l := range o.c.registry.Admission {
		if l.Set {
			b.Levels = append(b.Levels, &order.Level{Group: uint32(g), Share: l.Fraction, Retry: uint32(l.Retry)})
		}
	}
	o.c.order(p, float64(1+len(b.Lines)+len(b.Withdrawn)+len(b.Levels)), &order.Order{What: &order.Order_Bind{Bind: b}})
}

func (o policyHost) SetEjected(server string, out, _ bool) {
	o.c.registry.SetEjected(server, out)
	for _, p := range o.c.peers {
		if p != nil && p.commanded && (out && o.c.holding(p, server) || !out && p.ejected[server] && p.inherited[server] == 0) {
			o.c.setEjected(p, server, out)
		}
	}
}

// RestoreServers does nothing: a proxy states which servers it has ejected when it joins, and AddProxy's caller aligns them.
func (o policyHost) RestoreServers(int, []string) {}

func (o policyHost) SetAdmission(number, group int, share float64, retry int) {
	if number != policy.AllTables {
		panic("the module set the level of one table, which the stream cannot say")
	}
	o.c.registry.Admission[group] = weighttable.AdmissionRate{Fraction: share, Retry: retry, Set: true}
	for _, p := range o.c.peers {
		if p != nil && p.commanded {
			o.c.order(p, 1, &order.Order{What: &order.Order_Level{Level: &order.Level{Group: uint32(group), Share: share, Retry: uint32(retry)}}})
		}
	}
}

func (o policyHost) RequestAcknowledgement(number int) {
	for _, p := range o.c.pending {
		o.c.order(p, 1, &order.Order{What: &order.Order_Receipt{Receipt: uint32(number)}})
	}
}

// WatchEndpoints is for lists that come to those who ask only; sources here push or poll by themselves.
func (o policyHost) WatchEndpoints() {}

func (o policyHost) SetTimer(inMs float64) { o.c.wakeAt = o.c.now + inMs }
