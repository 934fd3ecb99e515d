package fake

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"lichenpick/internal/clock"
)

const (
	relayReadBytes  = 16 << 10 // read at once
	maxQueuedChunks = 64       // of a direction, on their way with a delay
	unlimited       = -1       // bytes that may still pass where no cut has begun
)

// relayedLink is one connection that passes a relay.
type relayedLink struct {
	relay    *Relay
	from     netip.Addr
	observer Observer
	closed   sync.Once
}

// observeClosed tells the observer once that the connection ended.
func (l *relayedLink) observeClosed() {
	l.closed.Do(func() { l.observer.Closed(l.relay.Clock.Monotonic()) })
}

// relayedDirection is one direction of a connection: one goroutine reads chunks, another writes them when they are due.
type relayedDirection struct {
	link      *relayedLink
	in, out   net.Conn
	toTarget  bool
	chunks    chan relayedChunk
	written   chan struct{} // closed when nothing more is written
	remaining int           // bytes that may still pass; unlimited: no cut has begun
}

// relayedChunk is data on its way.
type relayedChunk struct {
	dueMs float64
	data  []byte
}

// newDirection returns a direction that does not pass anything yet.
func (l *relayedLink) newDirection(in, out net.Conn, toTarget bool) *relayedDirection {
	return &relayedDirection{
		link:      l,
		in:        in,
		out:       out,
		toTarget:  toTarget,
		chunks:    make(chan relayedChunk, maxQueuedChunks),
		written:   make(chan struct{}),
		remaining: unlimited,
	}
}

// run passes data until a side ends the connection, it is cut or the context ends.
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

// read has chunks observed and queues them, until the connection ends or nothing more is written.
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

// observe tells the observer what was read.
func (d *relayedDirection) observe(nowMs float64, data []byte) {
	if d.toTarget {
		d.link.observer.ToTarget(nowMs, data)
	} else {
		d.link.observer.FromTarget(nowMs, data)
	}
}

// write writes chunks when they are due, until all are written, the connection breaks or is cut, or the context ends.
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
		if d.remaining == 0 {
			return
		}
	}
}

// waitWhileStalled returns what is wrong with the connection once that is no stall.
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

// limit returns the part of some data that still passes where the connection is cut.
func (d *relayedDirection) limit(data []byte, fault LinkFault) []byte {
	if !fault.Cut {
		return data
	}
	if d.remaining == unlimited {
		d.remaining = fault.CutAfterBytes
	}
	data = data[:min(len(data), d.remaining)]
	d.remaining -= len(data)
	return data
}

// writeData writes data, and reports whether the connection still stands.
func (d *relayedDirection) writeData(data []byte) bool {
	if _, err := d.out.Write(data); err != nil {
		return false
	}
	if !d.toTarget {
		d.link.observer.Delivered(d.link.relay.Clock.Monotonic(), len(data))
	}
	return true
}

// noObserver observes nothing.
type noObserver struct{}

func (noObserver) ToTarget(float64, []byte)   {}
func (noObserver) FromTarget(float64, []byte) {}
func (noObserver) Delivered(float64, int)     {}
func (noObserver) Closed(float64)             {}
