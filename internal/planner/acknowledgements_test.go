package planner

import (
	"testing"

	"lichenpick/internal/controlstream"
	"lichenpick/policy"
)

func TestLateAcknowledgement(t *testing.T) {
	t.Run("the stream of a proxy that does not acknowledge a drain is closed within the drain grace", func(t *testing.T) {
		host := newRecordingHost(t, "proxies: 4", 4)
		stream := host.join("x", 1, 1)
		host.run(0, 5000)
		host.unresponsive[stream] = true
		host.UpdateEndpoints(stateChange("s0", policy.Draining))
		host.run(5050, 8000)
		if host.closed[stream] != controlstream.ReasonAckTimeout {
			t.Errorf("close reason %q after the drain grace of 3 s, expected an acknowledgement timeout", host.closed[stream])
		}
		if len(host.proxies.byName) != 0 || host.publisher.queue.Len() != 0 {
			t.Errorf("%d proxies joined and %d messages queued, expected none", len(host.proxies.byName), host.publisher.queue.Len())
		}
	})
	t.Run("a proxy that does not acknowledge orders without a drain keeps its stream for that time", func(t *testing.T) {
		host := newRecordingHost(t, "proxies: 4", 4)
		stream := host.join("x", 1, 1)
		host.run(0, 2000)
		host.unresponsive[stream] = true
		host.run(2050, 4000)
		if host.closed[stream] != "" {
			t.Errorf("stream closed for %q", host.closed[stream])
		}
	})
}
