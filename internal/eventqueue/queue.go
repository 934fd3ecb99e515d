// Package eventqueue orders events by time, for models that run in simulated time or follow a real clock. It reads no clock and
// starts no goroutine.
package eventqueue

import "container/heap"

// Queue is the clock of a run, in ms, and the events scheduled on it. Events that are due at the same time happen in the order in
// which they were scheduled. The zero value is at time 0 with no events. A Queue is not safe for concurrent use.
type Queue struct {
	nowMs     float64
	processed int    // number of events that have happened
	lastEvent uint64 // sequence number of the event scheduled last; 0: none was scheduled yet
	pending   eventHeap
}

// event is an action and the time at which the action runs.
type event struct {
	atMs   float64
	number uint64 // sequence number; breaks ties between events due at the same time
	action func()
}

// NowMs returns the time of the event that runs, or the time that the last RunUntil has reached.
func (q *Queue) NowMs() float64 { return q.nowMs }

// Processed returns the number of events that have happened.
func (q *Queue) Processed() int { return q.processed }

// After schedules an action to run delayMs from now; a negative delay counts as 0.
func (q *Queue) After(delayMs float64, action func()) {
	q.lastEvent++
	heap.Push(&q.pending, event{atMs: q.nowMs + max(delayMs, 0), number: q.lastEvent, action: action})
}

// RunUntil runs all events due up to a time and advances the clock to that time. The events run include those that an event
// schedules during the call.
func (q *Queue) RunUntil(untilMs float64) {
	for len(q.pending) > 0 && q.pending[0].atMs <= untilMs {
		next := heap.Pop(&q.pending).(event)
		q.nowMs = next.atMs
		q.processed++
		next.action()
	}
	q.nowMs = untilMs
}

// NextMs returns the time of the next event, and false if no event is scheduled.
func (q *Queue) NextMs() (float64, bool) {
	if len(q.pending) == 0 {
		return 0, false
	}
	return q.pending[0].atMs, true
}

// eventHeap implements heap.Interface, with the next event first.
type eventHeap []event

// Len returns the number of events.
func (h eventHeap) Len() int { return len(h) }

// Less reports whether event a happens before event b.
func (h eventHeap) Less(a, b int) bool {
	if h[a].atMs != h[b].atMs {
		return h[a].atMs < h[b].atMs
	}
	return h[a].number < h[b].number
}

// Swap exchanges two events.
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push adds an event at the end.
func (h *eventHeap) Push(added any) { *h = append(*h, added.(event)) }

// Pop removes the event at the end and returns it.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	(*h)[last] = event{} // lets the garbage collector free what the action refers to
	*h = (*h)[:last]
	return removed
}
