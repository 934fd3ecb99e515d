package planner

import (
	"slices"
	"testing"

	"lichenpick/internal/controlstream"
	"lichenpick/policy"
	"lichenpick/proto/order"
)

// newCommandingHost starts a planner that shares its fleet and commands a proxy, to which other planners have just sent some
// messages.
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

// The lease manager decides only at the beginning of an evaluation. Until the next evaluation, only the check when a
// message leaves the queue prevents sending orders whose lease has ended.
func TestDepartureNeedsLease(t *testing.T) {
	for name, variant := range map[string]struct {
		end  func(*recordingHost, *Stream)
		sent bool
	}{
		"a message is sent while the lease is held": {func(*recordingHost, *Stream) {}, true},
		"no message is sent after the proxy has rejected orders": {func(host *recordingHost, stream *Stream) {
			host.HandleAck(stream, &order.Applied{Number: 1, Refused: true})
		}, false},
		"no message is sent under an epoch other than the granted one": {func(host *recordingHost, _ *Stream) {
			host.proxies.byName["x"].epoch--
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			host, stream := newCommandingHost(t, 0)
			host.ejectByPolicy("s0", host.proxies.byName["x"])
			if !host.nextUpdate() {
				t.Fatal("no update was queued")
			}
			variant.end(host, stream)
			host.SetTime(1000, host.wallTime)
			if !host.nextDeparture(host) {
				t.Fatal("no message left the queue")
			}
			sent := slices.ContainsFunc(host.sent[stream], isOrders)
			if sent != variant.sent {
				t.Errorf("orders sent: %v, expected %v", sent, variant.sent)
			}
		})
	}
}

// ejectByPolicy ejects a server and notifies a proxy of the ejection, as policyHost does.
func (h *recordingHost) ejectByPolicy(server string, p *joinedProxy) {
	h.registry.SetEjected(server, true)
	h.setEjected(p, server, true)
}

func TestInheritedWindowLimitsMessages(t *testing.T) {
	const maxMessages = 20 // default message window
	for name, variant := range map[string]struct {
		before  int
		refused bool
	}{
		"a message is accepted while the window is not full":                 {maxMessages - 1, false},
		"no message is accepted if other planners' messages fill the window": {maxMessages, true},
	} {
		t.Run(name, func(t *testing.T) {
			host, _ := newCommandingHost(t, variant.before)
			p := host.proxies.byName["x"]
			host.ejectByPolicy("s0", p)
			_, _, refusal := host.publisher.enqueue(host.nowMs)
			refused := refusal != nil && refusal.Reason == controlstream.ReasonLimitExceeded
			if refused != variant.refused || refusal != nil && !refused {
				t.Errorf("rejection %v is not the expected one", refusal)
			}
		})
	}
}

// If a limit rejects a message, the proxy's stream must be closed: the proxy would otherwise use tables that differ from
// those that the planner has recorded.
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
		t.Errorf("close reason %q, expected an exceeded limit", host.closed[stream])
	}
}

// Only an update that ejects a draining server is urgent: its acknowledgement is due within the drain grace.
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
		t.Errorf("expected an urgent update of 2 entries, got %+v", p.update)
	}
}
