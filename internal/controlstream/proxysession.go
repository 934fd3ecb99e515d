package controlstream

import "lichenpick/proto/order"

// ProxyHost receives what a planner sent, one call for each frame, from within ProxySession.Next. It may keep the messages.
type ProxyHost interface {
	// OnWelcome is called first, and once.
	OnWelcome(*order.Welcome)
	// OnOrders is called for each message of orders; all of its orders are valid.
	OnOrders(*order.Orders)
	// OnLeaseRequest is called when the planner asks for the proxy's lease, or renews it.
	OnLeaseRequest(*order.Claim)
	// OnLeaseRelease is called when the planner gives the lease back.
	OnLeaseRelease(*order.Release)
	// OnControllerStatus is called when the planner starts or stops to take leases.
	OnControllerStatus(*order.Standing)
}

// NoopLeaseHandler implements the part of a ProxyHost that is needed only where several controllers share a fleet. Its
// methods do nothing; embed it in a host of one planner.
type NoopLeaseHandler struct{}

// OnLeaseRequest does nothing.
func (NoopLeaseHandler) OnLeaseRequest(*order.Claim) {}

// OnLeaseRelease does nothing.
func (NoopLeaseHandler) OnLeaseRelease(*order.Release) {}

// OnControllerStatus does nothing.
func (NoopLeaseHandler) OnControllerStatus(*order.Standing) {}

// ProxySession is a proxy's end of a stream to a planner. It is used by one goroutine at a time, but for Append.
type ProxySession struct{ session }

// NewProxySession makes the end of a stream that opens at a time in ms.
func NewProxySession(limits Limits, nowMs float64) *ProxySession {
	return &ProxySession{newSession(limits, nowMs)}
}

// Next takes at most one frame and delivers it to the host. It returns false when there is no complete frame, or the stream
// ended, which CloseCause then tells.
func (p *ProxySession) Next(host ProxyHost) bool {
	frame, ok := p.next(FrameWelcome)
	if !ok {
		return false
	}
	switch frame.Kind {
	case FrameWelcome:
		return receive(&p.session, frame, &order.Welcome{}, nil, host.OnWelcome)
	case FrameOrders:
		return receive(&p.session, frame, &order.Orders{}, checkOrders, host.OnOrders)
	case FrameLeaseRequest:
		return receive(&p.session, frame, &order.Claim{}, checkLeaseRequest, host.OnLeaseRequest)
	case FrameLeaseRelease:
		return receive(&p.session, frame, &order.Release{}, nil, host.OnLeaseRelease)
	case FrameControllerStatus:
		return receive(&p.session, frame, &order.Standing{}, nil, host.OnControllerStatus)
	case FrameHeartbeat:
		return true
	default:
		return p.reject(frame)
	}
}
