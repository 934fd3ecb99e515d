package golden

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"hash"
)

const hashBytes = 12 // leading bytes of the SHA-256 that a line shows

// Digest summarises a sequence of events as one line per interval of simulated time. The hash of a line covers all events from
// the start up to the end of its interval, so the first line that differs shows the interval in which behaviour diverged.
type Digest struct {
	name       string
	intervalMs float64
	endMs      float64 // end of the current interval
	events     int     // number of events since the start
	hash       hash.Hash
	text       bytes.Buffer
}

// NewDigest starts a digest at a time of 0 ms.
func NewDigest(name string, intervalMs float64) *Digest {
	return &Digest{name: name, intervalMs: intervalMs, endMs: intervalMs, hash: sha256.New()}
}

// Add adds an event at a time in ms, which must not be earlier than the previous event's.
func (d *Digest) Add(atMs float64, format string, args ...any) {
	d.closeIntervals(atMs)
	d.events++
	line := fmt.Appendf(nil, "%g ", atMs)
	line = fmt.Appendf(line, format, args...)
	d.hash.Write(append(line, '\n'))
}

// Finish ends the digest at a time in ms, and returns its lines.
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
