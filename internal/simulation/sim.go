// Package simulation plays a fleet in made-up time: servers, clients and links are models; planner core, module and proxies are the
// product's own state machines. One seed gives one run.
package simulation

import "container/heap"

// sim is a queue of what happens when; what is due together happens in the order in which it was planned.
type sim struct {
	now    float64 // ms
	seq    uint64
	events events
	count  int
}

type event struct {
	at  float64
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].seq < e[b].seq
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// after plans something for some ms later.
func (s *sim) after(ms float64, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + max(ms, 0), s.seq, do})
}

// run lets all happen until a time.
func (s *sim) run(until float64) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		s.count++
		e.do()
	}
	s.now = until
}
