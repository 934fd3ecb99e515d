package planner

import (
	"errors"
	"net"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/clock"
	"lichenpick/internal/controlstream"
	"lichenpick/internal/lease"
	"lichenpick/internal/settings"
	"lichenpick/proto/order"
)

// heartbeatsPerTimeout is how many heartbeats are sent within the time after which a silent stream is closed.
const heartbeatsPerTimeout = 4

// streamWriter encodes and sends the core's frames to a proxy. While the core sends none, the writer sends heartbeats, so
// that the proxy does not close the stream as silent. The goroutine in run owns the streamWriter.
type streamWriter struct {
	*connection
	clock       clock.Clock
	timeoutMs   float64 // limit on the time of each write
	heartbeatMs float64
	buffer      []byte // encoding of the last frame; its memory is reused for the next frame
}

// newStreamWriter returns the writer of a connection, with the timeouts of the server's settings.
func newStreamWriter(c *connection, s *server) *streamWriter {
	heartbeatMs := s.limits.HeartbeatTimeoutMs / heartbeatsPerTimeout
	// Planners that share the fleet must send a heartbeat at least every lease.HeartbeatIntervalMs: proxies report a
	// planner as reachable only while they receive frames from that planner.
	if s.epochs != nil {
		heartbeatMs = min(heartbeatMs, lease.HeartbeatIntervalMs)
	}
	return &streamWriter{
		connection:  c,
		clock:       s.Clock,
		timeoutMs:   settings.Milliseconds(s.Settings.Streams.WriteWithin),
		heartbeatMs: heartbeatMs,
	}
}

// run writes frames until the connection is closed or a write fails, and then closes the socket.
func (w *streamWriter) run() {
	defer closeQuietly(w.conn)
	welcomed := false // heartbeats are allowed only after the first frame
	for {
		expired, stop := w.clock.NewTimer(w.heartbeatMs)
		select {
		case <-w.closed:
			stop()
			w.writeLastFrames()
			return
		case frame := <-w.outbox:
			stop()
			welcomed = true
			if !w.write(frame.kind, frame.message) {
				return
			}
		case <-expired:
			if welcomed && !w.write(controlstream.FrameHeartbeat, nil) {
				return
			}
		}
	}
}

// write sends one frame and reports whether the write succeeded. After a failed write it closes the connection.
func (w *streamWriter) write(kind controlstream.FrameKind, message proto.Message) bool {
	frame, err := w.session.Append(w.buffer[:0], kind, message)
	if err != nil {
		w.close(&controlstream.CloseError{Reason: controlstream.ReasonInternalError, Detail: err.Error()})
		return false
	}
	w.buffer = frame
	// SetWriteDeadline fails only for a broken connection; the write then fails too.
	_ = w.conn.SetWriteDeadline(w.clock.Deadline(w.timeoutMs))
	_, err = w.conn.Write(frame)
	if err != nil {
		w.close(&controlstream.CloseError{Reason: writeFailureReason(err), Detail: err.Error()})
		return false
	}
	return true
}

// writeFailureReason returns ReasonSlowReader if a write timed out because the proxy does not read, and
// ReasonConnectionLost for any other failure.
func writeFailureReason(err error) controlstream.CloseReason {
	var networkError net.Error
	if errors.As(err, &networkError) && networkError.Timeout() {
		return controlstream.ReasonSlowReader
	}
	return controlstream.ReasonConnectionLost
}

// writeLastFrames sends the close frame with the close reason, unless the proxy cannot receive it. When the planner stops,
// writeLastFrames first sends all queued frames, because the releases of leases are among them.
func (w *streamWriter) writeLastFrames() {
	reason := w.closeCause.Reason
	if reason == controlstream.ReasonShutdown {
		w.writeOutbox()
	}
	if reason == controlstream.ReasonConnectionLost || reason == controlstream.ReasonSlowReader {
		return
	}
	w.timeoutMs = closeTimeoutMs
	w.write(controlstream.FrameClose, &order.Bye{Reason: string(reason)})
}

// writeOutbox sends the queued frames until none is left or a write fails.
func (w *streamWriter) writeOutbox() {
	for len(w.outbox) > 0 {
		frame := <-w.outbox
		if !w.write(frame.kind, frame.message) {
			return
		}
	}
}
