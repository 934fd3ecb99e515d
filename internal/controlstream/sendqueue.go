package controlstream

import "slices"

// SendQueueLimits say what a planner may send. They are the settings' channel block.
type SendQueueLimits struct {
	EntriesPerSecond float64
	MessageOverhead  float64
	MaxBacklog       float64 // lines, heads included
	MaxMessages      int     // to one proxy within WindowMs; 0: no limit
	WindowMs         float64
}

// MessageWindow is one proxy's end of the channel: the times of its last messages. A new one starts at each join.
type MessageWindow struct{ sent []float64 }

// NewMessageWindow begins with messages that others sent the proxy, by time.
func NewMessageWindow(sent []float64) *MessageWindow { return &MessageWindow{sent: slices.Clone(sent)} }

// Message is what one proxy is sent at one time.
type Message[T any] struct {
	To        *MessageWindow
	Entries   float64 // head included
	DecidedMs float64 // ms
	Payload   T
}

// SendQueue lets messages leave one after the other at a stated rate, and none beyond its limits: the rule of the
// short queue is kept here, whatever the module believes.
type SendQueue[T any] struct {
	lim     SendQueueLimits
	queue   []Message[T]
	backlog float64 // lines of the queue
	freeAt  float64 // when the message before the queue's first has left
	peak    float64
}

// NewSendQueue makes an empty one.
func NewSendQueue[T any](lim SendQueueLimits) *SendQueue[T] { return &SendQueue[T]{lim: lim} }

// Push queues a message of some lines beyond its head. It gives the limit that stands in the way, if one does:
// the caller then ends that proxy's stream, as it would miss an order that the module believes it has.
func (c *SendQueue[T]) Push(now float64, to *MessageWindow, lines float64, what T) *CloseError {
	lines += c.lim.MessageOverhead
	if c.backlog+lines > c.lim.MaxBacklog {
		return newCloseError(ReasonLimitExceeded, "%g lines wait and %g come; at most %g", c.backlog, lines, c.lim.MaxBacklog)
	}
	if c.lim.MaxMessages > 0 {
		to.sent = slices.DeleteFunc(to.sent, func(at float64) bool { return at <= now-c.lim.WindowMs })
		if len(to.sent) >= c.lim.MaxMessages {
			return newCloseError(ReasonLimitExceeded, "%d messages within %g ms; at most %d", len(to.sent)+1, c.lim.WindowMs, c.lim.MaxMessages)
		}
		to.sent = append(to.sent, now)
	}
	if len(c.queue) == 0 {
		c.freeAt = max(c.freeAt, now)
	}
	c.queue = append(c.queue, Message[T]{To: to, Entries: lines, DecidedMs: now, Payload: what})
	c.backlog += lines
	c.peak = max(c.peak, c.backlog)
	return nil
}

// Pop gives the message that has left by now, if one has.
func (c *SendQueue[T]) Pop(now float64) (m Message[T], ok bool) {
	if len(c.queue) == 0 || now < c.NextDeparture() {
		return m, false
	}
	m, c.freeAt = c.queue[0], c.NextDeparture()
	c.queue[0] = Message[T]{}
	if c.queue, c.backlog = c.queue[1:], c.backlog-m.Entries; len(c.queue) == 0 {
		c.queue, c.backlog = nil, 0
	}
	return m, true
}

// NextDeparture is when the first message of the queue has left, in ms; meaningless while nothing waits.
func (c *SendQueue[T]) NextDeparture() float64 {
	if len(c.queue) == 0 {
		return c.freeAt
	}
	return c.freeAt + c.queue[0].Entries/c.lim.EntriesPerSecond*1000
}

// Remove forgets a proxy that left: what waits for it is not sent and takes no time.
func (c *SendQueue[T]) Remove(to *MessageWindow) {
	c.backlog = 0
	c.queue = slices.DeleteFunc(c.queue, func(m Message[T]) bool { return m.To == to })
	for _, m := range c.queue {
		c.backlog += m.Entries
	}
}

// Backlog is how many lines wait, heads included, and Len how many messages.
func (c *SendQueue[T]) Backlog() float64 { return c.backlog }
func (c *SendQueue[T]) Len() int         { return len(c.queue) }

// PeakBacklog is the most lines that waited since the last call.
func (c *SendQueue[T]) PeakBacklog() float64 {
	p := c.peak
	c.peak = c.backlog
	return p
}
