package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lichenpick/internal/clock"
	"lichenpick/policy"
)

const (
	readBytes      = 2048      // bytes of a connection's buffer; messages are short
	maxUnsentBytes = 256 << 10 // bytes that a proxy may leave unread here; far more than its messages of a minute
	unsentPart     = 8         // all of them together may leave unread this part of the memory
	partialPart    = 16        // and messages that do not end may fill this one
	memoryMB       = 1024      // taken where the configuration states no limit
	spare          = 24        // descriptors that are not connections': list, log, the runtime's, and lingers
	maxLingering   = 8         // connections that may be open for their last words beside those that fit
	countsMs       = 10000.0   // ms between lines of counts in the log
	traceMs        = 1000.0    // ms between traces
	rereadMs       = 200.0     // ms until a configuration that could not be used is read again
	maxReads       = 5         // times that this is done after a SIGHUP
	panicMs        = 100.0     // ms of rest after a fault, so that one that lasts does not spin
	maxFaults      = 10        // looks in a row that end in a fault, until the program does
	lastMs         = 300.0     // ms that the last words to a connection may take; SIGKILL follows SIGTERM after 700
	acceptMs       = 5.0       // ms of rest after a failed accept
)

// Options are what Run is handed.
type Options struct {
	Config  Config
	Reload  func() (Config, error) // reads the configuration again
	Hangup  <-chan struct{}        // a wish for that
	Clock   clock.Clock
	Network clock.Network
	Log     *slog.Logger
	Ready   func(net.Addr) // may be nil
	Trace   io.Writer      // is told each second what the module believes and what came off the sockets; may be nil
}

// serverRuntime connects the core to its connections. The lock is the core's: whoever holds it calls the core.
type serverRuntime struct {
	Options
	mu     sync.Mutex
	core   *Core
	wake   chan struct{} // news for the one who decides
	due    float64       // when to decide next without news
	origin float64       // Unix ms at Mono 0
	room   int           // connections that fit
	tasks  sync.WaitGroup
	faults int // looks in a row

	streams            map[*stream]bool // whose descriptors are open
	lingering          []*stream        // of these, ended by us with something still to be written; oldest first
	unsent, mostUnsent int              // bytes that wait for all of them
}

// stream is a connection with what waits to be written to it. Its fields are under the shell's lock.
type stream struct {
	net.Conn
	conn    Connection
	unsent  []byte
	out     int  // bytes that are being written
	writing bool // a goroutine is at it
	closing bool // when all is written
}

// Run serves until the context ends, and returns when nothing of it runs any more. What is owed then is written first.
func Run(ctx context.Context, o Options) error {
	s := newRuntime(o)
	l, err := o.Network.Listen(ctx, o.Config.Listen)
	if ctx.Err() != nil { // told to end before it began: no failure
		if err == nil {
			l.Close()
		}
		return nil
	}
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	o.Log.Info("serving", "name", o.Config.Name, "at", l.Addr(), "discovery", o.Config.Discovery, "servers", len(o.Config.KnownEndpoints),
		"proxies", o.Config.Settings.Policy.Proxies, "cores", o.Config.Cores, "memory_mb", o.Config.MemoryMB, "sockets", o.Config.Sockets)
	if o.Ready != nil {
		o.Ready(l.Addr())
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		l.Close()
		return nil
	})
	g.Go(func() error { s.follow(ctx); return nil })
	g.Go(func() error { return s.decide(ctx) })
	g.Go(func() error { s.accept(ctx, l); return nil })
	err = g.Wait()
	s.end()
	return err
}

func newRuntime(o Options) *serverRuntime {
	memory := o.Config.MemoryMB
	if memory <= 0 {
		memory = memoryMB
	}
	s := &serverRuntime{
		Options: o, wake: make(chan struct{}, 1), room: 1 << 20, streams: map[*stream]bool{},
		mostUnsent: max(memory<<20/unsentPart, maxUnsentBytes),
		origin:     float64(o.Clock.WallTime().UnixMicro())/1000 - o.Clock.Monotonic(),
	}
	if o.Config.Sockets > 0 {
		s.room = max(o.Config.Sockets-spare, 8)
	}
	s.core = NewCore(o.Config.Settings, o.Config.Seed, s.now())
	s.core.MaxPartialBytes = max(memory<<20/partialPart, maxLineBytes)
	s.core.OnReject = func(what string) { s.Log.Debug("message not heard", "why", what) }
	s.core.UpdateEndpoints(policy.RestoredUpdate, o.Config.KnownEndpoints)
	return s
}

// end gives each connection what it is owed, closes it, and waits for all that reads and writes.
func (s *serverRuntime) end() {
	s.with(func() { s.core.Close(s) })
	s.mu.Lock()
	for t := range s.streams {
		if t.closing = true; !t.writing { // a fault may have kept it from the core's end
			s.drop(t)
		} else {
			t.SetWriteDeadline(s.Clock.Deadline(lastMs))
		}
	}
	s.mu.Unlock()
	s.tasks.Wait()
}

func (s *serverRuntime) now() float64 { return s.origin + s.Clock.Monotonic() }

// with calls the core with its lock held. A fault in it is logged and costs what was at hand: an input that brings one
// is lost with its connection, a decision is not made again, as the module takes it off its list before it acts. What is
// half changed by then is one proxy's or one server's, and the next solve writes all tables anew. Faults that come at
// every look leave a planner that answers and orders nothing: decide then ends the program, to be started from nothing.
func (s *serverRuntime) with(call func()) (ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() {
		if r := recover(); r != nil {
			s.Log.Error("fault", "what", r, "stack", string(debug.Stack()))
			ok = false
		}
	}()
	s.core.SetTime(s.now())
	call()
	return true
}

func (s *serverRuntime) dirty() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// decide carries out what the core decides, after news and when it asked for. What comes within the settings' period
// is looked at together.
func (s *serverRuntime) decide(ctx context.Context) error {
	counts, traced := s.now(), s.now()
	for ctx.Err() == nil {
		ok := s.with(func() {
			for s.core.Next(s) {
			}
			if now := s.now(); s.Trace != nil && now-traced >= traceMs {
				traced = now
				fmt.Fprintf(s.Trace, "trace at=%.3f\n", now/1000)
				s.core.WriteState(s.Trace)
			}
			if now := s.now(); now-counts >= countsMs {
				counts = now
				s.Log.Info("counts", "open", s.core.OpenConnections(), "joined", len(s.core.order), "counts", fmt.Sprintf("%+v", s.core.Counts))
			}
		})
		rest := s.Config.Settings.EvaluationIntervalMs
		if s.faults++; ok {
			s.faults = 0
		} else if rest = panicMs; s.faults >= maxFaults {
			return fmt.Errorf("%d looks in a row ended in a fault; nothing is ordered any more", s.faults)
		}
		if clock.Sleep(ctx, s.Clock, rest) != nil {
			break
		}
		s.mu.Lock()
		wait := s.due - s.now()
		s.mu.Unlock()
		fired, stop := s.Clock.NewTimer(wait)
		select {
		case <-fired:
		case <-s.wake:
		case <-ctx.Done():
		}
		stop()
	}
	return nil
}

// follow keeps to discovery, and to its new address when the configuration is replaced.
func (s *serverRuntime) follow(ctx context.Context) {
	a := &agent{clock: s.Clock, network: s.Network, log: s.Log, follow: follower{
		zones: s.Config.Settings.Zones, version: s.Config.KnownVersion,
		whole: s.Config.KnownVersion == 0,
	}, deliver: func(form policy.UpdateKind, list []policy.Endpoint) {
		s.with(func() { s.core.UpdateEndpoints(form, list) })
		s.dirty()
	}}
	for at := s.Config.Discovery; ctx.Err() == nil; {
		here, stop := context.WithCancel(ctx)
		var done sync.WaitGroup
		done.Go(func() { a.run(here, at) })
		var again <-chan time.Time // a file may have been read while it was written
		tries := 0
		for moved := false; !moved && ctx.Err() == nil; {
			select {
			case <-s.Hangup:
				tries = maxReads
			case <-again:
			case <-ctx.Done():
				continue
			}
			again = nil
			next, err := s.Reload()
			if err != nil {
				s.Log.Error("the new configuration is refused; the old one stays", "why", err, "tries left", tries)
				if tries--; tries >= 0 {
					again, _ = s.Clock.NewTimer(rereadMs)
				}
				continue
			}
			moved = next.Discovery != at
			at = next.Discovery
			s.Log.Info("configuration read again", "discovery", at)
		}
		stop()
		done.Wait()
	}
}

func (s *serverRuntime) accept(ctx context.Context, l net.Listener) {
	for ctx.Err() == nil {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				s.Log.Warn("accept", "trouble", err)
				s.with(func() { s.core.ShedConnection(s) })
			}
			clock.Sleep(ctx, s.Clock, acceptMs)
			continue
		}
		t := &stream{Conn: conn}
		t.conn.Transport = t
		taken := false
		s.with(func() {
			for s.full() && s.core.ShedConnection(s) {
			}
			if !s.full() {
				taken, s.streams[t] = true, true
				s.core.HandleConnect(&t.conn)
			}
		})
		if !taken {
			conn.Close()
			continue
		}
		s.tasks.Go(func() { s.read(t) })
	}
}

// full says whether there is no room for one more connection. Those that linger give way first.
func (s *serverRuntime) full() bool {
	for len(s.lingering) > maxLingering {
		s.drop(s.lingering[0])
	}
	return len(s.streams)-len(s.lingering) >= s.room
}

// drop closes a connection, whatever waits for it. The lock is held.
func (s *serverRuntime) drop(t *stream) {
	if s.streams[t] {
		delete(s.streams, t)
		s.lingering = without(s.lingering, t)
		s.unsent -= len(t.unsent) + t.out
		t.unsent, t.out, t.closing = nil, 0, true
		t.Close()
	}
}

// read hands the core what comes until the connection ends. What comes after the core has ended it is read and not heard:
// with bytes unread a close is a reset, which takes the last words back.
func (s *serverRuntime) read(t *stream) {
	buf := make([]byte, readBytes)
	for {
		n, err := t.Read(buf)
		ok := s.with(func() {
			if n > 0 {
				s.core.HandleData(&t.conn, buf[:n])
			}
			if errors.Is(err, io.EOF) {
				s.core.HandleHalfClose(&t.conn)
			} else if err != nil {
				s.core.HandleDisconnect(&t.conn)
				s.drop(t)
			}
		})
		if !ok { // its bytes brought the core to a fault
			s.with(func() { s.drop(t); s.core.HandleDisconnect(&t.conn) })
			return
		}
		s.dirty()
		if err != nil {
			if !errors.Is(err, io.EOF) {
				s.Log.Debug("connection", "ended", err)
			}
			return
		}
	}
}

// The core's decisions; the lock is held.

func (s *serverRuntime) Send(c *Connection, message []byte) {
	t := c.Transport.(*stream)
	if t.closing {
		return
	}
	t.unsent = append(t.unsent, message...)
	if s.unsent += len(message); len(t.unsent)+t.out > maxUnsentBytes {
		s.unread(t)
		return
	}
	for s.unsent > s.mostUnsent { // each within its own bound, but too much together
		var most *stream
		for x := range s.streams {
			if most == nil || len(x.unsent)+x.out > len(most.unsent)+most.out {
				most = x
			}
		}
		s.unread(most)
	}
	if !t.closing && !t.writing {
		t.writing = true
		s.tasks.Go(func() { s.write(t) })
	}
}

// unread ends a connection that leaves unread what it is sent.
func (s *serverRuntime) unread(t *stream) {
	s.Log.Debug("connection ended here", "why", "reads nothing", "joined", !t.conn.Unauthenticated())
	s.core.HandleDisconnect(&t.conn)
	s.drop(t)
}

// write writes all that waits for a connection, and then ends it where that is asked for.
func (s *serverRuntime) write(t *stream) {
	for {
		s.mu.Lock()
		s.unsent -= t.out
		out := t.unsent
		t.unsent, t.out = nil, len(out)
		if len(out) == 0 {
			if t.writing = false; t.closing {
				s.drop(t)
			}
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if _, err := t.Write(out); err != nil {
			s.mu.Lock()
			t.writing = false
			s.drop(t) // the reader tells the core
			s.mu.Unlock()
			return
		}
	}
}

func (s *serverRuntime) CloseConnection(c *Connection, why string) {
	t := c.Transport.(*stream)
	s.Log.Debug("connection ended here", "why", why, "joined", !c.Unauthenticated())
	if t.closing = true; !t.writing || !s.streams[t] { // full must find only open ones among those that linger
		s.drop(t)
		return
	}
	s.lingering = append(s.lingering, t)
	t.SetWriteDeadline(s.Clock.Deadline(lastMs)) // a peer that reads nothing does not keep it open
}

func (s *serverRuntime) SetTimer(at float64) { s.due = at }
