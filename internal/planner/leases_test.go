package planner

import (
	"net/netip"
	"testing"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/controlstream"
	"lichenpick/policy"
	"lichenpick/proto/order"
)

const (
	testPlannerName = "p" // in testSettings
	testLeaseMs     = 2000
)

// newLeasingHost starts a planner of four servers that shares its fleet, with a proxy that may grant it a lease.
func newLeasingHost(t *testing.T) (*recordingHost, *Stream) {
	t.Helper()
	const servers = 4
	host := newIdleHost(t, `proxies: 4 sharing { store: "x" }`)
	host.EnableLeases(0)
	host.UpdateEndpoints(endpointList(servers))
	stream := &Stream{Address: netip.MustParseAddr("127.1.0.9")}
	host.sent[stream] = nil
	host.HandleJoin(stream, &order.Join{
		Proxy:       "x",
		UsualPerS:   10,
		Incarnation: 1,
		Stream:      1,
		Groups:      testClassCount,
		Lease:       newFreeLease(),
	})
	host.evaluate(0)
	return host, stream
}

// newFreeLease is a proxy's statement that reaches this planner and has granted no lease.
func newFreeLease() *order.Lease { return &order.Lease{Reachable: []string{testPlannerName}} }

// grantRequests answers the lease requests that a stream was sent from a message on, with a statement that it fills in. It returns
// the number of messages so far.
func (h *recordingHost) grantRequests(s *Stream, fromMessage int, statement *order.Lease) int {
	for _, message := range h.sent[s][fromMessage:] {
		request, ok := message.(*order.Claim)
		if !ok {
			continue
		}
		state := proto.CloneOf(statement)
		state.Nonce = request.Nonce
		state.Granted = true
		state.Epoch = request.Epoch
		state.Controller = testPlannerName
		state.Incarnation = 1
		state.LeftMs = testLeaseMs
		h.HandleLease(s, state)
	}
	return len(h.sent[s])
}

// runRenewing lets time pass, in ms, and grants all renewals requested from a message on. It returns the number of messages
// so far.
func (h *recordingHost) runRenewing(s *Stream, fromMs, toMs float64, fromMessage int) int {
	h.t.Helper()
	for nowMs := fromMs; nowMs <= toMs; nowMs += testStepMs {
		h.run(nowMs, nowMs)
		fromMessage = h.grantRequests(s, fromMessage, newFreeLease())
	}
	return fromMessage
}

// expectAssignment returns the index of the message that assigns a table.
func (h *recordingHost) expectAssignment(s *Stream) int {
	h.t.Helper()
	index := h.firstMessageWith(s, isAssignment)
	if index < 0 {
		h.t.Fatal("no table assigned")
	}
	return index
}

func TestLeases(t *testing.T) {
	t.Run("nothing is ordered before the proxy grants a lease, and everything under its epoch", testOrdersNeedLease)
	t.Run("a drain that only the predecessor knew is kept, until our list shows it or long after", func(t *testing.T) {
		testInheritedDrain(t, true)
		testInheritedDrain(t, false)
	})
	t.Run("messages of the predecessor count in the window", testInheritedWindow)
	t.Run("queued messages are not sent once the proxy refuses orders or its lease expires", func(t *testing.T) {
		testQueuedMessagesNeedLease(t, true)
		testQueuedMessagesNeedLease(t, false)
	})
	t.Run("a proxy that does not share is rejected by a planner that does, and the reverse", testSharingMustMatch)
}

func testOrdersNeedLease(t *testing.T) {
	host, stream := newLeasingHost(t)
	host.run(0, 3000)
	if host.received(stream, func(*order.Order) bool { return true }) {
		t.Errorf("%v", host.sent[stream])
	}
	statement := newFreeLease()
	statement.Holds = tablesWith("s0")
	messages := host.grantRequests(stream, 0, statement)
	host.runRenewing(stream, 3050, 5000, messages)
	orders := host.sent[stream][host.expectAssignment(stream)].(*order.Orders)
	epoch, held := host.leases.manager.HoldsLease("x")
	if !held || orders.Epoch != epoch || orders.Epoch == 0 {
		t.Errorf("ordered under epoch %d, granted %d, held %v", orders.Epoch, epoch, held)
	}
}

// testInheritedDrain takes over a proxy whose last planner knew that s0 drains, which our list shows later or never.
func testInheritedDrain(t *testing.T, shown bool) {
	t.Helper()
	host, stream := newLeasingHost(t)
	statement := newFreeLease()
	statement.Holds = tablesWith("s0", "s1")
	statement.Going = []string{"s0"}
	messages := host.grantRequests(stream, 0, statement)
	messages = host.runRenewing(stream, 50, 3000, messages)
	assignment := host.sent[stream][host.expectAssignment(stream)].(*order.Orders).Orders[0].GetBind()
	for _, entry := range assignment.Lines {
		if entry.Server == "s0" && (len(assignment.Withdrawn) != 1 || len(assignment.Going) != 1) {
			t.Errorf("assigned to a server that drains: %v", assignment)
		}
	}
	if shown {
		host.UpdateEndpoints(stateChange("s0", policy.Draining))
	}
	host.runRenewing(stream, 3050, 40000, messages)
	ended := host.received(stream, endsEjectionOf("s0"))
	if ended == shown {
		t.Errorf("drain shown %v: ejection ended %v", shown, ended)
	}
}

func testInheritedWindow(t *testing.T) {
	const inheritedMessages, maxFurtherMessages = 18, 2
	host, stream := newLeasingHost(t)
	statement := newFreeLease()
	statement.Holds = tablesWith("s0")
	for number := range inheritedMessages {
		statement.MessagesAgoMs = append(statement.MessagesAgoMs, float64(100*number))
	}
	messages := host.grantRequests(stream, 0, statement)
	for round := range 12 { // a list that gives much to order
		beginMs := 500 * float64(round)
		messages = host.runRenewing(stream, beginMs+50, beginMs+500, messages)
		host.UpdateEndpoints(stateChange("s0", policy.State(round%2)))
	}
	count := 0
	for _, message := range host.sent[stream] {
		if _, ok := message.(*order.Orders); ok {
			count++
		}
	}
	if count > maxFurtherMessages || host.closed[stream] != "" {
		t.Errorf("%d messages after 18 within 10 s, of 20; closed %q", count, host.closed[stream])
	}
}

// testQueuedMessagesNeedLease ends a lease while orders are decided, by the proxy's refusal or by time.
func testQueuedMessagesNeedLease(t *testing.T, refused bool) {
	t.Helper()
	host, stream := newLeasingHost(t)
	statement := newFreeLease()
	statement.Holds = tablesWith("s0")
	messages := host.grantRequests(stream, 0, statement)
	messages = host.runRenewing(stream, 50, 3000, messages)
	nowMs := 6000.0 // the lease has expired
	if refused {
		nowMs = 3050
		host.HandleAck(stream, &order.Applied{Number: 1, Refused: true})
	}
	host.UpdateEndpoints(stateChange("s0", policy.Draining))
	host.SetTime(nowMs, host.wallTime)
	for host.Next(host) {
	}
	for _, message := range host.sent[stream][messages:] {
		if orders, ok := message.(*order.Orders); ok {
			t.Errorf("refused %v: sent %v", refused, orders)
		}
	}
	p := host.proxies.byName["x"]
	if p == nil || p.commanded || host.publisher.queue.Len() > 0 {
		t.Errorf("refused %v: the proxy is still commanded", refused)
	}
}

func testSharingMustMatch(t *testing.T) {
	sharing, _ := newLeasingHost(t)
	withoutLease := sharing.join("y", 1, 1)
	sharing.evaluate(50)
	alone := newRecordingHost(t, "proxies: 4", 4)
	withLease := &Stream{Address: netip.MustParseAddr("127.1.0.9")}
	alone.HandleJoin(withLease, &order.Join{Proxy: "z", Groups: testClassCount, Lease: &order.Lease{}})
	alone.evaluate(50)
	if sharing.closed[withoutLease] != controlstream.ReasonUnknownPeer || alone.closed[withLease] != controlstream.ReasonUnknownPeer {
		t.Errorf("%q %q", sharing.closed[withoutLease], alone.closed[withLease])
	}
}
