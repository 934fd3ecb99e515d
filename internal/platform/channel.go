package platform

import "math"

const millisecondsPerSecond = 1000.0

// channelEstimate says how many entries wait in the channel to the proxies, were it as fast as stated. It is part of the
// core, and under its lock.
type channelEstimate struct {
	entriesPerSecond float64
	entries          float64 // that waited at countedMs
	countedMs        float64
}

// add counts an update that is sent off, in entries, and returns how many wait.
func (e *channelEstimate) add(entries, overhead, nowMs float64) float64 {
	e.entries = e.backlog(nowMs) + entries + overhead
	e.countedMs = nowMs
	return e.entries
}

func (e *channelEstimate) backlog(nowMs float64) float64 {
	return math.Max(0, e.entries-(nowMs-e.countedMs)*e.entriesPerSecond/millisecondsPerSecond)
}
