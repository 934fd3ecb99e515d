package lease

import (
	"math"
	"slices"
)

// Manager is the controller's side of the lease protocol. Its input methods only update its state; Next carries out the
// decisions that follow from them. It is not safe for concurrent use.
type Manager struct {
	name        string
	incarnation uint64
	nowMs       float64
	proxies     map[string]*proxyState // connected proxies by name
	queue       evaluationQueue        // connected proxies, ordered by when they are due for a decision
	lastNonce   uint64
	lastEpoch   uint64 // highest epoch requested so far

	reservedEpoch      uint64  // highest epoch that the store has reserved
	reservationPending bool    // the host has been asked to reserve epochs and has not reported the outcome
	reservationFailed  bool    // the last write to the store failed: no new lease can be requested
	reservationRetryMs float64 // earliest time of the next write to the store

	draining               bool
	acceptsLeasesAnnounced bool    // whether proxies were notified of the current value of AcceptsLeases
	lastTransferMs         float64 // time of the last transfer; minus infinity if there was none
	timerMs                float64 // time for which Host.SetTimer was last called

	// Counters since NewManager.
	Takeovers   int // leases gained by grants under a new epoch
	Transferred int // leases released for another controller to take over
	Expired     int // leases lost: not renewed in time, or the proxy granted another lease
	Rejections  int // requests and orders that proxies rejected
}

// NewManager returns the manager of a controller that has no proxies yet. Each process of the controller must have a
// different incarnation. reservedEpoch is the reserved epoch in the controller's store: the manager only uses higher epochs,
// each after the host has reserved it. nowMs is the current time of the clock that SetTime refers to.
func NewManager(name string, incarnation, reservedEpoch uint64, nowMs float64) *Manager {
	return &Manager{
		name:                   name,
		incarnation:            incarnation,
		nowMs:                  nowMs,
		proxies:                map[string]*proxyState{},
		lastEpoch:              reservedEpoch,
		reservedEpoch:          reservedEpoch,
		reservationRetryMs:     math.Inf(-1),
		acceptsLeasesAnnounced: true,
		lastTransferMs:         math.Inf(-1),
	}
}

// SetTime sets the current time, in ms of a monotonic clock. Call it before other input methods and before Next.
func (m *Manager) SetTime(nowMs float64) { m.nowMs = nowMs }

// AddProxy records that a proxy's stream came up, and stores the proxy's view of its lease. If the proxy had an older
// stream, the manager drops all state that it kept for the proxy.
func (m *Manager) AddProxy(proxyName string, view ProxyView) {
	m.RemoveProxy(proxyName)
	proxy := newProxyState(proxyName, m.nowMs)
	m.proxies[proxyName] = proxy
	m.queue.add(proxy)
	m.recordView(proxy, view)
}

// RemoveProxy records that a proxy's stream ended. The controller no longer counts as holder of the proxy's lease, as no
// order can reach the proxy. Host.StopCommand is not called.
func (m *Manager) RemoveProxy(proxyName string) {
	proxy := m.proxies[proxyName]
	if proxy == nil {
		return
	}
	delete(m.proxies, proxyName)
	m.queue.remove(proxy)
}

// UpdateLease records the view of its lease that a proxy sent without being asked. Views from proxies that are not connected
// are ignored.
func (m *Manager) UpdateLease(proxyName string, view ProxyView) {
	proxy := m.proxies[proxyName]
	if proxy == nil {
		return
	}
	m.recordView(proxy, view)
}

// HandleAnswer records the view that a proxy sent with an answer, and the answer to the lease request with the given nonce.
// Answers of proxies that are not connected are ignored; if the request is no longer pending, only the view is recorded.
func (m *Manager) HandleAnswer(proxyName string, nonce uint64, granted bool, view ProxyView) {
	proxy := m.proxies[proxyName]
	if proxy == nil {
		return
	}
	m.recordView(proxy, view)
	m.recordAnswer(proxy, nonce, granted)
	m.reschedule(proxy)
}

// OrdersRejected records that a proxy rejected an order because it has granted a lease under another epoch.
func (m *Manager) OrdersRejected(proxyName string) {
	proxy := m.proxies[proxyName]
	if proxy == nil || proxy.epoch == 0 {
		return
	}
	m.Rejections++
	proxy.heldUntilMs = math.Inf(-1)
	m.reschedule(proxy)
}

// EpochsReserved records that the store has reserved epochs up to upTo.
func (m *Manager) EpochsReserved(upTo uint64) {
	if m.reservationFailed {
		m.acceptsLeasesAnnounced = false
	}
	m.reservedEpoch = max(m.reservedEpoch, upTo)
	m.reservationPending = false
	m.reservationFailed = false
	m.rescheduleAll()
}

// ReservationFailed records that epochs could not be reserved; the write is retried after answerTimeoutMs. Until a write
// succeeds, the controller requests no new lease but renews the leases that it holds. Proxies are notified that this
// controller does not accept leases, so that other controllers do not transfer proxies to it.
func (m *Manager) ReservationFailed() {
	if !m.reservationFailed {
		m.acceptsLeasesAnnounced = false
	}
	m.reservationPending = false
	m.reservationFailed = true
	m.reservationRetryMs = m.nowMs + answerTimeoutMs
	m.rescheduleAll()
}

// SetDraining starts or ends draining: a draining controller transfers all leases that it holds and requests none.
func (m *Manager) SetDraining(draining bool) {
	if m.draining != draining {
		m.acceptsLeasesAnnounced = false
	}
	m.draining = draining
	m.rescheduleAll()
}

// HoldsLease reports whether orders may be sent to a proxy now, and under which epoch. Call it right before sending each
// order, after SetTime.
func (m *Manager) HoldsLease(proxyName string) (epoch uint64, held bool) {
	proxy := m.proxies[proxyName]
	if proxy == nil || !proxy.commanded || !proxy.heldAt(m.nowMs) {
		return 0, false
	}
	return proxy.epoch, true
}

// AcceptsLeases reports whether this controller accepts new leases.
func (m *Manager) AcceptsLeases() bool { return !m.draining && !m.reservationFailed }

// CountHeld returns the number of proxies whose lease this controller holds, and the number of connected proxies.
func (m *Manager) CountHeld() (held, connected int) {
	for _, proxy := range m.queue {
		if proxy.heldAt(m.nowMs) {
			held++
		}
	}
	return held, len(m.queue)
}

// recordView stores a proxy's view, the time since which the proxy has been free, and this controller's rank for the proxy.
func (m *Manager) recordView(proxy *proxyState, view ProxyView) {
	if !slices.Equal(view.Reachable, proxy.view.Reachable) {
		proxy.reachableSinceMs = m.nowMs
	}
	proxy.view = view
	proxy.viewMs = m.nowMs
	if view.Controller != "" {
		proxy.freeSinceMs = math.Inf(1)
	} else if math.IsInf(proxy.freeSinceMs, 1) {
		proxy.freeSinceMs = m.nowMs
	}
	rank, first := rankControllers(m.name, proxy.name, view.Reachable)
	proxy.rank = rank
	if first == m.name || first == "" {
		proxy.outrankedSinceMs = math.Inf(1)
	} else {
		proxy.outrankedSinceMs = math.Min(proxy.outrankedSinceMs, m.nowMs)
	}
	m.reschedule(proxy)
}

// recordAnswer matches an answer with its request and updates the lease. An answer to a request that is no longer pending
// has no effect.
func (m *Manager) recordAnswer(proxy *proxyState, nonce uint64, granted bool) {
	index := slices.IndexFunc(proxy.pending, func(request leaseRequest) bool { return request.nonce == nonce })
	if index < 0 {
		return
	}
	request := proxy.pending[index]
	proxy.pending = slices.Delete(proxy.pending, 0, index+1) // answers arrive in order, so earlier requests stay unanswered
	if !granted {
		m.Rejections++
		if request.epoch == proxy.epoch {
			proxy.heldUntilMs = math.Inf(-1)
		}
		return
	}
	if proxy.epoch != request.epoch {
		m.Takeovers++
		m.restartTransferDelay(proxy)
		proxy.epoch = request.epoch
		proxy.heldUntilMs = math.Inf(-1)
		proxy.commanded = false
	}
	proxy.heldUntilMs = max(proxy.heldUntilMs, heldUntilMs(request.sentMs, DurationMs))
}

// restartTransferDelay restarts the transfer delay for a proxy that a better ranked controller left free, and doubles the
// delay if the proxy came back soon after a transfer. Without the doubling, proxies would be transferred again and again to
// a controller that is paused while its streams stay up.
func (m *Manager) restartTransferDelay(proxy *proxyState) {
	if math.IsInf(proxy.outrankedSinceMs, 1) {
		proxy.transferDelayDoublings = 0
		return
	}
	proxy.outrankedSinceMs = math.Max(proxy.outrankedSinceMs, m.nowMs)
	if m.nowMs-proxy.transferredMs < transferDelayMs {
		proxy.transferDelayDoublings = min(proxy.transferDelayDoublings+1, maxTransferDelayDoublings)
	}
}
