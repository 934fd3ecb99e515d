package controlstream

import (
	"google.golang.org/protobuf/proto"

	"lichenpick/proto/order"
)

// Limits are the limits that a session enforces on its peer. All fields must be set.
type Limits struct {
	MaxFrameBytes      int     // largest body of a frame, in bytes
	HandshakeTimeoutMs float64 // longest time from the opening of the stream to FrameJoin or FrameWelcome, in ms
	HeartbeatTimeoutMs float64 // longest time between two frames once the stream is established, in ms
}

// session holds the state that all ends of a stream have in common: the decoder, the time-outs and the sequence numbers of
// sent frames. PlannerSession, ProxySession and EndpointSession embed it. Its methods must not be called by several
// goroutines at the same time, except for Append, which shares no state with the others: one goroutine may call Append
// while another one receives.
type session struct {
	decoder      *Decoder
	limits       Limits
	nowMs        float64
	openedMs     float64
	lastFrameMs  float64
	established  bool // whether the first frame has been received
	closeErr     *CloseError
	lastSequence uint64 // sequence number of the last frame that Append encoded
}

func newSession(limits Limits, nowMs float64) session {
	return session{
		decoder:     NewDecoder(limits.MaxFrameBytes),
		limits:      limits,
		nowMs:       nowMs,
		openedMs:    nowMs,
		lastFrameMs: nowMs,
	}
}

// Feed sets the current time in ms and adds received bytes to the buffer; data may be empty. Before the next Feed, call Next
// until it returns false, so that no complete frames pile up in the buffer.
func (s *session) Feed(nowMs float64, data []byte) {
	s.nowMs = nowMs
	s.decoder.Feed(data)
}

// SetTime sets the current time in ms, against which the next call of Next checks the time-outs.
func (s *session) SetTime(nowMs float64) { s.nowMs = nowMs }

// Deadline returns the time in ms at which the stream times out unless a frame is received before.
func (s *session) Deadline() float64 {
	if !s.established {
		return s.openedMs + s.limits.HandshakeTimeoutMs
	}
	return s.lastFrameMs + s.limits.HeartbeatTimeoutMs
}

// Buffered returns the number of received bytes that are not yet part of a frame that Next has returned.
func (s *session) Buffered() int { return s.decoder.Buffered() }

// CloseCause returns the error with which the stream ended, or nil while it is open.
func (s *session) CloseCause() *CloseError { return s.closeErr }

// Append appends a frame with this end's next sequence number to dst and returns the extended slice. Frames must be sent in
// the order of the calls. If the body cannot be encoded, the next call uses the same sequence number.
func (s *session) Append(dst []byte, kind FrameKind, body proto.Message) ([]byte, error) {
	dst, err := AppendFrame(dst, kind, s.lastSequence+1, body)
	if err == nil {
		s.lastSequence++
	}
	return dst, err
}

// next returns the next frame; ok is false if there is none or the stream has ended. It ends the stream on a decoding error,
// a time-out, a FrameClose, a first frame of another kind than the handshake, and a second handshake.
func (s *session) next(handshake FrameKind) (frame Frame, ok bool) {
	if s.closeErr != nil {
		return Frame{}, false
	}
	frame, ok, closeErr := s.decoder.next()
	switch {
	case closeErr != nil:
		s.closeErr = closeErr
		return Frame{}, false
	case !ok:
		s.closeErr = s.checkTimeout()
		return Frame{}, false
	case frame.Kind == FrameClose:
		s.closeErr = peerCloseError(frame)
		return Frame{}, false
	case s.established == (frame.Kind == handshake):
		s.closeErr = unexpectedFrameError(frame)
		return Frame{}, false
	}
	s.lastFrameMs = s.nowMs
	s.established = true
	return frame, true
}

// checkTimeout returns an error if the deadline for receiving a complete frame has passed, else nil. This guards against
// peers that connect and send nothing, that die without closing the connection, or that send a frame byte by byte.
func (s *session) checkTimeout() *CloseError {
	switch {
	case s.nowMs < s.Deadline():
		return nil
	case s.established:
		return newCloseError(ReasonHeartbeatTimeout, "no complete frame for %g ms, %d bytes buffered",
			s.limits.HeartbeatTimeoutMs, s.decoder.Buffered())
	default:
		return newCloseError(ReasonHandshakeTimeout, "no complete frame within %g ms, %d bytes buffered",
			s.limits.HandshakeTimeoutMs, s.decoder.Buffered())
	}
}

// peerCloseError returns the error for a received FrameClose, with the peer's reason as its detail.
func peerCloseError(frame Frame) *CloseError {
	var body order.Bye
	if err := proto.Unmarshal(frame.Body, &body); err != nil {
		return badBodyError(frame, err)
	}
	return newCloseError(ReasonPeerClosed, "%s", truncate(body.Reason))
}

func unexpectedFrameError(frame Frame) *CloseError {
	return newCloseError(ReasonUnexpectedFrame, "%s", frame.Kind)
}

func badBodyError(frame Frame, err error) *CloseError {
	return newCloseError(ReasonBadBody, "%s: %v", frame.Kind, err)
}

// receive decodes a frame's body into message, validates the message with check unless check is nil, and passes the message
// to deliver. A message with any invalid part is not delivered at all, because a proxy that applied only the valid part of a
// message would hold a table that its planner does not know.
func receive[M proto.Message](s *session, frame Frame, message M, check func(M) error, deliver func(M)) bool {
	if err := proto.Unmarshal(frame.Body, message); err != nil {
		s.closeErr = badBodyError(frame, err)
		return false
	}
	if check != nil {
		if err := check(message); err != nil {
			s.closeErr = badBodyError(frame, err)
			return false
		}
	}
	deliver(message)
	return true
}

// reject ends the stream because of a frame that the peer may not send. It returns false, so that Next can return this
// result.
func (s *session) reject(frame Frame) bool {
	s.closeErr = unexpectedFrameError(frame)
	return false
}
