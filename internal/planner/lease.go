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

func viewOf(m *order.Lease) lease.View {
	return lease.View{Epoch: m.Epoch, Controller: m.Controller, Incarnation: m.Incarnation, LeftMs: m.LeftMs, Reachable: m.Reachable, Controllers: int(m.Controllers)}
}

func (c *Core) standing() *order.Standing {
	return &order.Standing{Controller: c.set.Name, Incarnation: c.incarnation, Open: c.share.Open()}
}

// Leased takes in a proxy's word on who commands it. One that grants us anew tells what it holds.
func (c *Core) Leased(s *Stream, m *order.Lease) {
	c.keep("lease", s, m)
	p := s.peer
	if p == nil || s.ended || c.share == nil {
		return
	}
	p.heard = c.now
	if m.Nonce == 0 {
		c.share.Heard(p.name, viewOf(m))
		return
	}
	if m.Granted && len(m.Holds) > 0 {
		p.holds, p.going, p.before = m.Holds, m.Going, nil
		for _, ago := range m.MessagesAgoMs {
			p.before = append(p.before, c.now-ago)
		}
		slices.Sort(p.before)
	}
	c.share.Answered(p.name, m.Nonce, m.Granted, viewOf(m))
}

// Reserved takes in whether a mark was written down.
func (c *Core) Reserved(upTo uint64, err error) {
	if err != nil {
		c.share.NotReserved()
		return
	}
	c.Counts.Marks++
	c.share.Reserved(upTo)
}

// Drain makes this controller hand its proxies over, or take part again.
func (c *Core) Drain(on bool) {
	if c.share != nil {
		c.share.Drain(on)
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
			if delete(p.inherited, server); p.out[server] && !c.book.Out[server] {
				c.withdraw(p, server, false)
			}
			return true
		}
	}
	return false
}

// sharer carries out what package lease decides.
type sharer struct {
	c *Core
	h Host
}

func (s sharer) Claim(proxy string, nonce, epoch uint64, leaseMs float64) {
	if p := s.c.names[proxy]; p != nil {
		s.h.Send(p.stream, controlstream.Claim, &order.Claim{
			Nonce: nonce, Epoch: epoch, Controller: s.c.set.Name,
			Incarnation: s.c.incarnation, LeaseMs: uint32(leaseMs),
		})
	}
}

func (s sharer) Release(proxy string, epoch uint64) {
	if p := s.c.names[proxy]; p != nil {
		s.h.Send(p.stream, controlstream.Release, &order.Release{Epoch: epoch})
	}
}

// Command begins with a proxy: what it holds, what was withdrawn as it goes, and the messages it had count from now on.
func (s sharer) Command(proxy string, epoch uint64) {
	c, p := s.c, s.c.names[proxy]
	if p == nil {
		return
	}
	if p.commanded {
		c.unseat(p)
	}
	p.commanded, p.epoch, p.out, p.inherited = true, epoch, map[string]bool{}, map[string]float64{}
	p.link = controlstream.NewLink(p.before)
	for _, server := range p.going {
		if l := c.listed[server]; l != nil && l.state == policy.Ready {
			p.inherited[server] = c.now + lease.DrainMemoryMs
		}
	}
	if len(p.inherited) > 0 && !slices.Contains(c.heirs, p) {
		c.heirs = append(c.heirs, p)
	}
	var sent []float64
	for _, at := range p.before {
		sent = append(sent, originMs+at)
	}
	c.module.Joined(p.number, p.zone, p.usual, sent...)
}

func (s sharer) Yield(proxy string) {
	if p := s.c.names[proxy]; p != nil && p.commanded {
		s.c.unseat(p)
	}
}

func (s sharer) Reserve(upTo uint64) { s.h.Reserve(upTo) }

func (s sharer) Stand(bool) {
	m := s.c.standing()
	for _, p := range s.c.peers {
		if p != nil {
			s.h.Send(p.stream, controlstream.Standing, m)
		}
	}
}

func (s sharer) Wake(at float64) { s.c.shareWake = math.Max(at, s.c.now) }
