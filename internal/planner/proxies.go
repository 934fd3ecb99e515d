package planner

import (
	"iter"
	"net/netip"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/weighttable"
	"lichenpick/proto/order"
)

// Stream is the core's view of one connection of a proxy. The host creates one for each connection; the core owns it from
// HandleJoin on.
type Stream struct {
	Address   netip.Addr // of the proxy; determines its zone if the join names none
	Transport any        // for use by the host; the core never reads it

	proxy *joinedProxy // nil until it has joined
	ended bool
}

// Name returns the proxy's name, which is empty until it has joined.
func (s *Stream) Name() string {
	if s.proxy == nil {
		return ""
	}
	return s.proxy.name
}

// joinedProxy is a proxy with a stream. It exists as long as the stream: a proxy that dials again gets a new joinedProxy.
type joinedProxy struct {
	name            string
	id              int // by which the policy identifies it
	zone            int // index in the settings' zones
	stream          *Stream
	incarnation     uint64  // of its process
	streamNumber    uint64  // counter of streams that its process sent in the join
	expectedRate    float64 // requests per second that it stated in the join
	lastFrameMs     float64 // when a frame last came from it
	window          *controlstream.MessageWindow
	tables          []*weighttable.Table[*joinedProxy] // by traffic class; nil if this stream assigned none for the class
	reportedTables  []*order.Holding                   // tables from earlier streams, as it reported them
	ejections       map[string]bool                    // ejected servers that it was notified of
	unacknowledged  []sentUpdate                       // oldest first
	messageCount    uint64                             // messages created for this stream, which is the number of the last one
	update          pendingUpdate
	demand          []*pendingLoad // by traffic class; nil until its first report
	commanded       bool           // it is added to the policy; always true if planners do not share the fleet
	epoch           uint64         // under which it is commanded; 0 if planners do not share the fleet
	inheritedDrains []string       // servers that drain or are removed, as its previous planner knew
	// inheritedDrainUntilMs holds those of inheritedDrains that are ready in this planner's endpoint list, which may be
	// late, and until when they stay ejected.
	inheritedDrainUntilMs map[string]float64
	sentByOthersMs        []float64 // when other planners sent it messages, oldest first
}

// proxyTable holds the joined proxies by name and by id. The ids of proxies that left are reused, the last freed one first.
type proxyTable struct {
	byName  map[string]*joinedProxy
	byID    []*joinedProxy // nil for free ids
	freeIDs []int
}

// newProxyTable returns an empty table.
func newProxyTable() proxyTable { return proxyTable{byName: map[string]*joinedProxy{}} }

// add assigns a proxy its id and makes it the current one of its name.
func (t *proxyTable) add(p *joinedProxy) {
	if last := len(t.freeIDs) - 1; last >= 0 {
		p.id = t.freeIDs[last]
		t.freeIDs = t.freeIDs[:last]
		t.byID[p.id] = p
	} else {
		p.id = len(t.byID)
		t.byID = append(t.byID, p)
	}
	t.byName[p.name] = p
}

// freeID releases a proxy's id for reuse.
func (t *proxyTable) freeID(p *joinedProxy) {
	t.byID[p.id] = nil
	t.freeIDs = append(t.freeIDs, p.id)
}

// isJoined reports whether a proxy is still the current one of its name.
func (t *proxyTable) isJoined(p *joinedProxy) bool { return t.byName[p.name] == p }

// all yields the joined proxies in the order of their ids.
func (t *proxyTable) all() iter.Seq[*joinedProxy] {
	return func(yield func(*joinedProxy) bool) {
		for _, p := range t.byID {
			if p != nil && !yield(p) {
				return
			}
		}
	}
}

// commanded yields the proxies that the policy commands, in the order of their ids.
func (t *proxyTable) commanded() iter.Seq[*joinedProxy] {
	return func(yield func(*joinedProxy) bool) {
		for p := range t.all() {
			if p.commanded && !yield(p) {
				return
			}
		}
	}
}
