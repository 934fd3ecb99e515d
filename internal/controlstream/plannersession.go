package controlstream

import "lichenpick/proto/order"

// PlannerHost handles the messages of a proxy. PlannerSession.Next calls one method for each message. The host may keep the
// messages.
type PlannerHost interface {
	// OnJoin is called exactly once, before all other methods.
	OnJoin(*order.Join)
	// OnLoadReport is called for each load report.
	OnLoadReport(*order.Sums)
	// OnAck is called for each acknowledgement. The proxy acknowledges the Welcome, with number 0, and each Orders message.
	OnAck(*order.Applied)
	// OnLease is called for the response to a lease request, and when the state of the proxy's lease changes.
	OnLease(*order.Lease)
}

// PlannerSession is a planner's end of a stream to a proxy. Except for Append, its methods must not be called by several
// goroutines at the same time.
type PlannerSession struct{ session }

// NewPlannerSession returns the planner's end of a stream that opens at nowMs.
func NewPlannerSession(limits Limits, nowMs float64) *PlannerSession {
	return &PlannerSession{newSession(limits, nowMs)}
}

// Next processes at most one frame and passes its message to the host. It returns false if there is no complete frame or the
// stream has ended. After the end of the stream, CloseCause returns the error.
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
