package planner

import (
	"fmt"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/weighttable"
	"lichenpick/proto/order"
)

// nameReservedMs is how long after its last frame a proxy's name is reserved for its process. It guards against two proxies
// that are set up with one name and would otherwise replace each other without end.
const nameReservedMs = 2500.0

// HandleJoin takes in the first frame of a stream. The stream is welcomed or closed by the next calls of Next.
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

// checkJoin finds the zone of a proxy, or why it cannot join.
func (c *Core) checkJoin(s *Stream, join *order.Join) (zone int, refusal *controlstream.CloseError) {
	zone, known := c.zones.find(join.Zone, s.Address)
	classes := len(c.configuration.Groups)
	detail := ""
	switch {
	case !known:
		detail = fmt.Sprintf("no zone %q, and none of %s", join.Zone, s.Address)
	case int(join.Groups) != classes:
		detail = fmt.Sprintf("%d traffic classes; %d here", join.Groups, classes)
	case (join.Lease != nil) != c.leases.enabled():
		detail = "'sharing' is set at one side only"
	default:
		return zone, nil
	}
	return 0, &controlstream.CloseError{Reason: controlstream.ReasonUnknownPeer, Detail: detail}
}

// supersede closes the older stream of a joining proxy's name, or returns why the new one cannot have the name. The same
// process with a newer stream has lost the older one, even if nobody noticed yet. Another process may have the name once the
// first one is silent.
func (c *Core) supersede(s *Stream, join *order.Join) *controlstream.CloseError {
	old := c.proxies.byName[join.Proxy]
	if old == nil {
		return nil
	}
	newer := old.incarnation == join.Incarnation && join.Stream > old.streamNumber
	if !newer && c.nowMs-old.lastFrameMs < nameReservedMs {
		detail := fmt.Sprintf("%q is joined from %s", join.Proxy, old.stream.Address)
		return &controlstream.CloseError{Reason: controlstream.ReasonNameInUse, Detail: detail}
	}
	detail := fmt.Sprintf("by a stream from %s", s.Address)
	c.closeStream(old.stream, &controlstream.CloseError{Reason: controlstream.ReasonSuperseded, Detail: detail})
	return nil
}

// newWelcome makes the answer to a join.
func (c *Core) newWelcome() *order.Welcome {
	return &order.Welcome{
		Planner:       c.configuration.Name,
		Incarnation:   c.incarnation,
		ReportEveryMs: c.reportEveryMs,
		Sharing:       c.leases.enabled(),
	}
}

// welcome answers a join and has the policy command the proxy. Ejections are in force from the first moment on, also for
// tables that earlier planners assigned.
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

// welcomeShared answers a join where planners share a fleet: the proxy is commanded only once it grants a lease.
func (c *Core) welcomeShared(p *joinedProxy, state *order.Lease) {
	welcome := c.newWelcome()
	c.schedule(func(h Host) {
		h.Send(p.stream, controlstream.FrameWelcome, welcome)
		h.Send(p.stream, controlstream.FrameControllerStatus, c.controllerStatus())
	})
	c.leases.manager.AddProxy(p.name, proxyViewOf(state))
}

// HandleHeartbeat takes in that a proxy sent something.
func (c *Core) HandleHeartbeat(s *Stream) {
	if s.proxy != nil {
		s.proxy.lastFrameMs = c.nowMs
	}
}

// HandleDisconnect takes in that a stream ended, by whichever side. The host calls it once for each stream.
func (c *Core) HandleDisconnect(s *Stream, why *controlstream.CloseError) {
	c.logInput(inputDisconnect, s, disconnectCause{why})
	if !s.ended {
		c.Counts.Closes[why.Reason]++
	}
	c.detach(s)
}

// closeStream ends a stream from this side.
func (c *Core) closeStream(s *Stream, why *controlstream.CloseError) {
	if s.ended {
		return
	}
	c.Counts.Closes[why.Reason]++
	c.detach(s)
	c.schedule(func(h Host) { h.Close(s, why) })
}

// detach forgets a stream, and its proxy if that has no newer one.
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

// stopCommand forgets what was decided for a proxy, which the policy commands no longer. Its stream may go on.
func (c *Core) stopCommand(p *joinedProxy) {
	p.commanded = false
	c.publisher.remove(p)
	p.unacknowledged = nil
	c.intake.remove(p.demand)
	p.demand = nil
	c.registry.RemoveProxy(p, p.tables)
	c.policy.RemoveProxy(p.id)
}
