package fake

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"lichenpick/internal/clock"
)

// LinkFault is what is wrong with the connections from one source to a relay's target; the zero value is nothing.
type LinkFault struct {
	DelayMs        float64 // of what passes, each way, in order
	ConnectDelayMs float64 // before a new connection is passed on
	Cut            bool    // connections break and none opens
	Stall          bool    // nothing passes towards the source: it is held back until the sender's window is full
	CutAfterBytes  int     // with Cut: bytes of each connection that still pass towards the source, so that a frame may break
}

// Observer is notified of what passes on one connection. Its methods may be called by several goroutines, and should return soon.
// Times are in ms of the relay's clock. The data must not be kept or changed.
type Observer interface {
	// ToTarget receives data that the source sent.
	ToTarget(atMs float64, data []byte)
	// FromTarget receives data that the target sent.
	FromTarget(atMs float64, data []byte)
	// Delivered receives how many more bytes were written to the source.
	Delivered(atMs float64, count int)
	// Closed is called once when one side ended the connection. What was on its way may still be delivered.
	Closed(atMs float64)
}

// Relay passes connections on to a target, from the source's own address, and has them observed. Clock and Network are
// required; no exported field may change after Start. Any goroutine may call the other methods after Start.
type Relay struct {
	Clock   clock.Clock
	Network clock.Network
	Observe func(from netip.Addr) Observer // called for each connection; nil: none is observed

	ctx     context.Context // of Start: Reopen goes on under it
	address string

	mu          sync.Mutex // guards all below
	listener    net.Listener
	target      string
	faults      func(from netip.Addr) LinkFault // nil: none
	faultsReset chan struct{}                   // closed and made anew when faults change
	connections map[net.Conn]netip.Addr         // both ends of each connection, with its source
}

// Start listens at an address until the context ends, and returns the address with its port. Connections go to the target,
// which may be empty until SetTarget is called.
func (r *Relay) Start(ctx context.Context, address, target string) (string, error) {
	listener, err := r.Network.Listen(ctx, address)
	if err != nil {
		return "", fmt.Errorf("starting a relay at %s: %w", address, err)
	}
	r.ctx = ctx
	r.address = listener.Addr().String()
	r.listener = listener
	r.target = target
	r.faultsReset = make(chan struct{})
	r.connections = map[net.Conn]netip.Addr{}
	context.AfterFunc(ctx, r.Close)
	go r.accept(listener)
	return r.address, nil
}

// Address returns the address at which the relay listens, or listened last.
func (r *Relay) Address() string { return r.address }

// Close stops listening and breaks all connections. Dials are refused then, as by a machine whose process is gone.
func (r *Relay) Close() {
	r.mu.Lock()
	if r.listener != nil {
		_ = r.listener.Close() // nothing listens in either case
		r.listener = nil
	}
	r.mu.Unlock()
	r.Disconnect(func(netip.Addr) bool { return true })
}

// Reopen listens again, at the same address. It does nothing where the relay listens.
func (r *Relay) Reopen() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil || r.ctx.Err() != nil {
		return r.ctx.Err()
	}
	listener, err := r.Network.Listen(r.ctx, r.address)
	if err != nil {
		return fmt.Errorf("reopening the relay at %s: %w", r.address, err)
	}
	r.listener = listener
	go r.accept(listener)
	return nil
}

// SetTarget sends new connections to another target.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// SetFaults changes what is wrong with connections, by the address that they come from; nil ends all faults. Connections that
// are cut break at once, unless bytes may still pass.
func (r *Relay) SetFaults(faults func(from netip.Addr) LinkFault) {
	r.mu.Lock()
	r.faults = faults
	close(r.faultsReset)
	r.faultsReset = make(chan struct{})
	r.mu.Unlock()
	if faults == nil {
		return
	}
	r.Disconnect(func(from netip.Addr) bool {
		fault := faults(from)
		return fault.Cut && fault.CutAfterBytes == 0
	})
}

// Disconnect breaks the connections of the sources that are selected.
func (r *Relay) Disconnect(selected func(from netip.Addr) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for connection, from := range r.connections {
		if selected(from) {
			_ = connection.Close() // its other end may have closed it
		}
	}
}

// faultOf returns what is wrong with connections from a source now, and a channel that is closed when that may change.
func (r *Relay) faultOf(from netip.Addr) (LinkFault, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults == nil {
		return LinkFault{}, r.faultsReset
	}
	return r.faults(from), r.faultsReset
}

// accept passes on whatever connects, until the listener is closed.
func (r *Relay) accept(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go r.pass(r.ctx, connection)
	}
}

// pass passes a connection on to the target, until one side ends it or it is broken.
func (r *Relay) pass(ctx context.Context, source net.Conn) {
	defer closeConnection(source)
	from := sourceAddress(source)
	target, err := r.dialTarget(ctx, from)
	if err != nil {
		resetConnection(source) // as close as a relay comes to a refusal
		return
	}
	defer closeConnection(target)
	r.track(source, target, from)
	defer r.untrack(source, target)
	link := &relayedLink{relay: r, from: from, observer: noObserver{}}
	if r.Observe != nil {
		link.observer = r.Observe(from)
	}
	var directions sync.WaitGroup
	directions.Go(func() { link.newDirection(source, target, true).run(ctx) })
	directions.Go(func() { link.newDirection(target, source, false).run(ctx) })
	directions.Wait()
}

// dialTarget connects to the target as from the source, as far as its faults allow.
func (r *Relay) dialTarget(ctx context.Context, from netip.Addr) (net.Conn, error) {
	fault, _ := r.faultOf(from)
	if fault.ConnectDelayMs > 0 {
		if err := clock.Sleep(ctx, r.Clock, fault.ConnectDelayMs); err != nil {
			return nil, err
		}
	}
	if fault.Cut {
		return nil, net.ErrClosed
	}
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	return r.Network.Dial(ctx, from, target)
}

// track has both ends of a connection broken by Disconnect.
func (r *Relay) track(source, target net.Conn, from netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connections[source] = from
	r.connections[target] = from
}

// untrack ends what track began.
func (r *Relay) untrack(source, target net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, source)
	delete(r.connections, target)
}

// sourceAddress returns the address from which a connection was dialled, and the zero address for one that is not TCP.
func sourceAddress(connection net.Conn) netip.Addr {
	address, ok := connection.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return address.AddrPort().Addr().Unmap()
}

// resetConnection has the end of a connection show as a reset to its peer.
func resetConnection(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the peer may have closed it
	}
}

// closeConnection closes a connection that may be closed or broken already.
func closeConnection(connection net.Conn) { _ = connection.Close() }
