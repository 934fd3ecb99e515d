package golden

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"hash"
)

const hashBytes = 12 // of a digest's SHA-256 that are written down

// Digest sums up a sequence of events as one line for each interval of simulated time. A line's hash covers all events up
// to its end, so the first line that differs names the interval in which behaviour first diverged.
type Digest struct {
	name       string
	intervalMs float64
	endMs      float64 // of the interval that is open
	events     int     // since the start
	hash       hash.Hash
	text       bytes.Buffer
}

// NewDigest starts a digest of what happens from 0 ms on.
func NewDigest(name string, intervalMs float64) *Digest {
	return &Digest{name: name, intervalMs: intervalMs, endMs: intervalMs, hash: sha256.New()}
}

// Add takes in an event at a time, in ms, that is no earlier than that of the one before.
func (d *Digest) Add(atMs float64, format string, args ...any) {
	d.closeIntervals(atMs)
	d.events++
	line := fmt.Appendf(nil, "%g ", atMs)
	line = fmt.Appendf(line, format, args...)
	d.hash.Write(append(line, '\n'))
}

// Finish ends the digest at a time, in ms, and gives its lines.
func (d *Digest) Finish(atMs float64) []byte {
	d.closeIntervals(atMs)
	d.writeLine(atMs)
	return d.text.Bytes()
}

func (d *Digest) closeIntervals(atMs float64) {
	for atMs >= d.endMs {
		d.writeLine(d.endMs)
		d.endMs += d.intervalMs
	}
}

func (d *Digest) writeLine(endMs float64) {
	sum := d.hash.Sum(nil)
	fmt.Fprintf(&d.text, "%s until=%gs events=%d sha256=%x\n", d.name, endMs/1000, d.events, sum[:hashBytes])
}
