package controlstream

import "lichenpick/proto/order"

// PlannerHost receives what a proxy sent, one call for each frame, from within PlannerSession.Next. It may keep the
// messages.
type PlannerHost interface {
	// OnJoin is called first, and once.
	OnJoin(*order.Join)
	// OnLoadReport is called for each report of the load that the proxy sent on.
	OnLoadReport(*order.Sums)
	// OnAck is called for the acknowledgement of the welcome, as number 0, and of each message of orders.
	OnAck(*order.Applied)
	// OnLease is called for an answer to a lease request, and when the holder of the proxy's lease changes.
	OnLease(*order.Lease)
}

// PlannerSession is a planner's end of a stream to a proxy. It is used by one goroutine at a time, but for Append.
type PlannerSession struct{ session }

// NewPlannerSession makes the end of a stream that opens at a time in ms.
func NewPlannerSession(limits Limits, nowMs float64) *PlannerSession {
	return &PlannerSession{newSession(limits, nowMs)}
}

// Next takes at most one frame and delivers it to the host. It returns false when there is no complete frame, or the stream
// ended, which CloseCause then tells.
func (p *PlannerSession) Next(host PlannerHost) bool {
	frame, ok := p.next(FrameJoin)
	if !ok {
		return false
	}
	switch frame.Kind {
	case FrameJoin:
		return receive(&p.session, frame, &order.Join{}, checkJoin, host.OnJoin)
	case FrameLoadReport:
		return receive(&p.session, frame, &order.Sums{}, checkLoadReport, host.OnLoadReport)
	case FrameAck:
		return receive(&p.session, frame, &order.Applied{}, nil, host.OnAck)
	case FrameLease:
		return receive(&p.session, frame, &order.Lease{}, checkLease, host.OnLease)
	case FrameHeartbeat:
		return true
	default:
		return p.reject(frame)
	}
}
