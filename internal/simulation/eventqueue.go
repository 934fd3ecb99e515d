package simulation

import "container/heap"

// eventQueue is the simulated clock of a run and the events scheduled on it. Events that are due at the same time happen in the
// order in which they were scheduled. The zero value is at time 0 with no events.
type eventQueue struct {
	nowMs     float64
	processed int    // number of events that have happened
	lastEvent uint64 // sequence number of the event scheduled last; 0: none was scheduled yet
	pending   eventHeap
}

// event is an action and the simulated time at which the action runs.
type event struct {
	atMs   float64
	number uint64 // sequence number; breaks ties between events due at the same time
	action func()
}

// after schedules an action to run delayMs from now; a negative delay counts as 0.
func (q *eventQueue) after(delayMs float64, action func()) {
	q.lastEvent++
	heap.Push(&q.pending, event{atMs: q.nowMs + max(delayMs, 0), number: q.lastEvent, action: action})
}

// runUntil runs all events due up to a time and advances the clock to that time. The events run include those that an event
// schedules during the call.
func (q *eventQueue) runUntil(untilMs float64) {
	for len(q.pending) > 0 && q.pending[0].atMs <= untilMs {
		next := heap.Pop(&q.pending).(event)
		q.nowMs = next.atMs
		q.processed++
		next.action()
	}
	q.nowMs = untilMs
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
