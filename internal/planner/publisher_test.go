package planner

import (
	"slices"
	"testing"

	"lichenpick/internal/controlstream"
	"lichenpick/policy"
	"lichenpick/proto/order"
)

// newCommandingHost is a planner that shares its fleet and commands a proxy which was sent some messages just before.
func newCommandingHost(t *testing.T, messagesBefore int) (*recordingHost, *Stream) {
	t.Helper()
	host, stream := newLeasingHost(t)
	statement := newFreeLease()
	statement.Holds = tablesWith("s0")
	for number := range messagesBefore {
		statement.MessagesAgoMs = append(statement.MessagesAgoMs, float64(number))
	}
	host.grantRequests(stream, 0, statement)
	if !host.leases.manager.Next(leaseHost{core: host.Core, host: host}) || !host.proxies.byName["x"].commanded {
		t.Fatal("the proxy is not commanded")
	}
	return host, stream
}

// The lease manager decides once a time step: until then only the check at departure stands between an expired lease and the
// orders that were decided under it.
func TestDepartureNeedsLease(t *testing.T) {
	for name, variant := range map[string]struct {
		end  func(*recordingHost, *Stream)
		sent bool
	}{
		"a message leaves while the lease is held": {func(*recordingHost, *Stream) {}, true},
		"none leaves once the proxy refused orders": {func(host *recordingHost, stream *Stream) {
			host.HandleAck(stream, &order.Applied{Number: 1, Refused: true})
		}, false},
		"none leaves under an epoch before the last": {func(host *recordingHost, _ *Stream) {
			host.proxies.byName["x"].epoch--
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			host, stream := newCommandingHost(t, 0)
			host.ejectByPolicy("s0", host.proxies.byName["x"])
			if !host.nextUpdate() {
				t.Fatal("nothing to send")
			}
			variant.end(host, stream)
			host.SetTime(1000, host.wallTime)
			if !host.nextDeparture(host) {
				t.Fatal("no message left the queue")
			}
			sent := slices.ContainsFunc(host.sent[stream], isOrders)
			if sent != variant.sent {
				t.Errorf("sent %v, expected %v", sent, variant.sent)
			}
		})
	}
}

// ejectByPolicy has a proxy notified of an ejection, as the policy's host does.
func (h *recordingHost) ejectByPolicy(server string, p *joinedProxy) {
	h.registry.SetEjected(server, true)
	h.setEjected(p, server, true)
}

func TestInheritedWindowLimitsMessages(t *testing.T) {
	const maxMessages = 20 // the default
	for name, variant := range map[string]struct {
		before  int
		refused bool
	}{
		"a last message fits into a window that is not full":    {maxMessages - 1, false},
		"none fits into a window that others' messages fill up": {maxMessages, true},
	} {
		t.Run(name, func(t *testing.T) {
			host, _ := newCommandingHost(t, variant.before)
			p := host.proxies.byName["x"]
			host.ejectByPolicy("s0", p)
			_, _, refusal := host.publisher.enqueue(host.nowMs)
			refused := refusal != nil && refusal.Reason == controlstream.ReasonLimitExceeded
			if refused != variant.refused || refusal != nil && !refused {
				t.Errorf("refused for %v", refusal)
			}
		})
	}
}

// A message that a limit refuses would leave the proxy on a table that nobody knows.
func TestRefusedUpdateClosesStream(t *testing.T) {
	host := newRecordingHost(t, "proxies: 4 channel { most_messages: 1 }", 4)
	stream := host.join("x", 1, 1)
	host.evaluate(50)
	p := host.proxies.byName["x"]
	for range 2 {
		host.ejectByPolicy("s0", p)
		host.evaluate(100)
	}
	if host.closed[stream] != controlstream.ReasonLimitExceeded {
		t.Errorf("closed %q", host.closed[stream])
	}
}

// An update holds the ejection of a server that drains, so that its acknowledgement is urgent, and others do not.
func TestUrgencyOfUpdates(t *testing.T) {
	host := newRecordingHost(t, "proxies: 4", 4)
	host.join("x", 1, 1)
	p := host.proxies.byName["x"]
	host.ejectByPolicy("s1", p)
	if p.update.urgent {
		t.Error("the ejection of a server that is ready is urgent")
	}
	host.endpoints.record("s0", policy.Draining, 0)
	host.ejectByPolicy("s0", p)
	if !p.update.urgent || p.update.entries != 2 {
		t.Errorf("%+v", p.update)
	}
}
