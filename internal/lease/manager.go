package lease

import (
	"math"
	"slices"
)

// Manager is a controller's side of the protocol. Its input methods only update what it knows; Next carries out what follows
// from that. It is not safe for use by two goroutines at once. Counts are since NewManager.
type Manager struct {
	name        string
	incarnation uint64
	nowMs       float64
	proxies     map[string]*proxyState // connected ones, by name
	queue       evaluationQueue        // the same
	lastNonce   uint64
	lastEpoch   uint64 // the highest requested

	reservedEpoch      uint64  // the highest that the store covers
	reservationPending bool    // the host has been asked for more and has not answered
	reservationFailed  bool    // the last write failed: no new lease can be requested
	reservationRetryMs float64 // no write before that time

	draining               bool
	acceptsLeasesAnnounced bool    // whether proxies know the present value of AcceptsLeases
	lastTransferMs         float64 // minus infinity: never
	timerMs                float64 // of the last Host.SetTimer

	Takeovers   int // leases gained, by grants under a new epoch
	Transferred int // leases given back for another controller
	Expired     int // leases lost, as they were not renewed in time or the proxy granted another
	Rejections  int // requests and orders that proxies rejected
}

// NewManager returns the manager of a controller without proxies. The incarnation is to be drawn anew for each process;
// reservedEpoch is what its store holds: it will use epochs above it only, once it has reserved them; nowMs is the time of the
// clock that SetTime goes by.
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

// SetTime states the time, in ms of a monotonic clock. It is to be called before other inputs and before Next.
func (m *Manager) SetTime(nowMs float64) { m.nowMs = nowMs }

// AddProxy records that a proxy's stream came up, with the proxy's view. It replaces an older stream, with all that was
// believed of it.
func (m *Manager) AddProxy(proxyName string, view ProxyView) {
	m.RemoveProxy(proxyName)
	proxy := newProxyState(proxyName, m.nowMs)
	m.proxies[proxyName] = proxy
	m.queue.add(proxy)
	m.recordView(proxy, view)
}

// RemoveProxy records that a proxy's stream ended. Its lease is no longer held, as no order can reach it; Host.StopCommand
// is not called.
func (m *Manager) RemoveProxy(proxyName string) {
	proxy := m.proxies[proxyName]
	if proxy == nil {
		return
	}
	delete(m.proxies, proxyName)
	m.queue.remove(proxy)
}

// UpdateLease records a view that a proxy sent of its own accord. Proxies that are not connected are ignored.
func (m *Manager) UpdateLease(proxyName string, view ProxyView) {
	proxy := m.proxies[proxyName]
	if proxy == nil {
		return
	}
	m.recordView(proxy, view)
}

// HandleAnswer records a proxy's answer to the lease request with a nonce, and its view. Proxies that are not connected and
// nonces that are not pending are ignored, the view apart.
func (m *Manager) HandleAnswer(proxyName string, nonce uint64, granted bool, view ProxyView) {
	proxy := m.proxies[proxyName]
	if proxy == nil {
		return
	}
	m.recordView(proxy, view)
	m.recordAnswer(proxy, nonce, granted)
	m.reschedule(proxy)
}

// OrdersRejected records that a proxy rejected an order, as it has granted another epoch.
func (m *Manager) OrdersRejected(proxyName string) {
	proxy := m.proxies[proxyName]
	if proxy == nil || proxy.epoch == 0 {
		return
	}
	m.Rejections++
	proxy.heldUntilMs = math.Inf(-1)
	m.reschedule(proxy)
}

// EpochsReserved records that the store holds that epochs up to upTo may be used.
func (m *Manager) EpochsReserved(upTo uint64) {
	if m.reservationFailed {
		m.acceptsLeasesAnnounced = false
	}
	m.reservedEpoch = max(m.reservedEpoch, upTo)
	m.reservationPending = false
	m.reservationFailed = false
	m.rescheduleAll()
}

// ReservationFailed records that epochs could not be reserved. It is tried again after answerTimeoutMs. Until a write
// succeeds no new lease is requested, held ones are renewed, and proxies are notified that this controller is not open: guards
// against others that transfer proxies to it which it cannot take.
func (m *Manager) ReservationFailed() {
	if !m.reservationFailed {
		m.acceptsLeasesAnnounced = false
	}
	m.reservationPending = false
	m.reservationFailed = true
	m.reservationRetryMs = m.nowMs + answerTimeoutMs
	m.rescheduleAll()
}

// SetDraining has the controller transfer all that it holds and request nothing, or ends that.
func (m *Manager) SetDraining(draining bool) {
	if m.draining != draining {
		m.acceptsLeasesAnnounced = false
	}
	m.draining = draining
	m.rescheduleAll()
}

// HoldsLease reports whether orders may be sent to a proxy now, and under which epoch. It is to be asked right before each
// order, after SetTime.
func (m *Manager) HoldsLease(proxyName string) (epoch uint64, held bool) {
	proxy := m.proxies[proxyName]
	if proxy == nil || !proxy.commanded || !proxy.heldAt(m.nowMs) {
		return 0, false
	}
	return proxy.epoch, true
}

// AcceptsLeases reports whether this controller takes proxies.
func (m *Manager) AcceptsLeases() bool { return !m.draining && !m.reservationFailed }

// CountHeld counts the proxies whose lease this controller holds, and all that are connected.
func (m *Manager) CountHeld() (held, connected int) {
	for _, proxy := range m.queue {
		if proxy.heldAt(m.nowMs) {
			held++
		}
	}
	return held, len(m.queue)
}

// recordView updates what follows from a proxy's view: since when it is free, and how this controller ranks for it.
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

// recordAnswer matches an answer with its request. A late answer to a request that was given up has no effect.
func (m *Manager) recordAnswer(proxy *proxyState, nonce uint64, granted bool) {
	index := slices.IndexFunc(proxy.pending, func(request leaseRequest) bool { return request.nonce == nonce })
	if index < 0 {
		return
	}
	request := proxy.pending[index]
	proxy.pending = slices.Delete(proxy.pending, 0, index+1) // answers come in order: earlier ones will not come
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

// restartTransferDelay has a better ranked controller that left a proxy free settle anew, for longer each time that the proxy
// comes back after a transfer. Guards against endless transfers to a controller that is paused with its streams up.
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
