package proxy

import (
	"maps"
	"slices"

	"lichenpick/proto/order"
)

// Limits of the history that a proxy keeps for its next lease holder.
const (
	// recentOrdersWindowMs is how long the proxy keeps the time at which it received an Orders message. The window within
	// which planners limit the messages to a proxy is seldom longer.
	recentOrdersWindowMs = 60000.0
	// maxRecentOrders is the largest number of Orders messages whose times of arrival the proxy keeps.
	maxRecentOrders = 1000
	// drainRetentionMs is how long after the ejection of a draining or removed server the proxy still names the server to a
	// new lease holder. The new holder's own endpoint list shows the drain or removal long before this time has passed.
	drainRetentionMs = 600000.0
)

// HandleLeaseRequest decides on a controller's request to get or renew the proxy's lease. A newly granted lease starts a new
// session: the proxy's tables and ejections stay in force until the new holder assigns tables. newlyGranted is false for a
// renewal.
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

// AcceptsOrders reports whether a controller's orders are to be applied: the controller must hold the lease under the epoch
// that the orders state.
func (c *Core) AcceptsOrders(nowMs float64, controller string, message *order.Orders) bool {
	c.grantor.SetTime(nowMs)
	return c.grantor.Accepts(controller, message.Incarnation, message.Epoch)
}

// isHolder reports whether a controller process holds the lease at the time last passed to the grantor.
func (c *Core) isHolder(controller string, incarnation uint64) bool {
	return c.grantor.Controller == controller && c.grantor.Incarnation == incarnation
}

// RecordOrders records that the proxy received an Orders message at nowMs. It must be called for each Orders message, from
// any controller and whether or not the message is applied, because planners limit the number of all Orders messages to a
// proxy within a window.
func (c *Core) RecordOrders(nowMs float64) {
	c.recentOrdersMs = append(c.recentOrdersMs, nowMs)
	for c.recentOrdersMs[0] <= nowMs-recentOrdersWindowMs || len(c.recentOrdersMs) > maxRecentOrders {
		c.recentOrdersMs = c.recentOrdersMs[1:]
	}
}

// LeaseState returns a message that states who holds the proxy's lease. For a new holder, it also contains the tables,
// ejections and admission rates in force, the draining servers, and how long ago the proxy received each of the latest Orders
// messages. The caller may change the message.
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
