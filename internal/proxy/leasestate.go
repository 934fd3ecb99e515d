package proxy

import (
	"maps"
	"slices"

	"lichenpick/proto/order"
)

// Bounds of what a proxy remembers for its next lease holder.
const (
	recentOrdersWindowMs = 60000.0  // ms that messages of orders are remembered; a planner's window for them is seldom longer
	maxRecentOrders      = 1000     // messages of orders that are remembered
	drainRetentionMs     = 600000.0 // ms that a drain is stated to a next holder; its endpoint list shows it long before
)

// HandleLeaseRequest grants or rejects a controller's request for the proxy's lease, or its renewal. A newly granted lease
// starts over like a new session: what the proxy holds stays in force until the new holder assigns other tables.
func (c *Core) HandleLeaseRequest(nowMs float64, request *order.Claim) (granted, newlyGranted bool) {
	c.grantor.SetTime(nowMs)
	previousEpoch := c.grantor.Epoch
	granted = c.grantor.Grant(request.Controller, request.Incarnation, request.Epoch, float64(request.LeaseMs))
	newlyGranted = granted && request.Epoch != previousEpoch
	if newlyGranted {
		c.StartSession(&order.Welcome{})
	}
	return granted, newlyGranted
}

// AcceptsOrders says whether a controller's orders are to be applied: it holds the lease, under the epoch that they carry.
func (c *Core) AcceptsOrders(nowMs float64, controller string, message *order.Orders) bool {
	c.grantor.SetTime(nowMs)
	return c.grantor.Accepts(controller, message.Incarnation, message.Epoch)
}

// isHolder says whether a controller's process holds the lease, as of the last time that the grantor was given.
func (c *Core) isHolder(controller string, incarnation uint64) bool {
	return c.grantor.Controller == controller && c.grantor.Incarnation == incarnation
}

// RecordOrders remembers that a message of orders came, whoever sent it and whether it is applied: each counts in the
// window that limits messages to the proxy.
func (c *Core) RecordOrders(nowMs float64) {
	c.recentOrdersMs = append(c.recentOrdersMs, nowMs)
	for c.recentOrdersMs[0] <= nowMs-recentOrdersWindowMs || len(c.recentOrdersMs) > maxRecentOrders {
		c.recentOrdersMs = c.recentOrdersMs[1:]
	}
}

// LeaseState says who holds the proxy's lease; to a new holder also what the proxy goes by, and which messages of orders
// came lately. The caller owns it.
func (c *Core) LeaseState(nowMs float64, toNewHolder bool) *order.Lease {
	c.grantor.SetTime(nowMs)
	c.leaseStateCount++
	state := &order.Lease{
		Count:       c.leaseStateCount,
		Epoch:       c.grantor.Epoch,
		Controller:  c.grantor.Controller,
		Incarnation: c.grantor.Incarnation,
		LeftMs:      c.grantor.RemainingMs(),
	}
	if !toNewHolder {
		return state
	}
	state.Holds = c.HeldTables()
	for class, admitted := range c.admissions {
		state.Levels = append(state.Levels, &order.Level{
			Group: uint32(class), Share: admitted.fraction, Retry: uint32(admitted.retry),
		})
	}
	for _, receivedMs := range c.recentOrdersMs {
		state.MessagesAgoMs = append(state.MessagesAgoMs, nowMs-receivedMs)
	}
	maps.DeleteFunc(c.drainingSinceMs, func(_ string, sinceMs float64) bool { return nowMs-sinceMs > drainRetentionMs })
	state.Going = slices.Sorted(maps.Keys(c.drainingSinceMs))
	return state
}
