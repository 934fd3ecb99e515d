package planner

import (
	"context"
	"errors"
	"net"

	"lichenpick/internal/clock"
	"lichenpick/internal/controlstream"
	"lichenpick/proto/order"
)

// readBufferBytes is the size of each connection's buffer; most frames are far smaller.
const readBufferBytes = 4 << 10

// streamReader decodes what a proxy sends and passes it to the core. It is owned by the goroutine in run.
type streamReader struct {
	*connection
	loop    *eventLoop
	reports *coalescedReports
	clock   clock.Clock
	pending input // of the last frame, to be submitted; nil: none
}

var _ controlstream.PlannerHost = (*streamReader)(nil)

// run reads until the connection is closed, by itself or by others.
func (r *streamReader) run(ctx context.Context) {
	buffer := make([]byte, readBufferBytes)
	for r.armDeadline() {
		count, err := r.conn.Read(buffer)
		r.session.Feed(r.clock.Monotonic(), buffer[:count])
		submitted := r.submitFrames(ctx)
		r.closeIfEnded(submitted, err)
		if count > 0 {
			r.loop.submit(ctx, func(core *Core) { core.HandleHeartbeat(r.stream) })
		}
	}
}

// armDeadline lets the next read wait until the stream must say something, and reports whether the connection is still open.
// The check comes after the deadline is set: close would otherwise find its interruption overwritten.
func (r *streamReader) armDeadline() bool {
	inMs := max(r.session.Deadline()-r.clock.Monotonic(), 1)
	// It fails only for a broken connection; the read then fails too.
	_ = r.conn.SetReadDeadline(r.clock.Deadline(inMs))
	return !r.isClosed()
}

// submitFrames passes all whole frames on, and reports whether the core took them.
func (r *streamReader) submitFrames(ctx context.Context) bool {
	for r.session.Next(r) {
		if !r.submitPending(ctx) {
			return false
		}
	}
	return r.submitPending(ctx)
}

// submitPending passes the last frame to the core, if it is for the core.
func (r *streamReader) submitPending(ctx context.Context) bool {
	if r.pending == nil {
		return true
	}
	in := r.pending
	r.pending = nil
	return r.loop.submit(ctx, in)
}

// closeIfEnded closes the connection if the session ended, the planner stops, or the read failed. A timeout alone is no
// reason: the session has judged it, or the connection is closed already.
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

// OnJoin passes a join on.
func (r *streamReader) OnJoin(m *order.Join) {
	r.proxyName = m.Proxy
	r.pending = func(core *Core) { core.HandleJoin(r.stream, m) }
}

// OnLoadReport adds a report to those that wait; it does not go through the backlog of inputs, which one proxy could fill.
func (r *streamReader) OnLoadReport(m *order.Sums) {
	r.reports.add(r.connection, m, r.clock.Monotonic())
}

// OnLease passes the proxy's statement of who commands it on.
func (r *streamReader) OnLease(m *order.Lease) {
	r.pending = func(core *Core) { core.HandleLease(r.stream, m) }
}

// OnAck passes an acknowledgement on.
func (r *streamReader) OnAck(m *order.Applied) {
	r.pending = func(core *Core) { core.HandleAck(r.stream, m) }
}
