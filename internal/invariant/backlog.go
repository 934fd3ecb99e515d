package invariant

import (
	"cmp"
	"slices"
)

const (
	// minCompactMessages is the number of messages from which a backlog is compacted.
	minCompactMessages = 4096
	// compactMinAgeMs is the age from which messages are compacted. It is far above the disorder in which observers of
	// several connections report messages.
	compactMinAgeMs = 60_000.0
)

// queuedMessage is the time that a message's entries waited at a planner: from its decision until it left.
type queuedMessage struct {
	decidedMs, sentMs float64
	entries           float64
}

// backlog is the history of the weight entries that waited at one planner. The zero value is empty.
//
// As messages become known only when they leave, the height of the backlog at a time is final only when all messages
// decided until then have left. So the history is kept, but compacted: its size is bounded by the height of the backlog.
type backlog struct {
	messages  []queuedMessage
	compactAt int // number of messages at which to compact next; 0: compactAfter
}

// add takes in a message that left at sentMs. Calls must come in order of sentMs, up to compactMarginMs.
func (b *backlog) add(decidedMs, sentMs, entries float64) {
	b.messages = append(b.messages, queuedMessage{decidedMs, sentMs, entries})
	if len(b.messages) >= max(b.compactAt, minCompactMessages) {
		b.compact(sentMs - compactMinAgeMs)
		b.compactAt = 2 * len(b.messages)
	}
}

// compact replaces the messages that left until a time by fewer ones with the same effect on any later peak.
//
// A message that leaves later waits from its decision on until after untilMs. So it raises the backlog at each time between
// its decision and untilMs, and a peak there is the highest backlog from the decision on, plus the message. The envelope of
// the history, its highest backlog from each time on, therefore serves as well as the history.
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

// suffixMaximum returns messages whose backlog at each time is the highest of the given ones' from that time on, beginning with
// the time of their peak.
func suffixMaximum(messages []queuedMessage) []queuedMessage {
	sizes := sizesOf(messages)
	var steps []queuedMessage
	largest := 0.0
	peakMs := 0.0
	for n := len(sizes) - 2; n >= 0; n-- { // the last height is 0
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

// backlogSize is the number of entries that wait from a time on.
type backlogSize struct{ atMs, entries float64 }

// sizesOf returns the backlog after each change, in order of time. Of changes at one time, those that lower it come first.
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

// peak returns the highest backlog and the time at which it was reached first. After a compaction it may name a later one
// of several equal peaks.
func (b *backlog) peak() backlogSize {
	largest := backlogSize{}
	for _, current := range sizesOf(b.messages) {
		if current.entries > largest.entries {
			largest = current
		}
	}
	return largest
}

// evaluateBacklog judges the part of [BacklogExceeded] that limits the entries queued at a planner.
func (c *Checker) evaluateBacklog(name string, planner *plannerState) {
	peak := planner.backlog.peak()
	if peak.entries > c.limits.MaxBacklog {
		c.recordViolation(BacklogExceeded, peak.atMs, "planner %s: %.0f entries waited, %.0f allowed",
			name, peak.entries, c.limits.MaxBacklog)
	}
}
