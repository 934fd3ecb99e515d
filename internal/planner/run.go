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
	batchMost  = 512     // inputs taken in before the core decides; so many take a few ms
	sumsMost   = 256     // and reports; what else came goes first
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
	core    *Core
	inbox   chan func()
	streams atomic.Int64
	accepts atomic.Uint64
	refused atomic.Uint64
	allow   *bart.Table[struct{}]
	lim     controlstream.Limits
	store   *store.Store // nil: nothing is shared
	marks   chan uint64  // to be written down
	ripe    ripe
	wakeAt  float64
	kept    float64 // when the list was last written down
	status  atomic.Pointer[Status]
}

// Status is what a planner thinks of itself, as last published by its core.
type Status struct {
	Planner                      string
	AtUnixMs                     int64
	Proxies, Streams             int
	Ready, Draining, Gone        int
	Doubted, Refused             int
	LinesWaiting, LinesPeak      float64 // now, and the most since the last status
	LinesMost                    float64 // since the start
	Joins, Messages, Lines, Sums uint64
	Unheard, Shed                uint64
	Behind                       bool    // reports wait too long: tidy work rests
	LagMs                        float64 // that the last report waited
	Merged, Lost                 uint64  // reports added to one that waited; servers left out of them
	Commanded                    int     // proxies, where several controllers share a fleet
	Takeovers, Handed, Expired   int
	Marks                        uint64 // writes to the store
	Claimless                    bool   // not open to claims: drained, or its store cannot be written
	Endings                      map[controlstream.Reason]uint64
	OrderMsP50, OrderMsP99       float64
	RefusedDials                 uint64
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
		Options: o, inbox: make(chan func(), inboxSize), ripe: ripe{signal: make(chan struct{}, 1)}, allow: &bart.Table[struct{}]{},
		lim: controlstream.Limits{
			FrameBytes: int(set.Streams.GetFrameBytes()), JoinWithin: settings.Ms(set.Streams.JoinWithin),
			SilentAfter: settings.Ms(set.Streams.SilentAfter),
		},
	}
	for _, a := range set.Allow {
		p.allow.Insert(netip.MustParsePrefix(a).Masked(), struct{}{})
	}
	wall := o.Clock.Wall()
	if o.Decider == nil {
		o.Decider = NewModule(set)
	}
	p.core = NewCore(set, o.Decider, incarnation(), o.Clock.Mono())
	if set.Sharing != nil { // without its store a controller must not command
		if p.store, err = store.Open(set.Sharing.Store, set.Name); err != nil {
			return fmt.Errorf("sharing refused: %w", err)
		}
		defer p.store.Close()
		p.core.Share(p.store.Mark())
	}
	p.publish(true)
	if path := set.List.Keep; path != "" {
		u, found, err := discovery.Restore(path, uint64(wall.UnixMilli()))
		if err != nil {
			o.Log.Warn("the kept list cannot be used; starting without", "error", err)
		} else if found {
			p.core.Listed(u)
			o.Log.Info("starting from the kept list", "servers", len(u.Entries))
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
			if u.Trouble != "" {
				o.Log.Warn("the list failed; the last one stands", "cause", u.Trouble)
			}
			p.tell(ctx, func() { p.core.Listed(u) })
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
		fired, stop := p.Clock.After(p.wakeAt - p.Clock.Mono())
		var first func()
		select {
		case <-ctx.Done():
			stop()
			p.publish(true)
			p.farewell()
			return nil
		case first = <-p.inbox:
		case <-p.ripe.signal:
		case <-fired:
		}
		stop()
		p.core.Tick(p.Clock.Mono(), p.Clock.Wall())
		if first != nil {
			first()
		}
	batch:
		for range batchMost {
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
	for range sumsMost {
		s, m, since := p.ripe.take()
		if s == nil {
			p.core.Lagged(lag)
			return
		}
		lag = max(lag, p.Clock.Mono()-since)
		p.core.Summed(s.core, m)
	}
	p.core.Lagged(lag)
	select {
	case p.ripe.signal <- struct{}{}:
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
	p.core.Dump(f)
	f.Close()
}

// keepList writes the list down, at most once a second: a restart may begin from it.
func (p *Planner) keepList() {
	path, now := p.Settings.List.Keep, p.Clock.Mono()
	if path == "" || !p.core.listChanged || now-p.kept < 1000 {
		return
	}
	p.core.listChanged, p.kept = false, now
	if err := discovery.Save(path, p.core.memory.Kept(uint64(p.Clock.Wall().UnixMilli()))); err != nil {
		p.Log.Warn("the list cannot be kept", "error", err)
	}
}

// farewell tells all proxies that this planner ends; they keep what they hold and dial elsewhere.
func (p *Planner) farewell() {
	for _, q := range p.core.peers {
		if q != nil {
			if q.commanded && p.core.share != nil { // another may take it at once
				p.Send(q.stream, controlstream.Release, &order.Release{Epoch: q.epoch})
			}
			p.End(q.stream, &controlstream.Ending{Reason: controlstream.Stopping})
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
			err := p.store.Reserve(mark)
			if err != nil && err.Error() != failed {
				p.Log.Error("the store cannot be written; nothing new is claimed", "error", err)
				failed = err.Error()
			} else if err == nil {
				failed = ""
			}
			p.tell(ctx, func() { p.core.Reserved(mark, err) })
		}
	}
}

// Reserve has a mark written down; there is one under way at a time.
func (p *Planner) Reserve(upTo uint64) { p.marks <- upTo }

// Wake, Send and End carry out the core's decisions, in its goroutine.
func (p *Planner) Wake(at float64) { p.wakeAt = at }

func (p *Planner) Send(s *Stream, kind controlstream.Kind, m proto.Message) {
	out := s.Out.(*stream)
	select {
	case out.outbox <- outgoing{kind, m}:
	default: // it must not wait: one slow proxy would hold up all others
		p.End(s, &controlstream.Ending{Reason: controlstream.SlowReader, Detail: fmt.Sprintf("%d frames wait", outboxSize)})
	}
}

func (p *Planner) End(s *Stream, why *controlstream.Ending) {
	out := s.Out.(*stream)
	out.finish(why)
}

type outgoing struct {
	kind controlstream.Kind
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
	why    *controlstream.Ending
	report report // that the core has not taken yet; guarded by the queue's lock
}

// finish ends a stream for a reason; the first one counts.
func (s *stream) finish(why *controlstream.Ending) {
	s.once.Do(func() {
		s.why = why
		close(s.done)
	})
}

func (p *Planner) accept(ctx context.Context, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { l.Close() })()
	per := settings.PerS(p.Settings.Streams.Accepts)
	pace := rate.NewLimiter(rate.Limit(per), max(int(per/10), 1))
	joins := rate.NewLimiter(rate.Limit(per*behindJoins), 1)
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
		for p.status.Load().Behind && ctx.Err() == nil && !joins.Allow() { // drains and what is joined pass first
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
	s.core.Out = s
	end := controlstream.NewPlannerEnd(p.lim, p.Clock.Mono())
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
		fired, _ := p.Clock.After(byeMs) // the core's farewell comes first, if it still can
		<-fired
		s.finish(&controlstream.Ending{Reason: controlstream.Stopping})
	})
	both.Wait()
	stop()
	conn.Close()
	level := slog.LevelInfo
	if s.why.Reason != controlstream.Left && s.why.Reason != controlstream.Lost && s.why.Reason != controlstream.Stopping {
		level = slog.LevelWarn
	}
	p.Log.Log(ctx, level, "stream ended", "proxy", s.name, "from", from, "reason", s.why.Reason, "detail", s.why.Detail)
	p.tell(ctx, func() { p.core.Lost(s.core, s.why) })
}

// reader passes what a proxy says to the core.
type reader struct {
	p   *Planner
	s   *stream
	ctx context.Context
	ok  bool
}

func (r *reader) Joined(m *order.Join) {
	r.s.name = m.Proxy
	r.ok = r.p.tell(r.ctx, func() { r.p.core.Joined(r.s.core, m) })
}

func (r *reader) Summed(m *order.Sums) {
	r.p.ripe.add(r.s, m, r.p.Clock.Mono())
}

func (r *reader) Leased(m *order.Lease) {
	r.ok = r.p.tell(r.ctx, func() { r.p.core.Leased(r.s.core, m) })
}

func (r *reader) Answered(m *order.Applied) {
	r.ok = r.p.tell(r.ctx, func() { r.p.core.Answered(r.s.core, m) })
}

func (p *Planner) read(ctx context.Context, s *stream, end *controlstream.PlannerEnd) {
	go func() { // unblocks the read when the stream is finished elsewhere
		<-s.done
		s.conn.SetReadDeadline(time.Unix(1, 0))
	}()
	buf := make([]byte, readBytes)
	r := &reader{p: p, s: s, ctx: ctx, ok: true}
	for {
		s.conn.SetReadDeadline(p.Clock.Deadline(max(end.Due()-p.Clock.Mono(), 1)))
		select {
		case <-s.done:
			return
		default:
		}
		n, err := s.conn.Read(buf)
		end.Feed(p.Clock.Mono(), buf[:n])
		for r.ok && end.Next(r) {
		}
		var timeout net.Error
		switch {
		case end.Ended() != nil:
			s.finish(end.Ended())
		case !r.ok:
			s.finish(&controlstream.Ending{Reason: controlstream.Stopping})
		case errors.As(err, &timeout) && timeout.Timeout():
			// Due has been reached by Next, or the stream is done.
		case err != nil:
			s.finish(&controlstream.Ending{Reason: controlstream.Lost, Detail: err.Error()})
		}
		if n > 0 {
			p.tell(ctx, func() { p.core.Beat(s.core) })
		}
	}
}

// write sends frames, and a beat while there is nothing else, so that a proxy knows that it has a planner.
func (p *Planner) write(s *stream, end *controlstream.PlannerEnd) {
	within := settings.Ms(p.Settings.Streams.WriteWithin)
	beat := p.lim.SilentAfter / 4
	if p.store != nil { // proxies tell each other's controllers who lives
		beat = min(beat, lease.BeatMs)
	}
	var buf []byte
	put := func(kind controlstream.Kind, m proto.Message) bool {
		var err error
		if buf, err = end.Append(buf[:0], kind, m); err != nil {
			s.finish(&controlstream.Ending{Reason: controlstream.Fault, Detail: err.Error()})
			return false
		}
		s.conn.SetWriteDeadline(p.Clock.Deadline(within))
		if _, err = s.conn.Write(buf); err != nil {
			reason := controlstream.Lost
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				reason = controlstream.SlowReader
			}
			s.finish(&controlstream.Ending{Reason: reason, Detail: err.Error()})
			return false
		}
		return true
	}
	greeted := false
	for {
		fired, stop := p.Clock.After(beat)
		select {
		case <-s.done:
			stop()
			for s.why.Reason == controlstream.Stopping && len(s.outbox) > 0 { // a release is among the last words
				if m := <-s.outbox; !put(m.kind, m.m) {
					break
				}
			}
			if s.why.Reason != controlstream.Lost && s.why.Reason != controlstream.SlowReader {
				within = byeMs
				put(controlstream.Bye, &order.Bye{Reason: string(s.why.Reason)})
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
			if greeted && !put(controlstream.Beat, nil) {
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
		Doubted: c.memory.Doubted, Refused: c.memory.Refused, LinesWaiting: c.channel.Waiting(), LinesPeak: c.channel.Peak(),
		Joins: c.Counts.Joins, Messages: c.Counts.Messages, Lines: c.Counts.Lines, Sums: c.Counts.Sums, Unheard: c.Counts.Unheard,
		Shed: c.Counts.Shed, Endings: map[controlstream.Reason]uint64{}, OrderMsP50: float64(c.Order.ValueAtQuantile(50)) / 1000,
		OrderMsP99: float64(c.Order.ValueAtQuantile(99)) / 1000, RefusedDials: p.refused.Load(),
	}
	if s.Commanded = len(c.names); c.share != nil {
		s.Commanded, _ = c.share.Held()
		s.Marks = c.Counts.Marks
		s.Takeovers, s.Handed, s.Expired, s.Claimless = c.share.Takeovers, c.share.Handed, c.share.Expired, !c.share.Open()
	}
	s.Behind, s.LagMs = c.behind, c.lag
	s.Merged, s.Lost = p.ripe.counts()
	s.Ready, s.Draining, s.Gone = c.memory.Servers()
	if s.LinesMost = s.LinesPeak; last != nil {
		s.LinesMost = max(s.LinesPeak, last.LinesMost)
	}
	for r, n := range c.Counts.Endings {
		s.Endings[r] = n
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
	gauge("commanded", "Proxies commanded.", func(s *Status) float64 { return float64(s.Commanded) })
	gauge("takeovers", "Proxies taken over since the start.", func(s *Status) float64 { return float64(s.Takeovers) })
	gauge("streams", "Streams open.", func(s *Status) float64 { return float64(s.Streams) })
	gauge("servers_ready", "Servers listed ready.", func(s *Status) float64 { return float64(s.Ready) })
	gauge("servers_doubted", "Servers missing from the list and kept for now.", func(s *Status) float64 { return float64(s.Doubted) })
	gauge("lines_waiting", "Lines in the channel, heads included.", func(s *Status) float64 { return s.LinesWaiting })
	gauge("messages_sent", "Messages of orders sent since the start.", func(s *Status) float64 { return float64(s.Messages) })
	gauge("lines_sent", "Lines of orders sent since the start.", func(s *Status) float64 { return float64(s.Lines) })
	gauge("sums_shed", "Lines of sums dropped as too many waited.", func(s *Status) float64 { return float64(s.Shed) })
	gauge("reports_merged", "Reports added to one of their stream's that waited.", func(s *Status) float64 { return float64(s.Merged) })
	gauge("lag_ms", "Time that the last report waited, ms.", func(s *Status) float64 { return s.LagMs })
	gauge("dials_refused", "Dials refused by address or number.", func(s *Status) float64 { return float64(s.RefusedDials) })
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
		p.tell(r.Context(), func() { p.core.Drain(on == "true") })
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
