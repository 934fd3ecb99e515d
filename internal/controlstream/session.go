package controlstream

import (
	"google.golang.org/protobuf/proto"

	"lichenpick/proto/order"
)

// Limits bound what a peer may do to a session. All must be set.
type Limits struct {
	MaxFrameBytes      int     // bytes of a body
	HandshakeTimeoutMs float64 // a planner's: from the opening to FrameJoin; a proxy's: to FrameWelcome
	HeartbeatTimeoutMs float64 // without a frame, once the stream is established
}

// session is what the ends of a stream share: decoding in sequence, time-outs, and the sequence of what is sent. Its methods
// are those of PlannerSession, ProxySession and EndpointSession, and are called by one goroutine at a time; only Append may
// be called by another one at the same time, as it shares nothing with the rest.
type session struct {
	decoder      *Decoder
	limits       Limits
	nowMs        float64
	openedMs     float64
	lastFrameMs  float64
	established  bool // the first frame came
	closeErr     *CloseError
	lastSequence uint64 // of the frames that this end appended
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

// Feed adds bytes that came in by a time in ms, none if there were none. Call Next until it returns false before the next
// Feed: messages refer to bytes of the one before.
func (s *session) Feed(nowMs float64, data []byte) {
	s.nowMs = nowMs
	s.decoder.Feed(data)
}

// SetTime sets the time in ms, so that the next call of Next notices a time-out.
func (s *session) SetTime(nowMs float64) { s.nowMs = nowMs }

// Deadline is the time in ms at which the stream ends if no frame comes before.
func (s *session) Deadline() float64 {
	if !s.established {
		return s.openedMs + s.limits.HandshakeTimeoutMs
	}
	return s.lastFrameMs + s.limits.HeartbeatTimeoutMs
}

// CloseCause is why the stream ended, or nil while it goes on.
func (s *session) CloseCause() *CloseError { return s.closeErr }

// Append appends a frame of this end, with the next sequence number, and returns the extended slice. What it returns must be
// sent in the order of the calls. If the body does not encode, the sequence number is not used up.
func (s *session) Append(dst []byte, kind FrameKind, body proto.Message) ([]byte, error) {
	dst, err := AppendFrame(dst, kind, s.lastSequence+1, body)
	if err == nil {
		s.lastSequence++
	}
	return dst, err
}

// next takes the next frame. It ends the stream on a fault of decoding, a time-out, FrameClose, or when the stream does not
// start with the handshake's frame, and takes that one only once.
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

// checkTimeout says whether too much time went by without a complete frame. It guards against peers that connect and say
// nothing, die without closing the connection, or send a frame byte by byte.
func (s *session) checkTimeout() *CloseError {
	switch {
	case s.nowMs < s.Deadline():
		return nil
	case s.established:
		return newCloseError(ReasonHeartbeatTimeout, "no frame for %g ms; %d bytes of one",
			s.limits.HeartbeatTimeoutMs, s.decoder.Buffered())
	default:
		return newCloseError(ReasonHandshakeTimeout, "no frame within %g ms; %d bytes of one",
			s.limits.HandshakeTimeoutMs, s.decoder.Buffered())
	}
}

// peerCloseError reads a FrameClose.
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

// receive decodes a frame's body into a message, checks it and delivers it to the host; check may be nil. The host never
// sees a part of a message that is invalid elsewhere: a proxy that applied half of one would hold a table that nobody knows.
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

// reject ends the stream on a frame that the peer may not send.
func (s *session) reject(frame Frame) bool {
	s.closeErr = unexpectedFrameError(frame)
	return false
}
