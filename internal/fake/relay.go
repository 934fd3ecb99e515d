package fake

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"lichenpick/internal/clock"
)

// LinkFault is what is wrong between two parties; the zero value is nothing.
type LinkFault struct {
	DelayMs   float64 // each way, in order
	ConnectMs float64 // before a connection is passed on
	Cut       bool    // connections break and none opens
	Stall     bool    // nothing passes towards the source; it is held back and the sender sees a full window
	After     int     // with Cut: bytes that still pass towards the source, so that a frame may break in its middle
}

// Observer is told what passes on one connection. Bytes are told when they come in, and delivered when they went out.
type Observer interface {
	ToTarget(at float64, p []byte)
	FromTarget(at float64, p []byte)
	Delivered(at float64, n int) // bytes that reached the source
	Closed(at float64)           // once, when the first of both sides ended it; what was under way may still be delivered
}

// Relay passes connections on to a target, from the source's own address, and watches them.
type Relay struct {
	Clock   clock.Clock
	Network clock.Network
	Observe func(from netip.Addr) Observer // for each connection; may be nil

	mu     sync.Mutex
	ctx    context.Context
	listen net.Listener // nil while shut
	at0    string
	target string
	link   func(from netip.Addr) LinkFault
	moved  chan struct{} // closed and made anew when the link changes
	conns  map[net.Conn]netip.Addr
}

const (
	relayBytes  = 16 << 10
	relayPieces = 64 // pieces of a direction that are under way with a delay
)

// Start listens on an address until the context ends, and gives the address.
func (r *Relay) Start(ctx context.Context, listen, target string) (string, error) {
	l, err := r.Network.Listen(ctx, listen)
	if err != nil {
		return "", err
	}
	r.ctx, r.listen, r.at0 = ctx, l, l.Addr().String()
	r.target, r.moved, r.conns = target, make(chan struct{}), map[net.Conn]netip.Addr{}
	context.AfterFunc(ctx, r.Close)
	go r.accept(l)
	return r.at0, nil
}

func (r *Relay) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go r.pass(r.ctx, conn)
	}
}

// Close stops listening and breaks all connections: dials are refused, as by a machine whose process is gone.
func (r *Relay) Close() {
	r.mu.Lock()
	if r.listen != nil {
		r.listen.Close()
		r.listen = nil
	}
	r.mu.Unlock()
	r.breakAll(func(netip.Addr) bool { return true })
}

// Reopen listens again at the same address.
func (r *Relay) Reopen() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listen != nil || r.ctx.Err() != nil {
		return r.ctx.Err()
	}
	l, err := r.Network.Listen(r.ctx, r.at0)
	if err != nil {
		return err
	}
	r.listen = l
	go r.accept(l)
	return nil
}

// SetTarget sends new connections elsewhere.
func (r *Relay) SetTarget(to string) {
	r.mu.Lock()
	r.target = to
	r.mu.Unlock()
}

// SetFaults changes what is wrong with the links, by the address they come from. Cut ones break at once.
func (r *Relay) SetFaults(link func(from netip.Addr) LinkFault) {
	r.mu.Lock()
	r.link = link
	close(r.moved)
	r.moved = make(chan struct{})
	r.mu.Unlock()
	if link != nil {
		r.breakAll(func(from netip.Addr) bool { l := link(from); return l.Cut && l.After == 0 })
	}
}

// Disconnect ends the connections of some sources.
func (r *Relay) Disconnect(which func(from netip.Addr) bool) { r.breakAll(which) }

func (r *Relay) breakAll(which func(netip.Addr) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, from := range r.conns {
		if which(from) {
			c.Close()
		}
	}
}

func (r *Relay) at(from netip.Addr) (LinkFault, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link == nil {
		return LinkFault{}, r.moved
	}
	return r.link(from), r.moved
}

func (r *Relay) pass(ctx context.Context, source net.Conn) {
	from := netip.Addr{}
	if a, ok := source.RemoteAddr().(*net.TCPAddr); ok {
		from = a.AddrPort().Addr().Unmap()
	}
	defer source.Close()
	link, _ := r.at(from)
	if link.ConnectMs > 0 && clock.Sleep(ctx, r.Clock, link.ConnectMs) != nil || link.Cut {
		if t, ok := source.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		return
	}
	r.mu.Lock()
	to := r.target
	r.mu.Unlock()
	target, err := r.Network.Dial(ctx, from, to)
	if err != nil { // the source sees a reset, as close as a relay comes to a refusal
		if t, ok := source.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		return
	}
	defer target.Close()
	r.mu.Lock()
	r.conns[source], r.conns[target] = from, from
	r.mu.Unlock()
	var watch Observer
	if r.Observe != nil {
		watch = r.Observe(from)
	}
	var once sync.Once
	closed := func() {
		if watch != nil {
			once.Do(func() { watch.Closed(r.Clock.Monotonic()) })
		}
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		r.pump(ctx, from, source, target, watch, true, closed)
	}()
	go func() {
		defer both.Done()
		r.pump(ctx, from, target, source, watch, false, closed)
	}()
	both.Wait()
	r.mu.Lock()
	delete(r.conns, source)
	delete(r.conns, target)
	r.mu.Unlock()
}

type piece struct {
	due float64
	p   []byte
}

// pump passes one direction.
func (r *Relay) pump(ctx context.Context, from netip.Addr, in, out net.Conn, watch Observer, toTarget bool, closed func()) {
	pieces := make(chan piece, relayPieces)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer out.Close()
		left := -1
		for p := range pieces {
			if wait := p.due - r.Clock.Monotonic(); wait > 0 && clock.Sleep(ctx, r.Clock, wait) != nil {
				return
			}
			link, moved := r.at(from)
			for link.Stall && !toTarget {
				select {
				case <-moved:
				case <-ctx.Done():
					return
				}
				link, moved = r.at(from)
			}
			if link.Cut && !toTarget {
				if left < 0 {
					left = link.After
				}
				p.p = p.p[:min(len(p.p), left)]
				left -= len(p.p)
			}
			if len(p.p) > 0 {
				if _, err := out.Write(p.p); err != nil {
					return
				}
				if watch != nil && !toTarget {
					watch.Delivered(r.Clock.Monotonic(), len(p.p))
				}
			}
			if left == 0 {
				return
			}
		}
	}()
	defer func() {
		close(pieces)
		<-done
	}()
	for {
		buf := make([]byte, relayBytes)
		n, err := in.Read(buf)
		if n > 0 {
			now := r.Clock.Monotonic()
			if watch != nil && toTarget {
				watch.ToTarget(now, buf[:n])
			} else if watch != nil {
				watch.FromTarget(now, buf[:n])
			}
			link, _ := r.at(from)
			select {
			case pieces <- piece{now + link.DelayMs, buf[:n]}:
			case <-done:
				return
			}
		}
		if err != nil {
			closed()
			return
		}
	}
}

// Address is where it listens, or listened last.
func (r *Relay) Address() string { return r.at0 }
