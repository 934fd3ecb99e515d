package controlstream

import (
	"math"

	"google.golang.org/protobuf/proto"

	"lichenpick/proto/order"
)

// Limits bound a stream. Times in ms.
type Limits struct {
	FrameBytes  int
	JoinWithin  float64 // a planner's: from the opening to the Join; a proxy's: to the Welcome
	SilentAfter float64 // without a frame
}

const (
	mostName    = 256   // characters of a proxy's, server's or zone's name
	mostEntries = 65536 // lines, orders or sums of one frame; far beyond any table
)

// PlannerHost is told what a proxy said. Each method is one frame.
type PlannerHost interface {
	Joined(*order.Join)
	Summed(*order.Sums)
	Answered(*order.Applied)
	Leased(*order.Lease)
}

// ProxyHost is told what a planner said. Each method is one frame.
type ProxyHost interface {
	Welcomed(*order.Welcome)
	Ordered(*order.Orders)
	Claimed(*order.Claim)
	Released(*order.Release)
	Stood(*order.Standing)
}

// Unshared is the part of a ProxyHost that only fleets with several controllers need.
type Unshared struct{}

func (Unshared) Claimed(*order.Claim)    {}
func (Unshared) Released(*order.Release) {}
func (Unshared) Stood(*order.Standing)   {}

// ListHost is told what a list source said.
type ListHost interface {
	Listed(*order.Listing)
}

// end is what both sides of a stream share: reading in sequence, deadlines, and the sequence of what is written.
type end struct {
	dec     *Decoder
	lim     Limits
	now     float64
	opened  float64
	heard   float64
	greeted bool // the first frame came
	ended   *Ending
	wrote   uint64
}

func newEnd(lim Limits, now float64) end {
	return end{dec: NewDecoder(lim.FrameBytes), lim: lim, now: now, opened: now, heard: now}
}

// Feed adds bytes that came in at a time.
func (e *end) Feed(now float64, p []byte) {
	e.now = now
	e.dec.Feed(p)
}

// Tick tells the time, so that a peer which says nothing is noticed.
func (e *end) Tick(now float64) { e.now = now }

// Due is when the stream ends if nothing comes until then.
func (e *end) Due() float64 {
	if !e.greeted {
		return e.opened + e.lim.JoinWithin
	}
	return e.heard + e.lim.SilentAfter
}

// Ended is why the stream is over; nil while it goes on.
func (e *end) Ended() *Ending { return e.ended }

// Append appends a frame of this side, with the next sequence.
func (e *end) Append(dst []byte, kind Kind, body proto.Message) ([]byte, error) {
	dst, err := AppendFrame(dst, kind, e.wrote+1, body)
	if err == nil {
		e.wrote++
	}
	return dst, err
}

// pull gives the next frame, or ends the stream.
func (e *end) pull(first Kind) (f Frame, ok bool) {
	if e.ended != nil {
		return f, false
	}
	f, ok, err := e.dec.Next()
	switch {
	case err != nil:
		e.ended = err.(*Ending)
		return f, false
	case !ok && e.now >= e.Due() && !e.greeted:
		e.ended = ending(NoJoin, "nothing whole within %g ms; %d bytes of a frame", e.lim.JoinWithin, e.dec.Held())
		return f, false
	case !ok && e.now >= e.Due():
		e.ended = ending(Silent, "for %g ms; %d bytes of a frame", e.lim.SilentAfter, e.dec.Held())
		return f, false
	case !ok:
		return f, false
	case f.Kind == Bye:
		var b order.Bye
		if e.body(f, &b) {
			e.ended = ending(Left, "%s", clip(b.Reason))
		}
		return f, false
	case !e.greeted && f.Kind != first || e.greeted && f.Kind == first:
		e.ended = ending(BadState, "%s", f.Kind)
		return f, false
	}
	e.heard, e.greeted = e.now, true
	return f, true
}

func clip(s string) string { return s[:min(len(s), mostName)] }

func (e *end) body(f Frame, into proto.Message) bool {
	if err := proto.Unmarshal(f.Body, into); err != nil {
		e.ended = ending(BadBody, "%s: %v", f.Kind, err)
		return false
	}
	return true
}

func (e *end) bad(f Frame, format string, args ...any) bool {
	e.ended = ending(BadBody, f.Kind.String()+": "+format, args...)
	return false
}

// PlannerEnd is a planner's side of a stream. It is not safe for use by several goroutines at once.
type PlannerEnd struct{ end }

// NewPlannerEnd starts at a time in ms.
func NewPlannerEnd(lim Limits, now float64) *PlannerEnd { return &PlannerEnd{newEnd(lim, now)} }

// Next takes at most one frame, tells the host of it, and says whether there may be more.
func (p *PlannerEnd) Next(h PlannerHost) bool {
	f, ok := p.pull(Join)
	if !ok {
		return false
	}
	switch f.Kind {
	case Join:
		m := &order.Join{}
		if !p.body(f, m) || !p.checkJoin(f, m) {
			return false
		}
		h.Joined(m)
	case Sums:
		m := &order.Sums{}
		if !p.body(f, m) || !p.checkSums(f, m) {
			return false
		}
		h.Summed(m)
	case Applied:
		m := &order.Applied{}
		if !p.body(f, m) {
			return false
		}
		h.Answered(m)
	case Lease:
		m := &order.Lease{}
		if !p.body(f, m) || !p.checkLease(f, m) {
			return false
		}
		h.Leased(m)
	case Beat:
	default:
		p.ended = ending(BadState, "%s", f.Kind)
		return false
	}
	return true
}

func named(s string) bool { return s != "" && len(s) <= mostName }

func finite(x float64) bool { return x >= 0 && !math.IsInf(x, 0) } // NaN is not

func (p *PlannerEnd) checkJoin(f Frame, m *order.Join) bool {
	switch {
	case !named(m.Proxy):
		return p.bad(f, "a proxy's name of %d characters", len(m.Proxy))
	case len(m.Zone) > mostName:
		return p.bad(f, "a zone's name of %d characters", len(m.Zone))
	case !finite(m.UsualPerS):
		return p.bad(f, "usual flows of %g", m.UsualPerS)
	case len(m.Holds) > mostName:
		return p.bad(f, "%d tables", len(m.Holds))
	case m.Lease != nil && !p.checkLease(f, m.Lease):
		return false
	}
	for _, t := range m.Holds {
		if len(t.Lines) > mostEntries || len(t.Withdrawn) > mostEntries {
			return p.bad(f, "a table of %d lines and %d withdrawn", len(t.Lines), len(t.Withdrawn))
		}
	}
	return true
}

func (p *PlannerEnd) checkLease(f Frame, m *order.Lease) bool {
	if !finite(m.LeftMs) || len(m.Reachable) > mostName || len(m.MessagesAgoMs) > mostEntries || len(m.Going) > mostEntries ||
		len(m.Holds) > mostName {
		return p.bad(f, "a lease of %g ms with %d tables", m.LeftMs, len(m.Holds))
	}
	for _, ago := range m.MessagesAgoMs {
		if !finite(ago) {
			return p.bad(f, "a message %g ms ago", ago)
		}
	}
	return true
}

func (p *PlannerEnd) checkSums(f Frame, m *order.Sums) bool {
	if !finite(m.CoversMs) || len(m.Servers) > mostEntries || len(m.Groups) > mostEntries {
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

// ProxyEnd is a proxy's side of a stream.
type ProxyEnd struct{ end }

// NewProxyEnd starts at a time in ms.
func NewProxyEnd(lim Limits, now float64) *ProxyEnd { return &ProxyEnd{newEnd(lim, now)} }

// Next takes at most one frame, tells the host of it, and says whether there may be more.
func (p *ProxyEnd) Next(h ProxyHost) bool {
	f, ok := p.pull(Welcome)
	if !ok {
		return false
	}
	switch f.Kind {
	case Welcome:
		m := &order.Welcome{}
		if !p.body(f, m) {
			return false
		}
		h.Welcomed(m)
	case Orders:
		m := &order.Orders{}
		if !p.body(f, m) || !p.checkOrders(f, m) {
			return false
		}
		h.Ordered(m)
	case Claim:
		m := &order.Claim{}
		if !p.body(f, m) {
			return false
		}
		if !named(m.Controller) || m.Epoch == 0 {
			p.bad(f, "epoch %d of %q", m.Epoch, clip(m.Controller))
			return false
		}
		h.Claimed(m)
	case Release:
		m := &order.Release{}
		if !p.body(f, m) {
			return false
		}
		h.Released(m)
	case Standing:
		m := &order.Standing{}
		if !p.body(f, m) {
			return false
		}
		h.Stood(m)
	case Beat:
	default:
		p.ended = ending(BadState, "%s", f.Kind)
		return false
	}
	return true
}

// checkOrders refuses a message whole, so that a proxy never obeys the half of one.
func (p *ProxyEnd) checkOrders(f Frame, m *order.Orders) bool {
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

// ListEnd reads a list source's stream.
type ListEnd struct{ end }

// NewListEnd starts at a time in ms.
func NewListEnd(lim Limits, now float64) *ListEnd { return &ListEnd{newEnd(lim, now)} }

// Next takes at most one frame, tells the host of it, and says whether there may be more.
func (p *ListEnd) Next(h ListHost) bool {
	if p.ended != nil {
		return false
	}
	f, ok, err := p.dec.Next()
	if err != nil {
		p.ended = err.(*Ending)
		return false
	}
	if !ok {
		if p.now >= p.heard+p.lim.SilentAfter {
			p.ended = ending(Silent, "for %g ms", p.lim.SilentAfter)
		}
		return false
	}
	p.heard, p.greeted = p.now, true
	switch f.Kind {
	case Listing:
		m := &order.Listing{}
		if !p.body(f, m) {
			return false
		}
		for _, e := range m.Entries {
			if !named(e.Server) || len(e.Zone) > mostName || e.State > 2 || !finite(e.Size) {
				return p.bad(f, "server %q in state %d, size %g", clip(e.Server), e.State, e.Size)
			}
		}
		h.Listed(m)
	case Beat:
	default:
		p.ended = ending(BadState, "%s", f.Kind)
		return false
	}
	return true
}
