package planner

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/discovery"
	"lichenpick/internal/settings"
	"lichenpick/policy"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

// testSettings are the common settings of the tests. Each test may append to them.
const testSettings = `name: "p" listen: "127.0.0.1:0"
zones { name: "a" prefixes: "127.1.0.0/16" } zones { name: "b" prefixes: "127.2.0.0/16" }
groups { name: "check" latency_budget: "600ms" expiry: "1.5s" repeat: RETRIABLE }
groups { name: "charge" latency_budget: "800ms" expiry: "2.5s" }
list { file { path: "x" } }
`

const (
	testClassCount   = 2 // count of the traffic classes in testSettings
	testStepMs       = 50.0
	testUnixOriginMs = 1e12 // wall-clock time when the planner's clock shows 0
	maxDecisions     = 1e6  // limit on the decisions in one evaluation; a core that exceeds it is considered to loop endlessly
)

func parseTestSettings(t testing.TB, more string) *pb.Planner {
	t.Helper()
	set := &pb.Planner{}
	err := settings.Parse("test", []byte(testSettings+more), set)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// recordingHost is a core and its Host. As the Host, it records the messages to each stream and why the stream was closed.
type recordingHost struct {
	*Core
	t            testing.TB
	sent         map[*Stream][]proto.Message
	closed       map[*Stream]controlstream.CloseReason
	unresponsive map[*Stream]bool // streams whose proxies acknowledge nothing
}

// newRecordingHost starts a core with some servers, named s0, s1 and so on. The settings in more are appended to
// testSettings.
func newRecordingHost(t testing.TB, more string, servers int) *recordingHost {
	t.Helper()
	host := newIdleHost(t, more)
	host.UpdateEndpoints(endpointList(servers))
	host.evaluate(0)
	return host
}

// newIdleHost starts a core without servers that has not been evaluated yet.
func newIdleHost(t testing.TB, more string) *recordingHost {
	t.Helper()
	set := parseTestSettings(t, more)
	return &recordingHost{
		Core:         NewCore(set, NewPolicy(set), 1, 0),
		t:            t,
		sent:         map[*Stream][]proto.Message{},
		closed:       map[*Stream]controlstream.CloseReason{},
		unresponsive: map[*Stream]bool{},
	}
}

func (h *recordingHost) Send(s *Stream, _ controlstream.FrameKind, m proto.Message) {
	h.sent[s] = append(h.sent[s], m)
}

func (h *recordingHost) Close(s *Stream, why *controlstream.CloseError) { h.closed[s] = why.Reason }

func (h *recordingHost) SetTimer(float64) {}

func (h *recordingHost) ReserveEpochs(upTo uint64) { h.EpochsReserved(upTo, nil) }

// evaluate sets the time, in ms, and carries out all decisions.
func (h *recordingHost) evaluate(nowMs float64) {
	h.t.Helper()
	h.SetTime(nowMs, time.UnixMilli(int64(testUnixOriginMs+nowMs)))
	for decisions := 0; h.Next(h); decisions++ {
		if decisions > maxDecisions {
			h.t.Fatal("the core does not stop deciding")
		}
	}
}

// run evaluates the core every testStepMs within a time span, in ms. Before each evaluation, responsive proxies acknowledge
// all messages that the core has sent them.
func (h *recordingHost) run(fromMs, toMs float64) {
	h.t.Helper()
	for nowMs := fromMs; nowMs <= toMs; nowMs += testStepMs {
		for stream := range h.sent {
			if h.closed[stream] != "" {
				continue
			}
			h.HandleHeartbeat(stream)
			if !h.unresponsive[stream] {
				h.acknowledgeAll(stream)
			}
		}
		h.evaluate(nowMs)
	}
}

func (h *recordingHost) acknowledgeAll(s *Stream) {
	for _, message := range h.sent[s] {
		ack := &order.Applied{}
		if orders, ok := message.(*order.Orders); ok {
			ack = acknowledgementOf(orders)
		}
		h.HandleAck(s, ack)
	}
}

// acknowledgementOf returns the acknowledgement of a proxy that applied orders.
func acknowledgementOf(orders *order.Orders) *order.Applied {
	ack := &order.Applied{Number: orders.Number}
	for _, o := range orders.Orders {
		if request, ok := o.What.(*order.Order_Receipt); ok {
			ack.Receipts = append(ack.Receipts, request.Receipt)
		}
	}
	return ack
}

// join opens a stream of a proxy in zone a that reports a table with some servers.
func (h *recordingHost) join(name string, incarnation, streamNumber uint64, servers ...string) *Stream {
	stream := &Stream{Address: netip.MustParseAddr("127.1.0.9")}
	h.sent[stream] = nil
	h.HandleJoin(stream, &order.Join{
		Proxy:       name,
		UsualPerS:   10,
		Incarnation: incarnation,
		Stream:      streamNumber,
		Groups:      testClassCount,
		Holds:       tablesWith(servers...),
	})
	return stream
}

// tablesWith returns a table of some servers for all traffic classes, as a proxy reports it.
func tablesWith(servers ...string) []*order.Holding {
	table := &order.Holding{Groups: []uint32{0, 1}}
	for _, server := range servers {
		table.Lines = append(table.Lines, &order.Line{Server: server, Weight: 1})
	}
	return []*order.Holding{table}
}

// firstMessageWith returns the index of the first message to a stream that contains a matching order; -1 if there is none.
func (h *recordingHost) firstMessageWith(s *Stream, matches func(*order.Order) bool) int {
	return slices.IndexFunc(h.sent[s], func(message proto.Message) bool {
		orders, ok := message.(*order.Orders)
		return ok && slices.ContainsFunc(orders.Orders, matches)
	})
}

// received reports whether the core has sent a matching order to a stream.
func (h *recordingHost) received(s *Stream, matches func(*order.Order) bool) bool {
	return h.firstMessageWith(s, matches) >= 0
}

// isAssignment matches the assignment of a table.
func isAssignment(o *order.Order) bool { return o.GetBind() != nil }

// isEjectionOf matches the ejection of a server.
func isEjectionOf(server string) func(*order.Order) bool {
	return func(o *order.Order) bool {
		ejection := o.GetWithdraw()
		return ejection != nil && ejection.Server == server && ejection.Out
	}
}

// endsEjectionOf matches the readmission of a server.
func endsEjectionOf(server string) func(*order.Order) bool {
	return func(o *order.Order) bool {
		ejection := o.GetWithdraw()
		return ejection != nil && ejection.Server == server && !ejection.Out
	}
}

// endpointList returns a full update with some servers, named s0, s1 and so on, which alternate between the two zones.
func endpointList(count int) discovery.Update {
	update := discovery.Update{Kind: policy.FullUpdate, AsOfMs: testUnixOriginMs}
	for number := range count {
		update.Endpoints = append(update.Endpoints, discovery.Endpoint{
			Server:           fmt.Sprint("s", number),
			Zone:             zoneOf(number),
			RelativeCapacity: 1,
		})
	}
	return update
}

// zoneOf distributes servers and proxies evenly over the zones of testSettings.
func zoneOf(number int) string { return []string{"a", "b"}[number%2] }

// stateChange returns an update that sets the state of a server in zone a.
func stateChange(server string, state policy.State) discovery.Update {
	return discovery.Update{
		Kind:      policy.DeltaUpdate,
		AsOfMs:    testUnixOriginMs,
		Endpoints: []discovery.Endpoint{{Server: server, Zone: "a", State: state, RelativeCapacity: 1}},
	}
}

// isOrders matches messages that contain orders.
func isOrders(message proto.Message) bool {
	_, ok := message.(*order.Orders)
	return ok
}
