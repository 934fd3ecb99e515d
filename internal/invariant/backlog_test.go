package invariant

import (
	"math/rand"
	"testing"
)

func TestBacklogPeakIsKeptByCompaction(t *testing.T) {
	for seed := range int64(50) {
		rng := rand.New(rand.NewSource(seed))
		var compacted, whole backlog
		sentMs := 0.0
		for n := range 400 {
			sentMs += rng.ExpFloat64() * 10
			decidedMs := sentMs - rng.ExpFloat64()*30
			entries := float64(1 + rng.Intn(20))
			if rng.Intn(50) == 0 {
				decidedMs -= 500
			}
			compacted.messages = append(compacted.messages, queuedMessage{decidedMs, sentMs, entries})
			whole.messages = append(whole.messages, queuedMessage{decidedMs, sentMs, entries})
			if n%40 == 39 {
				compacted.compact(sentMs - 20)
			}
			got := compacted.peak().entries
			want := whole.peak().entries
			if got != want {
				t.Fatalf("seed %d, after %d messages: a peak of %g, want %g", seed, n+1, got, want)
			}
		}
	}
}

func TestBacklogStaysSmall(t *testing.T) {
	var history backlog
	for n := range 1_000_000 {
		sentMs := float64(n) * 10
		history.add(sentMs-float64(n%70), sentMs, float64(1+n%5))
	}
	// 6000 messages are younger than compactMinAgeMs, and the number of messages may double until the next compaction.
	if got := len(history.messages); got > 15_000 {
		t.Errorf("%d messages are kept of 1000000", got)
	}
}
