package controlstream

import (
	"math"

	"google.golang.org/protobuf/proto"

	"lichenpick/proto/order"
)

// Limits bound a stream. Times in ms.
type Limits struct {
	MaxFrameBytes      int
	HandshakeTimeoutMs float64 // a planner's: from the opening to the FrameJoin; a proxy's: to the FrameWelcome
	HeartbeatTimeoutMs float64 // without a frame
}

const (
	maxNameBytes = 256   // characters of a proxy's, server's or zone's name
	maxEntries   = 65536 // lines, orders or sums of one frame; far beyond any table
)

// PlannerHost is told what a proxy said. Each method is one frame.
type PlannerHost interface {
	OnJoin(*order.Join)
	OnLoadReport(*order.Sums)
	OnAck(*order.Applied)
	OnLease(*order.Lease)
}

// ProxyHost is told what a planner said. Each method is one frame.
type ProxyHost interface {
	OnWelcome(*order.Welcome)
	OnOrders(*order.Orders)
	OnLeaseRequest(*order.Claim)
	OnLeaseRelease(*order.Release)
	OnControllerStatus(*order.Standing)
}

// SingleController is the part of a ProxyHost that only fleets with several controllers need.
type SingleController struct{}

func (SingleController) OnLeaseRequest(*order.Claim)        {}
func (SingleController) OnLeaseRelease(*order.Release)      {}
func (SingleController) OnControllerStatus(*order.Standing) {}

// EndpointHost is told what a list source said.
type EndpointHost interface {
	OnEndpoints(*order.Listing)
}

// session is what both sides of a stream share: reading in sequence, deadlines, and the sequence of what is written.
type session struct {
	dec     *Decoder
	lim     Limits
	now     float64
	opened  float64
	heard   float64
	greeted bool // the first frame came
	ended   *CloseError
	wrote   uint64
}

func newSession(lim Limits, now float64) session {
	return session{dec: NewDecoder(lim.MaxFrameBytes), lim: lim, now: now, opened: now, heard: now}
}

// Feed adds bytes that came in at a time.
func (e *session) Feed(now float64, p []byte) {
	e.now = now
	e.dec.Feed(p)
}

// SetTime tells the time, so that a peer which says nothing is noticed.
func (e *session) SetTime(now float64) { e.now = now }

// Deadline is when the stream ends if nothing comes until then.
func (e *session) Deadline() float64 {
	if !e.greeted {
		return e.opened + e.lim.HandshakeTimeoutMs
	}
	return e.heard + e.lim.HeartbeatTimeoutMs
}

// CloseCause is why the stream is over; nil while it goes on.
func (e *session) CloseCause() *CloseError { return e.ended }

// Append appends a frame of this side, with the next sequence.
func (e *session) Append(dst []byte, kind FrameKind, body proto.Message) ([]byte, error) {
	dst, err := AppendFrame(dst, kind, e.wrote+1, body)
	if err == nil {
		e.wrote++
	}
	return dst, err
}

// pull gives the next frame, or ends the stream.
func (e *session) pull(first FrameKind) (f Frame, ok bool) {
	if e.ended != nil {
		return f, false
	}
	f, ok, err := e.dec.Next()
	switch {
	case err != nil:
		e.ended = err.(*CloseError)
		return f, false
	case !ok && e.now >= e.Deadline() && !e.greeted:
		e.ended = newCloseError(ReasonJoinTimeout, "nothing whole within %g ms; %d bytes of a frame", e.lim.HandshakeTimeoutMs, e.dec.Buffered())
		return f, false
	case !ok && e.now >= e.Deadline():
		e.ended = newCloseError(ReasonHeartbeatTimeout, "for %g ms; %d bytes of a frame", e.lim.HeartbeatTimeoutMs, e.dec.Buffered())
		return f, false
	case !ok:
		return f, false
	case f.Kind == FrameClose:
		var b order.Bye
		if e.body(f, &b) {
			e.ended = newCloseError(ReasonPeerClosed, "%s", clip(b.Reason))
		}
		return f, false
	case !e.greeted && f.Kind != first || e.greeted && f.Kind == first:
		e.ended = newCloseError(ReasonUnexpectedFrame, "%s", f.Kind)
		return f, false
	}
	e.heard, e.greeted = e.now, true
	return f, true
}

func clip(s string) string { return s[:min(len(s), maxNameBytes)] }

func (e *session) body(f Frame, into proto.Message) bool {
	if err := proto.Unmarshal(f.Body, into); err != nil {
		e.ended = newCloseError(ReasonBadBody, "%s: %v", f.Kind, err)
		return false
	}
	return true
}

func (e *session) bad(f Frame, format string, args ...any) bool {
	e.ended = newCloseError(ReasonBadBody, f.Kind.String()+": "+format, args...)
	return false
}

// PlannerSession is a planner's side of a stream. It is not safe for use by several goroutines at once.
type PlannerSession struct{ session }

// NewPlannerSession starts at a time in ms.
func NewPlannerSession(lim Limits, now float64) *PlannerSession {
	return &PlannerSession{newSession(lim, now)}
}

// Next takes at most one frame, tells the host of it, and says whether there may be more.
func (p *PlannerSession) Next(h PlannerHost) bool {
	f, ok := p.pull(FrameJoin)
	if !ok {
		return false
	}
	switch f.Kind {
	case FrameJoin:
		m := &order.Join{}
		if !p.body(f, m) || !p.checkJoin(f, m) {
			return false
		}
		h.OnJoin(m)
	case FrameLoadReport:
		m := &order.Sums{}
		if !p.body(f, m) || !p.checkSums(f, m) {
			return false
		}
		h.OnLoadReport(m)
	case FrameAck:
		m := &order.Applied{}
		if !p.body(f, m) {
			return false
		}
		h.OnAck(m)
	case FrameLease:
		m := &order.Lease{}
		if !p.body(f, m) || !p.checkLease(f, m) {
			return false
		}
		h.OnLease(m)
	case FrameHeartbeat:
	default:
		p.ended = newCloseError(ReasonUnexpectedFrame, "%s", f.Kind)
		return false
	}
	return true
}

func named(s string) bool { return s != "" && len(s) <= maxNameBytes }

func finite(x float64) bool { return x >= 0 && !math.IsInf(x, 0) } // NaN is not

func (p *PlannerSession) checkJoin(f Frame, m *order.Join) bool {
	switch {
	case !named(m.Proxy):
		return p.bad(f, "a proxy's name of %d characters", len(m.Proxy))
	case len(m.Zone) > maxNameBytes:
		return p.bad(f, "a zone's name of %d characters", len(m.Zone))
	case !finite(m.UsualPerS):
		return p.bad(f, "usual flows of %g", m.UsualPerS)
	case len(m.Holds) > maxNameBytes:
		return p.bad(f, "%d tables", len(m.Holds))
	case m.Lease != nil && !p.checkLease(f, m.Lease):
		return false
	}
	for _, t := range m.Holds {
		if len(t.Lines) > maxEntries || len(t.Withdrawn) > maxEntries {
			return p.bad(f, "a table of %d lines and %d withdrawn", len(t.Lines), len(t.Withdrawn))
		}
	}
	return true
}

func (p *PlannerSession) checkLease(f Frame, m *order.Lease) bool {
	if !finite(m.LeftMs) || len(m.Reachable) > maxNameBytes || len(m.MessagesAgoMs) > maxEntries || len(m.Going) > maxEntries ||
		len(m.Holds) > maxNameBytes {
		return p.bad(f, "a lease of %g ms with %d tables", m.LeftMs, len(m.Holds))
	}
	for _, ago := range m.MessagesAgoMs {
		if !finite(ago) {
			return p.bad(f, "a message %g ms ago", ago)
		}
	}
	return true
}

func (p *PlannerSession) checkSums(f Frame, m *order.Sums) bool {
	if !finite(m.CoversMs) || len(m.Servers) > maxEntries || len(m.Groups) > maxEntries {
		return p.bad(f, "%d servers, %d groups over %g ms", len(m.Servers), len(m.Groups), m.CoversMs)
	}
	for _, s := range m.Servers {
		if !named(s.Server) || s.Dropped > s.Tries || !finite(s.LatencyMs) {
			return p.bad(f, "%d of %d dropped, %g ms", s.Dropped, s.Tries, s.LatencyMs)
		}
	}
	for _, g := range m.Groups {
		if g.Dropped > g.Came {
			return p.bad(f, "%d of %d dropped", g.Dropped, g.Came)
		}
	}
	return true
}

// ProxySession is a proxy's side of a stream.
type ProxySession struct{ session }

// NewProxySession starts at a time in ms.
func NewProxySession(lim Limits, now float64) *ProxySession {
	return &ProxySession{newSession(lim, now)}
}

// Next takes at most one frame, tells the host of it, and says whether there may be more.
func (p *ProxySession) Next(h ProxyHost) bool {
	f, ok := p.pull(FrameWelcome)
	if !ok {
		return false
	}
	switch f.Kind {
	case FrameWelcome:
		m := &order.Welcome{}
		if !p.body(f, m) {
			return false
		}
		h.OnWelcome(m)
	case FrameOrders:
		m := &order.Orders{}
		if !p.body(f, m) || !p.checkOrders(f, m) {
			return false
		}
		h.OnOrders(m)
	case FrameLeaseRequest:
		m := &order.Claim{}
		if !p.body(f, m) {
			return false
		}
		if !named(m.Controller) || m.Epoch == 0 {
			p.bad(f, "epoch %d of %q", m.Epoch, clip(m.Controller))
			return false
		}
		h.OnLeaseRequest(m)
	case FrameLeaseRelease:
		m := &order.Release{}
		if !p.body(f, m) {
			return false
		}
		h.OnLeaseRelease(m)
	case FrameControllerStatus:
		m := &order.Standing{}
		if !p.body(f, m) {
			return false
		}
		h.OnControllerStatus(m)
	case FrameHeartbeat:
	default:
		p.ended = newCloseError(ReasonUnexpectedFrame, "%s", f.Kind)
		return false
	}
	return true
}

// checkOrders refuses a message whole, so that a proxy never obeys the half of one.
func (p *ProxySession) checkOrders(f Frame, m *order.Orders) bool {
	line := func(l *order.Line) bool { return l != nil && named(l.Server) && finite(l.Weight) }
	level := func(l *order.Level) bool { return l != nil && finite(l.Share) && l.Retry <= 3 }
	for _, o := range m.Orders {
		ok := false
		switch w := o.What.(type) {
		case *order.Order_Line:
			ok = line(w.Line.GetLine())
		case *order.Order_Bind:
			ok = w.Bind != nil
			for _, l := range w.Bind.GetLines() {
				ok = ok && line(l)
			}
			for _, l := range w.Bind.GetLevels() {
				ok = ok && level(l)
			}
		case *order.Order_Withdraw:
			ok = w.Withdraw != nil && named(w.Withdraw.Server)
		case *order.Order_Level:
			ok = level(w.Level)
		case *order.Order_Receipt:
			ok = true
		}
		if !ok {
			return p.bad(f, "an order that makes no sense: %v", o)
		}
	}
	return true
}

// EndpointSession reads a list source's stream.
type EndpointSession struct{ session }

// NewEndpointSession starts at a time in ms.
func NewEndpointSession(lim Limits, now float64) *EndpointSession {
	return &EndpointSession{newSession(lim, now)}
}

// Next takes at most one frame, tells the host of it, and says whether there may be more.
func (p *EndpointSession) Next(h EndpointHost) bool {
	if p.ended != nil {
		return false
	}
	f, ok, err := p.dec.Next()
	if err != nil {
		p.ended = err.(*CloseError)
		return false
	}
	if !ok {
		if p.now >= p.heard+p.lim.HeartbeatTimeoutMs {
			p.ended = newCloseError(ReasonHeartbeatTimeout, "for %g ms", p.lim.HeartbeatTimeoutMs)
		}
		return false
	}
	p.heard, p.greeted = p.now, true
	switch f.Kind {
	case FrameEndpoints:
		m := &order.Listing{}
		if !p.body(f, m) {
			return false
		}
		for _, e := range m.Entries {
			if !named(e.Server) || len(e.Zone) > maxNameBytes || e.State > 2 || !finite(e.Size) {
				return p.bad(f, "server %q in state %d, size %g", clip(e.Server), e.State, e.Size)
			}
		}
		h.OnEndpoints(m)
	case FrameHeartbeat:
	default:
		p.ended = newCloseError(ReasonUnexpectedFrame, "%s", f.Kind)
		return false
	}
	return true
}
