package simulation

import "container/heap"

// eventQueue is the clock of a run, and what happens when. What is due at one time happens in the order in which it was
// scheduled. The zero value is at time 0 with nothing scheduled.
type eventQueue struct {
	nowMs     float64
	processed int // events that have happened
	lastEvent uint64
	pending   eventHeap
}

// event is something that happens at a time.
type event struct {
	atMs   float64
	number uint64 // in the order in which events were scheduled
	action func()
}

// after schedules an action for some ms later; a delay below 0 counts as 0.
func (q *eventQueue) after(delayMs float64, action func()) {
	q.lastEvent++
	heap.Push(&q.pending, event{atMs: q.nowMs + max(delayMs, 0), number: q.lastEvent, action: action})
}

// runUntil lets everything happen that is due until a time, and what that schedules.
func (q *eventQueue) runUntil(untilMs float64) {
	for len(q.pending) > 0 && q.pending[0].atMs <= untilMs {
		next := heap.Pop(&q.pending).(event)
		q.nowMs = next.atMs
		q.processed++
		next.action()
	}
	q.nowMs = untilMs
}

// eventHeap is a heap of events for package container/heap, the next one first.
type eventHeap []event

// Len returns the number of events.
func (h eventHeap) Len() int { return len(h) }

// Less reports whether an event happens before another.
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
	(*h)[last] = event{} // release what its action refers to
	*h = (*h)[:last]
	return removed
}
