package planner

import (
	"net/netip"
	"testing"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/controlstream"
	"lichenpick/policy"
	"lichenpick/proto/order"
)

// shared is a controller with a proxy that may be granted to it.
func shared(t *testing.T, servers int) (*wire, *Stream) {
	t.Helper()
	set := planned(t, `proxies: 4 sharing { store: "x" }`)
	w := &wire{Core: NewCore(set, NewPolicy(set), 1, 0), sent: map[*Stream][]proto.Message{}, ended: map[*Stream]controlstream.CloseReason{}, deaf: map[*Stream]bool{}}
	w.EnableLeases(0)
	w.UpdateEndpoints(listed(servers))
	s := &Stream{Address: netip.MustParseAddr("127.1.0.9")}
	w.sent[s] = nil
	w.HandleJoin(s, &order.Join{Proxy: "x", UsualPerS: 10, Incarnation: 1, Stream: 1, Groups: 2, Lease: &order.Lease{Reachable: []string{"p"}}})
	w.at(0)
	return w, s
}

// grant answers the claims that a stream was sent from a message on, and gives how many messages there are now.
func (w *wire) grant(s *Stream, from int, with *order.Lease) int {
	for _, m := range w.sent[s][from:] {
		if c, ok := m.(*order.Claim); ok {
			l := proto.Clone(with).(*order.Lease)
			l.Nonce, l.Granted, l.Epoch, l.Controller, l.Incarnation, l.LeftMs = c.Nonce, true, c.Epoch, "p", 1, 2000
			w.HandleLease(s, l)
		}
	}
	return len(w.sent[s])
}

func (w *wire) renewing(s *Stream, from, to float64, at int) int {
	for now := from; now <= to; now += 50 {
		w.run(now, now)
		at = w.grant(s, at, &order.Lease{Reachable: []string{"p"}})
	}
	return at
}

func holds(servers ...string) []*order.Holding {
	h := &order.Holding{Groups: []uint32{0, 1}}
	for _, s := range servers {
		h.Lines = append(h.Lines, &order.Line{Server: s, Weight: 1})
	}
	return []*order.Holding{h}
}

func TestShared(t *testing.T) {
	t.Run("nothing is ordered before the proxy has granted, and all under its epoch", func(t *testing.T) {
		w, s := shared(t, 4)
		w.run(0, 3000)
		if w.told(s, func(*order.Order) bool { return true }) >= 0 {
			t.Errorf("%v", w.sent[s])
		}
		at := w.grant(s, 0, &order.Lease{Reachable: []string{"p"}, Holds: holds("s0")})
		w.renewing(s, 3050, 5000, at)
		n := w.told(s, bound)
		if n < 0 {
			t.Fatal("not bound")
		}
		epoch, ok := w.leases.manager.HoldsLease("x")
		if m := w.sent[s][n].(*order.Orders); !ok || m.Epoch != epoch || m.Epoch == 0 {
			t.Errorf("ordered under %d, granted %d %v", m.Epoch, epoch, ok)
		}
	})
	t.Run("a drain that only the predecessor knew is kept, until our list shows it or long after", func(t *testing.T) {
		for _, shown := range []bool{true, false} {
			w, s := shared(t, 4)
			at := w.grant(s, 0, &order.Lease{Reachable: []string{"p"}, Holds: holds("s0", "s1"), Going: []string{"s0"}})
			at = w.renewing(s, 50, 3000, at)
			n := w.told(s, bound)
			if n < 0 {
				t.Fatal("not bound")
			}
			b := w.sent[s][n].(*order.Orders).Orders[0].GetBind()
			for _, l := range b.Lines {
				if l.Server == "s0" && (len(b.Withdrawn) != 1 || len(b.Going) != 1) {
					t.Errorf("bound to what drains: %v", b)
				}
			}
			if shown {
				w.UpdateEndpoints(state("s0", policy.Draining))
			}
			w.renewing(s, 3050, 40000, at)
			let := w.told(s, func(o *order.Order) bool { x := o.GetWithdraw(); return x != nil && x.Server == "s0" && !x.Out })
			if shown && let >= 0 || !shown && let < 0 {
				t.Errorf("shown %v: let back in message %d", shown, let)
			}
		}
	})
	t.Run("messages of the predecessor count in the span", func(t *testing.T) {
		w, s := shared(t, 4)
		var ago []float64
		for n := range 18 {
			ago = append(ago, float64(100*n))
		}
		at := w.grant(s, 0, &order.Lease{Reachable: []string{"p"}, Holds: holds("s0"), MessagesAgoMs: ago})
		for n := range 12 { // a list that gives much to order
			at = w.renewing(s, 50+500*float64(n), 500+500*float64(n), at)
			w.UpdateEndpoints(state("s0", policy.State(n%2)))
		}
		count := 0
		for _, m := range w.sent[s] {
			if _, ok := m.(*order.Orders); ok {
				count++
			}
		}
		if count > 2 || w.ended[s] != "" {
			t.Errorf("%d messages after 18 within 10 s, of 20; ended %q", count, w.ended[s])
		}
	})
	t.Run("what waits is not sent once the proxy refuses or its lease is over", func(t *testing.T) {
		for _, refused := range []bool{true, false} {
			w, s := shared(t, 4)
			at := w.grant(s, 0, &order.Lease{Reachable: []string{"p"}, Holds: holds("s0")})
			at = w.renewing(s, 50, 3000, at)
			if refused {
				w.HandleAck(s, &order.Applied{Number: 1, Refused: true})
			}
			w.UpdateEndpoints(state("s0", policy.Draining))
			w.SetTime(map[bool]float64{true: 3050, false: 6000}[refused], w.wall)
			for w.Next(w) {
			}
			for _, m := range w.sent[s][at:] {
				if o, ok := m.(*order.Orders); ok {
					t.Errorf("refused %v: sent %v", refused, o)
				}
			}
			if p := w.proxies.byName["x"]; p == nil || p.commanded || w.publisher.queue.Len() > 0 {
				t.Error("still commanded")
			}
		}
	})
	t.Run("a proxy that does not share is sent away, and the reverse", func(t *testing.T) {
		w, _ := shared(t, 4)
		a := w.join("y", 1, 1)
		w.at(50)
		v := begin(t, "proxies: 4", 4)
		b := &Stream{Address: netip.MustParseAddr("127.1.0.9")}
		v.HandleJoin(b, &order.Join{Proxy: "z", Groups: 2, Lease: &order.Lease{}})
		v.at(50)
		if w.ended[a] != controlstream.ReasonUnknownPeer || v.ended[b] != controlstream.ReasonUnknownPeer {
			t.Errorf("%q %q", w.ended[a], v.ended[b])
		}
	})
}
