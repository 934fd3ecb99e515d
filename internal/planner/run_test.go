package planner

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/clock"
	"lichenpick/internal/controlstream"
	"lichenpick/internal/discovery"
	"lichenpick/policy"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

// pushed is a list source that a test pushes to.
type pushed chan discovery.Update

func (p pushed) Run(ctx context.Context, deliver func(discovery.Update)) error {
	for {
		select {
		case u := <-p:
			deliver(u)
		case <-ctx.Done():
			return nil
		}
	}
}

// stepped is the machine's clock with a date that can be set.
type stepped struct {
	*clock.Real
	by atomic.Int64
}

func (s *stepped) WallTime() time.Time { return s.Real.WallTime().Add(time.Duration(s.by.Load())) }

type rig struct {
	t      *testing.T
	at     string
	source pushed
	clock  *stepped
	log    *lines
	stop   func() error // ends the planner, and gives what Run returned
	last   *Status
}

// lines keeps log lines.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) count(s string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), s)
}

func launch(t *testing.T, set *pb.Planner, decider Decider, servers int) *rig {
	t.Helper()
	r := &rig{t: t, source: make(pushed, 100), clock: &stepped{Real: clock.NewReal()}, log: &lines{}}
	ctx, cancel := context.WithCancel(context.Background())
	ready, done := make(chan string, 1), make(chan error, 1)
	go func() {
		done <- Run(ctx, Options{
			Settings: set, Clock: r.clock, Network: clock.TCP{}, Source: r.source, Decider: decider,
			Log: slog.New(slog.NewTextHandler(r.log, nil)), Ready: func(a net.Addr) { ready <- a.String() },
			Status: func(s *Status) { r.last = s },
		})
	}()
	var once sync.Once
	var err error
	r.stop = func() error {
		once.Do(func() {
			cancel()
			select {
			case err = <-done:
			case <-time.After(10 * time.Second):
				t.Fatal("the planner does not end")
			}
		})
		return err
	}
	t.Cleanup(func() { r.stop() })
	r.at = <-ready
	if servers > 0 {
		r.source <- listed(servers)
	}
	return r
}

// party is a proxy's end of a stream, without the proxy.
type party struct {
	controlstream.SingleController
	r        *rig
	conn     net.Conn
	end      *controlstream.ProxySession
	writing  sync.Mutex
	mu       sync.Mutex
	messages []*order.Orders
	welcomed bool
	why      *controlstream.CloseError
	over     chan struct{}
	pause    atomic.Bool // reads no more
}

func (p *party) OnWelcome(*order.Welcome) {
	p.mu.Lock()
	p.welcomed = true
	p.mu.Unlock()
	p.put(controlstream.FrameAck, &order.Applied{})
}

func (p *party) OnOrders(m *order.Orders) {
	p.mu.Lock()
	p.messages = append(p.messages, m)
	p.mu.Unlock()
	a := &order.Applied{Number: m.Number}
	for _, o := range m.Orders {
		if x, ok := o.What.(*order.Order_Receipt); ok {
			a.Receipts = append(a.Receipts, x.Receipt)
		}
	}
	p.put(controlstream.FrameAck, a)
}

func (p *party) put(kind controlstream.FrameKind, m proto.Message) {
	p.writing.Lock()
	defer p.writing.Unlock()
	if frame, err := p.end.Append(nil, kind, m); err == nil {
		p.conn.Write(frame)
	}
}

// dial opens a stream and joins, unless the name is empty.
func (r *rig) dial(name string, incarnation, streams uint64) *party {
	r.t.Helper()
	conn, err := clock.TCP{}.Dial(r.t.Context(), netip.MustParseAddr("127.1.0.9"), r.at)
	if err != nil {
		r.t.Fatal(err)
	}
	p := &party{r: r, conn: conn, over: make(chan struct{}), end: controlstream.NewProxySession(controlstream.Limits{MaxFrameBytes: 1 << 20, HandshakeTimeoutMs: 60000, HeartbeatTimeoutMs: 60000}, 0)}
	r.t.Cleanup(func() { conn.Close() })
	if name != "" {
		p.put(controlstream.FrameJoin, &order.Join{Proxy: name, UsualPerS: 10, Incarnation: incarnation, Stream: streams, Groups: 2})
	}
	go func() {
		defer close(p.over)
		buf := make([]byte, 8192)
		for {
			n, err := conn.Read(buf)
			for p.pause.Load() {
				time.Sleep(5 * time.Millisecond)
			}
			p.end.Feed(0, buf[:n])
			for p.end.Next(p) {
			}
			if p.end.CloseCause() != nil || err != nil {
				p.mu.Lock()
				p.why = p.end.CloseCause()
				p.mu.Unlock()
				return
			}
		}
	}()
	return p
}

func (p *party) has(is func(*order.Order) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.messages {
		for _, o := range m.Orders {
			if is(o) {
				return true
			}
		}
	}
	return false
}

// until waits for something that must come within a time, far over what it takes.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for begun := time.Now(); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Since(begun) > 20*time.Second {
			t.Fatalf("not seen: %s", what)
		}
	}
}

func (p *party) ended(reason controlstream.CloseReason) func() bool {
	return func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.why != nil && p.why.Reason == controlstream.ReasonPeerClosed && p.why.Detail == string(reason)
	}
}

func TestRun(t *testing.T) {
	t.Run("200 proxies join within 100 ms", func(t *testing.T) {
		t.Parallel()
		r := launch(t, planned(t, "proxies: 200 channel { lines: \"5000/s\" }"), nil, 10)
		var all []*party
		for n := range 200 {
			all = append(all, r.dial(fmt.Sprint("x", n), 1, 1))
		}
		for _, p := range all {
			until(t, "a table", func() bool { return p.has(bound) })
		}
		r.stop()
		if r.last.MaxBacklog > 3500 || r.last.Joins != 200 || len(r.last.Closes) != 0 {
			t.Errorf("%+v", r.last)
		}
	})
	// Each odd peer has one end, told once in the log and counted; a sound proxy beside it goes on.
	for name, c := range map[string]struct {
		say    []byte
		reason controlstream.CloseReason
	}{
		"garbage":       {[]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), controlstream.ReasonBadMagic},
		"half a frame":  {frame(t, controlstream.FrameJoin, &order.Join{Proxy: "y"})[:15], controlstream.ReasonJoinTimeout},
		"nothing":       {nil, controlstream.ReasonJoinTimeout},
		"another zone":  {frame(t, controlstream.FrameJoin, &order.Join{Proxy: "y", Zone: "mars", Groups: 2}), controlstream.ReasonUnknownPeer},
		"sums unasked":  {frame(t, controlstream.FrameLoadReport, &order.Sums{}), controlstream.ReasonUnexpectedFrame},
		"a huge claim":  {[]byte{'L', 'P', 1, 1, 0xff, 0xff, 0xff, 0xff}, controlstream.ReasonBadSize},
		"a joined name": {frame(t, controlstream.FrameJoin, &order.Join{Proxy: "sound", Incarnation: 9, Groups: 2}), controlstream.ReasonNameInUse},
		"a hang-up":     {frame(t, controlstream.FrameClose, &order.Bye{Reason: "never mind"}), controlstream.ReasonPeerClosed},
	} {
		t.Run("an odd peer: "+name, func(t *testing.T) {
			t.Parallel()
			r := launch(t, planned(t, `proxies: 4 streams { join_within: "300ms" }`), nil, 4)
			sound := r.dial("sound", 1, 1)
			until(t, "a table", func() bool { return sound.has(bound) })
			odd := r.dial("", 0, 0)
			odd.conn.Write(c.say)
			<-odd.over
			until(t, "a line in the log", func() bool {
				return r.log.count("reason=\""+string(c.reason)+"\"")+r.log.count("reason="+string(c.reason)+" ") == 1
			})
			select {
			case <-sound.over:
				t.Error("the sound proxy lost its stream")
			default:
			}
			r.stop()
			if r.last.Closes[c.reason] != 1 {
				t.Errorf("%v", r.last.Closes)
			}
		})
	}
	t.Run("a proxy that stops reading while its server drains loses its stream within the grace", func(t *testing.T) {
		t.Parallel()
		r := launch(t, planned(t, "proxies: 4"), nil, 4)
		stuck, sound := r.dial("stuck", 1, 1), r.dial("sound", 1, 1)
		until(t, "tables", func() bool { return stuck.has(bound) && sound.has(bound) })
		time.Sleep(1000 * time.Millisecond)
		stuck.pause.Store(true)
		told := time.Now()
		r.source <- state("s0", policy.Draining)
		until(t, "the drain", func() bool { return sound.has(out("s0")) })
		until(t, "the end of the stuck stream", func() bool { return r.log.count("reason=answer") == 1 })
		if took := time.Since(told); took > 3*time.Second {
			t.Errorf("after %v; the grace is 3 s", took)
		}
		stuck.pause.Store(false)
		<-stuck.over
	})
	t.Run("a proxy that dials again replaces its half-open stream", func(t *testing.T) {
		t.Parallel()
		r := launch(t, planned(t, "proxies: 4"), nil, 4)
		first := r.dial("x", 7, 1)
		until(t, "a table", func() bool { return first.has(bound) })
		second := r.dial("x", 7, 2)
		until(t, "a table", func() bool { return second.has(bound) })
		until(t, "the end of the first", first.ended(controlstream.ReasonSuperseded))
	})
	t.Run("a date that is stepped by an hour and back changes nothing", func(t *testing.T) {
		t.Parallel()
		r := launch(t, planned(t, "proxies: 4"), nil, 0)
		born := func(asOf uint64) discovery.Update {
			u := listed(4)
			u.AsOfMs = asOf
			for n := range u.Endpoints {
				u.Endpoints[n].StartedUnixMs = 1e12 - 1e8
			}
			return u
		}
		r.source <- born(1e12)
		p := r.dial("x", 1, 1)
		until(t, "a table", func() bool { return p.has(bound) })
		r.clock.by.Store(int64(time.Hour))
		r.source <- born(1e12 + 3600e3)
		time.Sleep(700 * time.Millisecond)
		r.clock.by.Store(-int64(time.Hour))
		r.source <- born(1e12 - 3600e3)
		time.Sleep(700 * time.Millisecond)
		if p.has(func(o *order.Order) bool { return o.GetWithdraw() != nil }) {
			t.Error("a server was withdrawn")
		}
		r.stop()
		if len(r.last.Closes) != 0 || r.last.Ready != 4 {
			t.Errorf("%+v", r.last)
		}
	})
	t.Run("told to stop amid joins and reports it ends at once, with a word to its proxies", func(t *testing.T) {
		t.Parallel()
		r := launch(t, planned(t, "proxies: 100"), nil, 10)
		var all []*party
		for n := range 50 {
			p := r.dial(fmt.Sprint("x", n), 1, 1)
			all = append(all, p)
			go func() {
				for range 200 {
					p.put(controlstream.FrameLoadReport, &order.Sums{CoversMs: 5, Servers: []*order.ServerSum{{Server: "s1", Tries: 9, LatencyMs: 3}}})
				}
			}()
		}
		until(t, "some tables", func() bool { return all[0].has(bound) })
		if err := r.stop(); err != nil {
			t.Error(err)
		}
		for n, p := range all {
			<-p.over
			p.mu.Lock()
			if p.why != nil && (p.why.Reason != controlstream.ReasonPeerClosed || p.why.Detail != string(controlstream.ReasonShutdown)) {
				t.Errorf("stream %d: %v", n, p.why)
			}
			p.mu.Unlock()
		}
	})
	t.Run("a module that fails ends its planner with an error and the last inputs", func(t *testing.T) {
		t.Parallel()
		set := planned(t, "proxies: 4")
		set.Dump = filepath.Join(t.TempDir(), "dump")
		r := launch(t, set, failing{NewPolicy(set)}, 4)
		r.dial("x", 1, 1)
		until(t, "the failure", func() bool { return r.log.count("core failed") > 0 })
		if err := r.stop(); err == nil || !strings.Contains(err.Error(), "odd") {
			t.Errorf("%v", err)
		}
		if text, err := readAll(set.Dump); err != nil || !strings.Contains(text, "join proxy:\"x\"") {
			t.Errorf("%v, %.300s", err, text)
		}
	})
	t.Run("a planner that starts again begins from its kept list", func(t *testing.T) {
		t.Parallel()
		set := planned(t, "proxies: 4")
		set.List.Keep = filepath.Join(t.TempDir(), "kept")
		r := launch(t, set, nil, 4)
		p := r.dial("x", 1, 1)
		until(t, "a table", func() bool { return p.has(bound) })
		until(t, "the kept list", func() bool { _, err := readAll(set.List.Keep); return err == nil })
		r.stop()
		again := launch(t, set, nil, 0) // the source is silent
		q := again.dial("x", 1, 2)
		until(t, "a table without a list", func() bool { return q.has(bound) })
	})
}

// failing is a module that fails when a proxy joins.
type failing struct{ Decider }

func (failing) AddProxy(int, int, float64, ...float64) { panic("odd") }

func readAll(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer f.Close()
	b, err := io.ReadAll(f)
	return string(b), err
}

func frame(t *testing.T, kind controlstream.FrameKind, m proto.Message) []byte {
	b, err := controlstream.AppendFrame(nil, kind, 1, m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// stalling is a module that stands still while it is told to, and counts what it hears.
type stalling struct {
	Decider
	gate  sync.Mutex // held while it stands still
	heard atomic.Int64
	said  chan bool
}

func (m *stalling) SetTime(now float64) {
	m.gate.Lock()
	m.gate.Unlock() //nolint:staticcheck // SA2001: waits until the gate is open, guards nothing
	m.Decider.SetTime(now)
}

func (m *stalling) RecordReport(server string, zone, count, failed int, latency, covers float64) {
	m.heard.Add(int64(count))
	m.Decider.RecordReport(server, zone, count, failed, latency, covers)
}

func (m *stalling) SetLagging(on bool) {
	m.said <- on
	m.Decider.SetLagging(on)
}

// A core that stands still for two seconds under reports without end. Guards against readers that wait for it, as proxies would
// end their streams and dial anew together, and against a queue that grows: each stream may leave one report, and no try is lost.
func TestStalledCore(t *testing.T) {
	t.Parallel()
	const proxies, reports = 8, 1500
	set := planned(t, `reports { every: "100ms" intake: "100000/s" } streams { silent_after: "20s" }`)
	m := &stalling{Decider: NewPolicy(set), said: make(chan bool, 100)}
	r := launch(t, set, m, 6)
	var all []*party
	for n := range proxies {
		p := r.dial(fmt.Sprint("x", n), 1, 1)
		until(t, "a table", func() bool { return p.has(bound) })
		all = append(all, p)
	}
	m.gate.Lock()
	var sending sync.WaitGroup
	for _, p := range all {
		sending.Add(1)
		go func() {
			defer sending.Done()
			for range reports {
				p.put(controlstream.FrameLoadReport, &order.Sums{CoversMs: 1, Servers: []*order.ServerSum{{Server: "s1", Tries: 2, LatencyMs: 30}}})
			}
		}()
	}
	sending.Wait() // it ends although nobody takes anything
	clock.Sleep(t.Context(), r.clock, 2000)
	m.gate.Unlock()
	until(t, "every try", func() bool { return m.heard.Load() == 2*proxies*reports })
	if on, off := <-m.said, <-m.said; !on || off {
		t.Errorf("behind %v, then %v", on, off)
	}
	r.stop()
	if r.last.Merged < proxies*reports/2 || r.last.Lost != 0 || len(r.last.Closes) != 0 {
		t.Errorf("%+v", r.last)
	}
}
