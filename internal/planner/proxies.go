package planner

import (
	"iter"
	"net/netip"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/weighttable"
	"lichenpick/proto/order"
)

// Stream is one connection of a proxy, as the core knows it. The host makes one for each connection; the core owns it from
// HandleJoin on.
type Stream struct {
	Address   netip.Addr // of the proxy; tells its zone if it names none
	Transport any        // the host's own; the core never uses it

	proxy *joinedProxy // nil until it has joined
	ended bool
}

// Name is the proxy's name; empty until it has joined.
func (s *Stream) Name() string {
	if s.proxy == nil {
		return ""
	}
	return s.proxy.name
}

// joinedProxy is a proxy with a stream. It lasts as long as the stream: a proxy that dials again becomes another one.
type joinedProxy struct {
	name            string
	id              int // by which the policy knows it
	zone            int
	stream          *Stream
	incarnation     uint64  // of its process
	streamNumber    uint64  // of this stream, as its process counts them
	expectedRate    float64 // requests per second, as it stated at the join
	lastFrameMs     float64
	window          *controlstream.MessageWindow
	tables          []*weighttable.Table[*joinedProxy] // by traffic class; nil where this stream assigned none
	reportedTables  []*order.Holding                   // as it stated, from earlier streams
	ejections       map[string]bool                    // ejected servers that it was notified of
	unacknowledged  []sentUpdate                       // oldest first
	messageCount    uint64                             // messages decided on for this stream; the number of the last
	update          pendingUpdate
	demand          []*pendingLoad // by traffic class; nil until its first report
	commanded       bool           // the policy knows it; always, where planners share nothing
	epoch           uint64         // under which it is commanded
	inheritedDrains []string       // servers that its last planner ejected as they drain or are removed
	// inheritedDrainUntilMs are those of inheritedDrains that our endpoint list shows as ready. They stay ejected until then, as
	// the list may just be late.
	inheritedDrainUntilMs map[string]float64
	sentByOthersMs        []float64 // times of messages that other planners sent it, oldest first
}

// proxyTable holds the joined proxies by name and by their number at the policy. Numbers of proxies that left are given out
// again, last one first.
type proxyTable struct {
	byName  map[string]*joinedProxy
	byID    []*joinedProxy // nil where one left
	freeIDs []int
}

// newProxyTable makes one that is empty.
func newProxyTable() proxyTable { return proxyTable{byName: map[string]*joinedProxy{}} }

// add gives a proxy its number and makes it the one of its name.
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

// freeID has a proxy's number given out again.
func (t *proxyTable) freeID(p *joinedProxy) {
	t.byID[p.id] = nil
	t.freeIDs = append(t.freeIDs, p.id)
}

// isJoined reports whether a proxy still is the one of its name.
func (t *proxyTable) isJoined(p *joinedProxy) bool { return t.byName[p.name] == p }

// all yields the joined proxies by number.
func (t *proxyTable) all() iter.Seq[*joinedProxy] {
	return func(yield func(*joinedProxy) bool) {
		for _, p := range t.byID {
			if p != nil && !yield(p) {
				return
			}
		}
	}
}

// commanded yields the proxies that the policy knows, by number.
func (t *proxyTable) commanded() iter.Seq[*joinedProxy] {
	return func(yield func(*joinedProxy) bool) {
		for p := range t.all() {
			if p.commanded && !yield(p) {
				return
			}
		}
	}
}
