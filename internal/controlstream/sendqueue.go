package controlstream

import "slices"

const msPerSecond = 1000

// SendQueueLimits limit what a planner sends to its proxies. They are set in the channel block of the settings. The unit
// of sizes is the weight entry. An order of another kind counts as one entry or more; the caller of Push states how many.
type SendQueueLimits struct {
	EntriesPerSecond float64 // rate at which entries are sent; positive
	MessageOverhead  float64 // number of entries added to the size of each message
	MaxBacklog       float64 // largest number of entries in the queue, including MessageOverhead for each message
	MaxMessages      int     // largest number of messages to one proxy within WindowMs; 0: no limit
	WindowMs         float64 // length in ms of the window for MaxMessages; unused if MaxMessages is 0
}

// MessageWindow holds the times of the latest messages to a proxy, as needed for SendQueueLimits.MaxMessages. The caller
// creates one for each stream of a proxy when the proxy joins. The address of the window also identifies the proxy in the
// queue. The zero value is a window without messages.
type MessageWindow struct {
	sentMs []float64 // times of the messages in ms, in ascending order
}

// NewMessageWindow returns a window that starts with the times, in ms and ascending, of messages that other planners sent to
// the proxy, because MaxMessages counts those messages too. The slice is copied.
func NewMessageWindow(sentMs []float64) *MessageWindow {
	return &MessageWindow{sentMs: slices.Clone(sentMs)}
}

// expire removes messages that are windowMs old or older.
func (w *MessageWindow) expire(nowMs, windowMs float64) {
	w.sentMs = slices.DeleteFunc(w.sentMs, func(sentMs float64) bool { return sentMs <= nowMs-windowMs })
}

// Message is a queued message to one proxy.
type Message[T any] struct {
	To       *MessageWindow
	Entries  float64 // size in entries, including SendQueueLimits.MessageOverhead
	QueuedMs float64 // time at which Push queued the message, in ms
	Payload  T
}

// SendQueue is a first-in, first-out queue that releases each message after the time that its entries take at the configured
// rate, and rejects messages that exceed its limits. The policy estimates whether its orders stay within these limits; the
// queue enforces the limits. A SendQueue must not be used by several goroutines at the same time, and the times passed to its
// methods must not decrease.
type SendQueue[T any] struct {
	limits      SendQueueLimits
	queue       []Message[T]
	backlog     float64 // sum of the Entries of the queued messages
	headStartMs float64 // time in ms at which sending the first message starts: its Push or, if later, the last departure
	peak        float64 // highest backlog, in entries, since the last call of PeakBacklog
}

// NewSendQueue returns an empty queue.
func NewSendQueue[T any](limits SendQueueLimits) *SendQueue[T] {
	return &SendQueue[T]{limits: limits}
}

// Push queues a message; entries is the message's size without MessageOverhead. If the message would exceed a limit, Push
// does not queue the message and returns a CloseError with ReasonLimitExceeded. The caller must then end that proxy's stream,
// because the policy assumes that the proxy receives every order.
func (q *SendQueue[T]) Push(nowMs float64, to *MessageWindow, entries float64, payload T) *CloseError {
	entries += q.limits.MessageOverhead
	if q.backlog+entries > q.limits.MaxBacklog {
		return newCloseError(ReasonLimitExceeded, "%g entries queued and %g more would exceed the backlog limit of %g",
			q.backlog, entries, q.limits.MaxBacklog)
	}
	if q.limits.MaxMessages > 0 {
		to.expire(nowMs, q.limits.WindowMs)
		if len(to.sentMs) >= q.limits.MaxMessages {
			return newCloseError(ReasonLimitExceeded, "%d messages to one proxy within %g ms, limit is %d",
				len(to.sentMs)+1, q.limits.WindowMs, q.limits.MaxMessages)
		}
		to.sentMs = append(to.sentMs, nowMs)
	}
	if len(q.queue) == 0 {
		// An idle queue does not accumulate send capacity: sending the message starts now.
		q.headStartMs = max(q.headStartMs, nowMs)
	}
	q.queue = append(q.queue, Message[T]{To: to, Entries: entries, QueuedMs: nowMs, Payload: payload})
	q.backlog += entries
	q.peak = max(q.peak, q.backlog)
	return nil
}

// Pop removes and returns the first message if its departure time has come; ok is false if it has not, or if the queue is
// empty.
func (q *SendQueue[T]) Pop(nowMs float64) (message Message[T], ok bool) {
	if len(q.queue) == 0 || nowMs < q.NextDeparture() {
		return message, false
	}
	message = q.queue[0]
	q.headStartMs = q.NextDeparture()
	q.queue[0] = Message[T]{} // lets the garbage collector free the payload while the array is in use
	q.queue = q.queue[1:]
	q.backlog -= message.Entries
	if len(q.queue) == 0 {
		q.queue = nil
		q.backlog = 0 // discards accumulated rounding errors
	}
	return message, true
}

// NextDeparture returns the time in ms at which the first message can be popped. The result has no meaning while the queue
// is empty.
func (q *SendQueue[T]) NextDeparture() float64 {
	if len(q.queue) == 0 {
		return q.headStartMs
	}
	return q.headStartMs + q.queue[0].Entries/q.limits.EntriesPerSecond*msPerSecond
}

// Remove discards the messages to a proxy whose stream has ended. The discarded messages no longer delay the messages behind
// them.
func (q *SendQueue[T]) Remove(to *MessageWindow) {
	q.queue = slices.DeleteFunc(q.queue, func(message Message[T]) bool { return message.To == to })
	q.backlog = 0
	for _, message := range q.queue {
		q.backlog += message.Entries
	}
}

// Backlog returns the number of entries in the queue, including MessageOverhead for each message.
func (q *SendQueue[T]) Backlog() float64 { return q.backlog }

// Len returns the number of messages queued.
func (q *SendQueue[T]) Len() int { return len(q.queue) }

// PeakBacklog returns the highest backlog, in entries, since the previous call of PeakBacklog.
func (q *SendQueue[T]) PeakBacklog() float64 {
	peak := q.peak
	q.peak = q.backlog
	return peak
}
