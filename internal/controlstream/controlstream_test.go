package controlstream

import (
	"errors"
	"fmt"
	"math"
	"testing"

	"google.golang.org/protobuf/proto"

	"lichenpick/proto/order"
)

var limits = Limits{MaxFrameBytes: 4096, HandshakeTimeoutMs: 1000, HeartbeatTimeoutMs: 5000}

// heard keeps what an end tells.
type heard struct {
	SingleController
	told []string
}

func (h *heard) OnLease(m *order.Lease) { h.told = append(h.told, "lease") }

func (h *heard) OnJoin(m *order.Join) { h.told = append(h.told, "join "+m.Proxy) }
func (h *heard) OnLoadReport(m *order.Sums) {
	h.told = append(h.told, fmt.Sprint("sums ", len(m.Servers)))
}

func (h *heard) OnAck(m *order.Applied) {
	h.told = append(h.told, fmt.Sprint("applied ", m.Number))
}
func (h *heard) OnWelcome(*order.Welcome) { h.told = append(h.told, "welcome") }
func (h *heard) OnOrders(m *order.Orders) {
	h.told = append(h.told, fmt.Sprint("orders ", m.Number, " ", len(m.Orders)))
}

func frames(t testing.TB, messages ...any) (out []byte) {
	t.Helper()
	for n := 0; n < len(messages); n += 2 {
		body, _ := messages[n+1].(proto.Message)
		var err error
		if out, err = AppendFrame(out, messages[n].(FrameKind), uint64(n/2+1), body); err != nil {
			t.Fatal(err)
		}
	}
	return out
}

func TestPlannerEnd(t *testing.T) {
	join := &order.Join{Proxy: "edge-1", UsualPerS: 5}
	t.Run("frames come in any pieces", func(t *testing.T) {
		all := frames(t, FrameJoin, join, FrameHeartbeat, nil, FrameLoadReport, &order.Sums{CoversMs: 1000}, FrameAck, &order.Applied{Number: 3})
		for size := 1; size <= len(all); size++ {
			e, h := NewPlannerSession(limits, 0), &heard{}
			for at := 0; at < len(all); at += size {
				e.Feed(1, all[at:min(at+size, len(all))])
				for e.Next(h) {
				}
			}
			if got := fmt.Sprint(h.told); got != "[join edge-1 sums 0 applied 3]" || e.CloseCause() != nil {
				t.Fatalf("in pieces of %d: %s %v", size, got, e.CloseCause())
			}
		}
	})
	whole := frames(t, FrameJoin, join)
	flip := func(at int, to byte) []byte {
		b := append([]byte(nil), whole...)
		b[at] = to
		return b
	}
	// Each way in which a peer can misbehave ends the stream with one reason, and nothing more is told of it.
	for name, c := range map[string]struct {
		in   []byte
		wait float64
		want CloseReason
	}{
		"garbage":              {[]byte("GET / HTTP/1.1\r\n\r\n"), 0, ReasonBadMagic},
		"another version":      {flip(2, 9), 0, ReasonBadVersion},
		"a body beyond all":    {flip(4, 0xff), 0, ReasonBadSize},
		"a flipped bit":        {flip(25, whole[25]^1), 0, ReasonBadChecksum},
		"no kind":              {frames(t, kinds, nil), 0, ReasonBadKind},
		"sums before the join": {frames(t, FrameLoadReport, &order.Sums{}), 0, ReasonUnexpectedFrame},
		"a planner's frame":    {append(append([]byte(nil), whole...), frames(t, FrameJoin, join, FrameOrders, &order.Orders{})[len(whole):]...), 0, ReasonUnexpectedFrame},
		"two joins":            {frames(t, FrameJoin, join, FrameJoin, join), 0, ReasonUnexpectedFrame},
		"a frame twice":        {append(append([]byte(nil), whole...), whole...), 0, ReasonBadSequence},
		"half a join":          {whole[:len(whole)/2], 1000, ReasonJoinTimeout},
		"silence":              {whole, 5000, ReasonHeartbeatTimeout},
		"a body that is none":  {frames(t, FrameJoin, &order.Join{Proxy: "x", UsualPerS: math.NaN()}), 0, ReasonBadBody},
		"no name":              {frames(t, FrameJoin, &order.Join{}), 0, ReasonBadBody},
		"more dropped than tried": {frames(t, FrameJoin, join, FrameLoadReport,
			&order.Sums{Servers: []*order.ServerSum{{Server: "a", Tries: 1, Dropped: 2}}}), 0, ReasonBadBody},
		"goodbye": {frames(t, FrameJoin, join, FrameClose, &order.Bye{Reason: "done"}), 0, ReasonPeerClosed},
	} {
		t.Run(name, func(t *testing.T) {
			e, h := NewPlannerSession(limits, 0), &heard{}
			e.Feed(0, c.in)
			for e.Next(h) {
			}
			e.SetTime(c.wait)
			for e.Next(h) {
			}
			if e.CloseCause() == nil || e.CloseCause().Reason != c.want {
				t.Errorf("ended %v, want %s; told %v", e.CloseCause(), c.want, h.told)
			}
			told := len(h.told)
			e.Feed(c.wait, frames(t, FrameJoin, join))
			if e.Next(h) || len(h.told) != told {
				t.Error("an ended stream goes on")
			}
		})
	}
	t.Run("nothing is set aside for what a header only claims", func(t *testing.T) {
		d := NewDecoder(1 << 30)
		head := flip(4, 0x3f)
		d.Feed(head[:headerBytes])
		if _, ok, err := d.Next(); ok || err != nil || cap(d.buf) > 4096 {
			t.Errorf("%v %v, %d bytes", ok, err, cap(d.buf))
		}
	})
}

func TestProxyEnd(t *testing.T) {
	line := &order.Order{What: &order.Order_Line{Line: &order.SetLine{Table: 1, Line: &order.Line{Server: "a", Weight: 0.5}}}}
	t.Run("a message is told whole or not at all", func(t *testing.T) {
		bad := &order.Order{What: &order.Order_Level{Level: &order.Level{Share: math.Inf(1)}}}
		e, h := NewProxySession(limits, 0), &heard{}
		e.Feed(0, frames(t, FrameWelcome, &order.Welcome{}, FrameOrders, &order.Orders{Number: 2, Orders: []*order.Order{line}},
			FrameOrders, &order.Orders{Orders: []*order.Order{line, bad}}))
		for e.Next(h) {
		}
		if got := fmt.Sprint(h.told); got != "[welcome orders 2 1]" || e.CloseCause() == nil || e.CloseCause().Reason != ReasonBadBody {
			t.Errorf("%s, ended %v", got, e.CloseCause())
		}
	})
	t.Run("an order of a kind that is not known is refused", func(t *testing.T) {
		e, h := NewProxySession(limits, 0), &heard{}
		e.Feed(0, frames(t, FrameWelcome, &order.Welcome{}, FrameOrders, &order.Orders{Orders: []*order.Order{{}}}))
		for e.Next(h) {
		}
		if e.CloseCause() == nil || e.CloseCause().Reason != ReasonBadBody {
			t.Errorf("ended %v", e.CloseCause())
		}
	})
}

func TestChannel(t *testing.T) {
	lim := SendQueueLimits{EntriesPerSecond: 1000, MessageOverhead: 4, MaxBacklog: 100, MaxMessages: 3, WindowMs: 10000}
	t.Run("messages leave one after the other, at the stated rate", func(t *testing.T) {
		c, a := NewSendQueue[int](lim), &MessageWindow{}
		c.Push(0, a, 6, 1)
		c.Push(0, a, 16, 2)
		var at []float64
		for now := 0.0; now < 100; now++ {
			if m, ok := c.Pop(now); ok {
				at = append(at, now, float64(m.Payload))
			}
		}
		if fmt.Sprint(at) != "[10 1 30 2]" || c.Backlog() != 0 {
			t.Errorf("%v, %g wait", at, c.Backlog())
		}
	})
	t.Run("neither more lines nor more messages than allowed", func(t *testing.T) {
		c, a, b := NewSendQueue[int](lim), &MessageWindow{}, &MessageWindow{}
		if c.Push(0, a, 90, 1) != nil || c.Push(0, b, 3, 1) == nil {
			t.Error("the queue's limit does not hold")
		}
		c.Pop(1000)
		for n := range 3 {
			if err := c.Push(1000, a, 1, n); (err == nil) != (n < 2) {
				t.Errorf("message %d: %v", n+2, err)
			}
		}
		if c.Push(10001, a, 1, 0) != nil {
			t.Error("the span does not move on")
		}
	})
	t.Run("what waits for a proxy that left takes no time", func(t *testing.T) {
		c, a, b := NewSendQueue[int](lim), &MessageWindow{}, &MessageWindow{}
		c.Push(0, a, 86, 1)
		c.Push(0, b, 6, 2)
		c.Remove(a)
		if m, ok := c.Pop(10); !ok || m.Payload != 2 || c.Backlog() != 0 {
			t.Errorf("%v %v", m, ok)
		}
	})
	t.Run("an idle channel saves up nothing", func(t *testing.T) {
		c, a := NewSendQueue[int](lim), &MessageWindow{}
		c.Push(5000, a, 6, 1)
		if _, ok := c.Pop(5009); ok {
			t.Error("left before its lines were sent")
		}
	})
}

// FuzzDecoder feeds bytes in two pieces: no panic, no more held than was fed, and frames that read back equal.
func FuzzDecoder(f *testing.F) {
	f.Add(frames(f, FrameJoin, &order.Join{Proxy: "x"}, FrameHeartbeat, nil), 7)
	f.Add([]byte("LP\x01\x01\xff\xff\xff\xff"), 3)
	f.Fuzz(func(t *testing.T, in []byte, cut int) {
		cut = max(0, min(cut, len(in)))
		d, again := NewDecoder(1<<16), []byte(nil)
		for _, p := range [][]byte{in[:cut], in[cut:]} {
			d.Feed(p)
			for {
				fr, ok, err := d.Next()
				if err != nil {
					var e *CloseError
					if !errors.As(err, &e) || d.Buffered() != 0 {
						t.Fatalf("%v, %d held", err, d.Buffered())
					}
				}
				if !ok {
					break
				}
				again = append(again, 'L', 'P', version, byte(fr.Kind))
				again = append(again, in[len(again):len(again)+headerBytes-4]...)
				again = append(again, fr.Body...)
			}
		}
		if string(again) != string(in[:len(again)]) {
			t.Fatal("frames differ from what was fed")
		}
	})
}

// FuzzEnds feeds whole frames with arbitrary bodies to both ends: no panic, and an end for good.
func FuzzEnds(f *testing.F) {
	f.Add(uint8(FrameLoadReport), []byte{0x0a, 0x00})
	f.Add(uint8(FrameOrders), []byte{0x2a, 0x02, 0x0a, 0x00})
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		for _, first := range []FrameKind{FrameJoin, FrameWelcome} {
			raw, _ := AppendFrame(nil, FrameKind(kind), 2, &order.Bye{})
			raw = append(raw[:headerBytes:headerBytes], body...)
			raw[4], raw[5], raw[6], raw[7] = 0, byte(len(body)>>16), byte(len(body)>>8), byte(len(body))
			s := checksum(raw)
			raw[16], raw[17], raw[18], raw[19] = byte(s>>24), byte(s>>16), byte(s>>8), byte(s)
			in, h := append(frames(t, first, &order.Join{Proxy: "p"}), raw...), &heard{}
			if first == FrameJoin {
				e := NewPlannerSession(limits, 0)
				e.Feed(0, in)
				for e.Next(h) {
				}
			} else {
				e := NewProxySession(limits, 0)
				e.Feed(0, in)
				for e.Next(h) {
				}
			}
		}
	})
}

func BenchmarkFrames(b *testing.B) {
	message := &order.Orders{Planner: "p", Incarnation: 7, DecidedUnixUs: 1 << 50, Lines: 24}
	for n := range 20 {
		message.Orders = append(message.Orders, &order.Order{What: &order.Order_Line{Line: &order.SetLine{
			Table: 1,
			Line:  &order.Line{Server: fmt.Sprintf("10.0.0.%d:8000", n), Weight: 0.05},
		}}})
	}
	b.Run("write", func(b *testing.B) {
		buf := make([]byte, 0, 4096)
		b.ReportAllocs()
		for n := range b.N {
			buf, _ = AppendFrame(buf[:0], FrameOrders, uint64(n), message)
		}
		b.SetBytes(int64(len(buf)))
	})
	b.Run("cut", func(b *testing.B) {
		var raw []byte
		ends := []int{0}
		for n := range 256 {
			raw, _ = AppendFrame(raw, FrameOrders, uint64(n+1), message)
			ends = append(ends, len(raw))
		}
		b.ReportAllocs()
		d := NewDecoder(1 << 16)
		for n := 0; b.Loop(); n++ {
			if n %= 256; n == 0 {
				d = NewDecoder(1 << 16)
			}
			d.Feed(raw[ends[n]:ends[n+1]])
			if _, ok, err := d.Next(); !ok {
				b.Fatal(err)
			}
		}
	})
	b.Run("read", func(b *testing.B) {
		raw, _ := AppendFrame(nil, FrameOrders, 1, message)
		b.ReportAllocs()
		for b.Loop() {
			if err := proto.Unmarshal(raw[headerBytes:], &order.Orders{}); err != nil {
				b.Fatal(err)
			}
		}
	})
}
