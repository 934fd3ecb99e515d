package controlstream

import (
	"fmt"
	"math"
	"testing"

	"google.golang.org/protobuf/proto"

	"lichenpick/proto/order"
)

func testJoin() *order.Join { return &order.Join{Proxy: "edge-1", UsualPerS: 5} }

// withByte returns a copy of a frame with one byte replaced.
func withByte(frame []byte, offset int, value byte) []byte {
	changed := concatenate(frame)
	changed[offset] = value
	return changed
}

// misbehaviour is a test case: the bytes that a peer sends before it falls silent, the duration of the silence, and the
// reason with which the stream must end.
type misbehaviour struct {
	sent   []byte
	waitMs float64 // duration of the silence after the last byte, in ms
	want   CloseReason
}

func misbehaviours(t *testing.T) map[string]misbehaviour {
	t.Helper()
	join := testFrame{FrameJoin, testJoin()}
	joined := encode(t, join)
	afterJoin := func(kind FrameKind, body proto.Message) []byte { return encode(t, join, testFrame{kind, body}) }
	moreFailedThanTried := &order.Sums{Servers: []*order.ServerSum{{Server: "a", Tries: 1, Dropped: 2}}}
	notANumber := &order.Join{Proxy: "x", UsualPerS: math.NaN()}
	// Both guard against sums that overflow: with two such joins, the demand in the policy was infinite.
	hugeRate := &order.Join{Proxy: "x", UsualPerS: math.MaxFloat64}
	hugeLatency := &order.Sums{Servers: []*order.ServerSum{{Server: "a", Tries: 2, LatencyMs: math.MaxFloat64}}}
	return map[string]misbehaviour{
		"another protocol":                   {[]byte("GET / HTTP/1.1\r\n\r\n"), 0, ReasonBadMagic},
		"another version":                    {withByte(joined, versionOffset, 9), 0, ReasonBadVersion},
		"a body above the limit":             {withByte(joined, lengthOffset, 0xff), 0, ReasonBadSize},
		"a flipped bit":                      {withByte(joined, 25, joined[25]^1), 0, ReasonBadChecksum},
		"an unknown kind":                    {encode(t, testFrame{frameKindEnd, nil}), 0, ReasonBadKind},
		"a load report before the join":      {encode(t, testFrame{FrameLoadReport, &order.Sums{}}), 0, ReasonUnexpectedFrame},
		"a frame that only planners send":    {afterJoin(FrameOrders, &order.Orders{}), 0, ReasonUnexpectedFrame},
		"a second join":                      {afterJoin(FrameJoin, testJoin()), 0, ReasonUnexpectedFrame},
		"a frame sent twice":                 {concatenate(joined, joined), 0, ReasonBadSequence},
		"half a join":                        {joined[:len(joined)/2], 1000, ReasonHandshakeTimeout},
		"silence after the join":             {joined, 5000, ReasonHeartbeatTimeout},
		"a value that is not a number":       {encode(t, testFrame{FrameJoin, notANumber}), 0, ReasonBadBody},
		"a usual demand that no proxy has":   {encode(t, testFrame{FrameJoin, hugeRate}), 0, ReasonBadBody},
		"a latency that no server has":       {afterJoin(FrameLoadReport, hugeLatency), 0, ReasonBadBody},
		"a join without a name":              {encode(t, testFrame{FrameJoin, &order.Join{}}), 0, ReasonBadBody},
		"more failed attempts than attempts": {afterJoin(FrameLoadReport, moreFailedThanTried), 0, ReasonBadBody},
		"a close frame":                      {afterJoin(FrameClose, &order.Bye{Reason: "done"}), 0, ReasonPeerClosed},
	}
}

// TestPlannerSession checks that frames are decoded however their bytes are split into reads, and that each kind of
// misbehaviour of a peer ends the stream with its own reason, after which no method of the PlannerHost is called any more.
func TestPlannerSession(t *testing.T) {
	t.Run("frames are split at any byte", checkFramesInPieces)
	for name, test := range misbehaviours(t) {
		t.Run(name, func(t *testing.T) {
			session := NewPlannerSession(testLimits, 0)
			host := &recorder{}
			session.Feed(0, test.sent)
			drainPlanner(session, host)
			session.SetTime(test.waitMs)
			drainPlanner(session, host)
			checkClosed(t, session.CloseCause(), test.want)
			calls := len(host.calls)
			session.Feed(test.waitMs, encode(t, testFrame{FrameJoin, testJoin()}))
			if session.Next(host) || len(host.calls) != calls {
				t.Error("the session delivered a frame after the stream had ended")
			}
		})
	}
	t.Run("nothing is allocated for an announced body", func(t *testing.T) {
		decoder := NewDecoder(1 << 30)
		header := withByte(encode(t, testFrame{FrameJoin, testJoin()}), lengthOffset, 0x3f)
		decoder.Feed(header[:FrameHeaderBytes])
		_, ok, err := decoder.Next()
		if ok || err != nil || cap(decoder.buffer) > 4096 {
			t.Errorf("Next returned ok %t and error %v, and the buffer has %d bytes; want false, nil and at most 4096",
				ok, err, cap(decoder.buffer))
		}
	})
}

func checkFramesInPieces(t *testing.T) {
	all := encode(
		t,
		testFrame{FrameJoin, testJoin()},
		testFrame{FrameHeartbeat, nil},
		testFrame{FrameLoadReport, &order.Sums{CoversMs: 1000}},
		testFrame{FrameAck, &order.Applied{Number: 3}},
	)
	for size := 1; size <= len(all); size++ {
		session := NewPlannerSession(testLimits, 0)
		host := &recorder{}
		for start := 0; start < len(all); start += size {
			session.Feed(1, all[start:min(start+size, len(all))])
			drainPlanner(session, host)
		}
		got := fmt.Sprint(host.calls)
		if got != "[join edge-1 load report 0 acknowledgement 3]" || session.CloseCause() != nil {
			t.Fatalf("in pieces of %d bytes: calls are %s, close cause is %v", size, got, session.CloseCause())
		}
	}
}
