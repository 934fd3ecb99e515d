package lease

import (
	"math"
	"slices"
)

// Host carries out a controller's decisions. Each method is one decision. Manager.Next calls it, in its caller's goroutine;
// a method may call the manager's input methods, but not Next.
type Host interface {
	// RequestLease sends a lease request of leaseMs to a proxy. The answer comes by Manager.HandleAnswer with the same nonce.
	RequestLease(proxy string, nonce, epoch uint64, leaseMs float64)
	// ReleaseLease sends a proxy that its lease is released.
	ReleaseLease(proxy string, epoch uint64)
	// StartCommand states that the controller holds a proxy's lease from now on.
	StartCommand(proxy string, epoch uint64)
	// StopCommand states that the controller no longer holds a proxy's lease.
	StopCommand(proxy string)
	// ReserveEpochs writes to stable storage that epochs up to upTo may be used, and answers by Manager.EpochsReserved or
	// Manager.ReservationFailed, at once or later.
	ReserveEpochs(upTo uint64)
	// SetAcceptsLeases notifies all proxies whether this controller is open to proxies.
	SetAcceptsLeases(open bool)
	// SetTimer has the host call Manager.SetTime and Next at a time, in ms of the controller's clock. It replaces the last.
	SetTimer(atMs float64)
}

// Next carries out at most one decision, and reports whether it did: callers call it until it does not. What has been due
// longest goes first.
func (m *Manager) Next(host Host) bool {
	if !m.acceptsLeasesAnnounced {
		m.acceptsLeasesAnnounced = true
		host.SetAcceptsLeases(m.AcceptsLeases())
		return true
	}
	// Guards against staying closed for good: while nothing can be requested, nothing else would try the store again.
	if m.reservationFailed && m.reserveEpochs(m.lastEpoch+1, host) {
		return true
	}
	if m.decideDue(host) {
		return true
	}
	return m.setTimer(host)
}

// decideDue carries out the decision that has been due longest, if there is one.
func (m *Manager) decideDue(host Host) bool {
	for len(m.queue) > 0 && m.queue[0].nextEvaluationMs <= m.nowMs {
		proxy := m.queue[0]
		decided := m.decide(proxy, host)
		m.reschedule(proxy)
		if decided {
			return true
		}
		// Guards against a loop without end over a proxy that is due but waits for something else than its time.
		if proxy.nextEvaluationMs <= m.nowMs {
			m.queue.setDue(proxy, m.nowMs+1)
		}
	}
	return false
}

// setTimer has the host call again at the next time that something is due, if it does not know that time yet.
func (m *Manager) setTimer(host Host) bool {
	dueMs := math.Inf(1)
	if len(m.queue) > 0 {
		dueMs = m.queue[0].nextEvaluationMs
	}
	if m.reservationFailed {
		dueMs = min(dueMs, max(m.reservationRetryMs, m.nowMs+1))
	}
	if dueMs == m.timerMs || math.IsInf(dueMs, 1) {
		return false
	}
	m.timerMs = dueMs
	host.SetTimer(dueMs)
	return true
}

// decide carries out at most one decision on a proxy, and reports whether it did.
func (m *Manager) decide(proxy *proxyState, host Host) bool {
	if proxy.heldAt(m.nowMs) {
		return m.decideHeld(proxy, host)
	}
	if proxy.epoch > 0 {
		wasCommanded := proxy.commanded
		m.expire(proxy)
		if wasCommanded {
			host.StopCommand(proxy.name)
			return true
		}
	}
	return m.requestNew(proxy, host)
}

// decideHeld decides on a proxy whose lease this controller holds.
func (m *Manager) decideHeld(proxy *proxyState, host Host) bool {
	switch {
	case !proxy.commanded:
		proxy.commanded = true
		host.StartCommand(proxy.name, proxy.epoch)
	case m.nowMs >= m.transferDueMs(proxy):
		m.transfer(proxy, host)
	case m.nowMs >= m.renewalDueMs(proxy):
		m.requestLease(proxy, proxy.epoch, host)
	default:
		return false
	}
	return true
}

// expire drops a lease that this controller no longer believes in.
func (m *Manager) expire(proxy *proxyState) {
	proxy.epoch = 0
	proxy.pending = nil
	proxy.commanded = false
	m.Expired++
}

// requestNew requests a proxy under a new epoch, or reserves epochs for that, once it is due.
func (m *Manager) requestNew(proxy *proxyState, host Host) bool {
	if m.draining || m.nowMs < m.requestDueMs(proxy) {
		return false
	}
	epoch := max(m.lastEpoch, proxy.view.Epoch) + 1
	if epoch > m.reservedEpoch {
		return m.reserveEpochs(epoch, host)
	}
	m.lastEpoch = epoch
	m.requestLease(proxy, epoch, host)
	return true
}

// reserveEpochs has epochs from a given one on reserved, unless that is under way or failed just now.
func (m *Manager) reserveEpochs(epoch uint64, host Host) bool {
	if m.reservationPending || m.nowMs < m.reservationRetryMs {
		return false
	}
	m.reservationPending = true
	host.ReserveEpochs(epoch + epochsPerReservation)
	return true
}

func (m *Manager) requestLease(proxy *proxyState, epoch uint64, host Host) {
	m.lastNonce++
	if len(proxy.pending) >= maxPendingRequests {
		proxy.pending = slices.Delete(proxy.pending, 0, 1)
	}
	request := leaseRequest{nonce: m.lastNonce, epoch: epoch, sentMs: m.nowMs}
	proxy.pending = append(proxy.pending, request)
	host.RequestLease(proxy.name, request.nonce, epoch, DurationMs)
}

// transfer gives a proxy back, for a better ranked controller to request it.
func (m *Manager) transfer(proxy *proxyState, host Host) {
	epoch := proxy.epoch
	wasCommanded := proxy.commanded
	proxy.epoch = 0
	proxy.heldUntilMs = math.Inf(-1)
	proxy.pending = nil
	proxy.commanded = false
	proxy.transferredMs = m.nowMs
	proxy.freeSinceMs = m.nowMs + answerTimeoutMs // the other controller has its turn first
	proxy.view.Controller = ""
	proxy.view.RemainingMs = 0
	proxy.viewMs = m.nowMs
	m.lastTransferMs = m.nowMs
	m.Transferred++
	if wasCommanded {
		host.StopCommand(proxy.name)
	}
	host.ReleaseLease(proxy.name, epoch)
}
