package invariant

import "lichenpick/proto/order"

// leaseState holds what a proxy of a shared fleet has reported to planners about its lease.
type leaseState struct {
	shared       bool   // the proxy grants leases; otherwise all fields below are unused
	holder       string // planner that holds the lease; empty: none
	epoch        uint64 // epoch of the last grant
	sequence     uint64 // sequence number of the lease message that reported the last grant
	grants       int
	grantedAtMs  float64
	releasedAtMs float64 // time of observing the proxy's report that its last lease had ended
	lastFrameMs  float64 // when the holder's last frame reached the proxy

	// unacknowledged holds the epochs of messages that the proxy has not acknowledged, by planner and message number.
	unacknowledged map[string]map[uint64]uint64
}

// Takeover is the grant of one proxy's lease under a new epoch. Times are in ms.
type Takeover struct {
	Proxy       string
	Planner     string  // name of the planner that was granted the lease
	LastFrameMs float64 // when the last frame of the previous holder reached the proxy
	ExpiredMs   float64 // when the previous lease ended
	GrantedMs   float64
}

// RecordLease records a lease message, which states who holds a proxy's lease. The message was observed on the way to a planner.
// As a proxy has several streams, the proxy's lease messages may be observed out of order. The sequence numbers and epochs of
// the messages show which message is newer.
func (c *Checker) RecordLease(name, plannerName string, atMs float64, statement *order.Lease) {
	proxy := c.proxies[name]
	if proxy == nil || !proxy.lease.shared {
		return
	}
	lease := &proxy.lease
	later := statement.Count > lease.sequence
	switch {
	case statement.Granted && statement.Epoch < lease.epoch && later:
		c.recordViolation(StaleEpoch, atMs, "proxy %s granted epoch %d after %d", name, statement.Epoch, lease.epoch)
	case statement.Granted && statement.Epoch > lease.epoch:
		c.recordGrant(name, proxy, plannerName, atMs, statement)
	case statement.Controller == "" && lease.holder != "" && statement.Epoch == lease.epoch && later:
		lease.holder = ""
		lease.releasedAtMs = atMs
		c.evaluateNoServer(name, proxy, atMs)
		proxy.planner = ""
	}
}

// recordGrant records that a proxy granted its lease under a new epoch. It resets the recorded state of the proxy to the tables
// that the proxy's lease message lists.
func (c *Checker) recordGrant(name string, proxy *proxyState, plannerName string, atMs float64, statement *order.Lease) {
	lease := &proxy.lease
	expiredMs := lease.releasedAtMs
	if lease.holder != "" { // the end of the previous lease, reported on another stream, was not observed yet
		expiredMs = atMs
	}
	c.Takeovers = append(c.Takeovers, Takeover{
		Proxy:       name,
		Planner:     plannerName,
		LastFrameMs: lease.lastFrameMs,
		ExpiredMs:   expiredMs,
		GrantedMs:   atMs,
	})
	lease.lastFrameMs = atMs
	lease.grants++
	lease.holder = plannerName
	lease.epoch = statement.Epoch
	lease.sequence = statement.Count
	lease.grantedAtMs = atMs
	proxy.joinedAtMs = atMs
	c.evaluateNoServer(name, proxy, atMs)
	proxy.planner = plannerName
	proxy.reset(statement.Holds)
	c.evaluateNoServer(name, proxy, atMs)
}

// RecordFrame records that a frame of a planner reached a proxy.
func (c *Checker) RecordFrame(name, plannerName string, atMs float64) {
	proxy := c.proxies[name]
	if proxy != nil && proxy.lease.holder == plannerName {
		proxy.lease.lastFrameMs = atMs
	}
}

// RecordAck records a proxy's acknowledgement, observed on the way to the planner that sent the acknowledged message. The
// acknowledgement states whether the proxy applied or rejected the message, and the epoch that the proxy had granted.
func (c *Checker) RecordAck(name, plannerName string, atMs float64, ack *order.Applied) {
	proxy := c.proxies[name]
	if proxy == nil || !proxy.lease.shared {
		return
	}
	unacknowledged := proxy.lease.unacknowledged[plannerName]
	epoch, known := unacknowledged[ack.Number]
	delete(unacknowledged, ack.Number)
	if ack.Refused {
		c.Rejected++
		return
	}
	if known && epoch != ack.Epoch {
		c.recordViolation(StaleEpoch, atMs, "proxy %s applied message %d of %s under epoch %d, when it had granted %d",
			name, ack.Number, plannerName, epoch, ack.Epoch)
	}
}

// LeasesByPlanner returns the number of leases that each planner currently holds.
func (c *Checker) LeasesByPlanner() map[string]int {
	leases := map[string]int{}
	for _, proxy := range c.proxies {
		if proxy.lease.holder != "" {
			leases[proxy.lease.holder]++
		}
	}
	return leases
}
