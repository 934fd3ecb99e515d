package controlstream_test

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/golden"
	"lichenpick/proto/order"
)

// sender is the sending side of a session.
type sender interface {
	Append(dst []byte, kind controlstream.FrameKind, body proto.Message) ([]byte, error)
}

// receiver implements PlannerHost, ProxyHost and EndpointHost, to which the sessions pass the messages that they receive. It
// collects these messages.
type receiver struct{ messages []proto.Message }

func (r *receiver) add(message proto.Message) { r.messages = append(r.messages, message) }

func (r *receiver) OnJoin(m *order.Join)                 { r.add(m) }
func (r *receiver) OnLoadReport(m *order.Sums)           { r.add(m) }
func (r *receiver) OnAck(m *order.Applied)               { r.add(m) }
func (r *receiver) OnLease(m *order.Lease)               { r.add(m) }
func (r *receiver) OnWelcome(m *order.Welcome)           { r.add(m) }
func (r *receiver) OnOrders(m *order.Orders)             { r.add(m) }
func (r *receiver) OnLeaseRequest(m *order.Claim)        { r.add(m) }
func (r *receiver) OnLeaseRelease(m *order.Release)      { r.add(m) }
func (r *receiver) OnControllerStatus(m *order.Standing) { r.add(m) }
func (r *receiver) OnEndpoints(m *order.Listing)         { r.add(m) }

// frame is one frame of the recorded conversation. The label appears in the golden file instead of a Go name, so that
// renaming an identifier does not change the file.
type frame struct {
	label string
	kind  controlstream.FrameKind
	body  proto.Message // nil for an empty body
}

const (
	startMs            = 0
	hexChunkBytes      = 32 // bytes per line of the golden file
	maxFrameBytes      = 1 << 16
	handshakeTimeoutMs = 1000
	heartbeatTimeoutMs = 5000
	timestampUnixMs    = 1_790_000_000_000
	incarnation        = 0xfedcba9876543210
)

var conversationLimits = controlstream.Limits{MaxFrameBytes: maxFrameBytes, HandshakeTimeoutMs: handshakeTimeoutMs, HeartbeatTimeoutMs: heartbeatTimeoutMs}

func weightTable() *order.Holding {
	return &order.Holding{
		Groups:    []uint32{0, 2},
		Lines:     []*order.Line{{Server: "10.0.0.1:80", Weight: 0.625}, {Server: "10.0.0.2:80", Weight: 1.0 / 3}},
		Withdrawn: []string{"10.0.0.3:80"},
	}
}

func leaseState() *order.Lease {
	return &order.Lease{
		Nonce: 7, Granted: true, Epoch: 1 << 40, Controller: "planner-1", Incarnation: incarnation, LeftMs: 1999.5,
		Reachable:     []string{"planner-1", "planner-2"},
		Holds:         []*order.Holding{weightTable()},
		Levels:        []*order.Level{{Group: 1, Share: 0.75, Retry: 2}},
		MessagesAgoMs: []float64{0.5, 9000},
		Controllers:   3,
		Count:         300,
		Going:         []string{"10.0.0.3:80"},
	}
}

func proxyFrames() []frame {
	join := &order.Join{
		Proxy: "edge-1", Zone: "east", UsualPerS: 12.5, Incarnation: incarnation, Stream: 3, Standing: true,
		Holds: []*order.Holding{weightTable()}, Groups: 3, Lease: leaseState(),
	}
	report := &order.Sums{
		CoversMs: 1000.25,
		Servers: []*order.ServerSum{
			{Server: "10.0.0.1:80", Tries: 300, Dropped: 2, LatencyMs: 41.75},
			{Server: "10.0.0.2:80"},
		},
		Groups: []*order.GroupSum{{Group: 2, Came: 310, Dropped: 1}, {}},
	}
	return []frame{
		{"join", controlstream.FrameJoin, join},
		{"acknowledgement of the welcome", controlstream.FrameAck, &order.Applied{}},
		{"load report", controlstream.FrameLoadReport, report},
		{"acknowledgement", controlstream.FrameAck, &order.Applied{Number: 1, Receipts: []uint32{1, 200}, Epoch: 1 << 40}},
		{"acknowledgement, refused", controlstream.FrameAck, &order.Applied{Number: 2, Refused: true, Epoch: 1 << 41}},
		{"lease", controlstream.FrameLease, leaseState()},
		{"lease, unasked and free", controlstream.FrameLease, &order.Lease{}},
		{"heartbeat", controlstream.FrameHeartbeat, nil},
		{"goodbye", controlstream.FrameClose, &order.Bye{Reason: "stopping", AgainAfterMs: 1500}},
	}
}

// everyOrder returns orders of each kind. Most kinds occur twice: once with all fields set, and once with few or none.
func everyOrder() []*order.Order {
	bind := &order.Bind{
		Table:     9,
		Groups:    []uint32{0, 1, 300},
		Lines:     weightTable().Lines,
		Withdrawn: []string{"10.0.0.3:80", "10.0.0.4:80"},
		Levels:    []*order.Level{{}, {Group: 1, Share: 1, Retry: 3}},
		Going:     []string{"10.0.0.4:80"},
	}
	entry := &order.SetLine{Table: 9, Line: &order.Line{Server: "10.0.0.1:80", Weight: 0.1}, Forget: true}
	return []*order.Order{
		{What: &order.Order_Bind{Bind: bind}},
		{What: &order.Order_Bind{Bind: &order.Bind{}}},
		{What: &order.Order_Line{Line: entry}},
		{What: &order.Order_Line{Line: &order.SetLine{Line: &order.Line{Server: "10.0.0.2:80"}}}},
		{What: &order.Order_Withdraw{Withdraw: &order.Withdraw{Server: "10.0.0.3:80", Out: true, Going: true}}},
		{What: &order.Order_Withdraw{Withdraw: &order.Withdraw{Server: "10.0.0.3:80"}}},
		{What: &order.Order_Level{Level: &order.Level{Group: 2, Share: 0.5, Retry: 1}}},
		{What: &order.Order_Receipt{Receipt: 70000}},
	}
}

func plannerFrames() []frame {
	welcome := &order.Welcome{
		Planner: "planner-1", Incarnation: incarnation, ReportEveryMs: 1000, Withdrawn: []string{"10.0.0.3:80"}, Sharing: true,
	}
	message := &order.Orders{
		Planner: "planner-1", Incarnation: incarnation, DecidedUnixUs: timestampUnixMs * 1000, Lines: 12.5, Orders: everyOrder(),
		Number: 1, Epoch: 1 << 40,
	}
	claim := &order.Claim{Nonce: 7, Epoch: 1 << 40, Controller: "planner-1", Incarnation: incarnation, LeaseMs: 2000}
	return []frame{
		{"welcome", controlstream.FrameWelcome, welcome},
		{"standing", controlstream.FrameControllerStatus, &order.Standing{Controller: "planner-1", Incarnation: incarnation, Open: true}},
		{"standing, closed", controlstream.FrameControllerStatus, &order.Standing{}},
		{"lease request", controlstream.FrameLeaseRequest, claim},
		{"orders", controlstream.FrameOrders, message},
		{"orders, none", controlstream.FrameOrders, &order.Orders{}},
		{"release", controlstream.FrameLeaseRelease, &order.Release{Epoch: 1 << 40}},
		{"heartbeat", controlstream.FrameHeartbeat, nil},
		{"goodbye", controlstream.FrameClose, &order.Bye{Reason: "drained"}},
	}
}

func endpointFrames() []frame {
	entries := []*order.Listing_Entry{
		{Server: "10.0.0.1:80", Zone: "east", State: 1, Size: 2.5, BornUnixMs: timestampUnixMs},
		{Server: "10.0.0.2:80", State: 2},
	}
	whole := &order.Listing{Form: order.Listing_WHOLE, AsOfUnixMs: timestampUnixMs, Version: 41, Entries: entries}
	return []frame{
		{"endpoint list", controlstream.FrameEndpoints, whole},
		{"endpoint change", controlstream.FrameEndpoints, &order.Listing{Form: order.Listing_CHANGE, Version: 42, Entries: entries[1:]}},
		{"endpoint list, failed", controlstream.FrameEndpoints, &order.Listing{Form: order.Listing_FAILED}},
		{"heartbeat", controlstream.FrameHeartbeat, nil},
	}
}

// writeFrames returns the frames as encoded by one end of a stream, and appends a hex dump of each to text.
func writeFrames(t *testing.T, text *strings.Builder, end string, from sender, frames []frame) []byte {
	t.Helper()
	var stream []byte
	for _, f := range frames {
		before := len(stream)
		var err error
		stream, err = from.Append(stream, f.kind, f.body)
		if err != nil {
			t.Fatalf("%s: %s: %v", end, f.label, err)
		}
		fmt.Fprintf(text, "%s: %s\n", end, f.label)
		for rest := stream[before:]; len(rest) > 0; {
			size := min(hexChunkBytes, len(rest))
			fmt.Fprintf(text, "  %s\n", hex.EncodeToString(rest[:size]))
			rest = rest[size:]
		}
	}
	return stream
}

// checkReceived compares the messages that a receiver collected with the frames sent by the other end. Heartbeats and the
// close frame are left out, as sessions do not pass them on.
func checkReceived(t *testing.T, end string, got []proto.Message, frames []frame) {
	t.Helper()
	var want []proto.Message
	for _, f := range frames {
		if f.kind != controlstream.FrameHeartbeat && f.kind != controlstream.FrameClose {
			want = append(want, f.body)
		}
	}
	if len(got) != len(want) {
		t.Fatalf("%s received %d messages, want %d", end, len(got), len(want))
	}
	for index := range want {
		if !proto.Equal(got[index], want[index]) {
			t.Errorf("%s, message %d: got %v, want %v", end, index, got[index], want[index])
		}
	}
}

// TestGoldenConversation encodes frames of every kind, compares the bytes with a golden file and decodes them again. It
// guards against accidental changes of the protocol, for example by a rename, which would break streams between proxies and
// planners of different releases.
func TestGoldenConversation(t *testing.T) {
	planner := controlstream.NewPlannerSession(conversationLimits, startMs)
	proxy := controlstream.NewProxySession(conversationLimits, startMs)
	endpointSource := controlstream.NewPlannerSession(conversationLimits, startMs) // used only to encode frames
	endpointReader := controlstream.NewEndpointSession(conversationLimits, startMs)
	var text strings.Builder
	fromProxy := writeFrames(t, &text, "proxy", proxy, proxyFrames())
	fromPlanner := writeFrames(t, &text, "planner", planner, plannerFrames())
	fromEndpointSource := writeFrames(t, &text, "list source", endpointSource, endpointFrames())
	golden.Check(t, "testdata/conversation.golden.txt", []byte(text.String()))

	atPlanner, atProxy, atEndpointReader := &receiver{}, &receiver{}, &receiver{}
	planner.Feed(startMs, fromProxy)
	for planner.Next(atPlanner) {
	}
	proxy.Feed(startMs, fromPlanner)
	for proxy.Next(atProxy) {
	}
	endpointReader.Feed(startMs, fromEndpointSource)
	for endpointReader.Next(atEndpointReader) {
	}
	checkReceived(t, "the planner", atPlanner.messages, proxyFrames())
	checkReceived(t, "the proxy", atProxy.messages, plannerFrames())
	checkReceived(t, "the endpoint reader", atEndpointReader.messages, endpointFrames())
	for end, ended := range map[string]*controlstream.CloseError{"planner": planner.CloseCause(), "proxy": proxy.CloseCause()} {
		if ended == nil || ended.Reason != controlstream.ReasonPeerClosed {
			t.Errorf("the %s's stream ended with %v, want %s", end, ended, controlstream.ReasonPeerClosed)
		}
	}
	if endpointReader.CloseCause() != nil {
		t.Errorf("the endpoint reader's stream ended with %v, want it open", endpointReader.CloseCause())
	}
}

// TestConversationIsComplete checks that TestGoldenConversation covers every frame kind and every field of the protocol. It
// fails if the protocol is extended and the conversation is not.
func TestConversationIsComplete(t *testing.T) {
	const kinds = 12
	seenKinds := map[controlstream.FrameKind]bool{}
	seenFields := map[protoreflect.FullName]bool{}
	for _, frames := range [][]frame{proxyFrames(), plannerFrames(), endpointFrames()} {
		for _, f := range frames {
			seenKinds[f.kind] = true
			if f.body != nil {
				golden.CollectNames(f.body.ProtoReflect(), seenFields)
			}
		}
	}
	if len(seenKinds) != kinds {
		t.Errorf("the conversation has %d kinds of frames, want %d", len(seenKinds), kinds)
	}
	if next := controlstream.FrameKind(kinds + 1).String(); !strings.HasPrefix(next, "kind ") {
		t.Errorf("the protocol has another kind of frame, %q, that is missing in the conversation", next)
	}
	checkFields(t, order.File_proto_order_order_proto.Messages(), seenFields)
}

func checkFields(t *testing.T, messages protoreflect.MessageDescriptors, seen map[protoreflect.FullName]bool) {
	t.Helper()
	for index := range messages.Len() {
		message := messages.Get(index)
		for number := range message.Fields().Len() {
			if name := message.Fields().Get(number).FullName(); !seen[name] {
				t.Errorf("field %s is not set in any message of the conversation", name)
			}
		}
		checkFields(t, message.Messages(), seen)
	}
}
