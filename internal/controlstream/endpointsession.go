package controlstream

import "lichenpick/proto/order"

// EndpointHost receives what an endpoint source sent, one call for each frame, from within EndpointSession.Next. It may keep
// the messages.
type EndpointHost interface {
	// OnEndpoints is called for each list, and for each change of one.
	OnEndpoints(*order.Listing)
}

// EndpointSession is the reading end of an endpoint source's stream, which has no handshake. It is used by one goroutine at
// a time.
type EndpointSession struct{ session }

// NewEndpointSession makes the end of a stream that opens at a time in ms.
func NewEndpointSession(limits Limits, nowMs float64) *EndpointSession {
	return &EndpointSession{newSession(limits, nowMs)}
}

// Next takes at most one frame and delivers it to the host. It returns false when there is no complete frame, or the stream
// ended, which CloseCause then tells.
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

// checkHeartbeatTimeout says whether too much time went by without a frame. There is no handshake, so its time-out does not count.
func (e *EndpointSession) checkHeartbeatTimeout() *CloseError {
	if e.nowMs < e.lastFrameMs+e.limits.HeartbeatTimeoutMs {
		return nil
	}
	return newCloseError(ReasonHeartbeatTimeout, "no frame for %g ms", e.limits.HeartbeatTimeoutMs)
}
