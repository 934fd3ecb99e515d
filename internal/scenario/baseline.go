package scenario

import (
	"slices"

	"lichenpick/internal/planner"
	"lichenpick/policy"
)

// even is a baseline, for comparison only: one table of all listed servers for all proxies, changed at once. It
// judges no server, sets no level and counts no line.
type even struct {
	bySize  bool
	entries map[string]policy.Endpoint
	order   []string
	sent    map[string]float64 // weights of the table
	out     map[string]bool
	waiting []int // proxies to bind
	groups  []int
	woken   bool
}

func newEven(bySize bool, groups int) planner.Decider {
	e := &even{bySize: bySize, entries: map[string]policy.Endpoint{}, sent: map[string]float64{}, out: map[string]bool{}}
	for g := range groups {
		e.groups = append(e.groups, g)
	}
	return e
}

func (e *even) SetTime(float64) { e.woken = false }

func (e *even) UpdateEndpoints(form policy.UpdateKind, list []policy.Endpoint) {
	if form == policy.FailedUpdate {
		return
	}
	for _, x := range list {
		if _, known := e.entries[x.Server]; !known {
			e.order = append(e.order, x.Server)
		}
		e.entries[x.Server] = x
	}
}

func (e *even) AddProxy(id, _ int, _ float64, _ ...float64) { e.waiting = append(e.waiting, id) }
func (e *even) RemoveProxy(id int) {
	e.waiting = slices.DeleteFunc(e.waiting, func(x int) bool { return x == id })
}
func (e *even) RecordReport(string, int, int, int, float64, float64) {}
func (e *even) RecordDemand(int, int, int, int, float64)             {}
func (e *even) Acknowledge(int, int, float64)                        {}
func (e *even) SetLagging(bool)                                      {}

func (e *even) Next(h policy.Host) bool {
	for _, name := range e.order {
		x := e.entries[name]
		want := 1.0
		if e.bySize {
			want = x.RelativeCapacity
		}
		if x.State != policy.Ready {
			if !e.out[name] {
				e.out[name] = true
				h.SetEjected(name, true)
				return true
			}
			continue
		}
		if e.sent[name] != want {
			e.sent[name] = want
			h.SetWeight(0, name, want)
			return true
		}
		if e.out[name] {
			delete(e.out, name)
			h.SetEjected(name, false)
			return true
		}
	}
	if len(e.waiting) > 0 && len(e.sent) > 0 {
		id := e.waiting[0]
		e.waiting = e.waiting[1:]
		h.AssignTable(id, 0, e.groups)
		return true
	}
	if !e.woken {
		e.woken = true
		h.SetTimer(200)
		return true
	}
	return false
}
