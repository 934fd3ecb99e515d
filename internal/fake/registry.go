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
	// maxQueuedListings is the largest number of messages queued for one subscriber. A subscriber that falls further behind
	// is disconnected.
	maxQueuedListings = 4096
	// heartbeatIntervalMs is the time after which a subscriber is sent a heartbeat if no message was queued for it.
	heartbeatIntervalMs = 1000.0
)

// EndpointState is the state of a server in the endpoint list. The values are those in the encoded messages.
type EndpointState uint32

// The states of a server.
const (
	EndpointReady EndpointState = iota
	EndpointDraining
	EndpointRemoved
)

// EndpointRegistry serves an endpoint list: each subscriber that connects receives the whole list and then its changes, all
// delayed by DelayMs. Clock is required, and the exported fields must not change after Start. The methods are safe for
// concurrent use.
type EndpointRegistry struct {
	Clock   clock.Clock
	DelayMs float64 // delay with which each message is sent, in ms; 0: no delay

	mu          sync.Mutex // guards the fields below
	entries     []*order.Listing_Entry
	version     uint64
	override    func([]*order.Listing_Entry) []*order.Listing_Entry // returns the list to publish; nil: the true list is published
	subscribers map[*subscriber]bool
}

// subscriber is a connection on which a client receives the endpoint list.
type subscriber struct {
	connection net.Conn
	queue      chan queuedListing // closed when the subscriber falls too far behind
	sequence   uint64             // sequence number of the last frame sent
}

// queuedListing is a message that is sent to a subscriber when it is due.
type queuedListing struct {
	dueMs   float64
	listing *order.Listing
}

// Start listens on a free port of the loopback interface until the context ends, and returns the address.
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

// accept serves each connection as a subscriber, until the listener is closed.
func (r *EndpointRegistry) accept(ctx context.Context, listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go r.serve(ctx, r.subscribe(connection))
	}
}

// subscribe adds a subscriber and queues the whole list as its first message.
func (r *EndpointRegistry) subscribe(connection net.Conn) *subscriber {
	added := &subscriber{connection: connection, queue: make(chan queuedListing, maxQueuedListings)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers[added] = true
	added.queue <- r.withDueTime(r.fullListing())
	return added
}

// serve sends messages and heartbeats to a subscriber until its connection breaks, it falls too far behind or the context ends.
func (r *EndpointRegistry) serve(ctx context.Context, client *subscriber) {
	stopWatch := context.AfterFunc(ctx, func() { _ = client.connection.Close() })
	defer stopWatch()
	defer func() {
		r.mu.Lock()
		delete(r.subscribers, client)
		r.mu.Unlock()
		_ = client.connection.Close() // the connection may be broken already
	}()
	for {
		if err := r.sendNext(ctx, client); err != nil {
			return
		}
	}
}

// sendNext sends the next message when it is due, or a heartbeat if none was queued for heartbeatIntervalMs. Any error means
// that the subscriber can no longer be served.
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

// send writes a frame; if the message is nil, the body of the frame is empty.
func (s *subscriber) send(kind controlstream.FrameKind, message proto.Message) error {
	s.sequence++
	frame, err := controlstream.AppendFrame(nil, kind, s.sequence, message)
	if err != nil {
		return err
	}
	_, err = s.connection.Write(frame)
	return err
}

// withDueTime combines a message with the time at which the message is to be sent. The caller holds the lock.
func (r *EndpointRegistry) withDueTime(listing *order.Listing) queuedListing {
	return queuedListing{dueMs: r.Clock.Monotonic() + r.DelayMs, listing: listing}
}

// publish queues a message for all subscribers, and disconnects subscribers whose queue is full. The caller holds the lock.
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

// newListing returns a message without entries. The caller holds the lock.
func (r *EndpointRegistry) newListing(form order.Listing_Form) *order.Listing {
	return &order.Listing{Form: form, AsOfUnixMs: uint64(r.Clock.WallTime().UnixMilli()), Version: r.version}
}

// fullListing returns a message with the whole endpoint list, or with the list that the override returns if one is set. The
// caller holds the lock.
func (r *EndpointRegistry) fullListing() *order.Listing {
	shown := r.entries
	if r.override != nil {
		shown = r.override(shown)
	}
	listing := r.newListing(order.Listing_WHOLE)
	listing.Entries = copyPresent(shown)
	return listing
}

// copyPresent returns copies of the entries except those of removed servers.
func copyPresent(entries []*order.Listing_Entry) []*order.Listing_Entry {
	var copies []*order.Listing_Entry
	for _, entry := range entries {
		if EndpointState(entry.State) != EndpointRemoved {
			copies = append(copies, proto.CloneOf(entry))
		}
	}
	return copies
}

// SetEndpoint adds a server to the endpoint list, or changes its entry, and publishes the change. A startedUnixMs of 0 means
// that the server started long ago.
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

// Override sets a function that returns the endpoint list to publish in place of the true list, and publishes the whole list
// that the function returns. A nil function restores the true list. The function must not change the entries that are passed
// to it, and must not call the registry.
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
