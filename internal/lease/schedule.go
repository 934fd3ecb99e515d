package lease

import (
	"math"
	"slices"
)

// reschedule computes when a proxy is due for its next decision. Call it whenever the state of the proxy or of the
// manager has changed.
func (m *Manager) reschedule(proxy *proxyState) {
	dueMs := math.Inf(1)
	switch {
	case proxy.epoch > 0 && (!proxy.commanded || !proxy.heldAt(m.nowMs)):
		dueMs = m.nowMs
	case proxy.epoch > 0:
		dueMs = min(proxy.heldUntilMs, m.renewalDueMs(proxy), m.transferDueMs(proxy))
	case m.draining:
		// a draining controller requests no leases
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

// renewalDueMs returns when a held lease is due for renewal: renewIntervalMs after the latest request that is pending or
// was granted.
func (m *Manager) renewalDueMs(proxy *proxyState) float64 {
	lastGrantedMs := proxy.heldUntilMs - heldUntilMs(0, DurationMs)
	return renewIntervalMs + max(proxy.lastRequestMs(), lastGrantedMs)
}

// requestDueMs returns when a proxy that this controller does not hold is due for a request: once the proxy is free or its
// lease must have expired, and the controllers that rank before this one have had time for their requests.
func (m *Manager) requestDueMs(proxy *proxyState) float64 {
	dueMs := proxy.lastRequestMs() + answerTimeoutMs
	if proxy.view.Controller == m.name && proxy.view.Incarnation == m.incarnation {
		return dueMs // this process already holds the lease: the proxy granted it over an earlier stream
	}
	expiresMs := proxy.viewMs + proxy.view.RemainingMs*(1+clockRateBound) + safetyMarginMs
	freeMs := math.Min(proxy.freeSinceMs, expiresMs)
	// A proxy that has not reached all controllers yet gets more time to reach them. Otherwise, when all processes start
	// together, each proxy would go to the controller that it reached first, and most proxies would be transferred soon
	// after.
	if len(proxy.view.Reachable) < proxy.view.DialedControllers {
		dueMs = max(dueMs, proxy.connectedMs+connectGraceMs)
	}
	return max(dueMs, max(freeMs, proxy.reachableSinceMs)+rankDelayMs*float64(proxy.rank))
}

// transferDueMs returns when a held proxy is due for a transfer: to a better ranked controller, or, while this controller
// drains, to any other. It returns infinity if no transfer is due.
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
