package model

import "fmt"

// clockStop is the set of controllers whose clocks stop for a tick: bit n stands for controller n.
type clockStop uint

func (c clockStop) includes(number int) bool { return c&(1<<number) != 0 }

func (c clockStop) String() string {
	return [...]string{"", ", but not on A's clock", ", but not on B's clock", ", but only on the proxies' clocks"}[c]
}

const clockStops = 1 << controllerCount

// expand adds all steps that are possible in a state.
func (e *explorer) expand(current state) {
	for stop := range clockStop(clockStops) {
		if next, possible := e.tick(current, stop); possible {
			e.add(next, current, "a tick passes%s", stop)
		}
	}
	for number := range controllerCount {
		e.restart(current, number)
		for proxyNumber := range e.bounds.Proxies {
			e.request(current, number, proxyNumber)
			e.decideOrder(current, number, proxyNumber)
			e.deliverRequest(current, number, proxyNumber)
			e.deliverAnswer(current, number, proxyNumber)
			e.deliverOrder(current, number, proxyNumber)
		}
	}
}

// tick advances the time by one tick, but not the clocks of the controllers in the set stop. The step is not possible if one
// of these clocks has stopped too recently.
func (e *explorer) tick(current state, stop clockStop) (next state, possible bool) {
	next = current
	for number := range e.bounds.Proxies {
		proxy := &next.proxies[number]
		if proxy.remaining == 0 {
			continue
		}
		proxy.remaining--
		if proxy.remaining == 0 {
			proxy.free()
		}
	}
	for number := range controllerCount {
		controller := &next.controllers[number]
		if !stop.includes(number) {
			controller.stopCooldownTicks -= min(controller.stopCooldownTicks, 1)
			e.tickLinks(&next, number)
			continue
		}
		if controller.stopCooldownTicks > 0 {
			return current, false
		}
		controller.stopCooldownTicks = leaseTicks
	}
	return next, true
}

// tickLinks advances a controller's clock by one tick: it shortens the leases that the controller holds, and ages the
// controller's requests and their answers.
func (e *explorer) tickLinks(next *state, number int) {
	for proxyNumber := range e.bounds.Proxies {
		link := &next.links[number][proxyNumber]
		link.heldRemaining -= min(link.heldRemaining, 1)
		if link.heldRemaining == 0 {
			link.heldEpoch = 0
		}
		link.request.advanceAge()
		link.answer.advanceAge()
	}
}

// restart replaces a controller's process by one that holds no leases.
func (e *explorer) restart(current state, number int) {
	if current.controllers[number].process >= e.bounds.Restarts {
		return
	}
	next := current
	controller := &next.controllers[number]
	controller.process++
	if e.mutation == WithoutIncarnation {
		controller.lastEpoch = 0
	}
	for proxyNumber := range e.bounds.Proxies {
		link := &next.links[number][proxyNumber]
		link.heldEpoch = 0
		link.heldRemaining = 0
	}
	e.add(next, current, "%s restarts", controllerName(number))
}

// request makes a controller renew a lease that it considers itself to hold, or request a lease under a new epoch.
func (e *explorer) request(current state, number, proxyNumber int) {
	link := current.links[number][proxyNumber]
	if link.request.epoch > 0 || link.answer.epoch > 0 {
		return
	}
	next := current
	request := &next.links[number][proxyNumber].request
	request.process = current.controllers[number].process
	request.age = 0
	if link.heldRemaining > 0 {
		request.epoch = link.heldEpoch
		e.add(next, current, "%s requests proxy %d to renew the lease under epoch %d", controllerName(number), proxyNumber, request.epoch)
		return
	}
	request.epoch = e.newEpoch(current.controllers[number].lastEpoch, current.proxies[proxyNumber].epoch)
	if request.epoch > e.bounds.Epochs {
		return
	}
	next.controllers[number].lastEpoch = request.epoch
	e.add(next, current, "%s requests the lease of proxy %d under epoch %d", controllerName(number), proxyNumber, request.epoch)
}

// newEpoch returns an epoch above both the highest that the controller requested and the highest that the proxy granted.
func (e *explorer) newEpoch(requested, granted uint8) uint8 {
	if e.mutation == WithoutIncarnation {
		return requested + 1
	}
	return max(requested, granted) + 1
}

// decideOrder makes a controller send an order to a proxy whose lease it considers itself to hold. The order may arrive at
// any later time.
func (e *explorer) decideOrder(current state, number, proxyNumber int) {
	link := current.links[number][proxyNumber]
	if link.heldRemaining == 0 || link.order.epoch > 0 {
		return
	}
	next := current
	next.links[number][proxyNumber].order = message{
		epoch:   link.heldEpoch,
		process: current.controllers[number].process,
	}
	e.add(next, current, "%s decides an order for proxy %d under epoch %d", controllerName(number), proxyNumber, link.heldEpoch)
}

// deliverRequest delivers a request to its proxy, or loses the request.
func (e *explorer) deliverRequest(current state, number, proxyNumber int) {
	request := current.links[number][proxyNumber].request
	if request.epoch == 0 {
		return
	}
	name := controllerName(number)
	next := current
	proxy := &next.proxies[proxyNumber]
	grantor := proxy.grantor()
	granted := grantor.Grant(name, e.incarnation(request), uint64(request.epoch), leaseTicks)
	proxy.update(&grantor)
	link := &next.links[number][proxyNumber]
	link.request = message{}
	decision := "denies"
	if granted {
		link.answer = request
		decision = "grants"
	}
	e.add(next, current, "proxy %d %s %s epoch %d", proxyNumber, decision, name, request.epoch)
	if !e.bounds.Losses {
		return
	}
	next = current
	next.links[number][proxyNumber].request = message{}
	e.add(next, current, "a request of %s to proxy %d is lost", name, proxyNumber)
}

// deliverAnswer delivers a granted answer to its controller. A restarted controller ignores answers to requests of its
// earlier processes.
func (e *explorer) deliverAnswer(current state, number, proxyNumber int) {
	answer := current.links[number][proxyNumber].answer
	if answer.epoch == 0 {
		return
	}
	next := current
	link := &next.links[number][proxyNumber]
	link.answer = message{}
	if answer.process == current.controllers[number].process {
		e.recordGrant(link, answer)
	}
	e.add(next, current, "%s receives the grant by proxy %d of epoch %d, requested %d ticks ago",
		controllerName(number), proxyNumber, answer.epoch, answer.age)
}

// recordGrant makes a controller consider itself the holder for the part of the lease that remains when the answer arrives.
func (e *explorer) recordGrant(link *link, answer message) {
	remaining := uint8(holderTicks)
	if e.mutation == WithoutClockRateBound {
		remaining = leaseTicks
	}
	if e.mutation != LeaseFromAnswer {
		remaining -= min(remaining, answer.age)
	}
	if link.heldEpoch != answer.epoch {
		link.heldRemaining = 0
	}
	link.heldRemaining = max(link.heldRemaining, remaining)
	if link.heldRemaining > 0 {
		link.heldEpoch = answer.epoch
	}
}

// deliverOrder delivers an order to its proxy, and checks that the proxy does not obey a stale order.
func (e *explorer) deliverOrder(current state, number, proxyNumber int) {
	order := current.links[number][proxyNumber].order
	if order.epoch == 0 {
		return
	}
	next := current
	next.links[number][proxyNumber].order = message{}
	verb := "rejects"
	obeyed := e.obeys(&current.proxies[proxyNumber], number, order)
	if obeyed {
		verb = "obeys"
	}
	step := fmt.Sprintf("proxy %d %s an order that %s decided under epoch %d", proxyNumber, verb, controllerName(number), order.epoch)
	if obeyed && isStale(&current, number, proxyNumber) && e.violation == "" {
		e.recordViolation("a stale order was obeyed", current, step)
		return
	}
	e.add(next, current, "%s", step)
}

func (e *explorer) obeys(proxy *proxy, number int, order message) bool {
	if e.mutation == WithoutFencing {
		return true
	}
	grantor := proxy.grantor()
	return grantor.Accepts(controllerName(number), e.incarnation(order), uint64(order.epoch))
}

// isStale reports whether an order in transit is stale: decided under another epoch than the proxy granted last, by a
// controller other than the holder, or by an earlier process while the current process holds the same epoch.
func isStale(current *state, number, proxyNumber int) bool {
	proxy := current.proxies[proxyNumber]
	link := current.links[number][proxyNumber]
	if link.order.epoch != proxy.epoch || int(proxy.holder) != number+1 {
		return true
	}
	return link.order.process != current.controllers[number].process && link.heldEpoch == link.order.epoch
}

// incarnation returns the incarnation by which a message identifies the process that sent it.
func (e *explorer) incarnation(sent message) uint64 {
	if e.mutation == WithoutIncarnation {
		return 0
	}
	return uint64(sent.process)
}
