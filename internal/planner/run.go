package planner

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gaissmai/bart"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"lichenpick/internal/clock"
	"lichenpick/internal/controlstream"
	"lichenpick/internal/discovery"
	"lichenpick/internal/lease"
	"lichenpick/internal/settings"
	"lichenpick/internal/store"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

const (
	inboxSize  = 1024    // inputs that wait for the core; then streams are read no further, and the peers' sends wait
	maxBatch   = 512     // inputs taken in before the core decides; so many take a few ms
	maxReports = 256     // and reports; what else came goes first
	outboxSize = 256     // frames that wait for one stream's socket, under a span's messages by far
	readBytes  = 4 << 10 // most frames are far smaller, and each stream has such a piece
	byeMs      = 200.0   // ms that a last word may take
)

// Options are what a planner runs on.
type Options struct {
	Settings *pb.Planner
	Clock    clock.Clock
	Network  clock.Network
	Source   discovery.Source
	Log      *slog.Logger
	Ready    func(addr net.Addr) // called once it listens; may be nil
	Decider  Decider             // nil: the module
	Status   func(*Status)       // told at the end what the planner thought of itself; may be nil
}

// Planner is a running planner.
type Planner struct {
	Options
	core      *Core
	inbox     chan func()
	streams   atomic.Int64
	accepts   atomic.Uint64
	refused   atomic.Uint64
	allow     *bart.Table[struct{}]
	lim       controlstream.Limits
	store     *store.Store // nil: nothing is shared
	marks     chan uint64  // to be written down
	coalesced coalescedReports
	wakeAt    float64
	kept      float64 // when the list was last written down
	status    atomic.Pointer[Status]
}

// Status is what a planner thinks of itself, as last published by its core.
type Status struct {
	Planner                string
	AtUnixMs               int64
	Proxies, Streams       int
	Ready                  int                                  `json:"Ready"`
	Draining               int                                  `json:"Draining"`
	Removed                int                                  `json:"Gone"`
	Unverified             int                                  `json:"Doubted"`
	Rejected               int                                  `json:"Refused"`
	Backlog                float64                              `json:"LinesWaiting"`
	PeakBacklog            float64                              `json:"LinesPeak"` // now, and the most since the last status
	MaxBacklog             float64                              `json:"LinesMost"` // since the start
	Joins                  uint64                               `json:"Joins"`
	Messages               uint64                               `json:"Messages"`
	Entries                uint64                               `json:"Lines"`
	LoadReports            uint64                               `json:"Sums"`
	Ignored                uint64                               `json:"Unheard"`
	Shed                   uint64                               `json:"Shed"`
	Lagging                bool                                 `json:"Behind"` // reports wait too long: tidy work rests
	LagMs                  float64                              // that the last report waited
	Merged, Lost           uint64                               // reports added to one that waited; servers left out of them
	LeasesHeld             int                                  `json:"Commanded"` // proxies, where several controllers share a fleet
	Takeovers              int                                  `json:"Takeovers"`
	Transferred            int                                  `json:"Handed"`
	Expired                int                                  `json:"Expired"`
	EpochReservations      uint64                               `json:"Marks"`     // writes to the store
	ClosedToLeases         bool                                 `json:"Claimless"` // not open to claims: drained, or its store cannot be written
	Closes                 map[controlstream.CloseReason]uint64 `json:"Endings"`
	OrderMsP50, OrderMsP99 float64
	RejectedDials          uint64 `json:"RefusedDials"`
}

// Run runs a planner until the context ends, and then leaves proxies with the tables they hold.
func Run(ctx context.Context, o Options) error {
	l, err := o.Network.Listen(ctx, o.Settings.Listen)
	if err != nil {
		return fmt.Errorf("listening for proxies: %w", err)
	}
	defer l.Close()
	set := o.Settings
	p := &Planner{
		Options: o, inbox: make(chan func(), inboxSize), coalesced: coalescedReports{signal: make(chan struct{}, 1)}, allow: &bart.Table[struct{}]{},
		lim: controlstream.Limits{
			MaxFrameBytes: int(set.Streams.GetFrameBytes()), HandshakeTimeoutMs: settings.Milliseconds(set.Streams.JoinWithin),
			HeartbeatTimeoutMs: settings.Milliseconds(set.Streams.SilentAfter),
		},
	}
	for _, a := range set.Allow {
		p.allow.Insert(netip.MustParsePrefix(a).Masked(), struct{}{})
	}
	wall := o.Clock.WallTime()
	if o.Decider == nil {
		o.Decider = NewPolicy(set)
	}
	p.core = NewCore(set, o.Decider, incarnation(), o.Clock.Monotonic())
	if set.Sharing != nil { // without its store a controller must not command
		if p.store, err = store.Open(set.Sharing.Store, set.Name); err != nil {
			return fmt.Errorf("sharing refused: %w", err)
		}
		defer p.store.Close()
		p.core.EnableLeases(p.store.ReservedEpoch())
	}
	p.publish(true)
	if path := set.List.Keep; path != "" {
		u, found, err := discovery.Restore(path, uint64(wall.UnixMilli()))
		if err != nil {
			o.Log.Warn("the kept list cannot be used; starting without", "error", err)
		} else if found {
			p.core.UpdateEndpoints(u)
			o.Log.Info("starting from the kept list", "servers", len(u.Endpoints))
		}
	}
	// An error group of its own for streams: each ends by itself, and none may end the planner.
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.accept(ctx, l) })
	group.Go(func() error { return p.own(ctx) })
	p.marks = make(chan uint64, 1)
	group.Go(func() error { return p.reserve(ctx) })
	group.Go(func() error {
		return o.Source.Run(ctx, func(u discovery.Update) {
			if u.Fault != "" {
				o.Log.Warn("the list failed; the last one stands", "cause", u.Fault)
			}
			p.tell(ctx, func() { p.core.UpdateEndpoints(u) })
		})
	})
	if set.Status != "" {
		if err := p.serveStatus(ctx, group); err != nil {
			return err
		}
	}
	o.Log.Info("planner listens", "planner", set.Name, "address", l.Addr())
	if o.Ready != nil {
		o.Ready(l.Addr())
	}
	err = group.Wait()
	if o.Status != nil {
		o.Status(p.status.Load())
	}
	o.Log.Info("planner ends", "planner", set.Name, "error", err)
	return err
}

// tell hands the core an input; it waits while the inbox is full.
func (p *Planner) tell(ctx context.Context, input func()) bool {
	select {
	case p.inbox <- input:
		return true
	case <-ctx.Done():
		return false
	}
}

// own is the one goroutine that touches the core.
func (p *Planner) own(ctx context.Context) (err error) {
	defer func() {
		if r := recover(); r != nil {
			p.dump(r)
			err = fmt.Errorf("the planner's core failed: %v", r)
		}
	}()
	for {
		fired, stop := p.Clock.NewTimer(p.wakeAt - p.Clock.Monotonic())
		var first func()
		select {
		case <-ctx.Done():
			stop()
			p.publish(true)
			p.farewell()
			return nil
		case first = <-p.inbox:
		case <-p.coalesced.signal:
		case <-fired:
		}
		stop()
		p.core.SetTime(p.Clock.Monotonic(), p.Clock.WallTime())
		if first != nil {
			first()
		}
	batch:
		for range maxBatch {
			select {
			case input := <-p.inbox:
				input()
			default:
				break batch
			}
		}
		p.hear()
		for p.core.Next(p) {
		}
		p.publish(false)
		p.keepList()
	}
}

// hear lets the core take some reports, after all else that came; the rest has its turn when it has decided.
func (p *Planner) hear() {
	lag := 0.0
	for range maxReports {
		s, m, since := p.coalesced.take()
		if s == nil {
			p.core.RecordLag(lag)
			return
		}
		lag = max(lag, p.Clock.Monotonic()-since)
		p.core.HandleLoadReport(s.core, m)
	}
	p.core.RecordLag(lag)
	select {
	case p.coalesced.signal <- struct{}{}:
	default:
	}
}

func (p *Planner) dump(r any) {
	stack := debug.Stack()
	p.Log.Error("the planner's core failed", "cause", r, "stack", string(stack))
	if p.Settings.Dump == "" {
		return
	}
	f, err := os.Create(p.Settings.Dump)
	if err != nil {
		p.Log.Error("the last inputs cannot be written", "error", err)
		return
	}
	fmt.Fprintf(f, "%v\n%s\n", r, stack)
	p.core.DumpInputs(f)
	f.Close()
}

// keepList writes the list down, at most once a second: a restart may begin from it.
func (p *Planner) keepList() {
	path, now := p.Settings.List.Keep, p.Clock.Monotonic()
	if path == "" || !p.core.listChanged || now-p.kept < 1000 {
		return
	}
	p.core.listChanged, p.kept = false, now
	if err := discovery.Save(path, p.core.tracker.Snapshot(uint64(p.Clock.WallTime().UnixMilli()))); err != nil {
		p.Log.Warn("the list cannot be kept", "error", err)
	}
}

// farewell tells all proxies that this planner ends; they keep what they hold and dial elsewhere.
func (p *Planner) farewell() {
	for _, q := range p.core.peers {
		if q != nil {
			if q.commanded && p.core.leases != nil { // another may take it at once
				p.Send(q.stream, controlstream.FrameLeaseRelease, &order.Release{Epoch: q.epoch})
			}
			p.Close(q.stream, &controlstream.CloseError{Reason: controlstream.ReasonShutdown})
		}
	}
	p.Log.Info("planner leaves its proxies", "proxies", len(p.core.names))
}

// incarnation tells this process from any other that bears its name, now or before.
func incarnation() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}

// reserve writes marks down, away from the core's goroutine: a sync takes milliseconds, or seconds on a busy disk.
func (p *Planner) reserve(ctx context.Context) error {
	failed := ""
	for {
		select {
		case <-ctx.Done():
			return nil
		case mark := <-p.marks:
			err := p.store.ReserveEpochs(mark)
			if err != nil && err.Error() != failed {
				p.Log.Error("the store cannot be written; nothing new is claimed", "error", err)
				failed = err.Error()
			} else if err == nil {
				failed = ""
			}
			p.tell(ctx, func() { p.core.EpochsReserved(mark, err) })
		}
	}
}

// ReserveEpochs has a mark written down; there is one under way at a time.
func (p *Planner) ReserveEpochs(upTo uint64) { p.marks <- upTo }

// SetTimer, Send and Close carry out the core's decisions, in its goroutine.
func (p *Planner) SetTimer(at float64) { p.wakeAt = at }

func (p *Planner) Send(s *Stream, kind controlstream.FrameKind, m proto.Message) {
	out := s.Transport.(*stream)
	select {
	case out.outbox <- outgoing{kind, m}:
	default: // it must not wait: one slow proxy would hold up all others
		p.Close(s, &controlstream.CloseError{Reason: controlstream.ReasonSlowReader, Detail: fmt.Sprintf("%d frames wait", outboxSize)})
	}
}

func (p *Planner) Close(s *Stream, why *controlstream.CloseError) {
	out := s.Transport.(*stream)
	out.finish(why)
}

type outgoing struct {
	kind controlstream.FrameKind
	m    proto.Message
}

// stream is a connection's shell.
type stream struct {
	core   *Stream
	name   string // as it joined; the reader's until the stream is over
	conn   net.Conn
	outbox chan outgoing
	once   sync.Once
	done   chan struct{}
	why    *controlstream.CloseError
	report coalescedReport // that the core has not taken yet; guarded by the queue's lock
}

// finish ends a stream for a reason; the first one counts.
func (s *stream) finish(why *controlstream.CloseError) {
	s.once.Do(func() {
		s.why = why
		close(s.done)
	})
}

func (p *Planner) accept(ctx context.Context, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { l.Close() })()
	per := settings.PerSecond(p.Settings.Streams.Accepts)
	pace := rate.NewLimiter(rate.Limit(per), max(int(per/10), 1))
	joins := rate.NewLimiter(rate.Limit(per*laggingJoins), 1)
	var streams sync.WaitGroup
	defer streams.Wait()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			if conn != nil {
				conn.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("accepting proxies: %w", err)
		}
		if err != nil { // out of files, perhaps: the next one may do
			p.Log.Warn("a proxy could not be accepted", "error", err)
			clock.Sleep(ctx, p.Clock, 100)
			continue
		}
		p.accepts.Add(1)
		from := peerAddress(conn)
		if p.Settings.Allow != nil && !p.allow.Contains(from) || p.streams.Load() >= int64(p.Settings.Streams.GetMost()) {
			p.refused.Add(1)
			p.Log.Debug("a dial was refused", "from", from, "streams", p.streams.Load())
			conn.Close()
			continue
		}
		for p.status.Load().Lagging && ctx.Err() == nil && !joins.Allow() { // drains and what is joined pass first
			clock.Sleep(ctx, p.Clock, 20)
		}
		if pace.Wait(ctx) != nil {
			conn.Close()
			return nil
		}
		p.streams.Add(1)
		streams.Add(1)
		go func() {
			defer streams.Done()
			defer p.streams.Add(-1)
			p.serve(ctx, conn, from)
		}()
	}
}

func peerAddress(conn net.Conn) netip.Addr {
	if a, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// serve runs one stream to its end.
func (p *Planner) serve(ctx context.Context, conn net.Conn, from netip.Addr) {
	s := &stream{conn: conn, outbox: make(chan outgoing, outboxSize), done: make(chan struct{}), core: &Stream{Address: from}}
	s.core.Transport = s
	end := controlstream.NewPlannerSession(p.lim, p.Clock.Monotonic())
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		p.read(ctx, s, end)
	}()
	go func() {
		defer both.Done()
		p.write(s, end)
	}()
	stop := context.AfterFunc(ctx, func() {
		fired, _ := p.Clock.NewTimer(byeMs) // the core's farewell comes first, if it still can
		<-fired
		s.finish(&controlstream.CloseError{Reason: controlstream.ReasonShutdown})
	})
	both.Wait()
	stop()
	conn.Close()
	level := slog.LevelInfo
	if s.why.Reason != controlstream.ReasonPeerClosed && s.why.Reason != controlstream.ReasonConnectionLost && s.why.Reason != controlstream.ReasonShutdown {
		level = slog.LevelWarn
	}
	p.Log.Log(ctx, level, "stream ended", "proxy", s.name, "from", from, "reason", s.why.Reason, "detail", s.why.Detail)
	p.tell(ctx, func() { p.core.HandleDisconnect(s.core, s.why) })
}

// reader passes what a proxy says to the core.
type reader struct {
	p   *Planner
	s   *stream
	ctx context.Context
	ok  bool
}

func (r *reader) OnJoin(m *order.Join) {
	r.s.name = m.Proxy
	r.ok = r.p.tell(r.ctx, func() { r.p.core.HandleJoin(r.s.core, m) })
}

func (r *reader) OnLoadReport(m *order.Sums) {
	r.p.coalesced.add(r.s, m, r.p.Clock.Monotonic())
}

func (r *reader) OnLease(m *order.Lease) {
	r.ok = r.p.tell(r.ctx, func() { r.p.core.HandleLease(r.s.core, m) })
}

func (r *reader) OnAck(m *order.Applied) {
	r.ok = r.p.tell(r.ctx, func() { r.p.core.HandleAck(r.s.core, m) })
}

func (p *Planner) read(ctx context.Context, s *stream, end *controlstream.PlannerSession) {
	go func() { // unblocks the read when the stream is finished elsewhere
		<-s.done
		s.conn.SetReadDeadline(time.Unix(1, 0))
	}()
	buf := make([]byte, readBytes)
	r := &reader{p: p, s: s, ctx: ctx, ok: true}
	for {
		s.conn.SetReadDeadline(p.Clock.Deadline(max(end.Deadline()-p.Clock.Monotonic(), 1)))
		select {
		case <-s.done:
			return
		default:
		}
		n, err := s.conn.Read(buf)
		end.Feed(p.Clock.Monotonic(), buf[:n])
		for r.ok && end.Next(r) {
		}
		var timeout net.Error
		switch {
		case end.CloseCause() != nil:
			s.finish(end.CloseCause())
		case !r.ok:
			s.finish(&controlstream.CloseError{Reason: controlstream.ReasonShutdown})
		case errors.As(err, &timeout) && timeout.Timeout():
			// Due has been reached by Next, or the stream is done.
		case err != nil:
			s.finish(&controlstream.CloseError{Reason: controlstream.ReasonConnectionLost, Detail: err.Error()})
		}
		if n > 0 {
			p.tell(ctx, func() { p.core.HandleHeartbeat(s.core) })
		}
	}
}

// write sends frames, and a beat while there is nothing else, so that a proxy knows that it has a planner.
func (p *Planner) write(s *stream, end *controlstream.PlannerSession) {
	within := settings.Milliseconds(p.Settings.Streams.WriteWithin)
	beat := p.lim.HeartbeatTimeoutMs / 4
	if p.store != nil { // proxies tell each other's controllers who lives
		beat = min(beat, lease.HeartbeatMs)
	}
	var buf []byte
	put := func(kind controlstream.FrameKind, m proto.Message) bool {
		var err error
		if buf, err = end.Append(buf[:0], kind, m); err != nil {
			s.finish(&controlstream.CloseError{Reason: controlstream.ReasonInternalError, Detail: err.Error()})
			return false
		}
		s.conn.SetWriteDeadline(p.Clock.Deadline(within))
		if _, err = s.conn.Write(buf); err != nil {
			reason := controlstream.ReasonConnectionLost
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				reason = controlstream.ReasonSlowReader
			}
			s.finish(&controlstream.CloseError{Reason: reason, Detail: err.Error()})
			return false
		}
		return true
	}
	greeted := false
	for {
		fired, stop := p.Clock.NewTimer(beat)
		select {
		case <-s.done:
			stop()
			for s.why.Reason == controlstream.ReasonShutdown && len(s.outbox) > 0 { // a release is among the last words
				if m := <-s.outbox; !put(m.kind, m.m) {
					break
				}
			}
			if s.why.Reason != controlstream.ReasonConnectionLost && s.why.Reason != controlstream.ReasonSlowReader {
				within = byeMs
				put(controlstream.FrameClose, &order.Bye{Reason: string(s.why.Reason)})
			}
			s.conn.Close()
			return
		case m := <-s.outbox:
			stop()
			greeted = true
			if !put(m.kind, m.m) {
				s.conn.Close()
				return
			}
		case <-fired:
			if greeted && !put(controlstream.FrameHeartbeat, nil) {
				s.conn.Close()
				return
			}
		}
	}
}

// publish lets others see what the planner thinks, a few times a second, or now.
func (p *Planner) publish(now bool) {
	c := p.core
	last := p.status.Load()
	if !now && last != nil && c.wall.UnixMilli()-last.AtUnixMs < 200 && c.wall.UnixMilli() >= last.AtUnixMs {
		return
	}
	s := &Status{
		Planner: p.Settings.Name, AtUnixMs: c.wall.UnixMilli(), Proxies: len(c.names), Streams: int(p.streams.Load()),
		Unverified: c.tracker.Unverified, Rejected: c.tracker.Rejected, Backlog: c.sendQueue.Backlog(), PeakBacklog: c.sendQueue.PeakBacklog(),
		Joins: c.Counts.Joins, Messages: c.Counts.Messages, Entries: c.Counts.Entries, LoadReports: c.Counts.LoadReports, Ignored: c.Counts.Ignored,
		Shed: c.Counts.Shed, Closes: map[controlstream.CloseReason]uint64{}, OrderMsP50: float64(c.OrderLatency.ValueAtQuantile(50)) / 1000,
		OrderMsP99: float64(c.OrderLatency.ValueAtQuantile(99)) / 1000, RejectedDials: p.refused.Load(),
	}
	if s.LeasesHeld = len(c.names); c.leases != nil {
		s.LeasesHeld, _ = c.leases.CountHeld()
		s.EpochReservations = c.Counts.EpochReservations
		s.Takeovers, s.Transferred, s.Expired, s.ClosedToLeases = c.leases.Takeovers, c.leases.Transferred, c.leases.Expired, !c.leases.Open()
	}
	s.Lagging, s.LagMs = c.lagging, c.lag
	s.Merged, s.Lost = p.coalesced.counts()
	s.Ready, s.Draining, s.Removed = c.tracker.CountByState()
	if s.MaxBacklog = s.PeakBacklog; last != nil {
		s.MaxBacklog = max(s.PeakBacklog, last.MaxBacklog)
	}
	for r, n := range c.Counts.Closes {
		s.Closes[r] = n
	}
	p.status.Store(s)
}

func (p *Planner) serveStatus(ctx context.Context, group *errgroup.Group) error {
	l, err := p.Network.Listen(ctx, p.Settings.Status)
	if err != nil {
		return fmt.Errorf("listening for status: %w", err)
	}
	registry := prometheus.NewRegistry()
	gauge := func(name, help string, of func(s *Status) float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "lichenpick_" + name, Help: help},
			func() float64 { return of(p.status.Load()) }))
	}
	gauge("proxies", "Proxies joined.", func(s *Status) float64 { return float64(s.Proxies) })
	gauge("commanded", "Proxies commanded.", func(s *Status) float64 { return float64(s.LeasesHeld) })
	gauge("takeovers", "Proxies taken over since the start.", func(s *Status) float64 { return float64(s.Takeovers) })
	gauge("streams", "Streams open.", func(s *Status) float64 { return float64(s.Streams) })
	gauge("servers_ready", "Servers listed ready.", func(s *Status) float64 { return float64(s.Ready) })
	gauge("servers_doubted", "Servers missing from the list and kept for now.", func(s *Status) float64 { return float64(s.Unverified) })
	gauge("lines_waiting", "Lines in the channel, heads included.", func(s *Status) float64 { return s.Backlog })
	gauge("messages_sent", "Messages of orders sent since the start.", func(s *Status) float64 { return float64(s.Messages) })
	gauge("lines_sent", "Lines of orders sent since the start.", func(s *Status) float64 { return float64(s.Entries) })
	gauge("sums_shed", "Lines of sums dropped as too many waited.", func(s *Status) float64 { return float64(s.Shed) })
	gauge("reports_merged", "Reports added to one of their stream's that waited.", func(s *Status) float64 { return float64(s.Merged) })
	gauge("lag_ms", "Time that the last report waited, ms.", func(s *Status) float64 { return s.LagMs })
	gauge("dials_refused", "Dials refused by address or number.", func(s *Status) float64 { return float64(s.RejectedDials) })
	gauge("order_ms_p50", "Time from a decision to its answer, median, ms.", func(s *Status) float64 { return s.OrderMsP50 })
	gauge("order_ms_p99", "The same, 99th percentile, ms.", func(s *Status) float64 { return s.OrderMsP99 })
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(p.status.Load())
	})
	mux.HandleFunc("POST /drain", func(w http.ResponseWriter, r *http.Request) {
		on := r.URL.Query().Get("on")
		if p.store == nil || on != "true" && on != "false" {
			http.Error(w, "wants ?on=true or ?on=false, at a planner that shares its fleet", http.StatusBadRequest)
			return
		}
		p.tell(r.Context(), func() { p.core.SetDraining(on == "true") })
	})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 2 * time.Second}
	group.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serving status: %w", err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return nil
}
