package golden

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"hash"
)

const hashBytes = 12 // length of the prefix of the SHA-256 hash in each line of a digest

// Digest summarises a sequence of events as one line per interval of simulated time. The hash in a line covers all events from
// the start up to the end of the line's interval. The first line that differs between two digests therefore shows the interval
// in which the behaviour diverged.
type Digest struct {
	name       string
	intervalMs float64
	endMs      float64 // end of the current interval
	events     int     // number of events since the start of the digest
	hash       hash.Hash
	text       bytes.Buffer
}

// NewDigest returns an empty digest, which starts at a simulated time of 0 ms.
func NewDigest(name string, intervalMs float64) *Digest {
	return &Digest{name: name, intervalMs: intervalMs, endMs: intervalMs, hash: sha256.New()}
}

// Add adds an event at atMs, which must not be earlier than the time of the previous event.
func (d *Digest) Add(atMs float64, format string, args ...any) {
	d.closeIntervals(atMs)
	d.events++
	line := fmt.Appendf(nil, "%g ", atMs)
	line = fmt.Appendf(line, format, args...)
	d.hash.Write(append(line, '\n'))
}

// Finish ends the digest at atMs and returns the lines of the digest.
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
