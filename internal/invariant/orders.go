package invariant

import (
	"slices"

	"lichenpick/proto/order"
)

// RecordSend records that a planner sent a message to a proxy at atMs. The planner had decided the message at decidedMs, on the
// same clock.
func (c *Checker) RecordSend(name, plannerName string, atMs, decidedMs float64, orders *order.Orders) {
	c.Messages++
	c.Entries += orders.Lines
	c.planner(plannerName).backlog.add(decidedMs, atMs, orders.Lines)
	proxy := c.proxies[name]
	if proxy == nil {
		return
	}
	if proxy.lease.shared {
		c.evaluateSingleLeader(name, proxy, plannerName, atMs, decidedMs)
		proxy.lease.recordSend(plannerName, orders)
	}
	c.evaluateMessageRate(name, proxy, atMs, decidedMs)
}

// evaluateSingleLeader checks [SingleLeader] for a message that a planner decided.
func (c *Checker) evaluateSingleLeader(name string, proxy *proxyState, plannerName string, atMs, decidedMs float64) {
	lease := &proxy.lease
	if lease.holder == "" || lease.holder == plannerName || lease.grantedAtMs >= decidedMs {
		return
	}
	c.recordViolation(SingleLeader, atMs, "%s decided orders for proxy %s %.1f ms after %s was granted epoch %d",
		plannerName, name, decidedMs-lease.grantedAtMs, lease.holder, lease.epoch)
}

// recordSend stores the epoch of a message until the proxy acknowledges the message.
func (l *leaseState) recordSend(plannerName string, orders *order.Orders) {
	if l.unacknowledged[plannerName] == nil {
		l.unacknowledged[plannerName] = map[uint64]uint64{}
	}
	l.unacknowledged[plannerName][orders.Number] = orders.Epoch
}

// evaluateMessageRate checks the part of [BacklogExceeded] that limits the rate of messages to one proxy.
func (c *Checker) evaluateMessageRate(name string, proxy *proxyState, atMs, decidedMs float64) {
	proxy.recentMessagesMs = append(proxy.recentMessagesMs, decidedMs)
	proxy.recentMessagesMs = slices.DeleteFunc(proxy.recentMessagesMs, func(messageMs float64) bool {
		beforeWindow := messageMs <= decidedMs-c.limits.MessageWindowMs
		beforeJoin := !proxy.lease.shared && messageMs < proxy.joinedAtMs-c.limits.SlackMs
		return beforeWindow || beforeJoin
	})
	sent := len(proxy.recentMessagesMs)
	if c.limits.MaxMessages > 0 && sent > c.limits.MaxMessages {
		c.recordViolation(BacklogExceeded, atMs, "proxy %s: %d messages within %g ms, %d allowed",
			name, sent, c.limits.MessageWindowMs, c.limits.MaxMessages)
	}
}

// RecordDelivery records that a message of a planner reached a proxy at atMs. The planner had decided the message at decidedMs,
// on the same clock.
func (c *Checker) RecordDelivery(name, plannerName string, atMs, decidedMs float64, orders *order.Orders) {
	proxy := c.proxies[name]
	if proxy == nil {
		return
	}
	if proxy.lease.shared && (proxy.lease.holder != plannerName || proxy.lease.epoch != orders.Epoch) {
		return // the proxy rejects the message, as the planner does not hold the lease under the message's epoch
	}
	proxy.appliedDecisionMs = decidedMs
	for _, single := range orders.Orders {
		switch change := single.What.(type) {
		case *order.Order_Bind:
			if proxy.lease.grants > 1 {
				c.ResentEntries += len(change.Bind.Lines)
			}
			proxy.assignTable(change.Bind)
		case *order.Order_Line:
			proxy.setEntry(change.Line)
		case *order.Order_Withdraw:
			proxy.setEjected(change.Withdraw)
		}
	}
	c.evaluateNoServer(name, proxy, atMs)
}

// assignTable applies an order that assigns a whole table.
func (p *proxyState) assignTable(bind *order.Bind) {
	for _, server := range bind.Withdrawn {
		p.ejected[server] = true
	}
	table := &weightTable{weights: weightsOf(bind.Lines), ejected: p.ejected}
	p.tables[bind.Table] = table
	p.useForClasses(table, bind.Groups)
}

// setEntry applies an order that sets one entry of a table.
func (p *proxyState) setEntry(set *order.SetLine) {
	if table := p.tables[set.Table]; table != nil {
		table.weights[set.Line.Server] = set.Line.Weight
	}
	if set.Forget {
		delete(p.ejected, set.Line.Server)
	}
}

// setEjected applies an order that ejects a server or ends its ejection.
func (p *proxyState) setEjected(ejection *order.Withdraw) {
	if ejection.Out {
		p.ejected[ejection.Server] = true
	} else {
		delete(p.ejected, ejection.Server)
	}
}
