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
	Address   netip.Addr // address of the proxy; determines its zone if the join names none
	Transport any        // connection of the host, for use by the host; the core never reads it

	proxy *joinedProxy // the proxy of this stream; nil until it has joined
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
	id              int // identifies the proxy to the policy
	zone            int // index of the zone in the settings
	stream          *Stream
	incarnation     uint64  // incarnation of the proxy's process
	streamNumber    uint64  // stream counter of the proxy's process, as sent in the join
	expectedRate    float64 // requests per second that the proxy expects, as sent in the join
	lastFrameMs     float64 // when the last frame from the proxy was received
	window          *controlstream.MessageWindow
	tables          []*weighttable.Table[*joinedProxy] // tables assigned on this stream, by traffic class; nil: none assigned
	reportedTables  []*order.Holding                   // tables from earlier streams, as the proxy reported them
	ejections       map[string]bool                    // ejected servers whose ejection the proxy was notified of
	unacknowledged  []sentUpdate                       // messages not acknowledged yet, oldest first
	messageCount    uint64                             // messages created for this stream; also the number of the last message
	update          pendingUpdate
	demand          []*pendingLoad // pending demand by traffic class; nil until the proxy's first report
	commanded       bool           // whether the policy commands the proxy; always true if planners do not share the fleet
	epoch           uint64         // epoch under which the proxy is commanded; 0 if planners do not share the fleet
	inheritedDrains []string       // servers that drain or are removed according to the proxy's previous planner
	// inheritedDrainUntilMs contains the servers among inheritedDrains that are ready in this planner's endpoint list, and
	// the time until which each stays ejected. The endpoint list may show a drain late.
	inheritedDrainUntilMs map[string]float64
	sentByOthersMs        []float64 // times at which other planners sent the proxy messages, oldest first
}

// proxyTable holds the joined proxies by name and by id. The ids of proxies that left are reused; the id freed last is
// reused first.
type proxyTable struct {
	byName  map[string]*joinedProxy
	byID    []*joinedProxy // proxies by id; nil for free ids
	freeIDs []int
}

// newProxyTable returns an empty table.
func newProxyTable() proxyTable { return proxyTable{byName: map[string]*joinedProxy{}} }

// add assigns a proxy its id and makes the proxy the current proxy of its name.
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

// isJoined reports whether a proxy is still the current proxy of its name.
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
