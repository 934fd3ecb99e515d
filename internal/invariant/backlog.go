package invariant

import (
	"cmp"
	"slices"
)

const (
	// minCompactMessages is the number of messages below which a backlog is not compacted.
	minCompactMessages = 4096
	// compactMinAgeMs is the minimum time between the sending of a message and its compaction. Observers of several connections
	// report messages out of order, but by much less than this time.
	compactMinAgeMs = 60_000.0
)

// queuedMessage is a message to a proxy, whose weight entries were queued at a planner from decidedMs to sentMs.
type queuedMessage struct {
	decidedMs, sentMs float64
	entries           float64
}

// backlog is the history of the weight entries that were queued at one planner. The zero value is empty.
//
// A message is recorded only when it is sent. The size of the backlog at a time is therefore final only after all messages that
// were decided until this time have been sent. For this reason the history is kept, but compacted: the peak of the backlog
// bounds the number of messages that a compaction leaves.
type backlog struct {
	messages  []queuedMessage
	compactAt int // number of messages at which the next compaction runs; 0: minCompactMessages
}

// add records a message that was sent at sentMs. This time may be up to compactMinAgeMs earlier than the sentMs of previous
// calls.
func (b *backlog) add(decidedMs, sentMs, entries float64) {
	b.messages = append(b.messages, queuedMessage{decidedMs, sentMs, entries})
	if len(b.messages) >= max(b.compactAt, minCompactMessages) {
		b.compact(sentMs - compactMinAgeMs)
		b.compactAt = 2 * len(b.messages)
	}
}

// compact replaces the messages sent until untilMs with fewer messages. The peak stays the same, whatever messages are added
// later.
//
// A message that is sent later was queued from its decision until after untilMs. Such a message raises the backlog at each
// time between its decision and untilMs, so the peak in this period is the largest backlog since the decision plus the entries
// of the message.
// The suffix maximum of the history, its largest backlog from each time on, therefore gives the same peaks as the history.
func (b *backlog) compact(untilMs float64) {
	var left, later []queuedMessage
	for _, message := range b.messages {
		if message.sentMs <= untilMs {
			left = append(left, message)
		} else {
			later = append(later, message)
		}
	}
	b.messages = append(suffixMaximum(left), later...)
}

// suffixMaximum returns messages whose backlog, at each time from the peak on, is the largest backlog of the given messages
// from that time on. The decision time of all returned messages is the time of the peak.
func suffixMaximum(messages []queuedMessage) []queuedMessage {
	sizes := sizesOf(messages)
	var steps []queuedMessage
	largest := 0.0
	peakMs := 0.0
	for n := len(sizes) - 2; n >= 0; n-- { // skips the last size, which is 0
		if sizes[n].entries <= largest {
			continue
		}
		steps = append(steps, queuedMessage{sentMs: sizes[n+1].atMs, entries: sizes[n].entries - largest})
		largest = sizes[n].entries
		peakMs = sizes[n].atMs
	}
	for n := range steps {
		steps[n].decidedMs = peakMs
	}
	return steps
}

// backlogSize is the number of entries that are queued from atMs until the next change of this number.
type backlogSize struct{ atMs, entries float64 }

// sizesOf returns the size of the backlog after each change, in order of time. Among simultaneous changes, decreases come first.
func sizesOf(messages []queuedMessage) []backlogSize {
	changes := make([]backlogSize, 0, 2*len(messages))
	for _, message := range messages {
		changes = append(changes, backlogSize{message.decidedMs, message.entries}, backlogSize{message.sentMs, -message.entries})
	}
	slices.SortStableFunc(changes, func(a, b backlogSize) int {
		return cmp.Or(cmp.Compare(a.atMs, b.atMs), cmp.Compare(a.entries, b.entries))
	})
	current := 0.0
	for n := range changes {
		current += changes[n].entries
		changes[n].entries = current
	}
	return changes
}

// peak returns the largest size of the backlog and the time at which the backlog first reached this size. If the backlog reached
// this size several times, the time returned after a compaction may be a later one of these times.
func (b *backlog) peak() backlogSize {
	largest := backlogSize{}
	for _, current := range sizesOf(b.messages) {
		if current.entries > largest.entries {
			largest = current
		}
	}
	return largest
}

// evaluateBacklog checks the part of [BacklogExceeded] that limits the entries queued at a planner.
func (c *Checker) evaluateBacklog(name string, planner *plannerState) {
	peak := planner.backlog.peak()
	if peak.entries > c.limits.MaxBacklog {
		c.recordViolation(BacklogExceeded, peak.atMs, "planner %s: %.0f entries waited, %.0f allowed",
			name, peak.entries, c.limits.MaxBacklog)
	}
}
