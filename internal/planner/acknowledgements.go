package planner

import (
	"fmt"
	"math"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/settings"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

// drainAckFraction is the fraction of the drain grace within which a proxy must acknowledge the ejection of a draining
// server. The rest of the grace is left for the policy to decide on the ejection.
const drainAckFraction = 0.5

// sentUpdate is a message that the proxy has not acknowledged yet.
type sentUpdate struct {
	number    uint64          // number of the message; 0: the welcome
	decidedMs float64         // time at which the message's content was decided
	urgent    bool            // whether the message ejects a server that drains or is removed
	requested map[uint32]bool // numbers of the acknowledgements that the policy requested with the message; nil: none
}

// requestedAcknowledgements returns the numbers of the acknowledgements that a message requests; nil if there are none.
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

// ackTracker finds proxies that do not acknowledge their messages in time.
type ackTracker struct {
	timeoutMs      float64 // limit on the time to acknowledge any message
	drainTimeoutMs float64 // limit on the time to acknowledge an urgent message, which ejects a draining or removed server
	// earliestDeadlineMs is a lower bound of all proxies' deadlines, so that not every decision has to scan all proxies.
	// The bound stays valid when acknowledgements arrive, as these only move deadlines later.
	earliestDeadlineMs float64
}

// newAckTracker returns a tracker with the timeouts of checked settings.
func newAckTracker(set *pb.Planner) ackTracker {
	return ackTracker{
		timeoutMs:      settings.Milliseconds(set.Streams.SilentAfter),
		drainTimeoutMs: drainAckFraction * settings.Milliseconds(set.Servers.DrainGrace),
	}
}

// add starts waiting for a proxy's acknowledgement of a message.
func (t *ackTracker) add(p *joinedProxy, u sentUpdate) {
	p.unacknowledged = append(p.unacknowledged, u)
	t.earliestDeadlineMs = min(t.earliestDeadlineMs, t.deadline(p))
}

// deadline returns when a proxy with unacknowledged messages must have acknowledged the first of them, in ms. An urgent
// message moves the deadline forward, as proxies must not send requests to a draining server after its drain grace. A proxy
// that may not know of the drain therefore has its stream closed within the grace, so that it dials again.
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
			t.earliestDeadlineMs = nowMs // further proxies may also be late
			return p
		}
		t.earliestDeadlineMs = min(t.earliestDeadlineMs, deadline)
	}
	return nil
}

// HandleAck handles an acknowledgement: the proxy applied a message and all messages before it, or rejected a message that
// was decided under another epoch.
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

// acknowledge records the latency of one message. It passes each acknowledgement that the policy requested with
// the message to the policy.
func (c *Core) acknowledge(p *joinedProxy, update sentUpdate, acknowledged []uint32) {
	tookMs := c.nowMs - update.decidedMs
	if update.number > 0 {
		// RecordValue fails for latencies above the histogram's upper bound. A stream is closed long before an
		// acknowledgement is so late.
		_ = c.OrderLatency.RecordValue(max(int64(tookMs*microsPerMilli), minOrderLatencyUs))
	}
	for _, number := range acknowledged {
		if update.requested[number] {
			c.policy.Acknowledge(p.id, int(number), tookMs)
		}
	}
}

// nextLateAck closes one stream whose proxy did not acknowledge a message in time, and reports whether there was one.
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
