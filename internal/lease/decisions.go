package lease

import (
	"math"
	"slices"
)

// Host carries out a controller's decisions; each method carries out one kind of decision. Manager.Next calls the host in
// the goroutine that called Next. Methods may call the manager's input methods, but not Next.
type Host interface {
	// RequestLease sends a proxy a request for a lease that lasts leaseMs. The host passes the answer to
	// Manager.HandleAnswer with the same nonce.
	RequestLease(proxy string, nonce, epoch uint64, leaseMs float64)
	// ReleaseLease tells a proxy that the controller gives up its lease.
	ReleaseLease(proxy string, epoch uint64)
	// StartCommand reports that the controller holds a proxy's lease from now on.
	StartCommand(proxy string, epoch uint64)
	// StopCommand reports that the controller no longer holds a proxy's lease.
	StopCommand(proxy string)
	// ReserveEpochs records in stable storage that epochs up to upTo may be used. The host reports the outcome by a call of
	// Manager.EpochsReserved or Manager.ReservationFailed, either before ReserveEpochs returns or later.
	ReserveEpochs(upTo uint64)
	// SetAcceptsLeases tells all proxies whether this controller accepts new leases.
	SetAcceptsLeases(accepts bool)
	// SetTimer schedules a call of Manager.SetTime and Manager.Next at atMs, in ms of the controller's clock. The new timer
	// replaces the previous one.
	SetTimer(atMs float64)
}

// Next carries out at most one decision, the one that has been due longest, and reports whether there was one. Callers
// repeat the call until it returns false.
func (m *Manager) Next(host Host) bool {
	if !m.acceptsLeasesAnnounced {
		m.acceptsLeasesAnnounced = true
		host.SetAcceptsLeases(m.AcceptsLeases())
		return true
	}
	// Retries a failed reservation. After the failure the manager requests no lease, so nothing else would retry the write,
	// and the controller would never accept leases again.
	if m.reservationFailed && m.reserveEpochs(m.lastEpoch+1, host) {
		return true
	}
	if m.decideDue(host) {
		return true
	}
	return m.setTimer(host)
}

// decideDue carries out the decision that has been due longest, and reports whether there was one.
func (m *Manager) decideDue(host Host) bool {
	for len(m.queue) > 0 && m.queue[0].nextEvaluationMs <= m.nowMs {
		proxy := m.queue[0]
		decided := m.decide(proxy, host)
		m.reschedule(proxy)
		if decided {
			return true
		}
		// A proxy that stays due although there is nothing to decide for it would keep this loop running forever. The proxy
		// is therefore evaluated again only after a millisecond.
		if proxy.nextEvaluationMs <= m.nowMs {
			m.queue.setDue(proxy, m.nowMs+1)
		}
	}
	return false
}

// setTimer sets the host's timer to the earliest time at which a proxy or the retry of a reservation is due, and reports
// whether it set the timer. It does not set the timer if the timer already has this time, or if nothing will be due.
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

// decide carries out at most one decision for a proxy, and reports whether there was one.
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

// decideHeld carries out at most one decision for a proxy whose lease this controller holds, and reports whether there was
// one.
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

// expire drops a lease that this controller no longer considers valid.
func (m *Manager) expire(proxy *proxyState) {
	proxy.epoch = 0
	proxy.pending = nil
	proxy.commanded = false
	m.Expired++
}

// requestNew requests a proxy's lease under a new epoch if the request is due, or first reserves epochs if the new epoch
// is not reserved yet. It reports whether it requested the lease or reserved epochs.
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

// reserveEpochs makes the host reserve an epoch and the epochsPerReservation epochs that follow. It does nothing and
// returns false while a reservation is pending, or before a failed reservation may be retried.
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

// transfer releases a proxy's lease so that another controller can request it.
func (m *Manager) transfer(proxy *proxyState, host Host) {
	epoch := proxy.epoch
	wasCommanded := proxy.commanded
	proxy.epoch = 0
	proxy.heldUntilMs = math.Inf(-1)
	proxy.pending = nil
	proxy.commanded = false
	proxy.transferredMs = m.nowMs
	proxy.freeSinceMs = m.nowMs + answerTimeoutMs // leaves time for the other controller to request the lease first
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
