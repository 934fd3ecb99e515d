package invariant

import "lichenpick/proto/order"

// leaseState is what a proxy of a shared fleet said about its leader.
type leaseState struct {
	shared       bool   // the proxy grants leases; else all below is unused
	holder       string // planner that holds the lease; empty: none
	epoch        uint64 // of the last grant
	count        uint64 // sequence number of the proxy's statement that granted it
	grants       int
	grantedAtMs  float64
	releasedAtMs float64 // when the lease ended
	lastFrameMs  float64 // last frame of the holder

	// unacknowledged holds the epochs of messages that the proxy has not acknowledged, by planner and message number.
	unacknowledged map[string]map[uint64]uint64
}

// Takeover is one proxy that granted its lease under a new epoch. Times in ms.
type Takeover struct {
	Proxy       string
	Planner     string  // planner that was granted the lease
	LastFrameMs float64 // last frame of the holder before
	ExpiredMs   float64 // end of the lease before
	GrantedMs   float64
}

// RecordLease records that a proxy's statement about its lease passed towards a planner. Statements of one proxy can
// overtake each other on its several streams; their counts and epochs tell which is older.
func (c *Checker) RecordLease(name, plannerName string, atMs float64, statement *order.Lease) {
	proxy := c.proxies[name]
	if proxy == nil || !proxy.lease.shared {
		return
	}
	lease := &proxy.lease
	later := statement.Count > lease.count
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

// recordGrant takes in that a proxy granted its lease under a new epoch, and starts over with what it says that it holds.
func (c *Checker) recordGrant(name string, proxy *proxyState, plannerName string, atMs float64, statement *order.Lease) {
	lease := &proxy.lease
	expiredMs := lease.releasedAtMs
	if lease.holder != "" { // granted anew without an end in between, on another stream
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
	lease.count = statement.Count
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

// RecordAck records that a proxy's acknowledgement of a message passed towards the planner that had sent it. Whether the
// proxy applied or rejected the message is its own statement.
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

// LeasesByPlanner returns the number of proxies whose lease each planner holds now.
func (c *Checker) LeasesByPlanner() map[string]int {
	leases := map[string]int{}
	for _, proxy := range c.proxies {
		if proxy.lease.holder != "" {
			leases[proxy.lease.holder]++
		}
	}
	return leases
}
