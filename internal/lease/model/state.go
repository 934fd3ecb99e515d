package model

import "lichenpick/internal/lease"

// Durations in ticks. A controller's clock may stand still for one tick in the time of a lease.
const (
	leaseTicks  = 3
	holderTicks = leaseTicks - 1 // part of a lease that its holder believes in
)

const (
	controllerCount = 2
	maxProxies      = 2
)

// state is all that matters of the two controllers, the proxies and the messages between them. It is comparable, as the
// explorer stores states as keys of a map. Epoch 0 stands for none.
type state struct {
	proxies     [maxProxies]proxy
	controllers [controllerCount]controller
	links       [controllerCount][maxProxies]link
}

// proxy is what a proxy has granted.
type proxy struct {
	epoch     uint8
	remaining uint8 // ticks of the lease
	holder    int8  // number of the controller, from 1; 0: free
	process   uint8 // of the holder
}

type controller struct {
	process           uint8 // number of restarts
	lastEpoch         uint8 // the highest requested
	stopCooldownTicks uint8 // until its clock may stand still again
}

// link is what a controller and a proxy have under way to each other, and what the controller believes of the proxy.
type link struct {
	request       message
	answer        message // only grants are answered
	order         message // its age does not matter and stays 0
	heldEpoch     uint8   // of the lease that the controller believes to hold
	heldRemaining uint8   // ticks that it believes so
}

// message is one under way, or none.
type message struct {
	epoch   uint8
	process uint8 // of the controller that sent it, or that it answers
	age     uint8 // ticks of the controller's clock since the request, up to leaseTicks
}

// advanceAge lets a message under way age.
func (m *message) advanceAge() {
	if m.epoch > 0 {
		m.age = min(m.age+1, leaseTicks)
	}
}

func controllerName(number int) string { return string(rune('A' + number)) }

// grantor returns the proxy's grantor in this state, at time 0 of its clock.
func (p *proxy) grantor() lease.Grantor {
	grantor := lease.Grantor{Lease: lease.Lease{Epoch: uint64(p.epoch), ExpiresMs: float64(p.remaining)}}
	if p.holder > 0 {
		grantor.Controller = controllerName(int(p.holder) - 1)
		grantor.Incarnation = uint64(p.process)
	}
	return grantor
}

// update takes over what a grantor of this proxy holds now.
func (p *proxy) update(grantor *lease.Grantor) {
	p.epoch = uint8(grantor.Epoch)
	if grantor.Controller == "" {
		p.free()
		return
	}
	p.remaining = uint8(grantor.ExpiresMs)
	p.process = uint8(grantor.Incarnation)
	p.holder = int8(grantor.Controller[0]-'A') + 1
}

func (p *proxy) free() {
	p.remaining = 0
	p.process = 0
	p.holder = 0
}
