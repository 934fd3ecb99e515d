package planner

import (
	"slices"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/lease"
	"lichenpick/proto/order"
)

// leaseState is the state of a planner that shares its fleet with others. Package lease decides which planner commands
// which proxy. The core carries out these decisions, and keeps the drains that a proxy's previous planner knew of.
type leaseState struct {
	manager         *lease.Manager // manages the leases of the proxies; nil: planners do not share the fleet
	settled         bool           // whether no lease decision is left to carry out at the current time
	drainInheritors []*joinedProxy // proxies with drains that only the proxy's previous planner knew of
}

// enabled reports whether planners share the fleet.
func (l *leaseState) enabled() bool { return l.manager != nil }

// setTime sets the time, in ms. Lease decisions may become due as the time advances.
func (l *leaseState) setTime(nowMs float64) {
	if l.enabled() {
		l.manager.SetTime(nowMs)
		l.settled = false
	}
}

// countHeld returns how many proxies this planner commands: all joined ones if planners do not share the fleet.
func (l *leaseState) countHeld(joined int) int {
	if !l.enabled() {
		return joined
	}
	held, _ := l.manager.CountHeld()
	return held
}

// EnableLeases makes the planner one of several that share a fleet. EnableLeases must be called before any other method.
// According to the epoch store, earlier processes may have used epochs up to reserved.
func (c *Core) EnableLeases(reserved uint64) {
	c.leases.manager = lease.NewManager(c.configuration.Name, c.incarnation, reserved, c.nowMs)
}

// EpochsReserved handles the outcome of Host.ReserveEpochs: whether the epoch store recorded that epochs up to upTo may be
// used.
func (c *Core) EpochsReserved(upTo uint64, err error) {
	if err != nil {
		c.leases.manager.ReservationFailed()
		return
	}
	c.Counts.EpochReservations++
	c.leases.manager.EpochsReserved(upTo)
}

// SetDraining makes this planner transfer its proxies to others, or accept proxies again. It does nothing if planners do not
// share the fleet.
func (c *Core) SetDraining(on bool) {
	if c.leases.enabled() {
		c.leases.manager.SetDraining(on)
	}
}

// HandleLease handles the lease state that a proxy sent unasked, with nonce 0, or in answer to a lease request. A proxy
// that grants a new lease also reports its tables, the drains that it knows of, and when planners last sent it messages.
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

// inheritState records what a proxy reports about its time under the previous planner: tables, drains, and times of
// messages.
func (c *Core) inheritState(p *joinedProxy, state *order.Lease) {
	p.reportedTables = state.Holds
	p.inheritedDrains = state.Going
	p.sentByOthersMs = nil
	for _, agoMs := range state.MessagesAgoMs {
		p.sentByOthersMs = append(p.sentByOthersMs, c.nowMs-agoMs)
	}
	slices.Sort(p.sentByOthersMs)
}

// nextLeaseDecision carries out one decision about leases or inherited drains, and reports whether there was one.
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

// proxyViewOf translates a proxy's lease state for package lease.
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

// controllerStatus returns the message that tells proxies whether this planner accepts leases.
func (c *Core) controllerStatus() *order.Standing {
	return &order.Standing{Controller: c.configuration.Name, Incarnation: c.incarnation, Open: c.leases.manager.AcceptsLeases()}
}

// leaseHost carries out the decisions of package lease. It ignores decisions about proxies that have left in the meantime.
type leaseHost struct {
	core *Core
	host Host
}

var _ lease.Host = leaseHost{}

// RequestLease sends a proxy a request for a new lease or a renewal.
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

// ReleaseLease tells a proxy that its lease is released.
func (h leaseHost) ReleaseLease(proxy string, epoch uint64) {
	p := h.core.proxies.byName[proxy]
	if p != nil {
		h.host.Send(p.stream, controlstream.FrameLeaseRelease, &order.Release{Epoch: epoch})
	}
}

// StartCommand makes the policy command a proxy. Messages that other planners sent to the proxy count towards its message
// window. Drains that only the proxy's previous planner knew of stay in force for lease.DrainRetentionMs.
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

// inheritDrains keeps the drains that a proxy's previous planner knew of, for servers that are ready in this planner's list.
func (h leaseHost) inheritDrains(p *joinedProxy) {
	c := h.core
	p.inheritedDrainUntilMs = map[string]float64{}
	for _, server := range p.inheritedDrains {
		if c.endpoints.isReady(server) {
			p.inheritedDrainUntilMs[server] = c.nowMs + lease.DrainRetentionMs
		}
	}
	if len(p.inheritedDrainUntilMs) > 0 && !slices.Contains(c.leases.drainInheritors, p) {
		c.leases.drainInheritors = append(c.leases.drainInheritors, p)
	}
}

// StopCommand stops commanding a proxy. Its stream stays open.
func (h leaseHost) StopCommand(proxy string) {
	p := h.core.proxies.byName[proxy]
	if p != nil && p.commanded {
		h.core.stopCommand(p)
	}
}

// ReserveEpochs makes the epoch store record that epochs up to upTo may be used.
func (h leaseHost) ReserveEpochs(upTo uint64) { h.host.ReserveEpochs(upTo) }

// SetAcceptsLeases tells all joined proxies whether this planner accepts leases.
func (h leaseHost) SetAcceptsLeases(bool) {
	status := h.core.controllerStatus()
	for p := range h.core.proxies.all() {
		h.host.Send(p.stream, controlstream.FrameControllerStatus, status)
	}
}

// SetTimer schedules the next call of the lease manager at atMs, in ms of the core's clock.
func (h leaseHost) SetTimer(atMs float64) { h.core.timers.leaseAtMs = max(atMs, h.core.nowMs) }
