package platform

import (
	"strings"
	"testing"

	"lichenpick/policy"
)

func TestSilentProxies(t *testing.T) {
	// The timeout alone must not make a proxy count as silent: with a channel that is slower than the timeout, whole fleets
	// were deactivated before their first tables had left the channel, and were sent these tables again (897 deactivations
	// of 749 proxies, with 52,417 entries waiting).
	t.Run("with a delayed channel no proxy is deactivated and no table is sent again", testSilenceWithDelayedChannel)
	t.Run("if no proxy acknowledges, the largest backlog limits the time", func(t *testing.T) {
		h := startCore(t)
		connection := h.join(5)
		limits := h.settings.Policy
		h.advance(silenceTimeoutMs + maxChannelSlowdown*limits.MaxBacklog/limits.EntriesPerSecond*1000 + 3000)
		if !connection.proxy.inactive || h.closed[connection] {
			t.Errorf("inactive %t, closed %t", connection.proxy.inactive, h.closed[connection])
		}
	})
	t.Run("a silent proxy is inactive but open until its next message", testOneSilentProxy)
}

func testSilenceWithDelayedChannel(t *testing.T) {
	h := startCore(t)
	var connections []*Connection
	for id := range 6 {
		connections = append(connections, h.join(id))
	}
	h.advance(1000)
	for range 3 {
		h.advance(3000)
		// A demand report counts as a message, so lastMessageMs is set back to make the proxy silent.
		for id, connection := range connections {
			h.receive(connection, demandMessage(id))
			connection.lastMessageMs -= silenceTimeoutMs
		}
	}
	for id, connection := range connections {
		tables := strings.Count(h.sent[connection], "replace=1")
		if connection.proxy.inactive || tables != 1 {
			t.Errorf("proxy %d: inactive %t, %d complete tables", id, connection.proxy.inactive, tables)
		}
	}
	if h.Counts.SilentProxies != 0 {
		t.Errorf("%d proxies were deactivated", h.Counts.SilentProxies)
	}
}

func testOneSilentProxy(t *testing.T) {
	h := startCore(t)
	h.connect("joined id=4 site=b rps=10 new=0") // another silent proxy
	h.advance(1000)
	silent := h.join(5)
	other := h.join(6)
	for round := range 60 {
		h.advance(200)
		if silent.proxy.inactive && round*200 < silenceTimeoutMs {
			t.Fatalf("the proxy was deactivated after %d ms", 200*round)
		}
		h.acknowledge(other, 6)
		if round%20 == 0 { // causes an update that requests an acknowledgement
			state := policy.State(1 - round/20%2)
			h.UpdateEndpoints(policy.DeltaUpdate, []policy.Endpoint{{Server: "s-0", RelativeCapacity: 1, State: state}})
		}
	}
	if !silent.proxy.inactive || h.closed[silent] || other.proxy.inactive {
		t.Fatalf("inactive %t, closed %t, the other inactive %t", silent.proxy.inactive, h.closed[silent], other.proxy.inactive)
	}
	sent := len(h.sent[silent])
	h.receive(silent, demandMessage(5))
	h.advance(1000)
	if silent.proxy.inactive || !strings.Contains(h.sent[silent][sent:], "replace=1") {
		t.Errorf("inactive %t, sent %q", silent.proxy.inactive, h.sent[silent][sent:])
	}
}
