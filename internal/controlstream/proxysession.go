package controlstream

import "lichenpick/proto/order"

// ProxyHost handles the messages of a planner. ProxySession.Next calls one method for each message. The host may keep the
// messages.
type ProxyHost interface {
	// OnWelcome is called exactly once, before all other methods.
	OnWelcome(*order.Welcome)
	// OnOrders is called for each Orders message. All orders in it are valid.
	OnOrders(*order.Orders)
	// OnLeaseRequest is called when the planner requests or renews the proxy's lease.
	OnLeaseRequest(*order.Claim)
	// OnLeaseRelease is called when the planner ends its lease of the proxy.
	OnLeaseRelease(*order.Release)
	// OnControllerStatus is called when the planner states whether it accepts leases.
	OnControllerStatus(*order.Standing)
}

// NoopLeaseHandler implements the lease methods of ProxyHost as no-ops. These methods are needed only where several
// controllers share a fleet. Embed NoopLeaseHandler in a host that talks to a single planner.
type NoopLeaseHandler struct{}

// OnLeaseRequest does nothing.
func (NoopLeaseHandler) OnLeaseRequest(*order.Claim) {}

// OnLeaseRelease does nothing.
func (NoopLeaseHandler) OnLeaseRelease(*order.Release) {}

// OnControllerStatus does nothing.
func (NoopLeaseHandler) OnControllerStatus(*order.Standing) {}

// ProxySession is a proxy's end of a stream to a planner. Except for Append, its methods must not be called by several
// goroutines at the same time.
type ProxySession struct{ session }

// NewProxySession returns the proxy's end of a stream that opens at nowMs.
func NewProxySession(limits Limits, nowMs float64) *ProxySession {
	return &ProxySession{newSession(limits, nowMs)}
}

// Next processes at most one frame and passes its message to the host. It returns false if there is no complete frame or the
// stream has ended. After the end of the stream, CloseCause returns the error.
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
