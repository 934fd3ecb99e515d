package fake

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"lichenpick/internal/clock"
)

// LinkFault is the fault of the connections from one source to a relay's target. The zero value is no fault.
type LinkFault struct {
	DelayMs        float64 // delay of all data in both directions, in ms
	ConnectDelayMs float64 // delay before the relay dials the target for a new connection, in ms
	Cut            bool    // existing connections break and new ones are reset
	Stall          bool    // data towards the source is held back, so that in the end the target's writes block
	CutAfterBytes  int     // if Cut is set: number of bytes delivered to the source before the break, which may split a frame
}

// Observer is notified of the data on one relayed connection. Its methods may be called by several goroutines and should return
// quickly. Times are in ms of the relay's monotonic clock. Data must not be retained or changed.
type Observer interface {
	// ToTarget receives data that the source sent.
	ToTarget(atMs float64, data []byte)
	// FromTarget receives data that the target sent.
	FromTarget(atMs float64, data []byte)
	// Delivered receives the number of bytes that were just written to the source.
	Delivered(atMs float64, count int)
	// Closed is called once, when either side has ended the connection. Data in transit may still be delivered afterwards.
	Closed(atMs float64)
}

// Relay forwards connections to a target, dialling it from the source's own address, and reports their data to observers.
// Clock and Network are required, and the exported fields must not change after Start. After Start the other methods are safe
// for concurrent use.
type Relay struct {
	Clock   clock.Clock
	Network clock.Network
	Observe func(from netip.Addr) Observer // returns the observer of a new connection; nil: no connection is observed

	ctx     context.Context // context passed to Start, which Reopen and all connections use
	address string

	mu            sync.Mutex // guards the fields below
	listener      net.Listener
	target        string
	faults        func(from netip.Addr) LinkFault // nil: no faults
	faultsChanged chan struct{}                   // closed and replaced when the faults change
	connections   map[net.Conn]netip.Addr         // both ends of each relayed connection, mapped to its source
}

// Start listens at an address until the context ends, and returns the address with the port that was chosen. Connections are
// forwarded to the target, which may be empty until SetTarget is called.
func (r *Relay) Start(ctx context.Context, address, target string) (string, error) {
	listener, err := r.Network.Listen(ctx, address)
	if err != nil {
		return "", fmt.Errorf("starting a relay at %s: %w", address, err)
	}
	r.ctx = ctx
	r.address = listener.Addr().String()
	r.listener = listener
	r.target = target
	r.faultsChanged = make(chan struct{})
	r.connections = map[net.Conn]netip.Addr{}
	context.AfterFunc(ctx, r.Close)
	go r.accept(listener)
	return r.address, nil
}

// Address returns the address at which the relay listens, or last listened.
func (r *Relay) Address() string { return r.address }

// Close stops listening and breaks all connections. New connections are then refused, as by a host whose process has ended.
func (r *Relay) Close() {
	r.mu.Lock()
	if r.listener != nil {
		_ = r.listener.Close() // even if Close fails, the listener no longer listens
		r.listener = nil
	}
	r.mu.Unlock()
	r.Disconnect(func(netip.Addr) bool { return true })
}

// Reopen listens again at the same address. It does nothing if the relay is listening.
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

// SetTarget sets the target of new connections. Existing connections keep the target to which they were dialled.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// SetFaults sets the function that returns the fault of the connections from each source address; nil ends all faults. A cut
// breaks existing connections at once, unless CutAfterBytes lets them deliver some more bytes.
func (r *Relay) SetFaults(faults func(from netip.Addr) LinkFault) {
	r.mu.Lock()
	r.faults = faults
	close(r.faultsChanged)
	r.faultsChanged = make(chan struct{})
	r.mu.Unlock()
	if faults == nil {
		return
	}
	r.Disconnect(func(from netip.Addr) bool {
		fault := faults(from)
		return fault.Cut && fault.CutAfterBytes == 0
	})
}

// Disconnect breaks the connections from all sources for which selected returns true.
func (r *Relay) Disconnect(selected func(from netip.Addr) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for connection, from := range r.connections {
		if selected(from) {
			_ = connection.Close() // the connection may be closed already
		}
	}
}

// faultOf returns the current fault of connections from a source, and a channel that is closed when faults change.
func (r *Relay) faultOf(from netip.Addr) (LinkFault, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults == nil {
		return LinkFault{}, r.faultsChanged
	}
	return r.faults(from), r.faultsChanged
}

// accept forwards all connections, until the listener is closed.
func (r *Relay) accept(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go r.forward(r.ctx, connection)
	}
}

// forward connects to the target and copies data in both directions until either side ends the connection or it breaks.
func (r *Relay) forward(ctx context.Context, source net.Conn) {
	defer closeConnection(source)
	from := sourceAddress(source)
	target, err := r.dialTarget(ctx, from)
	if err != nil {
		resetConnection(source) // the connection is accepted already, so a reset is the closest to refusing it
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

// dialTarget connects to the target from the address of the source, subject to the faults of that source.
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

// track registers both ends of a connection, so that Disconnect can break them.
func (r *Relay) track(source, target net.Conn, from netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connections[source] = from
	r.connections[target] = from
}

// untrack removes the registration made by track.
func (r *Relay) untrack(source, target net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, source)
	delete(r.connections, target)
}

// sourceAddress returns the address from which a connection was dialled, or the zero address if it is not a TCP connection.
func sourceAddress(connection net.Conn) netip.Addr {
	address, ok := connection.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return address.AddrPort().Addr().Unmap()
}

// resetConnection makes the next Close send a TCP reset to the peer.
func resetConnection(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
}

// closeConnection closes a connection and ignores the error, as the connection may be closed or broken already.
func closeConnection(connection net.Conn) { _ = connection.Close() }
