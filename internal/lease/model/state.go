package model

import "lichenpick/internal/lease"

// Durations in ticks. A controller's clock may stop for one tick during the time of a lease.
const (
	leaseTicks  = 3
	holderTicks = leaseTicks - 1 // how long a holder uses its lease, in ticks of its own clock
)

const (
	controllerCount = 2
	maxProxies      = 2
)

// state is the complete state of the controllers, the proxies and the messages between them. It must stay comparable, as
// the explorer uses states as map keys. Epoch 0 means that there is no lease or message.
type state struct {
	proxies     [maxProxies]proxy
	controllers [controllerCount]controller
	links       [controllerCount][maxProxies]link
}

// proxy is the lease that a proxy has granted.
type proxy struct {
	epoch     uint8 // highest epoch that the proxy has granted
	remaining uint8 // ticks until the lease expires
	holder    int8  // number of the holding controller, counted from 1; 0 if the proxy is free
	process   uint8 // process number of the holder
}

type controller struct {
	process           uint8 // process number: how often the controller has restarted
	lastEpoch         uint8 // highest epoch that the controller has requested
	stopCooldownTicks uint8 // ticks until the controller's clock may stop again
}

// link holds the messages in transit between a controller and a proxy, and the proxy's lease as the controller sees it.
type link struct {
	request       message
	answer        message // answer to a granted request; rejections are not sent
	order         message // order in transit; its age is unused and stays 0
	heldEpoch     uint8   // epoch of the lease that the controller considers itself to hold; 0 if none
	heldRemaining uint8   // ticks for which the controller continues to consider itself the holder
}

// message is a message in transit; an epoch of 0 means that there is none.
type message struct {
	epoch   uint8
	process uint8 // process number of the controller that sent the request or order, or that an answer is for
	age     uint8 // ticks of the controller's clock since the request, at most leaseTicks
}

// advanceAge makes a message in transit one tick older.
func (m *message) advanceAge() {
	if m.epoch > 0 {
		m.age = min(m.age+1, leaseTicks)
	}
}

func controllerName(number int) string { return string(rune('A' + number)) }

// grantor returns the proxy's grantor in this state, with its clock at 0.
func (p *proxy) grantor() lease.Grantor {
	grantor := lease.Grantor{Lease: lease.Lease{Epoch: uint64(p.epoch), ExpiresMs: float64(p.remaining)}}
	if p.holder > 0 {
		grantor.Controller = controllerName(int(p.holder) - 1)
		grantor.Incarnation = uint64(p.process)
	}
	return grantor
}

// update sets the proxy's lease to that of its grantor.
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
