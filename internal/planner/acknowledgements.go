package planner

import (
	"fmt"
	"math"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/settings"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

// drainAckFraction is the part of the drain grace within which a proxy must acknowledge the ejection of a server that drains.
// The policy takes the rest for its decision.
const drainAckFraction = 0.5

// sentUpdate is a message that was not acknowledged yet.
type sentUpdate struct {
	number    uint64 // of the message; 0: the welcome
	decidedMs float64
	urgent    bool            // holds an ejection of a server that drains or is removed
	requested map[uint32]bool // acknowledgements that the policy asked for; nil: none
}

// requestedAcknowledgements returns those that a message asks for; nil if it asks for none.
func requestedAcknowledgements(orders *order.Orders) map[uint32]bool {
	var requested map[uint32]bool
	for _, o := range orders.Orders {
		request, ok := o.What.(*order.Order_Receipt)
		if !ok {
			continue
		}
		if requested == nil {
			requested = map[uint32]bool{}
		}
		requested[request.Receipt] = true
	}
	return requested
}

// ackTracker knows by when proxies must have acknowledged what they were sent.
type ackTracker struct {
	timeoutMs      float64 // for every message
	drainTimeoutMs float64 // for one that ejects a server which drains
	// earliestDeadlineMs is a lower bound of all proxies' deadlines: acknowledgements only move deadlines back. It spares a scan of
	// all proxies at each decision.
	earliestDeadlineMs float64
}

// newAckTracker makes a tracker by checked settings.
func newAckTracker(set *pb.Planner) ackTracker {
	return ackTracker{
		timeoutMs:      settings.Milliseconds(set.Streams.SilentAfter),
		drainTimeoutMs: drainAckFraction * settings.Milliseconds(set.Servers.DrainGrace),
	}
}

// add has a message to a proxy acknowledged in time.
func (t *ackTracker) add(p *joinedProxy, u sentUpdate) {
	p.unacknowledged = append(p.unacknowledged, u)
	t.earliestDeadlineMs = min(t.earliestDeadlineMs, t.deadline(p))
}

// deadline is when a proxy that owes acknowledgements must have sent the first of them, in ms. A server that drains must not
// be sent anything after its grace: a proxy that may not know of the drain is better off without a planner, and dials again.
func (t *ackTracker) deadline(p *joinedProxy) float64 {
	deadline := p.unacknowledged[0].decidedMs + t.timeoutMs
	for _, u := range p.unacknowledged {
		if u.urgent {
			deadline = min(deadline, u.decidedMs+t.drainTimeoutMs)
		}
	}
	return deadline
}

// findLate returns a proxy whose deadline has passed; nil if there is none.
func (t *ackTracker) findLate(nowMs float64, proxies *proxyTable) *joinedProxy {
	if nowMs < t.earliestDeadlineMs {
		return nil
	}
	t.earliestDeadlineMs = math.Inf(1)
	for p := range proxies.all() {
		if len(p.unacknowledged) == 0 {
			continue
		}
		deadline := t.deadline(p)
		if nowMs >= deadline {
			t.earliestDeadlineMs = nowMs // there may be more
			return p
		}
		t.earliestDeadlineMs = min(t.earliestDeadlineMs, deadline)
	}
	return nil
}

// HandleAck takes in that a proxy applied a message and all before it, or refused one that was decided under another epoch.
func (c *Core) HandleAck(s *Stream, ack *order.Applied) {
	c.logInput(inputAck, s, ack)
	p := s.proxy
	if p == nil || s.ended {
		return
	}
	p.lastFrameMs = c.nowMs
	if ack.Refused && c.leases.enabled() {
		c.leases.manager.OrdersRejected(p.name)
		return
	}
	for len(p.unacknowledged) > 0 && p.unacknowledged[0].number <= ack.Number {
		update := p.unacknowledged[0]
		p.unacknowledged = p.unacknowledged[1:]
		c.acknowledge(p, update, ack.Receipts)
	}
}

// acknowledge takes the latency of one message, and tells the policy of the acknowledgements that it asked for.
func (c *Core) acknowledge(p *joinedProxy, update sentUpdate, acknowledged []uint32) {
	tookMs := c.nowMs - update.decidedMs
	if update.number > 0 {
		// A latency over the histogram's upper bound is not recorded: its stream has long been closed for it.
		_ = c.OrderLatency.RecordValue(max(int64(tookMs*microsPerMilli), minOrderLatencyUs))
	}
	for _, number := range acknowledged {
		if update.requested[number] {
			c.policy.Acknowledge(p.id, int(number), tookMs)
		}
	}
}

// nextLateAck closes one stream whose proxy did not acknowledge in time, and reports whether there was one.
func (c *Core) nextLateAck() bool {
	p := c.acks.findLate(c.nowMs, &c.proxies)
	if p == nil {
		return false
	}
	first := p.unacknowledged[0]
	detail := fmt.Sprintf("message %d of %d, decided %.0f ms ago", first.number, p.messageCount, c.nowMs-first.decidedMs)
	c.closeStream(p.stream, &controlstream.CloseError{Reason: controlstream.ReasonAckTimeout, Detail: detail})
	return true
}
