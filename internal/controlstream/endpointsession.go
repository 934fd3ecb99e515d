package controlstream

import "lichenpick/proto/order"

// EndpointHost handles the messages of an endpoint source. EndpointSession.Next calls OnEndpoints once for each message.
// The host may keep the messages.
type EndpointHost interface {
	// OnEndpoints is called for each endpoint list and each change to one.
	OnEndpoints(*order.Listing)
}

// EndpointSession is the receiving end of a stream from an endpoint source. The stream has no handshake. An EndpointSession
// must not be used by several goroutines at the same time.
type EndpointSession struct{ session }

// NewEndpointSession returns the receiving end of a stream that opens at nowMs.
func NewEndpointSession(limits Limits, nowMs float64) *EndpointSession {
	return &EndpointSession{newSession(limits, nowMs)}
}

// Next processes at most one frame and passes its message to the host. It returns false if there is no complete frame or the
// stream has ended. After the end of the stream, CloseCause returns the error.
func (e *EndpointSession) Next(host EndpointHost) bool {
	if e.closeErr != nil {
		return false
	}
	frame, ok, closeErr := e.decoder.next()
	if closeErr != nil {
		e.closeErr = closeErr
		return false
	}
	if !ok {
		e.closeErr = e.checkHeartbeatTimeout()
		return false
	}
	e.lastFrameMs = e.nowMs
	e.established = true
	switch frame.Kind {
	case FrameEndpoints:
		return receive(&e.session, frame, &order.Listing{}, checkEndpoints, host.OnEndpoints)
	case FrameHeartbeat:
		return true
	default:
		return e.reject(frame)
	}
}

// checkHeartbeatTimeout returns an error if no complete frame has been received for Limits.HeartbeatTimeoutMs, else nil.
// Unlike checkTimeout, it applies the heartbeat time-out also before the first frame, because an endpoint source's stream
// has no handshake.
func (e *EndpointSession) checkHeartbeatTimeout() *CloseError {
	if e.nowMs < e.lastFrameMs+e.limits.HeartbeatTimeoutMs {
		return nil
	}
	return newCloseError(ReasonHeartbeatTimeout, "no complete frame for %g ms", e.limits.HeartbeatTimeoutMs)
}
