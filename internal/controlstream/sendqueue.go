package controlstream

import "slices"

const msPerSecond = 1000

// SendQueueLimits say what a planner may send to its proxies. They come from the settings' channel block.
type SendQueueLimits struct {
	EntriesPerSecond float64 // weight entries, or what counts as one, that leave per second; above 0
	MessageOverhead  float64 // entries that a message counts for beyond its own
	MaxBacklog       float64 // entries queued, overhead included
	MaxMessages      int     // messages to one proxy within WindowMs; 0: no limit
	WindowMs         float64 // ms; unused without MaxMessages
}

// MessageWindow holds when a proxy was sent its last messages, as SendQueueLimits.MaxMessages counts them. The caller owns
// one for each stream of a proxy and makes a new one at each join; it also identifies the proxy in the queue. Its zero value
// has no messages.
type MessageWindow struct {
	sentMs []float64 // in ascending order
}

// NewMessageWindow makes a window with the times, in ms and ascending, at which other planners sent the proxy messages: its
// limit counts those too. The slice is copied.
func NewMessageWindow(sentMs []float64) *MessageWindow {
	return &MessageWindow{sentMs: slices.Clone(sentMs)}
}

// expire forgets messages that are older than a window.
func (w *MessageWindow) expire(nowMs, windowMs float64) {
	w.sentMs = slices.DeleteFunc(w.sentMs, func(sentMs float64) bool { return sentMs <= nowMs-windowMs })
}

// Message is what one proxy is sent at one time.
type Message[T any] struct {
	To       *MessageWindow
	Entries  float64 // overhead included
	QueuedMs float64 // when it was queued
	Payload  T
}

// SendQueue holds messages until their entries have been sent at the stated rate, first in, first out, and rejects what
// exceeds its limits. It enforces them whatever the policy estimates. It is used by one goroutine at a time; times that it
// is handed must not go back.
type SendQueue[T any] struct {
	limits      SendQueueLimits
	queue       []Message[T]
	backlog     float64 // entries of the queue
	headStartMs float64 // when the message before the first of the queue has left
	peak        float64 // the highest backlog since PeakBacklog was last called
}

// NewSendQueue makes an empty queue.
func NewSendQueue[T any](limits SendQueueLimits) *SendQueue[T] {
	return &SendQueue[T]{limits: limits}
}

// Push queues a message with some entries, its overhead not included. If that would exceed a limit, it queues nothing and
// returns a CloseError with ReasonLimitExceeded. The caller must then end that proxy's stream, because the proxy would miss
// an order that the policy takes for sent.
func (q *SendQueue[T]) Push(nowMs float64, to *MessageWindow, entries float64, payload T) *CloseError {
	entries += q.limits.MessageOverhead
	if q.backlog+entries > q.limits.MaxBacklog {
		return newCloseError(ReasonLimitExceeded, "%g entries queued and %g added; at most %g", q.backlog, entries, q.limits.MaxBacklog)
	}
	if q.limits.MaxMessages > 0 {
		to.expire(nowMs, q.limits.WindowMs)
		if len(to.sentMs) >= q.limits.MaxMessages {
			return newCloseError(ReasonLimitExceeded, "%d messages within %g ms; at most %d",
				len(to.sentMs)+1, q.limits.WindowMs, q.limits.MaxMessages)
		}
		to.sentMs = append(to.sentMs, nowMs)
	}
	if len(q.queue) == 0 {
		// An idle queue saves up nothing: the message starts to leave now.
		q.headStartMs = max(q.headStartMs, nowMs)
	}
	q.queue = append(q.queue, Message[T]{To: to, Entries: entries, QueuedMs: nowMs, Payload: payload})
	q.backlog += entries
	q.peak = max(q.peak, q.backlog)
	return nil
}

// Pop removes and returns the first message if it has left by now; ok is false if it has not, or there is none.
func (q *SendQueue[T]) Pop(nowMs float64) (message Message[T], ok bool) {
	if len(q.queue) == 0 || nowMs < q.NextDeparture() {
		return message, false
	}
	message = q.queue[0]
	q.headStartMs = q.NextDeparture()
	q.queue[0] = Message[T]{} // the slice's array must not keep the payload alive
	q.queue = q.queue[1:]
	q.backlog -= message.Entries
	if len(q.queue) == 0 {
		q.queue = nil
		q.backlog = 0 // no rest of rounding
	}
	return message, true
}

// NextDeparture is when the first message has left, in ms. It has no meaning while the queue is empty.
func (q *SendQueue[T]) NextDeparture() float64 {
	if len(q.queue) == 0 {
		return q.headStartMs
	}
	return q.headStartMs + q.queue[0].Entries/q.limits.EntriesPerSecond*msPerSecond
}

// Remove drops the messages to a proxy whose stream ended; they take no sending time.
func (q *SendQueue[T]) Remove(to *MessageWindow) {
	q.queue = slices.DeleteFunc(q.queue, func(message Message[T]) bool { return message.To == to })
	q.backlog = 0
	for _, message := range q.queue {
		q.backlog += message.Entries
	}
}

// Backlog is the number of entries queued, overhead included.
func (q *SendQueue[T]) Backlog() float64 { return q.backlog }

// Len is the number of messages queued.
func (q *SendQueue[T]) Len() int { return len(q.queue) }

// PeakBacklog is the highest backlog since its last call, in entries.
func (q *SendQueue[T]) PeakBacklog() float64 {
	peak := q.peak
	q.peak = q.backlog
	return peak
}
