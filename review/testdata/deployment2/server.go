package main

import (
	"fmt"
	"time"
)

// queueLimit is how many requests may wait at a server; it refuses more, unseen.
const queueLimit = 20

// serverModel is a server with one core and a queue. One that starts is cold: its capacity rises evenly. One that is sent too
// much while it is cold falls over and stays down.
type serverModel struct {
	startedAt time.Time // zero: long ago
	freeAt    time.Time
	waiting   int
	sent      []sentWork // work sent within the last window
	down      bool
}

type sentWork struct {
	at   time.Time
	work time.Duration
}

// capacity returns the share of its full capacity that the server has at a time.
func (m *serverModel) capacity(at time.Time, f *figures) float64 {
	if m.startedAt.IsZero() {
		return 1
	}
	age := float64(at.Sub(m.startedAt).Milliseconds())
	return min(1, f.coldShare+(1-f.coldShare)*max(age, 0)/f.warmUpMs)
}

// take plays a request that reaches a server. It returns how long the answer takes, and whether the server refuses the request.
// The caller holds the fleet's lock.
func (f *fleet) take(server string, work time.Duration) (wait time.Duration, refused bool) {
	m := f.models[server]
	if m == nil {
		m = &serverModel{}
		f.models[server] = m
	}
	now := time.Now()
	f.judgeCold(server, m, now, work)
	if m.down || m.waiting >= queueLimit {
		return 0, true
	}
	start := now
	if m.freeAt.After(start) {
		start = m.freeAt
	}
	m.freeAt = start.Add(time.Duration(float64(work) / m.capacity(start, &f.figures)))
	m.waiting++
	time.AfterFunc(m.freeAt.Sub(now), func() {
		f.mu.Lock()
		m.waiting--
		f.mu.Unlock()
	})
	return m.freeAt.Sub(now), false
}

// judgeCold checks the rule on cold servers: the work sent within each window stays under the multiple of the capacity that the
// server has in it; judging starts with the first. The caller holds the lock.
func (f *fleet) judgeCold(server string, m *serverModel, now time.Time, work time.Duration) {
	window := time.Duration(f.figures.fallMs) * time.Millisecond
	m.sent = append(m.sent, sentWork{now, work})
	for now.Sub(m.sent[0].at) > window {
		m.sent = m.sent[1:]
	}
	if m.down || m.startedAt.IsZero() || now.Sub(m.startedAt) > time.Duration(f.figures.warmUpMs)*time.Millisecond {
		return
	}
	total := time.Duration(0)
	for _, s := range m.sent {
		total += s.work
	}
	// The capacity at the window's end is the most that it had in it, and a window that begins before the start counts whole.
	multiple := float64(total) / float64(window) / m.capacity(now, &f.figures)
	if multiple > f.worstMultiple {
		f.worstMultiple = multiple
		say("most work sent to a cold server so far: %s, %.2f times its capacity, %.1f s after its start", server, multiple, now.Sub(m.startedAt).Seconds())
	}
	if multiple > f.figures.tipMultiple*coldSlack {
		m.down = true
		f.noteLocked("safe fail-back", fmt.Sprintf("%s, started %.1f s ago, was sent %.1f times its present capacity for %.0f s and falls over",
			server, now.Sub(m.startedAt).Seconds(), multiple, window.Seconds()))
	}
}

// coldSlack is the slack for chance in the rule on cold servers.
const coldSlack = 1.1
