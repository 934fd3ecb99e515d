package planner

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"lichenpick/internal/proxy"
	"lichenpick/internal/settings"
	"lichenpick/policy"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

func TestDrain(t *testing.T) {
	t.Run("a drain reaches every proxy that uses the server", func(t *testing.T) {
		host := newRecordingHost(t, "proxies: 4", 4)
		first := host.join("x", 1, 1)
		second := host.join("y", 2, 1)
		host.run(0, 5000)
		host.UpdateEndpoints(stateChange("s0", policy.Draining))
		host.run(5050, 8000)
		if !host.received(first, isEjectionOf("s0")) || !host.received(second, isEjectionOf("s0")) {
			t.Error("a proxy was not notified of the ejection")
		}
	})
}

// Guards against a broken drain rule: proxies that joined with the table that they started with went on sending to a draining server of
// their zone while the planner had no other server for a class that keeps to the zone.
func TestDrainReachesProxiesWithoutAnAssignedTable(t *testing.T) {
	const classes = testClassCount + 1
	host := newIdleHost(t, `groups { name: "local" latency_budget: "600ms" expiry: "1.5s" only_zone: true } servers { drain_grace: "4s" }`)
	list := endpointList(2)
	list.Endpoints[0].State = policy.Draining
	host.UpdateEndpoints(list)
	host.evaluate(0)
	var streams []*Stream
	for number := range 3 {
		stream := &Stream{Address: netip.MustParseAddr("127.1.0.9")}
		host.sent[stream] = nil
		host.HandleJoin(stream, &order.Join{
			Proxy: fmt.Sprint("proxy", number), UsualPerS: 10, Incarnation: 1, Stream: 1, Groups: classes,
			Holds: []*order.Holding{{Groups: []uint32{0, 1, 2}, Lines: []*order.Line{{Server: "s0", Weight: 1}}}},
		})
		streams = append(streams, stream)
		host.run(float64(number)*1000, float64(number)*1000+950)
	}
	host.run(3000, 6500)
	for _, stream := range streams {
		welcome, welcomed := host.sent[stream][0].(*order.Welcome)
		notified := host.received(stream, isEjectionOf("s0")) || welcomed && slices.Contains(welcome.Withdrawn, "s0")
		if !notified {
			t.Errorf("%s was not notified of the drain within the grace", stream.Name())
		}
	}
}

// An ejection must end with the server's last table entry, both at the planner and at the proxy. Ejections that stay would
// accumulate with each replaced server. An ejection that ends only at the planner would keep the proxy from using the
// server once the server is ready again.
func TestEjectionEndsWithLastEntry(t *testing.T) {
	host := newRecordingHost(t, "", 8)
	stream := host.join("x", 1, 1)
	host.run(0, 8000)
	host.UpdateEndpoints(stateChange("s2", policy.Draining))
	host.run(8050, 30000)
	if !host.received(stream, isEjectionOf("s2")) {
		t.Fatal("the proxy was not notified of the drain")
	}
	p := host.proxies.byName["x"]
	if len(p.ejections) != 0 || !host.registry.Ejected["s2"] {
		t.Errorf("ejections that the proxy was notified of: %v, fleet-wide ejections: %v", p.ejections, host.registry.Ejected)
	}
	host.UpdateEndpoints(stateChange("s2", policy.Ready))
	host.run(30050, 60000)
	if !replayAtProxy(t, host, stream).MayReceive("s2") {
		t.Error("the proxy does not use a server that is ready again")
	}
}

// replayAtProxy applies all messages of a stream to a new proxy core and returns the proxy core.
func replayAtProxy(t *testing.T, host *recordingHost, stream *Stream) *proxy.Core {
	t.Helper()
	set := &pb.Proxy{}
	err := settings.Parse("proxy", []byte(`name: "x" listen: "127.0.0.1:0" planners: "127.0.0.1:1"
		groups { name: "check" latency_budget: "600ms" expiry: "1.5s" } groups { name: "charge" latency_budget: "800ms" expiry: "2.5s" }`), set)
	if err != nil {
		t.Fatal(err)
	}
	core := proxy.NewCore(set, 0)
	for _, message := range host.sent[stream] {
		switch message := message.(type) {
		case *order.Welcome:
			core.StartSession(message)
		case *order.Orders:
			core.ApplyOrders(message)
		}
	}
	return core
}

// When 2000 proxies join while a server drains, their first tables fill the send queue, and the drain's ejections are due
// within half the drain grace. The ejections must not wait behind the tables. The tables may wait, but no stream may be
// closed.
func TestDrainPrecedesManyJoins(t *testing.T) {
	host := newRecordingHost(t, `proxies: 2100 channel { lines: "20000/s" most_waiting: 30000 } servers { drain_grace: "5s" }`, 20)
	var established []*Stream
	for number := range 100 {
		established = append(established, host.join(fmt.Sprint("old", number), 1, 1))
	}
	host.run(0, 8000)
	host.UpdateEndpoints(stateChange("s2", policy.Draining))
	var joining []*Stream
	for number := range 2000 {
		joining = append(joining, host.join(fmt.Sprint("new", number), 1, 1))
	}
	host.run(8050, 10500) // half of the drain grace
	for _, stream := range established {
		if host.received(stream, assignsServer("s2")) && !host.received(stream, endsUseOfServer("s2")) {
			t.Fatalf("proxy %s was not notified of the drain within half the grace", stream.Name())
		}
	}
	host.run(10550, 40000)
	for _, stream := range joining {
		if !host.received(stream, isAssignment) {
			t.Fatalf("proxy %s was assigned no table", stream.Name())
		}
	}
	if len(host.closed) > 0 {
		t.Errorf("%d streams closed, expected none", len(host.closed))
	}
}

// assignsServer matches the assignment of a table that contains a server, and any change of the server's weight.
func assignsServer(server string) func(*order.Order) bool {
	return func(o *order.Order) bool {
		assigned := slices.ContainsFunc(o.GetBind().GetLines(), func(entry *order.Line) bool { return entry.Server == server })
		return assigned || o.GetLine().GetLine().GetServer() == server
	}
}

// endsUseOfServer matches a server's ejection and the removal of the server's entry from a table.
func endsUseOfServer(server string) func(*order.Order) bool {
	return func(o *order.Order) bool {
		removed := o.GetLine().GetLine().GetServer() == server && o.GetLine().Line.Weight == 0
		return removed || o.GetWithdraw().GetServer() == server
	}
}
