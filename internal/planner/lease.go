package planner

import (
	"maps"
	"math"
	"slices"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/lease"
	"lichenpick/policy"
	"lichenpick/proto/order"
)

// What a planner does where several share a fleet: who commands whom is decided in package lease; here that is carried
// out, and what a predecessor knew is kept.

func viewOf(m *order.Lease) lease.ProxyView {
	return lease.ProxyView{Epoch: m.Epoch, Controller: m.Controller, Incarnation: m.Incarnation, RemainingMs: m.LeftMs, Reachable: m.Reachable, DialedControllers: int(m.Controllers)}
}

func (c *Core) standing() *order.Standing {
	return &order.Standing{Controller: c.set.Name, Incarnation: c.incarnation, Open: c.leases.Open()}
}

// HandleLease takes in a proxy's word on who commands it. One that grants us anew tells what it holds.
func (c *Core) HandleLease(s *Stream, m *order.Lease) {
	c.recordInput("lease", s, m)
	p := s.peer
	if p == nil || s.ended || c.leases == nil {
		return
	}
	p.heard = c.now
	if m.Nonce == 0 {
		c.leases.UpdateLease(p.name, viewOf(m))
		return
	}
	if m.Granted && len(m.Holds) > 0 {
		p.reportedTables, p.inheritedDrains, p.sentByOthers = m.Holds, m.Going, nil
		for _, ago := range m.MessagesAgoMs {
			p.sentByOthers = append(p.sentByOthers, c.now-ago)
		}
		slices.Sort(p.sentByOthers)
	}
	c.leases.HandleAnswer(p.name, m.Nonce, m.Granted, viewOf(m))
}

// EpochsReserved takes in whether a mark was written down.
func (c *Core) EpochsReserved(upTo uint64, err error) {
	if err != nil {
		c.leases.ReservationFailed()
		return
	}
	c.Counts.EpochReservations++
	c.leases.EpochsReserved(upTo)
}

// SetDraining makes this controller hand its proxies over, or take part again.
func (c *Core) SetDraining(on bool) {
	if c.leases != nil {
		c.leases.SetDraining(on)
	}
}

// gone says whether a proxy should take a server for one that drains or is gone: by our list, or by its last commander's.
func (c *Core) gone(p *peer, server string) bool {
	l := c.listed[server]
	return l != nil && l.state != policy.Ready || p.inherited[server] > 0
}

// outlived ends at most one inherited drain that our list never came to show.
func (c *Core) outlived() bool {
	for n, p := range c.heirs {
		if len(p.inherited) == 0 || c.names[p.name] != p {
			c.heirs = slices.Delete(c.heirs, n, n+1)
			return true
		}
		for _, server := range slices.Sorted(maps.Keys(p.inherited)) {
			if c.now < p.inherited[server] {
				continue
			}
			if delete(p.inherited, server); p.ejected[server] && !c.registry.Ejected[server] {
				c.setEjected(p, server, false)
			}
			return true
		}
	}
	return false
}

// leaseHost carries out what package lease decides.
type leaseHost struct {
	c *Core
	h Host
}

func (s leaseHost) RequestLease(proxy string, nonce, epoch uint64, leaseMs float64) {
	if p := s.c.names[proxy]; p != nil {
		s.h.Send(p.stream, controlstream.FrameLeaseRequest, &order.Claim{
			Nonce: nonce, Epoch: epoch, Controller: s.c.set.Name,
			Incarnation: s.c.incarnation, LeaseMs: uint32(leaseMs),
		})
	}
}

func (s leaseHost) ReleaseLease(proxy string, epoch uint64) {
	if p := s.c.names[proxy]; p != nil {
		s.h.Send(p.stream, controlstream.FrameLeaseRelease, &order.Release{Epoch: epoch})
	}
}

// StartCommand begins with a proxy: what it holds, what was withdrawn as it goes, and the messages it had count from now on.
func (s leaseHost) StartCommand(proxy string, epoch uint64) {
	c, p := s.c, s.c.names[proxy]
	if p == nil {
		return
	}
	if p.commanded {
		c.removeProxy(p)
	}
	p.commanded, p.epoch, p.ejected, p.inherited = true, epoch, map[string]bool{}, map[string]float64{}
	p.window = controlstream.NewMessageWindow(p.sentByOthers)
	for _, server := range p.inheritedDrains {
		if l := c.listed[server]; l != nil && l.state == policy.Ready {
			p.inherited[server] = c.now + lease.DrainMemoryMs
		}
	}
	if len(p.inherited) > 0 && !slices.Contains(c.heirs, p) {
		c.heirs = append(c.heirs, p)
	}
	var sent []float64
	for _, at := range p.sentByOthers {
		sent = append(sent, originMs+at)
	}
	c.policy.AddProxy(p.number, p.zone, p.expectedRate, sent...)
}

func (s leaseHost) StopCommand(proxy string) {
	if p := s.c.names[proxy]; p != nil && p.commanded {
		s.c.removeProxy(p)
	}
}

func (s leaseHost) ReserveEpochs(upTo uint64) { s.h.ReserveEpochs(upTo) }

func (s leaseHost) SetOpen(bool) {
	m := s.c.standing()
	for _, p := range s.c.peers {
		if p != nil {
			s.h.Send(p.stream, controlstream.FrameControllerStatus, m)
		}
	}
}

func (s leaseHost) SetTimer(at float64) { s.c.leaseTimerAt = math.Max(at, s.c.now) }
