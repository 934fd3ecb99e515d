package controlstream

import "slices"

// ChannelLimits say what a planner may send. They are the settings' channel block.
type ChannelLimits struct {
	LinesPerS    float64
	HeadLines    float64
	MostWaiting  float64 // lines, heads included
	MostMessages int     // to one proxy within SpanMs; 0: no limit
	SpanMs       float64
}

// Link is one proxy's end of the channel: the times of its last messages. A new one starts at each join.
type Link struct{ sent []float64 }

// NewLink begins with messages that others sent the proxy, by time.
func NewLink(sent []float64) *Link { return &Link{sent: slices.Clone(sent)} }

// Message is what one proxy is sent at one time.
type Message[T any] struct {
	To      *Link
	Lines   float64 // head included
	Decided float64 // ms
	What    T
}

// Channel lets messages leave one after the other at a stated rate, and none beyond its limits: the rule of the
// short queue is kept here, whatever the module believes.
type Channel[T any] struct {
	lim     ChannelLimits
	queue   []Message[T]
	waiting float64 // lines of the queue
	freeAt  float64 // when the message before the queue's first has left
	peak    float64
}

// NewChannel makes an empty one.
func NewChannel[T any](lim ChannelLimits) *Channel[T] { return &Channel[T]{lim: lim} }

// Put queues a message of some lines beyond its head. It gives the limit that stands in the way, if one does:
// the caller then ends that proxy's stream, as it would miss an order that the module believes it has.
func (c *Channel[T]) Put(now float64, to *Link, lines float64, what T) *Ending {
	lines += c.lim.HeadLines
	if c.waiting+lines > c.lim.MostWaiting {
		return ending(Full, "%g lines wait and %g come; at most %g", c.waiting, lines, c.lim.MostWaiting)
	}
	if c.lim.MostMessages > 0 {
		to.sent = slices.DeleteFunc(to.sent, func(at float64) bool { return at <= now-c.lim.SpanMs })
		if len(to.sent) >= c.lim.MostMessages {
			return ending(Full, "%d messages within %g ms; at most %d", len(to.sent)+1, c.lim.SpanMs, c.lim.MostMessages)
		}
		to.sent = append(to.sent, now)
	}
	if len(c.queue) == 0 {
		c.freeAt = max(c.freeAt, now)
	}
	c.queue = append(c.queue, Message[T]{To: to, Lines: lines, Decided: now, What: what})
	c.waiting += lines
	c.peak = max(c.peak, c.waiting)
	return nil
}

// Next gives the message that has left by now, if one has.
func (c *Channel[T]) Next(now float64) (m Message[T], ok bool) {
	if len(c.queue) == 0 || now < c.Due() {
		return m, false
	}
	m, c.freeAt = c.queue[0], c.Due()
	c.queue[0] = Message[T]{}
	if c.queue, c.waiting = c.queue[1:], c.waiting-m.Lines; len(c.queue) == 0 {
		c.queue, c.waiting = nil, 0
	}
	return m, true
}

// Due is when the first message of the queue has left, in ms; meaningless while nothing waits.
func (c *Channel[T]) Due() float64 {
	if len(c.queue) == 0 {
		return c.freeAt
	}
	return c.freeAt + c.queue[0].Lines/c.lim.LinesPerS*1000
}

// Drop forgets a proxy that left: what waits for it is not sent and takes no time.
func (c *Channel[T]) Drop(to *Link) {
	c.waiting = 0
	c.queue = slices.DeleteFunc(c.queue, func(m Message[T]) bool { return m.To == to })
	for _, m := range c.queue {
		c.waiting += m.Lines
	}
}

// Waiting is how many lines wait, heads included, and Messages how many messages.
func (c *Channel[T]) Waiting() float64 { return c.waiting }
func (c *Channel[T]) Messages() int    { return len(c.queue) }

// Peak is the most lines that waited since the last call.
func (c *Channel[T]) Peak() float64 {
	p := c.peak
	c.peak = c.waiting
	return p
}
