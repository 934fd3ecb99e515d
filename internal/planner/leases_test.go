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
	testPlannerName = "p" // name of the planner in testSettings
	testLeaseMs     = 2000
)

// newLeasingHost starts a planner with four servers that shares its fleet, and a proxy that has joined and granted no lease.
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

// newFreeLease returns the lease state of a proxy that reaches this planner and has granted no lease.
func newFreeLease() *order.Lease { return &order.Lease{Reachable: []string{testPlannerName}} }

// grantRequests grants all lease requests among the messages to a stream from the index fromMessage on. Each answer is a
// copy of the lease state in statement, completed with the granted lease. grantRequests returns the count of messages to the
// stream so far.
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

// runRenewing evaluates the core every testStepMs within a time span, in ms, and grants all lease requests among the
// messages to a stream from the index fromMessage on. It returns the number of messages to the stream so far.
func (h *recordingHost) runRenewing(s *Stream, fromMs, toMs float64, fromMessage int) int {
	h.t.Helper()
	for nowMs := fromMs; nowMs <= toMs; nowMs += testStepMs {
		h.run(nowMs, nowMs)
		fromMessage = h.grantRequests(s, fromMessage, newFreeLease())
	}
	return fromMessage
}

// expectAssignment returns the index of the first message that assigns a table, and fails the test if there is none.
func (h *recordingHost) expectAssignment(s *Stream) int {
	h.t.Helper()
	index := h.firstMessageWith(s, isAssignment)
	if index < 0 {
		h.t.Fatal("the proxy was assigned no table")
	}
	return index
}

func TestLeases(t *testing.T) {
	t.Run("no orders are sent before the proxy grants a lease, and then under the granted epoch", testOrdersNeedLease)
	t.Run("a drain that only the previous planner knew stays in force until the list shows it or a time has passed", func(t *testing.T) {
		testInheritedDrain(t, true)
		testInheritedDrain(t, false)
	})
	t.Run("messages of the previous planner count towards the message window", testInheritedWindow)
	t.Run("queued messages are not sent after the proxy has rejected orders or the lease has expired", func(t *testing.T) {
		testQueuedMessagesNeedLease(t, true)
		testQueuedMessagesNeedLease(t, false)
	})
	t.Run("a proxy without sharing is rejected by a planner with sharing, and the reverse", testSharingMustMatch)
}

func testOrdersNeedLease(t *testing.T) {
	host, stream := newLeasingHost(t)
	host.run(0, 3000)
	if host.received(stream, func(*order.Order) bool { return true }) {
		t.Errorf("orders sent without a lease: %v", host.sent[stream])
	}
	statement := newFreeLease()
	statement.Holds = tablesWith("s0")
	messages := host.grantRequests(stream, 0, statement)
	host.runRenewing(stream, 3050, 5000, messages)
	orders := host.sent[stream][host.expectAssignment(stream)].(*order.Orders)
	epoch, held := host.leases.manager.HoldsLease("x")
	if !held || orders.Epoch != epoch || orders.Epoch == 0 {
		t.Errorf("orders sent under epoch %d, lease held under epoch %d: %v", orders.Epoch, epoch, held)
	}
}

// testInheritedDrain takes over a proxy whose previous planner knew that s0 drains. If shown is set, the endpoint list
// shows the drain later; otherwise the list never shows it.
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
			t.Errorf("a draining server is assigned without its ejection: %v", assignment)
		}
	}
	if shown {
		host.UpdateEndpoints(stateChange("s0", policy.Draining))
	}
	host.runRenewing(stream, 3050, 40000, messages)
	ended := host.received(stream, endsEjectionOf("s0"))
	if ended == shown {
		t.Errorf("drain shown in the list: %v, server readmitted: %v", shown, ended)
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
	for round := range 12 { // each change of the endpoint list causes orders
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
		t.Errorf("%d messages after 18 of the previous planner, with a limit of 20 in 10 s; close reason %q", count, host.closed[stream])
	}
}

// testQueuedMessagesNeedLease ends a lease right before orders are decided: the proxy rejects a message if the
// parameter refused is set, and otherwise the lease expires.
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
			t.Errorf("refused %v: orders sent without a lease: %v", refused, orders)
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
		t.Errorf("close reasons %q without and %q with a lease", sharing.closed[withoutLease], alone.closed[withLease])
	}
}
