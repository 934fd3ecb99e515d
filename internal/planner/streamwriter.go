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

// heartbeatsPerTimeout is how many heartbeats fit into the time after which a silent peer is given up.
const heartbeatsPerTimeout = 4

// streamWriter encodes and sends what the core has for a proxy, and heartbeats while there is nothing else, so that the proxy
// knows that it has a planner. It is owned by the goroutine in run.
type streamWriter struct {
	*connection
	clock       clock.Clock
	timeoutMs   float64 // for each write
	heartbeatMs float64
	buffer      []byte // of the last frame, used again
}

// newStreamWriter makes the writer of a connection, by the server's settings.
func newStreamWriter(c *connection, s *server) *streamWriter {
	heartbeatMs := s.limits.HeartbeatTimeoutMs / heartbeatsPerTimeout
	if s.epochs != nil { // a proxy states to each planner which others it is connected to
		heartbeatMs = min(heartbeatMs, lease.HeartbeatMs)
	}
	return &streamWriter{
		connection:  c,
		clock:       s.Clock,
		timeoutMs:   settings.Milliseconds(s.Settings.Streams.WriteWithin),
		heartbeatMs: heartbeatMs,
	}
}

// run writes until the connection is closed or a write fails, and closes the socket.
func (w *streamWriter) run() {
	defer closeQuietly(w.conn)
	welcomed := false // heartbeats come after the first frame only
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

// write sends one frame and reports whether it could; if not, the connection is closed.
func (w *streamWriter) write(kind controlstream.FrameKind, message proto.Message) bool {
	frame, err := w.session.Append(w.buffer[:0], kind, message)
	if err != nil {
		w.close(&controlstream.CloseError{Reason: controlstream.ReasonInternalError, Detail: err.Error()})
		return false
	}
	w.buffer = frame
	// It fails only for a broken connection; the write then fails too.
	_ = w.conn.SetWriteDeadline(w.clock.Deadline(w.timeoutMs))
	_, err = w.conn.Write(frame)
	if err != nil {
		w.close(&controlstream.CloseError{Reason: writeFailureReason(err), Detail: err.Error()})
		return false
	}
	return true
}

// writeFailureReason tells a proxy that does not read from a connection that broke.
func writeFailureReason(err error) controlstream.CloseReason {
	var networkError net.Error
	if errors.As(err, &networkError) && networkError.Timeout() {
		return controlstream.ReasonSlowReader
	}
	return controlstream.ReasonConnectionLost
}

// writeLastFrames sends what is left when the planner stops, as the release of the lease is among it, and why the stream ends,
// unless the proxy cannot receive that.
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

// writeOutbox sends what is queued now, until a write fails.
func (w *streamWriter) writeOutbox() {
	for len(w.outbox) > 0 {
		frame := <-w.outbox
		if !w.write(frame.kind, frame.message) {
			return
		}
	}
}
