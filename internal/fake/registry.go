package fake

import (
	"context"
	"net"
	"sync"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/clock"
	"lichenpick/internal/controlstream"
	"lichenpick/proto/order"
)

// EndpointRegistry is a list service: whoever dials gets the whole list, then changes, each late by a stated time.
type EndpointRegistry struct {
	Clock   clock.Clock
	DelayMs float64

	mu      sync.Mutex
	entries []*order.Listing_Entry
	version uint64
	lie     func([]*order.Listing_Entry) []*order.Listing_Entry
	subs    map[*subscriber]bool
}

type subscriber struct {
	conn  net.Conn
	queue chan dated
}

type dated struct {
	due float64
	m   *order.Listing
}

const (
	registryQueue = 4096 // lists under way to one subscriber; a slower one is cut off
	beatMs        = 1000.0
)

// Start listens until the context ends, and gives the address.
func (r *EndpointRegistry) Start(ctx context.Context, n clock.Network) (string, error) {
	l, err := n.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r.subs = map[*subscriber]bool{}
	context.AfterFunc(ctx, func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s := &subscriber{conn: conn, queue: make(chan dated, registryQueue)}
			r.mu.Lock()
			r.subs[s] = true
			s.queue <- dated{r.Clock.Monotonic() + r.DelayMs, r.whole()}
			r.mu.Unlock()
			go r.serve(ctx, s)
		}
	}()
	return l.Addr().String(), nil
}

func (r *EndpointRegistry) now() uint64 { return uint64(r.Clock.WallTime().UnixMilli()) }

func (r *EndpointRegistry) whole() *order.Listing {
	m := &order.Listing{Form: order.Listing_WHOLE, AsOfUnixMs: r.now(), Version: r.version}
	list := r.entries
	if r.lie != nil {
		list = r.lie(list)
	}
	for _, e := range list {
		if e.State != 2 {
			m.Entries = append(m.Entries, proto.Clone(e).(*order.Listing_Entry))
		}
	}
	return m
}

func (r *EndpointRegistry) serve(ctx context.Context, s *subscriber) {
	defer context.AfterFunc(ctx, func() { s.conn.Close() })()
	defer func() {
		r.mu.Lock()
		delete(r.subs, s)
		r.mu.Unlock()
		s.conn.Close()
	}()
	sequence := uint64(0)
	put := func(kind controlstream.FrameKind, m proto.Message) bool {
		sequence++
		frame, err := controlstream.AppendFrame(nil, kind, sequence, m)
		if err == nil {
			_, err = s.conn.Write(frame)
		}
		return err == nil
	}
	for {
		fired, stop := r.Clock.NewTimer(beatMs)
		select {
		case d, open := <-s.queue:
			stop()
			if !open || clock.Sleep(ctx, r.Clock, d.due-r.Clock.Monotonic()) != nil || !put(controlstream.FrameEndpoints, d.m) {
				return
			}
		case <-fired:
			if !put(controlstream.FrameHeartbeat, nil) {
				return
			}
		case <-ctx.Done():
			stop()
			return
		}
	}
}

// push sends a list to all; the lock is held.
func (r *EndpointRegistry) push(m *order.Listing) {
	for s := range r.subs {
		select {
		case s.queue <- dated{r.Clock.Monotonic() + r.DelayMs, m}:
		default:
			close(s.queue)
			delete(r.subs, s)
		}
	}
}

// SetEndpoint adds or changes a server: state 0 ready, 1 draining, 2 gone.
func (r *EndpointRegistry) SetEndpoint(server, zone string, state uint32, size float64, bornUnixMs uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &order.Listing_Entry{Server: server, Zone: zone, State: state, Size: size, BornUnixMs: bornUnixMs}
	found := false
	for n, old := range r.entries {
		if old.Server == server {
			r.entries[n], found = e, true
		}
	}
	if !found {
		r.entries = append(r.entries, e)
	}
	r.version++
	if r.lie != nil {
		r.push(r.whole())
		return
	}
	r.push(&order.Listing{Form: order.Listing_CHANGE, AsOfUnixMs: r.now(), Version: r.version, Entries: []*order.Listing_Entry{proto.Clone(e).(*order.Listing_Entry)}})
}

// Override shows another list than the true one, until it is called with nil; each time the whole list is sent.
func (r *EndpointRegistry) Override(lie func([]*order.Listing_Entry) []*order.Listing_Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lie = lie
	r.version++
	r.push(r.whole())
}

// Endpoints gives the true list, without those gone.
func (r *EndpointRegistry) Endpoints() (list []*order.Listing_Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if e.State != 2 {
			list = append(list, proto.Clone(e).(*order.Listing_Entry))
		}
	}
	return list
}
