package planner

import (
	"slices"
	"time"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/settings"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

// publisher collects the orders for each proxy and paces the messages that contain them. All orders of one evaluation are
// sent in one message per proxy, because each message costs overhead and counts towards the limit of the proxy's message
// window.
type publisher struct {
	planner         string // name of this planner
	incarnation     uint64
	messageOverhead float64                                  // size of a message without its orders, in weight entries
	queue           *controlstream.SendQueue[*queuedMessage] // messages that wait to be sent
	dirty           []*joinedProxy                           // proxies with a pending update, oldest update first
}

// pendingUpdate holds the orders for one proxy that the current evaluation has decided so far.
type pendingUpdate struct {
	orders  *order.Orders // orders decided so far; nil: none
	entries float64       // size of the orders in weight entries (see SendQueueLimits), without the message overhead
	urgent  bool          // whether the orders eject a server that drains or is removed
}

// queuedMessage is a message that waits to be sent.
type queuedMessage struct {
	to     *joinedProxy
	orders *order.Orders
}

// newPublisher returns a publisher with the limits of checked settings.
func newPublisher(set *pb.Planner, incarnation uint64) publisher {
	overhead := set.Channel.GetHeadLines()
	limits := controlstream.SendQueueLimits{
		EntriesPerSecond: settings.PerSecond(set.Channel.Lines),
		MessageOverhead:  overhead,
		MaxBacklog:       float64(set.Channel.GetMostWaiting()),
		MaxMessages:      int(set.Channel.GetMostMessages()),
		WindowMs:         settings.Milliseconds(set.Channel.MessageSpan),
	}
	return publisher{
		planner:         set.Name,
		incarnation:     incarnation,
		messageOverhead: overhead,
		queue:           controlstream.NewSendQueue[*queuedMessage](limits),
	}
}

// add adds an order to a proxy's update. entries is the size of the order in weight entries; wallTime is the wall-clock time
// of the evaluation.
func (pub *publisher) add(p *joinedProxy, wallTime time.Time, entries float64, o *order.Order) {
	update := &p.update
	if update.orders == nil {
		update.orders = &order.Orders{
			Planner:       pub.planner,
			Incarnation:   pub.incarnation,
			DecidedUnixUs: uint64(max(wallTime.UnixMicro(), 0)), // times before 1970 are sent as 0
		}
		pub.dirty = append(pub.dirty, p)
	}
	update.orders.Orders = append(update.orders.Orders, o)
	update.entries += entries
}

// enqueue queues the oldest pending update as one message. The caller must then wait for the message's acknowledgement. If
// a limit rejects the message, the caller must close the proxy's stream: a proxy that misses a message would use tables
// that differ from those that the planner has recorded.
func (pub *publisher) enqueue(nowMs float64) (*joinedProxy, sentUpdate, *controlstream.CloseError) {
	p := pub.dirty[0]
	pub.dirty = pub.dirty[1:]
	update := p.update
	p.update = pendingUpdate{}
	p.messageCount++
	update.orders.Number = p.messageCount
	update.orders.Lines = update.entries + pub.messageOverhead
	refusal := pub.queue.Push(nowMs, p.window, update.entries, &queuedMessage{to: p, orders: update.orders})
	sent := sentUpdate{
		number:    p.messageCount,
		decidedMs: nowMs,
		urgent:    update.urgent,
		requested: requestedAcknowledgements(update.orders),
	}
	return p, sent, refusal
}

// remove drops a proxy's queued messages and its pending update.
func (pub *publisher) remove(p *joinedProxy) {
	pub.queue.Remove(p.window)
	pub.dirty = slices.DeleteFunc(pub.dirty, func(other *joinedProxy) bool { return other == p })
	p.update = pendingUpdate{}
}

// addOrder adds an order, which counts as some entries, to a proxy's pending update.
func (c *Core) addOrder(p *joinedProxy, entries float64, o *order.Order) {
	c.publisher.add(p, c.wallTime, entries, o)
}

// nextUpdate queues one proxy's pending update as a message and reports whether there was one.
func (c *Core) nextUpdate() bool {
	if len(c.publisher.dirty) == 0 {
		return false
	}
	p, sent, refusal := c.publisher.enqueue(c.nowMs)
	if refusal != nil {
		c.closeStream(p.stream, refusal)
		return true
	}
	c.acks.add(p, sent)
	return true
}

// nextDeparture removes one due message from the send queue and reports whether there was one. It sends the message
// unless the lease under which it was decided is no longer held.
func (c *Core) nextDeparture(h Host) bool {
	departure, ok := c.publisher.queue.Pop(c.nowMs)
	if !ok {
		return false
	}
	message := departure.Payload
	if c.leases.enabled() {
		epoch, held := c.leases.manager.HoldsLease(message.to.name)
		if !held || epoch != message.to.epoch {
			return true // the lease has ended; the lease manager stops the command of the proxy at its next decision
		}
		message.orders.Epoch = epoch
	}
	c.Counts.Messages++
	c.Counts.Entries += uint64(message.orders.Lines)
	h.Send(message.to.stream, controlstream.FrameOrders, message.orders)
	return true
}
