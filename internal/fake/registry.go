package fake

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/clock"
	"lichenpick/internal/controlstream"
	"lichenpick/proto/order"
)

const (
	// maxQueuedListings is how many lists may be on their way to one subscriber; one that is slower is disconnected.
	maxQueuedListings   = 4096
	heartbeatIntervalMs = 1000.0
)

// EndpointState is the state of a server in the endpoint list, as on the list's wire.
type EndpointState uint32

// The states.
const (
	EndpointReady EndpointState = iota
	EndpointDraining
	EndpointRemoved
)

// EndpointRegistry serves an endpoint list: each subscriber that dials receives the whole list and then its changes, all with
// a delay. Clock is required, and neither exported field may change after Start. Any goroutine may call the methods.
type EndpointRegistry struct {
	Clock   clock.Clock
	DelayMs float64 // of each list; 0: none

	mu          sync.Mutex // guards all below
	entries     []*order.Listing_Entry
	version     uint64
	override    func([]*order.Listing_Entry) []*order.Listing_Entry // nil: the list is shown as it is
	subscribers map[*subscriber]bool
}

// subscriber is a connection to whoever reads the list.
type subscriber struct {
	connection net.Conn
	queue      chan queuedListing // closed when the subscriber is too slow
	sequence   uint64             // of the last frame
}

// queuedListing is a list on its way to a subscriber.
type queuedListing struct {
	dueMs   float64
	listing *order.Listing
}

// Start listens on a loopback port until the context ends, and returns the address.
func (r *EndpointRegistry) Start(ctx context.Context, network clock.Network) (string, error) {
	listener, err := network.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("starting the endpoint registry: %w", err)
	}
	r.mu.Lock()
	r.subscribers = map[*subscriber]bool{}
	r.mu.Unlock()
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go r.accept(ctx, listener)
	return listener.Addr().String(), nil
}

// accept serves whoever dials, until the listener is closed.
func (r *EndpointRegistry) accept(ctx context.Context, listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go r.serve(ctx, r.subscribe(connection))
	}
}

// subscribe adds a subscriber, with the whole list as its first.
func (r *EndpointRegistry) subscribe(connection net.Conn) *subscriber {
	added := &subscriber{connection: connection, queue: make(chan queuedListing, maxQueuedListings)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers[added] = true
	added.queue <- r.withDueTime(r.fullListing())
	return added
}

// serve sends lists and heartbeats to a subscriber, until its connection breaks, it is too slow or the context ends.
func (r *EndpointRegistry) serve(ctx context.Context, client *subscriber) {
	stopWatch := context.AfterFunc(ctx, func() { _ = client.connection.Close() })
	defer stopWatch()
	defer func() {
		r.mu.Lock()
		delete(r.subscribers, client)
		r.mu.Unlock()
		_ = client.connection.Close() // it may be broken already
	}()
	for {
		if err := r.sendNext(ctx, client); err != nil {
			return
		}
	}
}

// sendNext sends the next list when it is due, or a heartbeat where there is none for a while. The error tells only that the
// subscriber is gone.
func (r *EndpointRegistry) sendNext(ctx context.Context, client *subscriber) error {
	heartbeatDue, stopTimer := r.Clock.NewTimer(heartbeatIntervalMs)
	defer stopTimer()
	select {
	case next, open := <-client.queue:
		if !open {
			return net.ErrClosed
		}
		if err := clock.Sleep(ctx, r.Clock, next.dueMs-r.Clock.Monotonic()); err != nil {
			return err
		}
		return client.send(controlstream.FrameEndpoints, next.listing)
	case <-heartbeatDue:
		return client.send(controlstream.FrameHeartbeat, nil)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// send writes a frame; a nil message gives an empty one.
func (s *subscriber) send(kind controlstream.FrameKind, message proto.Message) error {
	s.sequence++
	frame, err := controlstream.AppendFrame(nil, kind, s.sequence, message)
	if err != nil {
		return err
	}
	_, err = s.connection.Write(frame)
	return err
}

// withDueTime returns a list with the time at which it is due. The caller holds the lock.
func (r *EndpointRegistry) withDueTime(listing *order.Listing) queuedListing {
	return queuedListing{dueMs: r.Clock.Monotonic() + r.DelayMs, listing: listing}
}

// publish queues a list for all subscribers. The caller holds the lock.
func (r *EndpointRegistry) publish(listing *order.Listing) {
	for client := range r.subscribers {
		select {
		case client.queue <- r.withDueTime(listing):
		default:
			close(client.queue)
			delete(r.subscribers, client)
		}
	}
}

// newListing returns a list without entries. The caller holds the lock.
func (r *EndpointRegistry) newListing(form order.Listing_Form) *order.Listing {
	return &order.Listing{Form: form, AsOfUnixMs: uint64(r.Clock.WallTime().UnixMilli()), Version: r.version}
}

// fullListing returns the whole list as it is shown. The caller holds the lock.
func (r *EndpointRegistry) fullListing() *order.Listing {
	shown := r.entries
	if r.override != nil {
		shown = r.override(shown)
	}
	listing := r.newListing(order.Listing_WHOLE)
	listing.Entries = copyPresent(shown)
	return listing
}

// copyPresent returns copies of the entries that are not removed.
func copyPresent(entries []*order.Listing_Entry) []*order.Listing_Entry {
	var copies []*order.Listing_Entry
	for _, entry := range entries {
		if EndpointState(entry.State) != EndpointRemoved {
			copies = append(copies, proto.CloneOf(entry))
		}
	}
	return copies
}

// SetEndpoint adds or changes a server, and publishes this. A startedUnixMs of 0 tells that it was started long ago.
func (r *EndpointRegistry) SetEndpoint(server, zone string, state EndpointState, capacity float64, startedUnixMs uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := &order.Listing_Entry{Server: server, Zone: zone, State: uint32(state), Size: capacity, BornUnixMs: startedUnixMs}
	index := slices.IndexFunc(r.entries, func(earlier *order.Listing_Entry) bool { return earlier.Server == server })
	if index >= 0 {
		r.entries[index] = entry
	} else {
		r.entries = append(r.entries, entry)
	}
	r.version++
	if r.override != nil {
		r.publish(r.fullListing())
		return
	}
	change := r.newListing(order.Listing_CHANGE)
	change.Entries = []*order.Listing_Entry{proto.CloneOf(entry)}
	r.publish(change)
}

// Override shows another list than the true one until it is called with nil, and publishes the whole list each time. The
// function must not change the entries that it is given, and must not call the registry.
func (r *EndpointRegistry) Override(override func([]*order.Listing_Entry) []*order.Listing_Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.override = override
	r.version++
	r.publish(r.fullListing())
}

// Endpoints returns copies of the entries of the true list, without removed servers.
func (r *EndpointRegistry) Endpoints() []*order.Listing_Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return copyPresent(r.entries)
}
