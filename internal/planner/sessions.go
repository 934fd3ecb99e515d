package planner

import (
	"fmt"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/weighttable"
	"lichenpick/proto/order"
)

// nameReservedMs is how long a proxy's name stays reserved for its process after the last frame from that process. Without
// the reservation, two proxies configured with the same name would replace each other's streams endlessly.
const nameReservedMs = 2500.0

// HandleJoin handles the first frame of a stream. Subsequent calls of Next welcome the proxy or close the stream.
func (c *Core) HandleJoin(s *Stream, join *order.Join) {
	c.logInput(inputJoin, nil, join)
	if s.ended {
		return
	}
	zone, refusal := c.checkJoin(s, join)
	if refusal == nil {
		refusal = c.supersede(s, join)
	}
	if refusal != nil {
		c.closeStream(s, refusal)
		return
	}
	p := &joinedProxy{
		name:           join.Proxy,
		zone:           zone,
		stream:         s,
		incarnation:    join.Incarnation,
		streamNumber:   join.Stream,
		expectedRate:   join.UsualPerS,
		lastFrameMs:    c.nowMs,
		window:         &controlstream.MessageWindow{},
		tables:         make([]*weighttable.Table[*joinedProxy], len(c.registry.Admission)),
		reportedTables: join.Holds,
		ejections:      map[string]bool{},
	}
	s.proxy = p
	c.proxies.add(p)
	c.Counts.Joins++
	if c.leases.enabled() {
		c.welcomeShared(p, join.Lease)
	} else {
		c.welcome(p)
	}
}

// checkJoin returns the zone of a joining proxy, or why the proxy cannot join.
func (c *Core) checkJoin(s *Stream, join *order.Join) (zone int, refusal *controlstream.CloseError) {
	zone, known := c.zones.find(join.Zone, s.Address)
	classes := len(c.configuration.Groups)
	detail := ""
	switch {
	case !known:
		detail = fmt.Sprintf("no zone found for name %q and address %s", join.Zone, s.Address)
	case int(join.Groups) != classes:
		detail = fmt.Sprintf("the proxy has %d traffic classes, the planner has %d", join.Groups, classes)
	case (join.Lease != nil) != c.leases.enabled():
		detail = "'sharing' is set on only one of proxy and planner"
	default:
		return zone, nil
	}
	return 0, &controlstream.CloseError{Reason: controlstream.ReasonUnknownPeer, Detail: detail}
}

// supersede closes the current stream under a joining proxy's name, if there is one, or returns why the new stream cannot
// use the name. A newer stream of the same process always replaces the old stream, which is broken even if this planner has
// not noticed yet. Another process gets the name only after the current one has been silent for nameReservedMs.
func (c *Core) supersede(s *Stream, join *order.Join) *controlstream.CloseError {
	old := c.proxies.byName[join.Proxy]
	if old == nil {
		return nil
	}
	newer := old.incarnation == join.Incarnation && join.Stream > old.streamNumber
	if !newer && c.nowMs-old.lastFrameMs < nameReservedMs {
		detail := fmt.Sprintf("proxy %q is already connected from %s", join.Proxy, old.stream.Address)
		return &controlstream.CloseError{Reason: controlstream.ReasonNameInUse, Detail: detail}
	}
	detail := fmt.Sprintf("newer stream from %s", s.Address)
	c.closeStream(old.stream, &controlstream.CloseError{Reason: controlstream.ReasonSuperseded, Detail: detail})
	return nil
}

// newWelcome returns the answer to a join, without ejections.
func (c *Core) newWelcome() *order.Welcome {
	return &order.Welcome{
		Planner:       c.configuration.Name,
		Incarnation:   c.incarnation,
		ReportEveryMs: c.reportEveryMs,
		Sharing:       c.leases.enabled(),
	}
}

// welcome answers a join and makes the policy command the proxy. The answer lists the ejected servers in the tables that
// the proxy still uses from earlier streams, so that ejections apply before the proxy is assigned a new table.
func (c *Core) welcome(p *joinedProxy) {
	welcome := c.newWelcome()
	for _, table := range p.reportedTables {
		for _, entry := range table.Lines {
			if c.registry.Ejected[entry.Server] && !p.ejections[entry.Server] {
				p.ejections[entry.Server] = true
				welcome.Withdrawn = append(welcome.Withdrawn, entry.Server)
			}
		}
	}
	c.acks.add(p, sentUpdate{decidedMs: c.nowMs, urgent: len(welcome.Withdrawn) > 0})
	p.commanded = true
	c.policy.AddProxy(p.id, p.zone, p.expectedRate)
	c.schedule(func(h Host) { h.Send(p.stream, controlstream.FrameWelcome, welcome) })
}

// welcomeShared answers a join if planners share a fleet. The proxy is commanded only after it has granted a lease.
func (c *Core) welcomeShared(p *joinedProxy, state *order.Lease) {
	welcome := c.newWelcome()
	c.schedule(func(h Host) {
		h.Send(p.stream, controlstream.FrameWelcome, welcome)
		h.Send(p.stream, controlstream.FrameControllerStatus, c.controllerStatus())
	})
	c.leases.manager.AddProxy(p.name, proxyViewOf(state))
}

// HandleHeartbeat records that a frame from a proxy was received now.
func (c *Core) HandleHeartbeat(s *Stream) {
	if s.proxy != nil {
		s.proxy.lastFrameMs = c.nowMs
	}
}

// HandleDisconnect records that a stream ended, whichever side closed it. The host calls HandleDisconnect once for each
// stream.
func (c *Core) HandleDisconnect(s *Stream, why *controlstream.CloseError) {
	c.logInput(inputDisconnect, s, disconnectCause{why})
	if !s.ended {
		c.Counts.Closes[why.Reason]++
	}
	c.detach(s)
}

// closeStream closes a stream from the planner's side.
func (c *Core) closeStream(s *Stream, why *controlstream.CloseError) {
	if s.ended {
		return
	}
	c.Counts.Closes[why.Reason]++
	c.detach(s)
	c.schedule(func(h Host) { h.Close(s, why) })
}

// detach drops the state of a stream, and that of its proxy unless the proxy has a newer stream.
func (c *Core) detach(s *Stream) {
	s.ended = true
	p := s.proxy
	if p == nil || !c.proxies.isJoined(p) {
		return
	}
	delete(c.proxies.byName, p.name)
	if c.leases.enabled() {
		c.leases.manager.RemoveProxy(p.name)
	}
	if p.commanded {
		c.stopCommand(p)
	}
	c.proxies.freeID(p)
}

// stopCommand removes a proxy from the policy and drops its pending orders, acknowledgements and demand. Its stream may stay
// open.
func (c *Core) stopCommand(p *joinedProxy) {
	p.commanded = false
	c.publisher.remove(p)
	p.unacknowledged = nil
	c.intake.remove(p.demand)
	p.demand = nil
	c.registry.RemoveProxy(p, p.tables)
	c.policy.RemoveProxy(p.id)
}
