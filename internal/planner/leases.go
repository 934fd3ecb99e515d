package planner

import (
	"slices"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/lease"
	"lichenpick/proto/order"
)

// leaseState is this planner's part where several share a fleet. Package lease decides who commands which proxy; the core
// carries that out and remembers what a proxy's last planner knew.
type leaseState struct {
	manager         *lease.Manager // nil: planners share nothing
	settled         bool           // the manager has nothing more to decide before the next SetTime
	drainInheritors []*joinedProxy // with drains that only their last planner knew of
}

// enabled reports whether planners share the fleet.
func (l *leaseState) enabled() bool { return l.manager != nil }

// setTime sets the time, in ms; it may bring leases new decisions.
func (l *leaseState) setTime(nowMs float64) {
	if l.enabled() {
		l.manager.SetTime(nowMs)
		l.settled = false
	}
}

// countHeld counts the proxies that this planner commands, of those that are joined.
func (l *leaseState) countHeld(joined int) int {
	if !l.enabled() {
		return joined
	}
	held, _ := l.manager.CountHeld()
	return held
}

// EnableLeases makes the planner one of several that share a fleet. It must be called before any other method. Epochs up to
// reserved may have been used by earlier processes, as the epoch store states.
func (c *Core) EnableLeases(reserved uint64) {
	c.leases.manager = lease.NewManager(c.configuration.Name, c.incarnation, reserved, c.nowMs)
}

// EpochsReserved takes in whether the epoch store recorded that epochs up to this one may be used.
func (c *Core) EpochsReserved(upTo uint64, err error) {
	if err != nil {
		c.leases.manager.ReservationFailed()
		return
	}
	c.Counts.EpochReservations++
	c.leases.manager.EpochsReserved(upTo)
}

// SetDraining makes this planner transfer its proxies to others, or take part again. It does nothing where planners share
// nothing.
func (c *Core) SetDraining(on bool) {
	if c.leases.enabled() {
		c.leases.manager.SetDraining(on)
	}
}

// HandleLease takes in a proxy's statement of who commands it, unasked or in answer to a lease request. A proxy that grants a
// new lease states what it holds.
func (c *Core) HandleLease(s *Stream, state *order.Lease) {
	c.logInput(inputLease, s, state)
	p := s.proxy
	if p == nil || s.ended || !c.leases.enabled() {
		return
	}
	p.lastFrameMs = c.nowMs
	if state.Nonce == 0 {
		c.leases.manager.UpdateLease(p.name, proxyViewOf(state))
		return
	}
	if state.Granted && len(state.Holds) > 0 {
		c.inheritState(p, state)
	}
	c.leases.manager.HandleAnswer(p.name, state.Nonce, state.Granted, proxyViewOf(state))
}

// inheritState takes over what a proxy's last planner left at it.
func (c *Core) inheritState(p *joinedProxy, state *order.Lease) {
	p.reportedTables = state.Holds
	p.inheritedDrains = state.Going
	p.sentByOthersMs = nil
	for _, agoMs := range state.MessagesAgoMs {
		p.sentByOthersMs = append(p.sentByOthersMs, c.nowMs-agoMs)
	}
	slices.Sort(p.sentByOthersMs)
}

// nextLeaseDecision carries out one decision about leases and what they leave behind, and reports whether there was one.
func (c *Core) nextLeaseDecision(h Host) bool {
	if !c.leases.enabled() || c.leases.settled {
		return false
	}
	if c.leases.manager.Next(leaseHost{core: c, host: h}) || c.endInheritedDrain() {
		return true
	}
	c.leases.settled = true
	return false
}

// proxyViewOf translates a proxy's statement.
func proxyViewOf(state *order.Lease) lease.ProxyView {
	return lease.ProxyView{
		Epoch:             state.Epoch,
		Controller:        state.Controller,
		Incarnation:       state.Incarnation,
		RemainingMs:       state.LeftMs,
		Reachable:         state.Reachable,
		DialedControllers: int(state.Controllers),
	}
}

// controllerStatus tells proxies whether this planner takes leases.
func (c *Core) controllerStatus() *order.Standing {
	return &order.Standing{Controller: c.configuration.Name, Incarnation: c.incarnation, Open: c.leases.manager.Open()}
}

// leaseHost carries out the decisions of package lease. Decisions about proxies that left meanwhile are ignored.
type leaseHost struct {
	core *Core
	host Host
}

var _ lease.Host = leaseHost{}

// RequestLease asks a proxy for a lease, or for its renewal.
func (h leaseHost) RequestLease(proxy string, nonce, epoch uint64, leaseMs float64) {
	p := h.core.proxies.byName[proxy]
	if p == nil {
		return
	}
	h.host.Send(p.stream, controlstream.FrameLeaseRequest, &order.Claim{
		Nonce:       nonce,
		Epoch:       epoch,
		Controller:  h.core.configuration.Name,
		Incarnation: h.core.incarnation,
		LeaseMs:     uint32(leaseMs),
	})
}

// ReleaseLease gives a lease back to its proxy.
func (h leaseHost) ReleaseLease(proxy string, epoch uint64) {
	p := h.core.proxies.byName[proxy]
	if p != nil {
		h.host.Send(p.stream, controlstream.FrameLeaseRelease, &order.Release{Epoch: epoch})
	}
}

// StartCommand has the policy command a proxy. Messages that other planners sent it count in its window, and drains that
// only its last planner knew of stay in force for a while.
func (h leaseHost) StartCommand(proxy string, epoch uint64) {
	c := h.core
	p := c.proxies.byName[proxy]
	if p == nil {
		return
	}
	if p.commanded {
		c.stopCommand(p)
	}
	p.commanded = true
	p.epoch = epoch
	p.ejections = map[string]bool{}
	p.window = controlstream.NewMessageWindow(p.sentByOthersMs)
	h.inheritDrains(p)
	sentMs := make([]float64, 0, len(p.sentByOthersMs))
	for _, atMs := range p.sentByOthersMs {
		sentMs = append(sentMs, policyOriginMs+atMs)
	}
	c.policy.AddProxy(p.id, p.zone, p.expectedRate, sentMs...)
}

// inheritDrains keeps the drains that a proxy's last planner knew of and our list does not show.
func (h leaseHost) inheritDrains(p *joinedProxy) {
	c := h.core
	p.inheritedDrainUntilMs = map[string]float64{}
	for _, server := range p.inheritedDrains {
		if c.endpoints.isReady(server) {
			p.inheritedDrainUntilMs[server] = c.nowMs + lease.DrainMemoryMs
		}
	}
	if len(p.inheritedDrainUntilMs) > 0 && !slices.Contains(c.leases.drainInheritors, p) {
		c.leases.drainInheritors = append(c.leases.drainInheritors, p)
	}
}

// StopCommand ends the command of a proxy; its stream goes on.
func (h leaseHost) StopCommand(proxy string) {
	p := h.core.proxies.byName[proxy]
	if p != nil && p.commanded {
		h.core.stopCommand(p)
	}
}

// ReserveEpochs has the host's store record epochs.
func (h leaseHost) ReserveEpochs(upTo uint64) { h.host.ReserveEpochs(upTo) }

// SetOpen tells all proxies whether this planner takes leases.
func (h leaseHost) SetOpen(bool) {
	status := h.core.controllerStatus()
	for p := range h.core.proxies.all() {
		h.host.Send(p.stream, controlstream.FrameControllerStatus, status)
	}
}

// SetTimer has the lease manager asked again at a time, in ms.
func (h leaseHost) SetTimer(atMs float64) { h.core.timers.leaseAtMs = max(atMs, h.core.nowMs) }
