package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"lichenpick/internal/clock"
	"lichenpick/internal/orders"
	"lichenpick/internal/settings"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

// Headers of flows between clients, proxies and servers.
const (
	GroupHeader   = "Traffic-Group" // name of the flow's traffic group; none: the first
	FlowHeader    = "Flow-Id"       // the same for all tries of a flow
	TryHeader     = "Flow-Try"      // from 1, set by proxies
	ProxyHeader   = "Flow-Proxy"    // set by proxies
	RanHeader     = "Flow-Ran"      // "no" proves that a server did not begin
	OutcomeHeader = "Flow-Outcome"  // of answers that a proxy makes itself: blocked, bare, dropped, odd
)

const (
	mostBody   = 1 << 20 // bytes of a flow's body; it is held so that a further try can be made
	readBytes  = 16 << 10
	writeMs    = 2000.0 // ms a frame to a planner may take
	joinMs     = 2000.0 // ms until a planner's welcome
	stopWaitMs = 1000.0 // ms that flows in hand are given when the proxy ends
)

// Options are what a proxy runs on.
type Options struct {
	Settings *pb.Proxy
	Clock    clock.Clock
	Network  clock.Network
	Log      *slog.Logger
	Ready    func(addr net.Addr) // called once it listens; may be nil
}

// Proxy is a running proxy.
type Proxy struct {
	Options
	mu     sync.Mutex // of core and lines
	core   *Core
	lines  map[string]*http.Transport // to servers, by address
	from   netip.Addr
	groups map[string]int
	inHand atomic.Int64
	start  uint64
}

// New makes a proxy that is not running yet.
func New(o Options) *Proxy {
	p := &Proxy{Options: o, core: NewCore(o.Settings, o.Clock.Mono()), lines: map[string]*http.Transport{}, groups: map[string]int{}}
	p.from, _ = netip.ParseAddr(o.Settings.From)
	for n, g := range o.Settings.Groups {
		p.groups[g.Name] = n
	}
	p.start = uint64(o.Clock.Wall().UnixNano()) ^ rand.New(rand.NewSource(int64(o.Settings.GetSeed()))).Uint64()>>20
	return p
}

// Run serves clients until the context ends.
func (p *Proxy) Run(ctx context.Context) error {
	l, err := p.Network.Listen(ctx, p.Settings.Listen)
	if err != nil {
		return fmt.Errorf("listening for flows: %w", err)
	}
	server := &http.Server{Handler: p, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: settings.Duration(p.Settings.ConnectionIdle),
		ErrorLog: slog.NewLogLogger(p.Log.Handler(), slog.LevelDebug)}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serving flows: %w", err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(stopWaitMs)*time.Millisecond)
		defer cancel()
		if server.Shutdown(last) != nil {
			server.Close()
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, t := range p.lines {
			t.CloseIdleConnections()
		}
		return nil
	})
	group.Go(func() error { return p.follow(ctx) })
	p.Log.Info("proxy listens", "proxy", p.Settings.Name, "address", l.Addr())
	if p.Ready != nil {
		p.Ready(l.Addr())
	}
	return group.Wait()
}

// ServeHTTP takes a flow through admission, picks and tries.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.inHand.Add(1) > int64(p.Settings.GetMostFlows()) {
		p.inHand.Add(-1)
		p.refuse(w, "blocked", "too many flows in hand")
		return
	}
	defer p.inHand.Add(-1)
	group, known := p.groups[r.Header.Get(GroupHeader)]
	if !known && r.Header.Get(GroupHeader) != "" {
		w.Header().Set(OutcomeHeader, "odd")
		http.Error(w, fmt.Sprintf("no traffic group %q", r.Header.Get(GroupHeader)), http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostBody))
	if err != nil {
		w.Header().Set(OutcomeHeader, "odd")
		http.Error(w, "the body: "+err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	f, in := p.core.Admit(p.Clock.Mono(), group)
	p.mu.Unlock()
	if !in {
		p.refuse(w, "blocked", "not let in")
		return
	}
	for {
		p.mu.Lock()
		server, within, ok := p.core.Pick(p.Clock.Mono(), f)
		var line *http.Transport
		if ok {
			line = p.line(server)
		} else {
			p.core.GaveUp(f)
		}
		p.mu.Unlock()
		if !ok {
			p.refuse(w, "bare", "no server to pick")
			return
		}
		begun := p.Clock.Mono()
		answer, outcome := p.try(r, body, line, server, f.Tries, within)
		now := p.Clock.Mono()
		p.mu.Lock()
		again := p.core.Ended(now, f, server, outcome, now-begun)
		p.mu.Unlock()
		if again {
			continue
		}
		if answer == nil {
			w.Header().Set(OutcomeHeader, "dropped")
			http.Error(w, "the server gave no answer", http.StatusBadGateway)
			return
		}
		for k, v := range answer.header {
			w.Header()[k] = v
		}
		w.WriteHeader(answer.status)
		w.Write(answer.body)
		return
	}
}

func (p *Proxy) refuse(w http.ResponseWriter, outcome, why string) {
	wait := max(int(settings.Ms(p.Settings.RefuseWait)+999)/1000, 1)
	w.Header().Set("Retry-After", strconv.Itoa(wait))
	w.Header().Set(OutcomeHeader, outcome)
	http.Error(w, why, http.StatusServiceUnavailable)
}

// answer of a server, read whole: a connection that breaks halfway is a drop, not half an answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (p *Proxy) try(r *http.Request, body []byte, line *http.Transport, server string, try int, within float64) (*answer, Outcome) {
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(max(within, 1)*float64(time.Millisecond)))
	defer cancel()
	// The library repeats some requests by itself when a kept connection breaks under them, after which nobody knows
	// how often they ran. It may do so only while nothing was written.
	var wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { wrote.Store(true) },
		GotConn: func(httptrace.GotConnInfo) {
			if wrote.Load() {
				cancel()
			}
		}})
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+server+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, Unrun
	}
	out.Header = r.Header.Clone()
	for _, hop := range []string{"Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection"} {
		out.Header.Del(hop)
	}
	out.Header.Set(ProxyHeader, p.Settings.Name)
	out.Header.Set(TryHeader, strconv.Itoa(try))
	resp, err := line.RoundTrip(out)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" && !wrote.Load() { // a dial may be the library's second attempt
			return nil, Unrun
		}
		return nil, Dropped
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(io.LimitReader(resp.Body, mostBody))
	if err != nil {
		return nil, Dropped
	}
	a := &answer{resp.StatusCode, resp.Header, got}
	switch {
	case resp.StatusCode < 500:
		return a, Delivered
	case resp.Header.Get(RanHeader) == "no":
		return a, Unrun
	}
	return a, Dropped
}

// line gives the connections to a server. They dial once and do not wait beyond that: a full or dead server costs
// one short wait, after which proof is at hand that the flow never ran.
func (p *Proxy) line(server string) *http.Transport {
	t := p.lines[server]
	if t == nil {
		within := settings.Duration(p.Settings.ConnectWithin)
		t = &http.Transport{IdleConnTimeout: settings.Duration(p.Settings.ConnectionIdle), MaxIdleConnsPerHost: 64,
			DisableCompression: true, WriteBufferSize: 4 << 10, ReadBufferSize: 4 << 10,
			DialContext: func(ctx context.Context, _, to string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(ctx, within)
				defer cancel()
				conn, err := p.Network.Dial(ctx, p.from, to)
				if err != nil {
					err = &net.OpError{Op: "dial", Net: "tcp", Err: err}
				}
				return conn, err
			}}
		p.lines[server] = t
	}
	return t
}

// tidy closes connections to servers that no table holds any more.
func (p *Proxy) tidy() {
	for server, t := range p.lines {
		if !p.core.Held(server) && p.core.inHand[server] == 0 {
			t.CloseIdleConnections()
			delete(p.lines, server)
		}
	}
}

// follow keeps a stream to one planner at a time, and dials the next when it breaks.
func (p *Proxy) follow(ctx context.Context) error {
	wait := settings.Ms(p.Settings.Redial)
	chance := rand.New(rand.NewSource(int64(p.Settings.GetSeed()) + 1))
	told := ""
	for n, streams := 0, uint64(1); ctx.Err() == nil; streams++ {
		joined, err := p.stream(ctx, p.Settings.Planners[n%len(p.Settings.Planners)], streams)
		if ctx.Err() != nil {
			return nil
		}
		if cause := err.Error(); joined || cause != told { // not at each dial
			told = cause
			p.Log.Info("no planner; going by the tables at hand", "proxy", p.Settings.Name, "cause", err)
		}
		if !joined || errors.As(err, new(*orders.Ending)) {
			n++
		}
		if clock.Sleep(ctx, p.Clock, wait*(0.5+chance.Float64())) != nil {
			return nil
		}
	}
	return nil
}

// session is one stream to a planner.
type session struct {
	p      *Proxy
	joined bool
	answer []*order.Applied
}

func (s *session) Welcomed(w *order.Welcome) {
	s.joined = true
	s.p.mu.Lock()
	s.p.core.Welcomed(w)
	s.p.mu.Unlock()
	s.answer = append(s.answer, &order.Applied{})
}

func (s *session) Ordered(m *order.Orders) {
	s.p.mu.Lock()
	receipts := s.p.core.Ordered(m)
	s.p.tidy()
	s.p.mu.Unlock()
	s.answer = append(s.answer, &order.Applied{Number: m.Number, Receipts: receipts})
}

func (p *Proxy) stream(ctx context.Context, planner string, streams uint64) (joined bool, err error) {
	dialling, cancel := context.WithTimeout(ctx, time.Duration(joinMs)*time.Millisecond)
	conn, err := p.Network.Dial(dialling, p.from, planner)
	cancel()
	if err != nil {
		return false, err
	}
	defer conn.Close()
	end := orders.NewProxyEnd(orders.Limits{FrameBytes: int(p.Settings.GetFrameBytes()), JoinWithin: joinMs,
		SilentAfter: settings.Ms(p.Settings.SilentAfter)}, p.Clock.Mono())
	p.mu.Lock()
	join := &order.Join{Proxy: p.Settings.Name, Zone: p.Settings.Zone, UsualPerS: settings.PerS(p.Settings.Usual), Incarnation: p.start,
		Stream: streams, Standing: !p.core.bound, Holds: p.core.Holds(), Groups: uint32(len(p.Settings.Groups))}
	p.mu.Unlock()
	var writing sync.Mutex
	put := func(kind orders.Kind, m proto.Message) error {
		writing.Lock()
		defer writing.Unlock()
		frame, err := end.Append(nil, kind, m)
		if err != nil {
			return err
		}
		conn.SetWriteDeadline(p.Clock.Deadline(writeMs))
		_, err = conn.Write(frame)
		return err
	}
	if err := put(orders.Join, join); err != nil {
		return false, err
	}
	streaming, stop := context.WithCancel(ctx)
	var reports sync.WaitGroup
	defer func() {
		stop()
		conn.Close()
		reports.Wait()
	}()
	defer context.AfterFunc(ctx, func() {
		put(orders.Bye, &order.Bye{Reason: "the proxy ends"})
		conn.Close()
	})()
	s := &session{p: p}
	buf := make([]byte, readBytes)
	for {
		conn.SetReadDeadline(p.Clock.Deadline(max(end.Due()-p.Clock.Mono(), 1)))
		n, err := conn.Read(buf)
		end.Feed(p.Clock.Mono(), buf[:n])
		was := s.joined
		for end.Next(s) {
		}
		if s.joined && !was {
			reports.Add(1)
			go func() {
				defer reports.Done()
				p.report(streaming, put)
			}()
		}
		for _, a := range s.answer {
			if err := put(orders.Applied, a); err != nil {
				return s.joined, err
			}
		}
		s.answer = s.answer[:0]
		var timeout net.Error
		switch {
		case end.Ended() != nil:
			return s.joined, end.Ended()
		case err != nil && !(errors.As(err, &timeout) && timeout.Timeout()):
			return s.joined, err
		}
	}
}

// report sends sums as long as the stream lasts. They start at a moment drawn by the proxy's seed, as all proxies
// would otherwise report at once after a planner's restart.
func (p *Proxy) report(ctx context.Context, put func(orders.Kind, proto.Message) error) {
	every := settings.Ms(p.Settings.ReportEvery)
	wait := every * rand.New(rand.NewSource(int64(p.start))).Float64()
	for clock.Sleep(ctx, p.Clock, wait) == nil {
		wait = every
		p.mu.Lock()
		m := p.core.Sums(p.Clock.Mono())
		p.mu.Unlock()
		if put(orders.Sums, m) != nil {
			return
		}
	}
}
