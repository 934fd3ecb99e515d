package planner

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"maps"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/discovery"
	"lichenpick/internal/proxy"
	"lichenpick/internal/settings"
	"lichenpick/policy"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

const file = `name: "p" listen: "127.0.0.1:0"
zones { name: "a" prefixes: "127.1.0.0/16" } zones { name: "b" prefixes: "127.2.0.0/16" }
groups { name: "check" latency_budget: "600ms" expiry: "1.5s" repeat: RETRIABLE }
groups { name: "charge" latency_budget: "800ms" expiry: "2.5s" }
list { file { path: "x" } }
`

func planned(t testing.TB, more string) *pb.Planner {
	t.Helper()
	set := &pb.Planner{}
	if err := settings.Parse("test", []byte(file+more), set); err != nil {
		t.Fatal(err)
	}
	return set
}

// wire is a host that keeps what each stream was sent, and how it ended.
type wire struct {
	*Core
	sent  map[*Stream][]proto.Message
	ended map[*Stream]controlstream.CloseReason
	deaf  map[*Stream]bool // answers nothing
}

func begin(t testing.TB, more string, servers int) *wire {
	set := planned(t, more)
	w := &wire{Core: NewCore(set, NewPolicy(set), 1, 0), sent: map[*Stream][]proto.Message{}, ended: map[*Stream]controlstream.CloseReason{}, deaf: map[*Stream]bool{}}
	w.UpdateEndpoints(listed(servers))
	w.at(0)
	return w
}

func listed(n int) discovery.Update {
	u := discovery.Update{Kind: policy.FullUpdate, AsOfMs: 1e12}
	for i := range n {
		u.Endpoints = append(u.Endpoints, discovery.Endpoint{Server: fmt.Sprint("s", i), Zone: string("ab"[i%2]), RelativeCapacity: 1})
	}
	return u
}

func (w *wire) Send(s *Stream, _ controlstream.FrameKind, m proto.Message) {
	w.sent[s] = append(w.sent[s], m)
}
func (w *wire) Close(s *Stream, why *controlstream.CloseError) { w.ended[s] = why.Reason }
func (w *wire) SetTimer(float64)                               {}
func (w *wire) ReserveEpochs(upTo uint64)                      { w.EpochsReserved(upTo, nil) }

func (w *wire) at(now float64) {
	w.SetTime(now, time.UnixMilli(int64(1e12+now)))
	for n := 0; w.Next(w); n++ {
		if n > 1e6 {
			panic("decisions without end")
		}
	}
}

// run lets time pass in steps of 50 ms; proxies that are not deaf answer what they are sent.
func (w *wire) run(from, to float64) {
	for now := from; now <= to; now += 50 {
		for s := range w.sent {
			if w.ended[s] == "" {
				w.HandleHeartbeat(s)
				if !w.deaf[s] {
					w.answer(s)
				}
			}
		}
		w.at(now)
	}
}

func (w *wire) answer(s *Stream) {
	for _, m := range w.sent[s] {
		a := &order.Applied{}
		if o, ok := m.(*order.Orders); ok {
			a.Number = o.Number
			for _, x := range o.Orders {
				if r, ok := x.What.(*order.Order_Receipt); ok {
					a.Receipts = append(a.Receipts, r.Receipt)
				}
			}
		}
		w.HandleAck(s, a)
	}
}

func (w *wire) join(name string, incarnation, streams uint64, holds ...string) *Stream {
	s := &Stream{Address: netip.MustParseAddr("127.1.0.9")}
	j := &order.Join{Proxy: name, UsualPerS: 10, Incarnation: incarnation, Stream: streams, Groups: 2}
	h := &order.Holding{Groups: []uint32{0, 1}}
	for _, server := range holds {
		h.Lines = append(h.Lines, &order.Line{Server: server, Weight: 1})
	}
	j.Holds = []*order.Holding{h}
	w.sent[s] = nil
	w.HandleJoin(s, j)
	return s
}

// told says whether a stream was told something that the function finds, and in which message.
func (w *wire) told(s *Stream, is func(o *order.Order) bool) int {
	for n, m := range w.sent[s] {
		if o, ok := m.(*order.Orders); ok {
			for _, x := range o.Orders {
				if is(x) {
					return n
				}
			}
		}
	}
	return -1
}

func bound(o *order.Order) bool { return o.GetBind() != nil }

func out(server string) func(*order.Order) bool {
	return func(o *order.Order) bool { w := o.GetWithdraw(); return w != nil && w.Server == server && w.Out }
}

func state(server string, s policy.State) discovery.Update {
	return discovery.Update{Kind: policy.DeltaUpdate, Endpoints: []discovery.Endpoint{{Server: server, Zone: "a", State: s, RelativeCapacity: 1}}}
}

func TestCore(t *testing.T) {
	t.Run("a proxy that joins is welcomed and bound", func(t *testing.T) {
		w := begin(t, "proxies: 4", 6)
		s := w.join("x", 1, 1)
		w.run(0, 2000)
		if _, ok := w.sent[s][0].(*order.Welcome); !ok || w.told(s, bound) < 0 || w.ended[s] != "" {
			t.Errorf("%v, ended %q", w.sent[s], w.ended[s])
		}
	})
	t.Run("a drain reaches every proxy that holds the server", func(t *testing.T) {
		w := begin(t, "proxies: 4", 4)
		a, b := w.join("x", 1, 1), w.join("y", 2, 1)
		w.run(0, 5000)
		w.UpdateEndpoints(state("s0", policy.Draining))
		w.run(5050, 8000)
		if w.told(a, out("s0")) < 0 || w.told(b, out("s0")) < 0 {
			t.Error("not withdrawn")
		}
	})
	t.Run("what is withdrawn binds a proxy from its welcome on", func(t *testing.T) {
		w := begin(t, "proxies: 4", 4)
		a := w.join("x", 1, 1)
		w.run(0, 5000)
		w.UpdateEndpoints(state("s0", policy.Draining))
		w.run(5050, 7000)
		b := w.join("y", 2, 1, "s0", "s1")
		w.at(7050)
		if m, ok := w.sent[b][0].(*order.Welcome); !ok || fmt.Sprint(m.Withdrawn) != "[s0]" || w.ended[a] != "" {
			t.Errorf("%v", w.sent[b])
		}
	})
	t.Run("a proxy that does not answer a drain loses its stream within the grace", func(t *testing.T) {
		w := begin(t, "proxies: 4", 4)
		a := w.join("x", 1, 1)
		w.run(0, 5000)
		w.deaf[a] = true
		w.UpdateEndpoints(state("s0", policy.Draining))
		w.run(5050, 8000)
		if w.ended[a] != controlstream.ReasonAckTimeout {
			t.Errorf("ended %q after the grace of 3 s", w.ended[a])
		}
		if w.deaf[a] = false; len(w.proxies.byName) != 0 || w.publisher.queue.Len() != 0 {
			t.Errorf("%d joined, %d messages wait", len(w.proxies.byName), w.publisher.queue.Len())
		}
	})
	t.Run("but not for orders that can wait", func(t *testing.T) {
		w := begin(t, "proxies: 4", 4)
		a := w.join("x", 1, 1)
		w.run(0, 2000)
		w.deaf[a] = true
		w.run(2050, 4000)
		if w.ended[a] != "" {
			t.Errorf("ended %q", w.ended[a])
		}
	})
	t.Run("two streams that claim one proxy", func(t *testing.T) {
		w := begin(t, "proxies: 4", 4)
		a := w.join("x", 1, 1)
		w.run(0, 1000)
		other := w.join("x", 2, 1) // another process, while the first is alive
		w.run(1050, 1100)
		if w.ended[other] != controlstream.ReasonNameInUse || w.ended[a] != "" {
			t.Errorf("%q, %q", w.ended[other], w.ended[a])
		}
		again := w.join("x", 1, 2) // the same process has dialled again
		w.run(1150, 2000)
		if w.ended[a] != controlstream.ReasonSuperseded || w.ended[again] != "" || w.told(again, bound) < 0 {
			t.Errorf("%q, %q", w.ended[a], w.ended[again])
		}
		late := w.join("x", 1, 1) // a dial that was under way for long
		w.run(2050, 2100)
		if w.ended[late] != controlstream.ReasonNameInUse || w.ended[again] != "" {
			t.Errorf("%q, %q", w.ended[late], w.ended[again])
		}
		w.SetTime(9000, time.Time{}) // the first is silent by now
		next := w.join("x", 3, 1)
		w.at(9000)
		if w.ended[next] != "" {
			t.Errorf("%q", w.ended[next])
		}
	})
	t.Run("a proxy of no zone, or of another table of groups, is sent away", func(t *testing.T) {
		w := begin(t, "proxies: 4", 4)
		s := &Stream{Address: netip.MustParseAddr("10.0.0.1")}
		w.HandleJoin(s, &order.Join{Proxy: "x", Groups: 2})
		u := &Stream{Address: netip.MustParseAddr("127.2.0.1")}
		w.HandleJoin(u, &order.Join{Proxy: "y", Groups: 3})
		w.at(0)
		if w.ended[s] != controlstream.ReasonUnknownPeer || w.ended[u] != controlstream.ReasonUnknownPeer {
			t.Errorf("%q %q", w.ended[s], w.ended[u])
		}
	})
	t.Run("200 proxies that join at once keep the queue short, and all are bound", func(t *testing.T) {
		w := begin(t, "proxies: 200", 10)
		var all []*Stream
		for n := range 200 {
			all = append(all, w.join(fmt.Sprint("x", n), 1, 1))
		}
		w.run(0, 15000)
		for _, s := range all {
			if w.told(s, bound) < 0 || w.ended[s] != "" {
				t.Fatalf("%v, ended %q", w.told(s, bound), w.ended[s])
			}
		}
		if peak := w.publisher.queue.PeakBacklog(); peak > 3500 {
			t.Errorf("%g lines waited", peak)
		}
	})
	t.Run("a report about a server already gone changes nothing, one about a server never listed is not heard", func(t *testing.T) {
		w := begin(t, "proxies: 4", 4)
		a := w.join("x", 1, 1)
		w.run(0, 3000)
		w.UpdateEndpoints(state("s0", policy.Removed))
		w.run(3050, 5000)
		n := len(w.sent[a])
		w.HandleLoadReport(a, &order.Sums{CoversMs: 1000, Servers: []*order.ServerSum{{Server: "s0", Tries: 50, LatencyMs: 5}, {Server: "odd", Tries: 9}}})
		w.run(5050, 6500)
		for _, m := range w.sent[a][n:] {
			for _, o := range m.(*order.Orders).Orders {
				if l := o.GetLine(); l != nil && l.Line.Server == "s0" && l.Line.Weight > 0 {
					t.Errorf("sent again: %v", o)
				}
			}
		}
		if w.Counts.Ignored != 1 || w.told(a, out("s0")) < 0 {
			t.Errorf("%d unheard", w.Counts.Ignored)
		}
	})
	t.Run("the last inputs can be written out", func(t *testing.T) {
		w := begin(t, "proxies: 4", 4)
		a := w.join("x", 1, 1)
		for range recentInputCount {
			w.HandleLoadReport(a, &order.Sums{CoversMs: 7})
		}
		var b bytes.Buffer
		if w.DumpInputs(&b); strings.Count(b.String(), "\n") != recentInputCount || !strings.Contains(b.String(), "load report x covers_ms:7") {
			t.Errorf("%.300s", b.String())
		}
	})
}

// A withdrawal that outlives the server's last line would stay for ever at both ends, one for each server that was ever
// replaced; one that ends at one side only would have the proxy keep off a server that the planner means it to use.
func TestWithdrawalsEnd(t *testing.T) {
	w := begin(t, "", 8)
	s := w.join("x", 1, 1)
	w.run(0, 8000)
	w.UpdateEndpoints(discovery.Update{Kind: policy.DeltaUpdate, AsOfMs: 1e12, Endpoints: []discovery.Endpoint{{Server: "s2", Zone: "a", RelativeCapacity: 1, State: policy.Draining}}})
	w.run(8050, 30000)
	if w.told(s, func(o *order.Order) bool { return o.GetWithdraw().GetServer() == "s2" }) < 0 {
		t.Fatal("it was not told of the drain")
	}
	if p := w.proxies.byName["x"]; len(p.ejections) != 0 || !w.registry.Ejected["s2"] {
		t.Errorf("withdrawn at it %v, of all %v", p.ejections, w.registry.Ejected)
	}
	w.UpdateEndpoints(discovery.Update{Kind: policy.DeltaUpdate, AsOfMs: 1e12, Endpoints: []discovery.Endpoint{{Server: "s2", Zone: "a", RelativeCapacity: 1}}})
	w.run(30050, 60000)
	set := &pb.Proxy{}
	if err := settings.Parse("proxy", []byte(`name: "x" listen: "127.0.0.1:0" planners: "127.0.0.1:1"
		groups { name: "check" latency_budget: "600ms" expiry: "1.5s" } groups { name: "charge" latency_budget: "800ms" expiry: "2.5s" }`), set); err != nil {
		t.Fatal(err)
	}
	c := proxy.NewCore(set, 0)
	for _, m := range w.sent[s] {
		switch m := m.(type) {
		case *order.Welcome:
			c.StartSession(m)
		case *order.Orders:
			c.ApplyOrders(m)
		}
	}
	if !c.MayReceive("s2") {
		t.Error("the proxy keeps off a server that is back")
	}
}

func TestIntake(t *testing.T) {
	t.Run("one line a server and period, oldest first, at the stated rate", func(t *testing.T) {
		a, b := &pendingLoad{server: "a"}, &pendingLoad{server: "b"}
		in := newReportIntake(intakeLimits{periodMs: 1000, perSecond: 1, maxQueued: 10}, 0)
		in.add(a, 5, 1, 10)
		in.add(b, 1, 0, 10)
		in.add(a, 5, 0, 20)
		in.setTime(1000)
		l := in.next()
		if f := l.take(); l != a || f != (loadSample{10, 1, 140}) || l.coversMs != 1000 || in.next() != nil {
			t.Errorf("%+v", l)
		}
		in.add(b, 2, 0, 10)
		in.setTime(2000)
		if l = in.next(); l != b || l.take().count != 3 || l.coversMs != 2000 {
			t.Errorf("%+v", l)
		}
		in.add(b, 2, 0, 10)
		in.setTime(3000)
		if l = in.next(); l != b || l.take().count != 2 || l.coversMs != 1000 {
			t.Errorf("what was taken counts again: %+v", l)
		}
	})
	// A proxy that leaves while its lines wait: they must not reach the module, nor take the rate or the room of others.
	t.Run("what waits of a proxy that left is passed over", func(t *testing.T) {
		a, b := &pendingLoad{proxy: &joinedProxy{}}, &pendingLoad{server: "b"}
		in := newReportIntake(intakeLimits{periodMs: 1000, perSecond: 1, maxQueued: 2}, 0)
		in.add(a, 1, 0, 1)
		in.add(b, 1, 0, 1)
		in.setTime(1000)
		in.remove([]*pendingLoad{a})
		if l := in.next(); l != b || in.next() != nil || in.deadline() != 2000 && in.deadline() < 1e300 {
			t.Errorf("%+v, due %g", l, in.deadline())
		}
	})
	t.Run("when too many wait the oldest is shed and counted", func(t *testing.T) {
		a, b := &pendingLoad{server: "a"}, &pendingLoad{server: "b"}
		in := newReportIntake(intakeLimits{periodMs: 1000, perSecond: 1, maxQueued: 1}, 0)
		in.add(a, 1, 0, 1)
		in.add(b, 1, 0, 1)
		in.setTime(1000)
		if l := in.next(); l != b || in.shed != 1 || a.isQueued || a.queued.count != 0 {
			t.Errorf("%+v, %d", l, in.shed)
		}
	})
}

func TestRipe(t *testing.T) {
	sums := func(server string, tries, dropped uint32, ms float64) *order.Sums {
		return &order.Sums{
			CoversMs: 100, Servers: []*order.ServerSum{{Server: server, Tries: tries, Dropped: dropped, LatencyMs: ms}},
			Groups: []*order.GroupSum{{Group: 1, Came: tries, Dropped: dropped}},
		}
	}
	t.Run("later reports of a stream are added to the one that waits", func(t *testing.T) {
		r, a, b := newCoalescedReports(), &connection{}, &connection{}
		r.add(a, sums("s", 4, 1, 10), 5)
		r.add(b, sums("s", 1, 0, 10), 6)
		r.add(a, sums("s", 2, 1, 50), 7)
		r.add(a, sums("z", 1, 1, 0), 8)
		s, m, since := r.take()
		if x := m.Servers[0]; s != a || since != 5 || x.Tries != 6 || x.Dropped != 2 || x.LatencyMs != 20 || len(m.Servers) != 2 ||
			m.CoversMs != 300 || m.Groups[0].Came != 7 || m.Groups[0].Dropped != 3 {
			t.Errorf("%v since %g", m, since)
		}
		if s, _, _ := r.take(); s != b {
			t.Error("the other stream's is gone")
		}
		if s, _, _ := r.take(); s != nil {
			t.Error("one too many")
		}
	})
	t.Run("a report that waits is bounded, and what finds no place is counted", func(t *testing.T) {
		r, a := newCoalescedReports(), &connection{}
		for n := range maxCoalescedSamples + 10 {
			r.add(a, sums(fmt.Sprint(n), 1, 0, 1), 0)
		}
		_, m, _ := r.take()
		if _, lost := r.counts(); len(m.Servers) != maxCoalescedSamples || lost != 10 || m.Groups[0].Came != maxCoalescedSamples+10 {
			t.Errorf("%d servers, %d lost", len(m.Servers), lost)
		}
	})
}

// Two thousand proxies join at once while a server drains: first tables are long, withdrawals short and due. Guards against a
// drain that waits behind a storm; the storm waits instead, and nobody's stream is ended for it.
func TestDrainInAStorm(t *testing.T) {
	w := begin(t, `proxies: 2100 channel { lines: "20000/s" most_waiting: 30000 } servers { drain_grace: "5s" }`, 20)
	var old []*Stream
	for n := range 100 {
		old = append(old, w.join(fmt.Sprint("old", n), 1, 1))
	}
	w.run(0, 8000)
	w.UpdateEndpoints(discovery.Update{Kind: policy.DeltaUpdate, AsOfMs: 1e12, Endpoints: []discovery.Endpoint{{Server: "s2", Zone: "a", RelativeCapacity: 1, State: policy.Draining}}})
	var fresh []*Stream
	for n := range 2000 {
		fresh = append(fresh, w.join(fmt.Sprint("new", n), 1, 1))
	}
	drained := func(o *order.Order) bool {
		return o.GetWithdraw().GetServer() == "s2" || o.GetLine().GetLine().GetServer() == "s2" && o.GetLine().Line.Weight == 0
	}
	w.run(8050, 10500) // half of the grace
	for _, s := range old {
		held := w.told(s, func(o *order.Order) bool {
			return slices.ContainsFunc(o.GetBind().GetLines(), func(l *order.Line) bool { return l.Server == "s2" }) || o.GetLine().GetLine().GetServer() == "s2"
		}) >= 0
		if held && w.told(s, drained) < 0 {
			t.Fatalf("%s was not told of the drain within half the grace", s.Name())
		}
	}
	w.run(10550, 40000)
	for _, s := range fresh {
		if w.told(s, bound) < 0 {
			t.Fatalf("%s has no table", s.Name())
		}
	}
	if len(w.ended) > 0 {
		t.Errorf("%d streams ended", len(w.ended))
	}
}

// The same inputs give the same orders on any number of cores: what decides is one goroutine's, whatever runs beside it.
func TestSameOrdersOnAnyCores(t *testing.T) {
	day := func(cores int) string {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(cores))
		w := begin(t, `proxies: 40`, 24)
		h := sha256.New()
		for second := range 30 {
			for n := range 40 {
				if second == n/4 {
					w.join(fmt.Sprint("x", n), 1, 1)
				}
			}
			switch second {
			case 8:
				w.UpdateEndpoints(discovery.Update{Kind: policy.DeltaUpdate, AsOfMs: 1e12, Endpoints: []discovery.Endpoint{{Server: "s2", Zone: "a", RelativeCapacity: 1, State: policy.Draining}}})
			case 15:
				w.HandleDisconnect(w.proxies.byName["x7"].stream, &controlstream.CloseError{Reason: controlstream.ReasonConnectionLost})
			}
			for n := range 40 {
				if p := w.proxies.byName[fmt.Sprint("x", n)]; p != nil {
					m := &order.Sums{CoversMs: 1000, Groups: []*order.GroupSum{{Group: 0, Came: 10}}}
					for k := range 6 {
						m.Servers = append(m.Servers, &order.ServerSum{Server: fmt.Sprint("s", (n+5*k)%24), Tries: 2, LatencyMs: float64(20 + (n*k+second)%40)})
					}
					w.HandleLoadReport(p.stream, m)
				}
			}
			w.run(float64(second)*1000, float64(second)*1000+950)
		}
		names := slices.Sorted(maps.Keys(w.proxies.byName))
		for _, name := range names {
			for _, m := range w.sent[w.proxies.byName[name].stream] {
				b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
				if err != nil {
					t.Fatal(err)
				}
				h.Write(b)
			}
		}
		return fmt.Sprintf("%d %x", len(names), h.Sum(nil))
	}
	first := day(1)
	for _, cores := range []int{1, 2, 4} {
		if got := day(cores); got != first {
			t.Errorf("%d cores: %s, before %s", cores, got, first)
		}
	}
}
