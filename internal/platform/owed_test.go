package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"reflect"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lichenpick/internal/clock"
)

// Stories of what ends something while something is still owed, on loopback sockets, with the crossing forced.

// hooked is an accepted connection with a test's hands on it; what is nil goes to the socket.
type hooked struct {
	net.Conn
	read, write func(b []byte) (int, error)
	deadline    func() // a limit was set to what is written
}

func (h *hooked) Read(b []byte) (int, error) {
	if h.read != nil {
		return h.read(b)
	}
	return h.Conn.Read(b)
}

func (h *hooked) Write(b []byte) (int, error) {
	if h.write != nil {
		return h.write(b)
	}
	return h.Conn.Write(b)
}

func (h *hooked) SetWriteDeadline(at time.Time) error {
	if h.deadline != nil {
		h.deadline()
	}
	return h.Conn.SetWriteDeadline(at)
}

// hooks is a network whose accepted connections a test sees first.
type hooks struct {
	clock.TCP
	accepted func(*hooked)
}

type hookedListener struct {
	net.Listener
	hooks
}

func (n hooks) Listen(ctx context.Context, at string) (net.Listener, error) {
	l, err := n.TCP.Listen(ctx, at)
	return hookedListener{l, n}, err
}

func (l hookedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	h := &hooked{Conn: c}
	l.accepted(h)
	return h, nil
}

// pace is the machine's clock with time that goes faster, and deadlines that come later or sooner by a factor.
type pace struct {
	*clock.Real
	mono, deadline float64
}

func (p pace) Monotonic() float64            { return p.mono * p.Real.Monotonic() }
func (p pace) Deadline(ms float64) time.Time { return p.Real.Deadline(ms * p.deadline) }

func (p pace) NewTimer(ms float64) (<-chan time.Time, func()) { return p.Real.NewTimer(ms / p.mono) }

// wait and rest are for what may not happen, or happens by itself; no verdict on sound code hangs on their length.
func wait(ms float64) <-chan time.Time {
	fired, _ := clock.NewReal().NewTimer(ms)
	return fired
}

func rest() { <-wait(1) }

// remainder is what a process holds: goroutines of this package's program, and descriptors.
type remainder struct {
	t           *testing.T
	beside      bool // another planner runs in this process; its own comparison is for both
	descriptors int
}

// methodsOf is how a stack trace names the methods of a pointer to T. It is taken from the type, as the check for remaining
// goroutines would hold of itself where a name were out of date.
func methodsOf[T any]() string { return "platform.(*" + reflect.TypeFor[T]().Name() + ")." }

var runtimeMethods = methodsOf[serverRuntime]()

func count(t *testing.T) (running string, descriptors int) {
	buf := make([]byte, 1<<20)
	for _, g := range strings.Split(string(buf[:runtime.Stack(buf, true)]), "\n\n") {
		if strings.Contains(g, runtimeMethods) || strings.Contains(g, methodsOf[discoveryClient]()) || strings.Contains(g, reflect.TypeFor[progressConn]().String()) {
			running += g + "\n\n"
		}
	}
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("no /proc here")
	}
	return running, len(all)
}

// planners are those that a test has started and not yet compared.
var planners atomic.Int64

func remains(t *testing.T) *remainder {
	_, n := count(t)
	return &remainder{t, planners.Add(1) > 1, n}
}

// compare holds that no goroutine of the shell runs at all once Run has returned; net/http's own may take a moment
// longer to close theirs.
func (r *remainder) compare() {
	if planners.Add(-1); r.beside {
		return
	}
	running, n := count(r.t)
	if strings.Contains(running, runtimeMethods) {
		r.t.Errorf("Run returned and left:\n%s", running)
	}
	for now := clock.NewReal(); (running != "" || n > r.descriptors) && now.Monotonic() < 10000; rest() {
		running, n = count(r.t)
	}
	if running != "" || n > r.descriptors {
		r.t.Errorf("%d descriptors, %d before; left:\n%s", n, r.descriptors, running)
	}
}

// later is a clock whose limits do not bind while a test holds something back.
func later() clock.Clock { return pace{clock.NewReal(), 1, 100} }

func TestTheProgramIsToldToEnd(t *testing.T) {
	t.Run("an order that is half written is written whole, then the stream ends", func(t *testing.T) {
		c := newCatalog(t, list(9, true, "s-1:ready"))
		half, release, limited, once := make(chan bool), make(chan bool), make(chan bool, 64), sync.Once{}
		d := serveWith(t, config(c.at(), 64), func(o *Options) {
			o.Clock = later()
			o.Network = hooks{accepted: func(h *hooked) {
				h.deadline = func() { limited <- true }
				h.write = func(b []byte) (n int, err error) {
					once.Do(func() {
						n, _ = h.Conn.Write(b[:len(b)/2])
						close(half)
						<-release
					})
					m, err := h.Conn.Write(b[n:])
					return n + m, err
				}
			}}
		})
		a := d.dial("joined id=1 site=a rps=10 new=1\r\n")
		<-half
		d.stop()
		select {
		case err := <-d.done:
			t.Errorf("it ended with %v while an order was half written", err)
			d.done <- err
		case <-limited:
		}
		close(release)
		text := a.closed()
		if !strings.Contains(text, "replace=1") || !strings.HasSuffix(text, "\r\n") {
			t.Errorf("half an order: %q", text)
		}
	})
	t.Run("a connection accepted and not read is closed with a word, and its reader is waited for", func(t *testing.T) {
		c := newCatalog(t, list(9, true, "s-1:ready"))
		reading, release := make(chan bool), make(chan bool)
		d := serveWith(t, config(c.at(), 64), func(o *Options) {
			o.Clock = later()
			o.Network = hooks{accepted: func(h *hooked) {
				h.read = func(b []byte) (int, error) {
					close(reading)
					<-release
					return 0, net.ErrClosed
				}
			}}
		})
		a := d.dial("ping\r\n")
		<-reading
		d.stop()
		if text := a.closed(); text != "refused\r\n" && text != "" { // the unread ping may make a reset of the close
			t.Errorf("told %q", text)
		}
		select {
		case err := <-d.done:
			t.Errorf("it ended with %v before its reader did", err)
			d.done <- err
		case <-wait(100): // for a fault to show; nothing is waited for where there is none
		}
		close(release)
	})
	t.Run("a peer that reads nothing does not keep it", func(t *testing.T) {
		c := newCatalog(t, list(9, true, "s-1:ready"))
		stuck := make(chan bool, 1)
		d := serveWith(t, config(c.at(), 64), func(o *Options) {
			o.Network = hooks{accepted: func(h *hooked) {
				h.write = func(b []byte) (int, error) { // as a socket whose buffer is full
					stuck <- true
					zeros := make([]byte, 1<<16)
					for {
						if _, err := h.Conn.Write(zeros); err != nil {
							return 0, err
						}
					}
				}
			}}
		})
		d.dial("joined id=1 site=a rps=10 new=1\r\n")
		<-stuck
		d.stop() // and the test's end waits for it
	})
	t.Run("before it listens, it ends without a fault", func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		stop()
		path := t.TempDir() + "/c.json"
		os.WriteFile(path, []byte(config("127.0.0.1:1", 64)), 0o600)
		cfg, err := ReadConfig(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := Run(ctx, Options{Config: cfg, Clock: clock.NewReal(), Network: clock.TCP{}, Log: slog.New(slog.DiscardHandler)}); err != nil {
			t.Error(err)
		}
	})
}

func TestStreamsEndWithSomethingOwed(t *testing.T) {
	t.Run("a stream is replaced while an order to the old one is unsent: the new one is served at once", func(t *testing.T) {
		c := newCatalog(t, list(9, true, "s-1:ready"))
		held, release, first := make(chan bool), make(chan bool), atomic.Bool{}
		d := serveWith(t, config(c.at(), 64), func(o *Options) {
			o.Clock = later()
			o.Network = hooks{accepted: func(h *hooked) {
				if first.CompareAndSwap(false, true) {
					h.write = func(b []byte) (int, error) {
						close(held)
						<-release
						h.write = nil
						return h.Conn.Write(b)
					}
				}
			}}
		})
		old := d.dial("joined id=1 site=a rps=10 new=1\r\n")
		<-held
		next := d.dial("joined id=1 site=a rps=10 new=0\r\n")
		next.until("replace=1")
		close(release)
		old.closed()
		next.say("ping\r\n")
		next.until(wirePong)
	})
	t.Run("a stream cut inside a message is a leaving, and half a message is not heard", func(t *testing.T) {
		c := newCatalog(t, list(9, true, "s-1:ready"))
		d := serve(t, config(c.at(), 64))
		for _, end := range []func(*peer){
			func(p *peer) { p.Close() },
			func(p *peer) { p.Conn.(*net.TCPConn).SetLinger(0); p.Close() },
			func(p *peer) { p.Conn.(*net.TCPConn).CloseWrite(); p.closed() },
		} {
			a := d.dial("joined id=1 site=a rps=10 new=1\r\nusage id=1 lane=lookup count=5")
			a.until("replace=1")
			end(a)
			b := d.dial("joined id=1 site=a rps=10 new=0\r\n")
			b.until("replace=1")
			b.say("usage id=1 lane=lookup count=5 fail=0 over=1000.0\r\nping\r\n")
			b.until(wirePong)
			b.Close()
		}
	})
	t.Run("a stream cut inside an order: the next one gets its table whole", func(t *testing.T) {
		c := newCatalog(t, list(9, true, "s-1:ready"))
		once := sync.Once{}
		d := serveWith(t, config(c.at(), 64), func(o *Options) {
			o.Network = hooks{accepted: func(h *hooked) {
				h.write = func(b []byte) (n int, err error) {
					once.Do(func() {
						n, _ = h.Conn.Write(b[:len(b)/2])
						h.Close()
						err = net.ErrClosed
					})
					if err != nil {
						return n, err
					}
					return h.Conn.Write(b)
				}
			}}
		})
		a := d.dial("joined id=1 site=a rps=10 new=1\r\n")
		a.closed()
		b := d.dial("joined id=1 site=a rps=10 new=1\r\n")
		line, err := b.r.ReadString('\n')
		if err != nil || !strings.HasPrefix(line, wireUpdate+" ") || !strings.Contains(line, "replace=1") {
			t.Errorf("%q, %v", line, err)
		}
	})
	t.Run("a peer that says no more but reads has its pong", func(t *testing.T) {
		c := newCatalog(t, list(9, true, "s-1:ready"))
		ended := make(chan bool)
		d := serveWith(t, config(c.at(), 64), func(o *Options) {
			o.Network = hooks{accepted: func(h *hooked) {
				h.read = func(b []byte) (int, error) { // the ping and the end in one read
					<-ended
					n, err := io.ReadFull(h.Conn, b[:len("ping\r\n")])
					if err == nil {
						err = io.EOF
					}
					return n, err
				}
			}}
		})
		a := d.dial("ping\r\n")
		a.Conn.(*net.TCPConn).CloseWrite()
		close(ended)
		if text := a.closed(); text != "pong\r\n" {
			t.Errorf("told %q", text)
		}
	})
	t.Run("who is refused hears of it, whatever it goes on sending", func(t *testing.T) {
		c := newCatalog(t, list(9, true, "s-1:ready"))
		held, release, more := make(chan bool), make(chan bool), make(chan bool)
		d := serveWith(t, config(c.at(), 64), func(o *Options) {
			o.Clock = later()
			o.Network = hooks{accepted: func(h *hooked) {
				reads := 0
				h.read = func(b []byte) (int, error) {
					if reads++; reads == 3 { // the second read's bytes have been handed to a core that has ended it
						close(more)
					}
					return h.Conn.Read(b)
				}
				h.write = func(b []byte) (int, error) {
					close(held)
					<-release
					return h.Conn.Write(b)
				}
			}}
		})
		a := d.dial("ping\r\nGET / HTTP/1.1\r\n")
		<-held
		a.say("Host: x\r\n")
		select {
		case <-more:
		case <-wait(1000): // for a fault to show
		}
		close(release)
		if text := a.closed(); text != "pong\r\nrefused\r\n" {
			t.Errorf("told %q", text)
		}
	})
	t.Run("messages in single bytes, and several in one read", func(t *testing.T) {
		c := newCatalog(t, list(9, true, "s-1:ready"))
		d := serveWith(t, config(c.at(), 64), func(o *Options) {
			o.Network = hooks{accepted: func(h *hooked) {
				h.read = func(b []byte) (int, error) { return h.Conn.Read(b[:1]) }
			}}
		})
		a := d.dial("joined id=1 site=a rps=10 new=1\r\nping\r\n")
		a.untilAll(wirePong, "replace=1")
		e := serve(t, config(c.at(), 64))
		long := "heard site=a target=s-1 count=2 fail=1 mean=1 over=1000.0 util=" + strings.TrimSuffix(strings.Repeat("inflight:7,", 100), ",")
		b := e.dial("collector site=a\r\n" + long + "\r\n" + long + "\r\nping\r\n")
		b.until(wirePong)
	})
	t.Run("a proxy is closed for room with a mark unanswered; it comes back, and its late answer hurts nobody", func(t *testing.T) {
		c := newCatalog(t, list(9, true, "s-1:ready"))
		d := serveWith(t, config(c.at(), 32), func(o *Options) { // room for 8
			o.Clock = pace{clock.NewReal(), 5, 1}
		})
		a := d.dial("joined id=0 site=a rps=10 new=1\r\n")
		a.until(" stamp=")
		var rest []*peer
		for id := 1; id < 8; id++ {
			p := d.dial(fmt.Sprintf("joined id=%d site=a rps=10 new=1\r\n", id))
			p.until("replace=1")
			rest = append(rest, p)
		}
		talk, quiet := make(chan bool), sync.WaitGroup{}
		for id, p := range rest { // these answer nothing either, but are alive
			quiet.Go(func() {
				for {
					select {
					case <-talk:
						return
					case <-wait(20):
						fmt.Fprintf(p, "usage id=%d lane=lookup count=1 fail=0 over=1000.0\r\n", id+1)
					}
				}
			})
		}
		defer quiet.Wait()
		defer close(talk)
		gone := make(chan bool)
		go func() { io.Copy(io.Discard, a.r); close(gone) }()
		for open := true; open; { // until there is room for one: closed, or refused at once
			select {
			case <-gone:
				open = false
			default:
				x, err := net.Dial("tcp", d.at)
				if err != nil {
					t.Fatal(err)
				}
				x.SetDeadline(clock.NewReal().Deadline(30000))
				io.Copy(io.Discard, x)
				x.Close()
			}
		}
		b := d.dial("joined id=0 site=a rps=10 new=0\r\napplied id=0 seq=1 ms=9000.0\r\n")
		b.until("replace=1")
		b.say("ping\r\n")
		b.until(wirePong)
	})
}

func TestDiscoveryEndsWithSomethingOwed(t *testing.T) {
	four := list(9, true, "s-1:ready", "s-2:ready", "s-3:ready", "s-4:ready")
	t.Run("a watch that falls silent late is asked anew from what is known", func(t *testing.T) {
		c := newCatalog(t, four)
		d := serveWith(t, config(c.at(), 64), func(o *Options) { o.Clock = pace{clock.NewReal(), 1, 0.05} })
		<-c.opened
		a := d.dial("joined id=1 site=a rps=10 new=1\r\n")
		a.until("replace=1")
		for version, server := range []string{"s-2", "s-3"} {
			c.writes <- list(10+version, false, server+":draining")
			a.until(server)
			<-c.opened // silence alone
		}
		for _, q := range c.queries()[1:] {
			if q == "" {
				t.Errorf("the whole list was asked for: %q", c.queries())
			}
		}
	})
	t.Run("a line that comes byte by byte without end is no sign of life", func(t *testing.T) {
		c := newCatalog(t, four)
		serveWith(t, config(c.at(), 64), func(o *Options) { o.Clock = pace{clock.NewReal(), 20, 0.05} }) // 130 ms of silence, 250 a line
		<-c.opened
		for n := range 150 {
			select {
			case c.writes <- " ":
			case <-c.opened:
				return
			}
			<-wait(10)
			if n == 149 {
				t.Error("it was waited for all the while")
			}
		}
	})
	t.Run("a whole list without the server that drained ends it for all", func(t *testing.T) {
		c := newCatalog(t, list(20, true, "s-1:ready", "s-3:ready", "s-4:ready"))
		d := serve(t, config(c.at(), 64))
		<-c.opened
		a := d.dial("joined id=1 site=a rps=10 new=1\r\n")
		a.until("replace=1")
		c.writes <- "rubbish\n"
		a.until("drop=s-2")
	})
	t.Run("a whole list that ends early or is over the bound changes nothing", func(t *testing.T) {
		text := list(20, true, "s-1:ready")
		c := newCatalog(t, text[:len(text)/2])
		d := serve(t, config(c.at(), 64))
		<-c.opened
		a := d.dial("joined id=1 site=a rps=10 new=1\r\n")
		a.until("replace=1")
		c.writes <- "rubbish\n"
		for len(c.queries()) < 4 { // it asks again and again
			rest()
		}
		c.mu.Lock()
		c.whole = list(20, true, "s-1:ready") + strings.Repeat(" ", maxEndpointListBytes)
		asked := len(c.asked)
		c.mu.Unlock()
		for len(c.queries()) < asked+2 {
			rest()
		}
		c.mu.Lock()
		c.whole = list(21, true, "s-1:ready", "s-2:ready", "s-3:ready", "s-4:draining")
		c.mu.Unlock()
		<-c.opened
		line := ""
		for !strings.Contains(line, "drop=") {
			var err error
			if line, err = a.r.ReadString('\n'); err != nil {
				t.Fatal(err)
			}
			a.say("ping\r\n")
		}
		if !strings.Contains(line, "drop=s-4") || strings.Contains(line, "s-2") || strings.Contains(line, "s-3") {
			t.Errorf("told %q", line)
		}
	})
	t.Run("discovery moves while the old address is half way through a drain", func(t *testing.T) {
		c, next := newCatalog(t, four), newCatalog(t, four)
		d := serve(t, config(c.at(), 64))
		<-c.opened
		a := d.dial("joined id=1 site=a rps=10 new=1\r\n")
		a.until("replace=1")
		c.writes <- list(12, false, "s-2:draining")
		a.until("s-2")
		drain := list(13, false, "s-3:draining")
		c.writes <- drain[:len(drain)/2]
		d.write(config(next.at(), 64))
		d.hangup <- syscall.SIGHUP
		<-next.opened
		if q := next.queries()[0]; q != "follow=1&since=12" {
			t.Errorf("asked for %q", q)
		}
		next.writes <- drain
		a.until("s-3")
	})
	t.Run("a second signal while a configuration is read again, and the third finds it whole", func(t *testing.T) {
		c, next := newCatalog(t, four), newCatalog(t, four)
		var reads atomic.Int64
		second := make(chan bool)
		d := serveWith(t, config(c.at(), 64), func(o *Options) {
			whole := o.Reload
			o.Reload = func() (Config, error) {
				if n := reads.Add(1); n < 3 {
					if n == 2 {
						close(second)
					}
					return Config{}, errors.New("half written")
				}
				return whole()
			}
		})
		<-c.opened
		d.hangup <- syscall.SIGHUP
		<-second
		d.write(config(next.at(), 64))
		d.hangup <- syscall.SIGHUP
		<-next.opened
	})
}

func TestTwoCustomersInOneProcess(t *testing.T) {
	other := func(at string) string {
		text := strings.NewReplacer(`"lookup"`, `"read"`, `"order"`, `"write"`, `"Azs":["a","b"]`, `"Azs":["x"]`, `"DataPlaneSize":8`, `"DataPlaneSize":3`, `"DefaultRetry":1`, `"DefaultRetry":2`,
			`"zone":"a"`, `"zone":"x"`, `s-`, `t-`).Replace(config(at, 64))
		return text
	}
	one := func(at string) string {
		return strings.Replace(config(at, 64), `"DefaultRetry":1`, `"DefaultRetry":3`, 1)
	}
	first := newCatalog(t, list(9, true, "s-1:ready"))
	second := newCatalog(t, strings.NewReplacer(`"zone":"a"`, `"zone":"x"`, "s-", "t-").Replace(list(9, true, "s-1:ready")))
	check := func(t *testing.T, a, b *daemon) {
		p, q := a.dial("joined id=7 site=a rps=10 new=1\r\n"), b.dial("joined id=2 site=x rps=10 new=1\r\n")
		for _, x := range []struct {
			*peer
			own, foreign []string
		}{{p, []string{"s-1", "for=order"}, []string{"t-", "read", "write"}}, {q, []string{"t-1", "for=write"}, []string{"s-", "lookup", "order"}}} {
			text := ""
			for !strings.Contains(text, " stamp=") {
				line, err := x.r.ReadString('\n')
				if err != nil {
					t.Fatal(err)
				}
				text += line
			}
			for _, w := range x.own {
				if !strings.Contains(text, w) {
					t.Errorf("no %q in %q", w, text)
				}
			}
			for _, w := range x.foreign {
				if strings.Contains(text, w) {
					t.Errorf("%q of the other in %q", w, text)
				}
			}
		}
		if text := b.dial("joined id=7 site=x rps=10 new=1\r\n").closed(); text != "refused\r\n" {
			t.Errorf("the other's number of proxies holds: %q", text)
		}
	}
	t.Run("side by side", func(t *testing.T) {
		check(t, serve(t, one(first.at())), serve(t, other(second.at())))
	})
	t.Run("one after the other", func(t *testing.T) {
		t.Run("first", func(t *testing.T) {
			serve(t, one(first.at())).dial("joined id=7 site=a rps=10 new=1\r\n").until("replace=1")
		})
		check(t, serve(t, one(first.at())), serve(t, other(second.at())))
	})
}

// shellOf makes a shell and so many joined streams on loopback whose writes are held back.
func shellOf(t *testing.T, memory, streams int) (*serverRuntime, []*stream, func()) {
	before := remains(t)
	path := t.TempDir() + "/c.json"
	os.WriteFile(path, []byte(strings.Replace(config("127.0.0.1:1", 0), `"memory_mb":64`, fmt.Sprintf(`"memory_mb":%d`, memory), 1)), 0o600)
	cfg, err := ReadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	s := newRuntime(Options{Config: cfg, Clock: clock.NewReal(), Network: clock.TCP{}, Log: slog.New(slog.DiscardHandler)})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hold := make(chan bool)
	var all []*stream
	var peers []net.Conn
	for range streams {
		p, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		peers = append(peers, p)
		h := &hooked{Conn: c, write: func(b []byte) (int, error) { <-hold; return c.Write(b) }}
		x := &stream{Conn: h}
		s.withCore(func() { s.streams[&x.connection] = x; s.core.HandleConnect(&x.connection) })
		s.tasks.Go(func() { s.read(x) })
		all = append(all, x)
	}
	return s, all, func() {
		close(hold)
		s.shutdown()
		l.Close()
		for _, p := range peers {
			p.Close()
		}
		before.compare()
	}
}

func TestMemoryHasABound(t *testing.T) {
	t.Run("many that stop reading are held under one bound, and the one owed most goes first", func(t *testing.T) {
		s, all, end := shellOf(t, 8, 64)
		defer end()
		message := make([]byte, 1000)
		s.withCore(func() {
			for range maxUnsentBytes / len(message) / 4 {
				for n, x := range all {
					if s.Send(&x.connection, message); n == 7 {
						s.Send(&x.connection, message)
					}
					if s.unsentBytes > s.maxUnsentBytes {
						t.Fatalf("%d bytes wait, where %d may", s.unsentBytes, s.maxUnsentBytes)
					}
				}
			}
			open, sum := 0, 0
			for _, x := range all {
				if s.streams[&x.connection] != nil {
					open, sum = open+1, sum+len(x.unsent)+x.inFlight
				}
			}
			if s.streams[&all[7].connection] != nil || open < 8 || open == len(all) || sum != s.unsentBytes {
				t.Errorf("%d are open, the one owed most %t; %d bytes wait, counted %d", open, s.streams[&all[7].connection] != nil, sum, s.unsentBytes)
			}
		})
	})
	t.Run("one that stops reading goes alone", func(t *testing.T) {
		s, all, end := shellOf(t, 64, 4)
		defer end()
		s.withCore(func() {
			for range maxUnsentBytes/1000 + 2 {
				s.Send(&all[0].connection, make([]byte, 1000))
			}
			// Its writer stands still; whoever ends it again must not put it among those that linger, which full would never leave.
			if s.CloseConnection(&all[0].connection, CloseShed, nil); len(s.lingering) > 0 {
				t.Error("a closed connection lingers")
			}
			if s.streams[&all[0].connection] != nil || len(s.streams) != 3 || s.unsentBytes != 0 {
				t.Errorf("%d are open, %d bytes wait", len(s.streams), s.unsentBytes)
			}
		})
	})
	t.Run("connections that linger over their last words count as open ones", func(t *testing.T) {
		s, all, end := shellOf(t, 64, 40)
		defer end()
		s.maxConnections = 24
		s.withCore(func() {
			for _, x := range all[:30] {
				s.core.HandleData(&x.connection, []byte("GET / HTTP/1.1\r\n"))
			}
			for len(s.core.sessions.replies) > 0 {
				k := s.core.sessions.replies[0]
				s.core.sessions.replies = s.core.sessions.replies[1:]
				s.core.sendReplies(s, k)
			}
			if s.isFull() || len(s.lingering) != maxLingering || len(s.streams) != 10+maxLingering {
				t.Errorf("%d open, %d of them linger", len(s.streams), len(s.lingering))
			}
		})
	})
}

func TestFaults(t *testing.T) {
	t.Run("a fault at one peer's bytes costs that peer alone", func(t *testing.T) {
		c := newCatalog(t, list(9, true, "s-1:ready"))
		d := serveWith(t, config(c.at(), 64), func(o *Options) { o.Log = slog.New(faulty{slog.DiscardHandler}) })
		a, b := d.dial("joined id=1 site=a rps=10 new=1\r\n"), d.dial("joined id=2 site=a rps=10 new=1\r\n")
		b.until("replace=1")
		a.until("replace=1")
		a.say("usage id=1\r\n") // a doubt is logged, and the log faults
		a.closed()
		b.say("ping\r\n")
		b.until(wirePong)
		d.dial("joined id=1 site=a rps=10 new=0\r\n").until("replace=1")
	})
	t.Run("a planner that can decide nothing any more ends, and says so", func(t *testing.T) {
		s, _, end := shellOf(t, 64, 2)
		defer end()
		s.Clock = pace{clock.NewReal(), 50, 1}
		module := s.core.policy
		s.core.policy = nil
		if err := s.decide(t.Context()); !errors.Is(err, ErrRepeatedPanics) {
			t.Errorf("ended with %v", err)
		}
		s.core.policy = module
	})
}

// faulty is a log that faults where a doubt is told.
type faulty struct{ slog.Handler }

func (f faulty) Enabled(context.Context, slog.Level) bool { return true }

func (f faulty) Handle(_ context.Context, r slog.Record) error {
	if r.Message == logMessageRejected {
		panic("a fault that the test planted")
	}
	return nil
}
