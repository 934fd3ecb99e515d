package planner

import (
	"context"
	"errors"
	"net"

	"lichenpick/internal/clock"
	"lichenpick/internal/controlstream"
	"lichenpick/proto/order"
)

// readBufferBytes is the size of each connection's read buffer. Most frames are far smaller.
const readBufferBytes = 4 << 10

// streamReader decodes the frames that a proxy sends and submits them to the core. The goroutine in run owns the
// streamReader.
type streamReader struct {
	*connection
	loop    *eventLoop
	reports *coalescedReports
	clock   clock.Clock
	pending input // input from the last frame, until it is submitted to the core; nil: none
	partial partialFrame
}

var _ controlstream.PlannerHost = (*streamReader)(nil)

// run reads frames until the connection is closed, by this or another goroutine.
func (r *streamReader) run(ctx context.Context) {
	defer r.partial.release()
	buffer := make([]byte, readBufferBytes)
	for r.armDeadline() {
		count, err := r.conn.Read(buffer)
		r.session.Feed(r.clock.Monotonic(), buffer[:count])
		submitted := r.submitFrames(ctx)
		r.closeIfEnded(submitted, err)
		if cause := r.partial.update(r.session.Buffered()); cause != nil {
			r.close(cause)
		}
		if count > 0 {
			r.loop.submit(ctx, func(core *Core) { core.HandleHeartbeat(r.stream) })
		}
	}
}

// armDeadline sets the deadline of the next read to the session's deadline, and reports whether the connection is still
// open. It checks whether the connection is open only after setting the deadline, because the new deadline may overwrite the
// deadline by which watch interrupts the reader.
func (r *streamReader) armDeadline() bool {
	inMs := max(r.session.Deadline()-r.clock.Monotonic(), 1)
	// SetReadDeadline fails only for a broken connection; the read then fails too.
	_ = r.conn.SetReadDeadline(r.clock.Deadline(inMs))
	return !r.isClosed()
}

// submitFrames submits to the core all complete frames that were received. It returns false if the planner stops first.
func (r *streamReader) submitFrames(ctx context.Context) bool {
	for r.session.Next(r) {
		if !r.submitPending(ctx) {
			return false
		}
	}
	return r.submitPending(ctx)
}

// submitPending submits the pending input to the core, if there is one. It returns false if the planner stops first.
func (r *streamReader) submitPending(ctx context.Context) bool {
	if r.pending == nil {
		return true
	}
	in := r.pending
	r.pending = nil
	return r.loop.submit(ctx, in)
}

// closeIfEnded closes the connection if the session has ended, the planner stops, or the read failed. A timed-out read
// alone is no failure: the session checks for timeouts itself, and watch interrupts reads only after the connection is
// closed.
func (r *streamReader) closeIfEnded(submitted bool, readError error) {
	var networkError net.Error
	switch {
	case r.session.CloseCause() != nil:
		r.close(r.session.CloseCause())
	case !submitted:
		r.close(&controlstream.CloseError{Reason: controlstream.ReasonShutdown})
	case readError == nil:
	case errors.As(readError, &networkError) && networkError.Timeout():
	default:
		r.close(&controlstream.CloseError{Reason: controlstream.ReasonConnectionLost, Detail: readError.Error()})
	}
}

// OnJoin stores a join as the pending input, which submitPending submits to the core.
func (r *streamReader) OnJoin(m *order.Join) {
	r.proxyName = m.Proxy
	r.pending = func(core *Core) { core.HandleJoin(r.stream, m) }
}

// OnLoadReport adds a load report to the coalesced reports, which wait for the core. Load reports bypass the input queue,
// because the reports of one proxy could fill the queue.
func (r *streamReader) OnLoadReport(m *order.Sums) {
	r.reports.add(r.connection, m, r.clock.Monotonic())
}

// OnLease stores the lease state from the proxy as the pending input, which submitPending submits to the core.
func (r *streamReader) OnLease(m *order.Lease) {
	r.pending = func(core *Core) { core.HandleLease(r.stream, m) }
}

// OnAck stores an acknowledgement as the pending input, which submitPending submits to the core.
func (r *streamReader) OnAck(m *order.Applied) {
	r.pending = func(core *Core) { core.HandleAck(r.stream, m) }
}
