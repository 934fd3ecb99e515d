package fake

import "sync"

// cleanupThreshold is the number of stored idempotency keys above which expired ones are removed.
const cleanupThreshold = 1 << 14

// Deduplicator remembers idempotency keys for the servers that share it, so that a request that is processed twice within a
// time window has one effect. The zero value is empty and ready to use. It is safe for concurrent use.
type Deduplicator struct {
	mu     sync.Mutex
	seenMs map[string]float64 // time in ms at which each key was seen last
}

// recordKey records that a key was seen at nowMs, and reports whether the key is new. A key is new if it was not seen within
// the windowMs before nowMs.
func (d *Deduplicator) recordKey(key string, nowMs, windowMs float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.seenMs == nil {
		d.seenMs = map[string]float64{}
	}
	lastMs, seen := d.seenMs[key]
	if len(d.seenMs) > cleanupThreshold {
		d.expire(nowMs - windowMs)
	}
	d.seenMs[key] = nowMs
	return !seen || nowMs-lastMs > windowMs
}

// expire removes keys that were last seen before the given time. The caller holds the lock.
func (d *Deduplicator) expire(beforeMs float64) {
	for key, lastMs := range d.seenMs {
		if lastMs < beforeMs {
			delete(d.seenMs, key)
		}
	}
}
