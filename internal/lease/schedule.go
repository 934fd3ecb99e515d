package lease

import (
	"math"
	"slices"
)

// reschedule works out when a proxy is due for its next decision. It is to be called whenever its state or the manager's
// changed.
func (m *Manager) reschedule(proxy *proxyState) {
	dueMs := math.Inf(1)
	switch {
	case proxy.epoch > 0 && (!proxy.commanded || !proxy.heldAt(m.nowMs)):
		dueMs = m.nowMs
	case proxy.epoch > 0:
		dueMs = min(proxy.heldUntilMs, m.renewalDueMs(proxy), m.transferDueMs(proxy))
	case m.draining:
		// nothing is requested
	case m.reservationPending:
		dueMs = max(m.requestDueMs(proxy), m.nowMs+reservationPollMs)
	case m.reservationFailed:
		dueMs = max(m.requestDueMs(proxy), m.reservationRetryMs)
	default:
		dueMs = m.requestDueMs(proxy)
	}
	m.queue.setDue(proxy, dueMs)
}

func (m *Manager) rescheduleAll() {
	for _, proxy := range slices.Clone(m.queue) { // rescheduling reorders the queue
		m.reschedule(proxy)
	}
}

// renewalDueMs is when a held lease is to be requested again: renewIntervalMs after the last request that is pending or
// was granted.
func (m *Manager) renewalDueMs(proxy *proxyState) float64 {
	lastGrantedMs := proxy.heldUntilMs - heldUntilMs(0, DurationMs)
	return renewIntervalMs + max(proxy.lastRequestMs(), lastGrantedMs)
}

// requestDueMs is when a proxy that this controller does not hold is to be requested: it is free, or its lease has expired
// by its own view, and those that rank before had their time.
func (m *Manager) requestDueMs(proxy *proxyState) float64 {
	dueMs := proxy.lastRequestMs() + answerTimeoutMs
	if proxy.view.Controller == m.name && proxy.view.Incarnation == m.incarnation {
		return dueMs // this process was granted the lease over an earlier stream
	}
	expiresMs := proxy.viewMs + proxy.view.RemainingMs*(1+clockRateBound) + safetyMarginMs
	freeMs := math.Min(proxy.freeSinceMs, expiresMs)
	// Guards against a start at which each proxy goes to whom it reached first, and most are transferred a while later.
	if len(proxy.view.Reachable) < proxy.view.DialedControllers {
		dueMs = max(dueMs, proxy.connectedMs+connectGraceMs)
	}
	return max(dueMs, max(freeMs, proxy.reachableSinceMs)+rankDelayMs*float64(proxy.rank))
}

// transferDueMs is when a held proxy is to be transferred to a better ranked controller, or to any other while this one
// drains; infinite if it is not.
func (m *Manager) transferDueMs(proxy *proxyState) float64 {
	dueMs := math.Inf(1)
	if !math.IsInf(proxy.outrankedSinceMs, 1) {
		dueMs = proxy.outrankedSinceMs + transferDelayMs*math.Exp2(float64(proxy.transferDelayDoublings))
	}
	if m.draining && len(proxy.view.Reachable) > 0 {
		dueMs = m.nowMs
	}
	return max(dueMs, m.lastTransferMs+transferIntervalMs)
}
