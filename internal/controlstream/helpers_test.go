package controlstream

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"lichenpick/proto/order"
)

var testLimits = Limits{MaxFrameBytes: 4096, HandshakeTimeoutMs: 1000, HeartbeatTimeoutMs: 5000}

// recorder implements PlannerHost and ProxyHost and records each call as text.
type recorder struct {
	NoopLeaseHandler
	calls []string
}

func (r *recorder) record(parts ...any) { r.calls = append(r.calls, fmt.Sprint(parts...)) }

func (r *recorder) OnJoin(join *order.Join)         { r.record("join " + join.Proxy) }
func (r *recorder) OnLoadReport(report *order.Sums) { r.record("load report ", len(report.Servers)) }
func (r *recorder) OnAck(ack *order.Applied)        { r.record("acknowledgement ", ack.Number) }
func (r *recorder) OnLease(*order.Lease)            { r.record("lease") }
func (r *recorder) OnWelcome(*order.Welcome)        { r.record("welcome") }
func (r *recorder) OnOrders(message *order.Orders) {
	r.record("orders ", message.Number, " ", len(message.Orders))
}

// testFrame is a frame that encode turns into bytes.
type testFrame struct {
	kind FrameKind
	body proto.Message // nil for an empty body
}

// encode returns the encoded frames with sequence numbers from 1.
func encode(t testing.TB, frames ...testFrame) []byte {
	t.Helper()
	var encoded []byte
	for index, frame := range frames {
		var err error
		encoded, err = AppendFrame(encoded, frame.kind, uint64(index+1), frame.body)
		if err != nil {
			t.Fatal(err)
		}
	}
	return encoded
}

// concatenate returns a new slice with the contents of all pieces.
func concatenate(pieces ...[]byte) []byte {
	var all []byte
	for _, piece := range pieces {
		all = append(all, piece...)
	}
	return all
}

// drainPlanner processes all complete frames of a planner's session.
func drainPlanner(session *PlannerSession, host PlannerHost) {
	for session.Next(host) {
	}
}

// drainProxy processes all complete frames of a proxy's session.
func drainProxy(session *ProxySession, host ProxyHost) {
	for session.Next(host) {
	}
}

// checkClosed fails the test unless the stream ended with the wanted reason.
func checkClosed(t *testing.T, cause *CloseError, want CloseReason) {
	t.Helper()
	if cause == nil || cause.Reason != want {
		t.Errorf("the stream ended with %v, want %s", cause, want)
	}
}
