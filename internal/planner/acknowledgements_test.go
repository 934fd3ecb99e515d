package planner

import (
	"testing"

	"lichenpick/internal/controlstream"
	"lichenpick/policy"
)

func TestLateAcknowledgement(t *testing.T) {
	t.Run("a proxy that does not acknowledge a drain loses its stream within the grace", func(t *testing.T) {
		host := newRecordingHost(t, "proxies: 4", 4)
		stream := host.join("x", 1, 1)
		host.run(0, 5000)
		host.unresponsive[stream] = true
		host.UpdateEndpoints(stateChange("s0", policy.Draining))
		host.run(5050, 8000)
		if host.closed[stream] != controlstream.ReasonAckTimeout {
			t.Errorf("closed %q after the grace of 3 s", host.closed[stream])
		}
		if len(host.proxies.byName) != 0 || host.publisher.queue.Len() != 0 {
			t.Errorf("%d proxies joined, %d messages queued", len(host.proxies.byName), host.publisher.queue.Len())
		}
	})
	t.Run("a proxy that does not acknowledge orders without urgency keeps its stream as long", func(t *testing.T) {
		host := newRecordingHost(t, "proxies: 4", 4)
		stream := host.join("x", 1, 1)
		host.run(0, 2000)
		host.unresponsive[stream] = true
		host.run(2050, 4000)
		if host.closed[stream] != "" {
			t.Errorf("closed %q", host.closed[stream])
		}
	})
}
