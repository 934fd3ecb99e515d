package platform

import "math"

const millisecondsPerSecond = 1000.0

// channelEstimate estimates how many entries wait in the channel to the proxies, assuming that the channel runs at its
// stated rate. It belongs to the core and is guarded by the core's lock.
type channelEstimate struct {
	entriesPerSecond float64
	entries          float64 // waiting entries at countedMs
	countedMs        float64 // time of the last call of add
}

// add counts a sent update, by its entries and the overhead of its message (also in entries), and returns the new backlog
// in entries.
func (e *channelEstimate) add(entries, overhead, nowMs float64) float64 {
	e.entries = e.backlog(nowMs) + entries + overhead
	e.countedMs = nowMs
	return e.entries
}

// backlog returns the estimated number of waiting entries.
func (e *channelEstimate) backlog(nowMs float64) float64 {
	return math.Max(0, e.entries-(nowMs-e.countedMs)*e.entriesPerSecond/millisecondsPerSecond)
}
