package planner

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"lichenpick/internal/controlstream"
	"lichenpick/policy"
	"lichenpick/proto/order"
)

func TestJoin(t *testing.T) {
	t.Run("a joining proxy is welcomed and assigned a table", func(t *testing.T) {
		host := newRecordingHost(t, "proxies: 4", 6)
		stream := host.join("x", 1, 1)
		host.run(0, 2000)
		_, welcomed := host.sent[stream][0].(*order.Welcome)
		if !welcomed || !host.received(stream, isAssignment) || host.closed[stream] != "" {
			t.Errorf("messages sent: %v, close reason %q", host.sent[stream], host.closed[stream])
		}
	})
	t.Run("the welcome lists the ejected servers in the tables that the proxy reports", func(t *testing.T) {
		host := newRecordingHost(t, "proxies: 4", 4)
		first := host.join("x", 1, 1)
		host.run(0, 5000)
		host.UpdateEndpoints(stateChange("s0", policy.Draining))
		host.run(5050, 7000)
		second := host.join("y", 2, 1, "s0", "s1")
		host.evaluate(7050)
		welcome, ok := host.sent[second][0].(*order.Welcome)
		if !ok || fmt.Sprint(welcome.Withdrawn) != "[s0]" || host.closed[first] != "" {
			t.Errorf("wrong welcome, or the first stream was closed: %v", host.sent[second])
		}
	})
	t.Run("a proxy of an unknown zone or with another number of traffic classes is rejected", func(t *testing.T) {
		host := newRecordingHost(t, "proxies: 4", 4)
		elsewhere := &Stream{Address: netip.MustParseAddr("10.0.0.1")}
		host.HandleJoin(elsewhere, &order.Join{Proxy: "x", Groups: testClassCount})
		otherClasses := &Stream{Address: netip.MustParseAddr("127.2.0.1")}
		host.HandleJoin(otherClasses, &order.Join{Proxy: "y", Groups: testClassCount + 1})
		host.evaluate(0)
		if host.closed[elsewhere] != controlstream.ReasonUnknownPeer || host.closed[otherClasses] != controlstream.ReasonUnknownPeer {
			t.Errorf("close reasons %q for the zone and %q for the traffic classes", host.closed[elsewhere], host.closed[otherClasses])
		}
	})
}

func TestProxyName(t *testing.T) {
	t.Run("a name belongs to its process until that is silent, and to the newest stream of that process", func(t *testing.T) {
		host := newRecordingHost(t, "proxies: 4", 4)
		// The arguments of join are the proxy's name, the incarnation, which differs for each process, and the number of the
		// stream; a process numbers its streams from 1.
		first := host.join("x", 1, 1)
		host.run(0, 1000)
		otherProcess := host.join("x", 2, 1) // incarnation 2, another process, joins while the stream of incarnation 1 is alive
		host.run(1050, 1100)
		if host.closed[otherProcess] != controlstream.ReasonNameInUse || host.closed[first] != "" {
			t.Errorf("close reasons: other process %q, first stream %q", host.closed[otherProcess], host.closed[first])
		}
		redialed := host.join("x", 1, 2) // incarnation 1 joins again with its stream 2
		host.run(1150, 2000)
		if host.closed[first] != controlstream.ReasonSuperseded || host.closed[redialed] != "" || !host.received(redialed, isAssignment) {
			t.Errorf("close reasons: first stream %q, second stream %q", host.closed[first], host.closed[redialed])
		}
		delayed := host.join("x", 1, 1) // stream 1 of incarnation 1 joins late, after its stream 2
		host.run(2050, 2100)
		if host.closed[delayed] != controlstream.ReasonNameInUse || host.closed[redialed] != "" {
			t.Errorf("close reasons: delayed stream %q, second stream %q", host.closed[delayed], host.closed[redialed])
		}
		host.SetTime(9000, time.Time{}) // incarnation 1 has been silent for longer than nameReservedMs
		successor := host.join("x", 3, 1)
		host.evaluate(9000)
		if host.closed[successor] != "" {
			t.Errorf("close reason of the next process's stream: %q", host.closed[successor])
		}
	})
}
