package fake

import "sync"

// cleanupThreshold is the number of idempotency keys from which expired ones are looked for.
const cleanupThreshold = 1 << 14

// Deduplicator is what the servers of one scope share to recognize idempotency keys: a request that is processed twice within
// a window has one effect. The zero value has seen no key. Any goroutine may use it.
type Deduplicator struct {
	mu     sync.Mutex
	seenMs map[string]float64 // latest time by key
}

// recordKey reports whether a key was not seen within the window, and remembers it.
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

// expire forgets keys that were seen last before a time. The caller holds the lock.
func (d *Deduplicator) expire(beforeMs float64) {
	for key, lastMs := range d.seenMs {
		if lastMs < beforeMs {
			delete(d.seenMs, key)
		}
	}
}
