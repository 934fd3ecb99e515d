package fake

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"lichenpick/internal/clock"
)

const (
	relayReadBytes  = 16 << 10 // largest size of one read, in bytes
	maxQueuedChunks = 64       // largest number of delayed chunks that one direction buffers
	unlimited       = -1       // value of relayedDirection.remainingBytes before a cut begins
)

// relayedLink is one connection that a relay forwards.
type relayedLink struct {
	relay     *Relay
	from      netip.Addr
	observer  Observer
	closeOnce sync.Once
}

// observeClosed notifies the observer that the connection has ended. Only the first call has an effect.
func (l *relayedLink) observeClosed() {
	l.closeOnce.Do(func() { l.observer.Closed(l.relay.Clock.Monotonic()) })
}

// relayedDirection is one direction of a connection: one goroutine reads chunks, and another writes each chunk at its due time.
type relayedDirection struct {
	link           *relayedLink
	in, out        net.Conn
	toTarget       bool
	chunks         chan relayedChunk
	written        chan struct{} // closed when the writing goroutine has ended
	remainingBytes int           // number of bytes that a cut still lets through; unlimited: no cut has begun
}

// relayedChunk is data that was read from one side and is to be written to the other side at dueMs.
type relayedChunk struct {
	dueMs float64
	data  []byte
}

// newDirection returns one direction of the connection. The direction copies data when its run method is called.
func (l *relayedLink) newDirection(in, out net.Conn, toTarget bool) *relayedDirection {
	return &relayedDirection{
		link:           l,
		in:             in,
		out:            out,
		toTarget:       toTarget,
		chunks:         make(chan relayedChunk, maxQueuedChunks),
		written:        make(chan struct{}),
		remainingBytes: unlimited,
	}
}

// run copies data until either side ends the connection, the connection is cut or the context ends.
func (d *relayedDirection) run(ctx context.Context) {
	var writer sync.WaitGroup
	writer.Go(func() {
		defer close(d.written)
		defer closeConnection(d.out)
		d.write(ctx)
	})
	d.read()
	close(d.chunks)
	writer.Wait()
}

// read reads chunks, passes them to the observer and queues them, until the connection or the writer ends.
func (d *relayedDirection) read() {
	relay := d.link.relay
	for {
		buffer := make([]byte, relayReadBytes)
		count, err := d.in.Read(buffer)
		if count > 0 {
			nowMs := relay.Clock.Monotonic()
			data := buffer[:count]
			d.observe(nowMs, data)
			fault, _ := relay.faultOf(d.link.from)
			select {
			case d.chunks <- relayedChunk{dueMs: nowMs + fault.DelayMs, data: data}:
			case <-d.written:
				return
			}
		}
		if err != nil {
			d.link.observeClosed()
			return
		}
	}
}

// observe passes data that was read to the observer.
func (d *relayedDirection) observe(nowMs float64, data []byte) {
	if d.toTarget {
		d.link.observer.ToTarget(nowMs, data)
	} else {
		d.link.observer.FromTarget(nowMs, data)
	}
}

// write writes each chunk when it is due, until all are written, the connection breaks or is cut, or the context ends.
func (d *relayedDirection) write(ctx context.Context) {
	relay := d.link.relay
	for chunk := range d.chunks {
		waitMs := chunk.dueMs - relay.Clock.Monotonic()
		if waitMs > 0 && clock.Sleep(ctx, relay.Clock, waitMs) != nil {
			return
		}
		data := chunk.data
		if !d.toTarget {
			fault, err := d.waitWhileStalled(ctx)
			if err != nil {
				return
			}
			data = d.limit(data, fault)
		}
		if len(data) > 0 && !d.writeData(data) {
			return
		}
		if d.remainingBytes == 0 {
			return
		}
	}
}

// waitWhileStalled waits until the connection is not stalled, and returns the connection's current fault.
func (d *relayedDirection) waitWhileStalled(ctx context.Context) (LinkFault, error) {
	relay := d.link.relay
	fault, changed := relay.faultOf(d.link.from)
	for fault.Stall {
		select {
		case <-changed:
		case <-ctx.Done():
			return fault, ctx.Err()
		}
		fault, changed = relay.faultOf(d.link.from)
	}
	return fault, nil
}

// limit returns the leading part of data that is still delivered under the given fault: all of data unless there is a cut.
func (d *relayedDirection) limit(data []byte, fault LinkFault) []byte {
	if !fault.Cut {
		return data
	}
	if d.remainingBytes == unlimited {
		d.remainingBytes = fault.CutAfterBytes
	}
	data = data[:min(len(data), d.remainingBytes)]
	d.remainingBytes -= len(data)
	return data
}

// writeData writes data, and returns false if the connection is broken.
func (d *relayedDirection) writeData(data []byte) bool {
	if _, err := d.out.Write(data); err != nil {
		return false
	}
	if !d.toTarget {
		d.link.observer.Delivered(d.link.relay.Clock.Monotonic(), len(data))
	}
	return true
}

// noObserver is an Observer that ignores all notifications.
type noObserver struct{}

func (noObserver) ToTarget(float64, []byte)   {}
func (noObserver) FromTarget(float64, []byte) {}
func (noObserver) Delivered(float64, int)     {}
func (noObserver) Closed(float64)             {}
