package policy

import (
	"cmp"
	"math"
	"slices"
)

// newAdmission admits all requests of a class. It uses the default retry mode, unless that mode may repeat a request that
// must not run twice. In that case it uses RetryUnprocessed, and a sent rate of -1 makes the policy notify the proxies of
// this mode.
func newAdmission(class TrafficClass, defaultRetry int) admission {
	if class.Idempotency != Idempotent && defaultRetry > RetryUnprocessed {
		return admission{target: 1, sent: -1, retry: RetryUnprocessed}
	}
	return admission{target: 1, sent: 1, retry: defaultRetry}
}

// sheddingOrder returns the traffic classes by priority weight per work of a request, lowest first. The latency objective
// of a class is taken as the work of its requests.
func sheddingOrder(classes []TrafficClass) []int {
	var order []int
	for index := range classes {
		order = append(order, index)
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := classes[a], classes[b]
		return cmp.Compare(x.PriorityWeight*y.LatencyObjectiveMs, y.PriorityWeight*x.LatencyObjectiveMs)
	})
	return order
}

// overloaded reports whether the fleet is overloaded. An overload makes requests wait, so it shows in high latencies.
// Failures without high latencies come from servers that reject requests for other reasons.
func (l fleetLoad) overloaded() bool {
	late := l.latencyRatio > recoveryThreshold
	return l.latencyRatio > overloadThreshold || late && l.failureShare > overloadFailureShare
}

// updateAdmissionIfDue adjusts the admitted share of all requests, down in an overload and up after it.
func (p *Policy) updateAdmissionIfDue() {
	if !p.settings.PartialAdmission || p.nowMs-p.admissionMs < admissionIntervalMs {
		return
	}
	p.admissionMs = p.nowMs
	demand := p.totalDemand()
	if demand == 0 || p.latencyMs == 0 {
		return
	}
	p.adjustAdmission(demand)
}

// totalDemand returns the requests per second that come to the proxies, before admission.
func (p *Policy) totalDemand() float64 {
	return sumBy(p.admission, func(class admission) float64 { return class.demand })
}

// adjustAdmission adjusts the admitted share of all requests, down in an overload and up after it.
func (p *Policy) adjustAdmission(demand float64) {
	load := p.fleetLoad()
	share := p.admittedRate / demand
	if p.admissionLimited {
		share = p.unlimitedShare
	}
	switch {
	case load.overloaded():
		// The succeeded rate is the capacity of the fleet; admitting less drains the overload. The next step is delayed, as
		// a second cut before the effect of this cut shows would be too deep.
		p.capacityRate = math.Max(load.succeededRate, capacityRetention*p.capacityRate)
		p.admissionMs = p.nowMs + admissionCutPauseMs
		share = math.Min(share, math.Max(share*admissionDecrease, p.capacityRate*admittedCapacityShare/demand))
	case load.waitRatio < recoveryThreshold && load.failureShare < overloadFailureShare:
		// The share rises in steps, but at once to the admitted part of the known capacity, a rate that succeeded before.
		p.capacityRate = math.Max(p.capacityRate, load.succeededRate)
		increased := share * (1 + admissionIncrease*(1-load.waitRatio/recoveryThreshold))
		share = math.Max(increased, math.Min(p.capacityRate*admittedCapacityShare/demand, 1))
	}
	p.unlimitedShare = math.Min(share, 1)
	p.shed(math.Max(1-share, 0) * demand)
}

// shed sets admission rates that together reject a rate of excess requests per second. It first rejects requests of the
// classes with the lowest priority weight per work.
func (p *Policy) shed(excess float64) {
	for _, index := range p.sheddingOrder {
		class := &p.admission[index]
		rejected := math.Min(excess, class.demand*(1-minAdmission))
		rate := 1 - rejected/math.Max(class.demand, minClassDemand)
		class.target = math.Round(rate*admissionSteps) / admissionSteps
		excess -= rejected
	}
}

// planAdmission queues orders for the admission rates that changed. The first order for a class, which forbids retries that
// may run a request twice, needs no budget.
func (p *Policy) planAdmission() {
	for index := range p.admission {
		urgency := urgent
		if p.admissionLimited && p.admission[index].target < p.admission[index].sent {
			urgency = required // servers in slow start fail if they get too much
		}
		p.enqueue(func(host Host) bool {
			class := &p.admission[index]
			if class.target == class.sent || class.sent >= 0 && !p.spendBudget(1, p.proxies, urgency) {
				return false
			}
			class.sent = class.target
			host.SetAdmission(AllTables, index, class.target, class.retry)
			return true
		})
	}
}
