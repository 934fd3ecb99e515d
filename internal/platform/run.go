package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lichenpick/brain"
	"lichenpick/internal/clock"
)

const (
	readBytes  = 2048      // bytes of a connection's buffer; messages are short
	mostUnsent = 256 << 10 // bytes that a proxy may leave unread here; far more than its messages of a minute
	spare      = 24        // descriptors that are not connections': list, log, the runtime's
	countsMs   = 10000.0   // ms between lines of counts in the log
	traceMs    = 1000.0    // ms between traces
	rereadMs   = 200.0     // ms until a configuration that could not be used is read again
	mostReads  = 5         // times that this is done after a SIGHUP
	panicMs    = 100.0     // ms of rest after a fault, so that one that lasts does not spin
	lastMs     = 500.0     // ms that the last words to a connection may take
	acceptMs   = 5.0       // ms of rest after a failed accept
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

// shell connects the core to its connections. The lock is the core's: whoever holds it calls the core.
type shell struct {
	Options
	mu     sync.Mutex
	core   *Core
	stir   chan struct{} // news for the one who decides
	due    float64       // when to decide next without news
	origin float64       // Unix ms at Mono 0
	room   int           // connections that fit
}

// stream is a connection with what waits to be written to it. Its fields are under the shell's lock.
type stream struct {
	net.Conn
	conn    Conn
	unsent  []byte
	writing bool // a goroutine is at it
	closing bool // when all is written
}

// Run serves until the context ends.
func Run(ctx context.Context, o Options) error {
	s := &shell{Options: o, stir: make(chan struct{}, 1), room: 1 << 20,
		origin: float64(o.Clock.Wall().UnixMicro())/1000 - o.Clock.Mono()}
	if o.Config.Sockets > 0 {
		s.room = max(o.Config.Sockets-spare, 8)
	}
	s.core = NewCore(o.Config.Site, o.Config.Seed, s.now())
	s.core.Doubt = func(what string) { s.Log.Debug("message not heard", "why", what) }
	s.core.Listed(brain.Restored, o.Config.Known)
	l, err := o.Network.Listen(ctx, o.Config.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	o.Log.Info("serving", "name", o.Config.Name, "at", l.Addr(), "discovery", o.Config.Discovery, "servers", len(o.Config.Known),
		"proxies", o.Config.Site.Module.Proxies, "cores", o.Config.Cores, "memory_mb", o.Config.MemoryMB, "sockets", o.Config.Sockets)
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
	g.Go(func() error { s.decide(ctx); return nil })
	g.Go(func() error { s.accept(ctx, l); return nil })
	err = g.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.core.conns {
		k.Out.(*stream).Close()
	}
	return err
}

func (s *shell) now() float64 { return s.origin + s.Clock.Mono() }

// with calls the core with its lock held. A fault in it is logged and costs what was at hand.
func (s *shell) with(call func()) (ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() {
		if r := recover(); r != nil {
			s.Log.Error("fault", "what", r, "stack", string(debug.Stack()))
			ok = false
		}
	}()
	s.core.Tick(s.now())
	call()
	return true
}

func (s *shell) stirred() {
	select {
	case s.stir <- struct{}{}:
	default:
	}
}

// decide carries out what the core decides, after news and when it asked for. What comes within the settings' period
// is looked at together.
func (s *shell) decide(ctx context.Context) {
	counts, traced := s.now(), s.now()
	for ctx.Err() == nil {
		ok := s.with(func() {
			for s.core.Next(s) {
			}
			if now := s.now(); s.Trace != nil && now-traced >= traceMs {
				traced = now
				fmt.Fprintf(s.Trace, "trace at=%.3f\n", now/1000)
				s.core.View(s.Trace)
			}
			if now := s.now(); now-counts >= countsMs {
				counts = now
				s.Log.Info("counts", "open", s.core.Open(), "joined", len(s.core.order), "counts", fmt.Sprintf("%+v", s.core.Counts))
			}
		})
		rest := s.Config.Site.PeriodMs
		if !ok {
			rest = panicMs
		}
		if clock.Sleep(ctx, s.Clock, rest) != nil {
			return
		}
		s.mu.Lock()
		wait := s.due - s.now()
		s.mu.Unlock()
		fired, stop := s.Clock.After(wait)
		select {
		case <-fired:
		case <-s.stir:
		case <-ctx.Done():
		}
		stop()
	}
}

// follow keeps to discovery, and to its new address when the configuration is replaced.
func (s *shell) follow(ctx context.Context) {
	a := &agent{clock: s.Clock, network: s.Network, log: s.Log, follow: follower{zones: s.Config.Site.Zones, version: s.Config.Version,
		whole: s.Config.Version == 0}, deliver: func(form brain.ListForm, list []brain.Entry) {
		s.with(func() { s.core.Listed(form, list) })
		s.stirred()
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
				tries = mostReads
			case <-again:
			case <-ctx.Done():
				continue
			}
			again = nil
			next, err := s.Reload()
			if err != nil {
				s.Log.Error("the new configuration is refused; the old one stays", "why", err, "tries left", tries)
				if tries--; tries >= 0 {
					again, _ = s.Clock.After(rereadMs)
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

func (s *shell) accept(ctx context.Context, l net.Listener) {
	for ctx.Err() == nil {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				s.Log.Warn("accept", "trouble", err)
				s.with(func() { s.core.Shed(s) })
			}
			clock.Sleep(ctx, s.Clock, acceptMs)
			continue
		}
		t := &stream{Conn: conn}
		t.conn.Out = t
		taken := s.with(func() {
			for s.core.Open() >= s.room && s.core.Shed(s) {
			}
			if s.core.Open() < s.room {
				s.core.Opened(&t.conn)
			} else {
				t.closing = true
			}
		})
		if !taken || t.closing {
			conn.Close()
			continue
		}
		go s.read(t)
	}
}

// read hands the core what comes until the connection ends.
func (s *shell) read(t *stream) {
	defer t.Close()
	buf := make([]byte, readBytes)
	for {
		n, err := t.Read(buf)
		ended := false
		ok := s.with(func() {
			if n > 0 {
				s.core.Fed(&t.conn, buf[:n])
			}
			if err != nil {
				s.core.Lost(&t.conn)
			}
			ended = t.conn.ended
		})
		s.stirred()
		if !ok { // its bytes brought the core to a fault
			s.with(func() { s.core.Lost(&t.conn) })
			return
		}
		if err != nil || ended {
			if err != nil && !errors.Is(err, io.EOF) {
				s.Log.Debug("connection", "ended", err)
			}
			return
		}
	}
}

// The core's decisions; the lock is held.

func (s *shell) Send(c *Conn, message []byte) {
	t := c.Out.(*stream)
	if t.closing {
		return
	}
	if len(t.unsent)+len(message) > mostUnsent {
		s.core.Lost(c)
		s.End(c, "reads nothing")
		return
	}
	t.unsent = append(t.unsent, message...)
	if !t.writing {
		t.writing = true
		go s.write(t)
	}
}

// write writes all that waits for a connection, and then ends it where that is asked for.
func (s *shell) write(t *stream) {
	for {
		s.mu.Lock()
		out := slices.Clip(t.unsent)
		t.unsent = nil
		if len(out) == 0 {
			t.writing = false
			closing := t.closing
			s.mu.Unlock()
			if closing {
				t.Close()
			}
			return
		}
		s.mu.Unlock()
		if _, err := t.Write(out); err != nil {
			t.Close() // the reader tells the core
		}
	}
}

func (s *shell) End(c *Conn, why string) {
	t := c.Out.(*stream)
	s.Log.Debug("connection ended here", "why", why, "joined", !c.Unjoined())
	if t.closing = true; !t.writing {
		t.Close()
		return
	}
	t.SetWriteDeadline(s.Clock.Deadline(lastMs)) // a peer that reads nothing does not keep it open
}

func (s *shell) Wake(at float64) { s.due = at }
