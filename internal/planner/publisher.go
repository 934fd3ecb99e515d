package planner

import (
	"slices"
	"time"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/settings"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

// publisher gathers what is decided for each proxy and paces the messages that carry it. All orders of one evaluation leave
// in one message per proxy, as each message costs its overhead and counts in the proxy's window.
type publisher struct {
	planner         string // name
	incarnation     uint64
	messageOverhead float64                                  // entries that a message costs beside its orders
	queue           *controlstream.SendQueue[*queuedMessage] // messages that wait to be sent
	dirty           []*joinedProxy                           // with an update, in the order in which they got it
}

// pendingUpdate is what this evaluation decided for one proxy so far.
type pendingUpdate struct {
	orders  *order.Orders // nil: nothing
	entries float64       // without the message's overhead
	urgent  bool          // holds an ejection of a server that drains or is removed
}

// queuedMessage is a message that waits to be sent.
type queuedMessage struct {
	to     *joinedProxy
	orders *order.Orders
}

// newPublisher makes a publisher by checked settings.
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

// add adds an order of some entries to a proxy's update. The date is that of the evaluation.
func (pub *publisher) add(p *joinedProxy, wallTime time.Time, entries float64, o *order.Order) {
	update := &p.update
	if update.orders == nil {
		update.orders = &order.Orders{
			Planner:       pub.planner,
			Incarnation:   pub.incarnation,
			DecidedUnixUs: uint64(max(wallTime.UnixMicro(), 0)), // a date before 1970 is none
		}
		pub.dirty = append(pub.dirty, p)
	}
	update.orders.Orders = append(update.orders.Orders, o)
	update.entries += entries
}

// enqueue queues the update of the proxy that got one first, as one message. The caller has it acknowledged, or closes the
// proxy's stream if a limit stands in the way: a proxy that missed a message would go by a table that nobody knows.
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

// remove forgets what was decided for a proxy and not sent yet.
func (pub *publisher) remove(p *joinedProxy) {
	pub.queue.Remove(p.window)
	pub.dirty = slices.DeleteFunc(pub.dirty, func(other *joinedProxy) bool { return other == p })
	p.update = pendingUpdate{}
}

// addOrder adds an order of some entries to what this evaluation decided for a proxy.
func (c *Core) addOrder(p *joinedProxy, entries float64, o *order.Order) {
	c.publisher.add(p, c.wallTime, entries, o)
}

// nextUpdate queues the update of one proxy and reports whether there was one.
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

// nextDeparture sends one message whose time has come and reports whether there was one.
func (c *Core) nextDeparture(h Host) bool {
	departure, ok := c.publisher.queue.Pop(c.nowMs)
	if !ok {
		return false
	}
	message := departure.Payload
	if c.leases.enabled() {
		epoch, held := c.leases.manager.HoldsLease(message.to.name)
		if !held || epoch != message.to.epoch {
			return true // the proxy is commanded by another planner; the lease manager notices in a moment
		}
		message.orders.Epoch = epoch
	}
	c.Counts.Messages++
	c.Counts.Entries += uint64(message.orders.Lines)
	h.Send(message.to.stream, controlstream.FrameOrders, message.orders)
	return true
}
