package planner

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/controlstream"
)

// Limits of one connection.
const (
	closeTimeoutMs = 200.0 // limit on the core's time to close a stream at shutdown, and on the time to write the close frame
	outboxFrames   = 256   // frames that may wait for the writer; the message window allows far fewer order messages
)

// outgoingFrame is a frame that the writer has yet to encode and send.
type outgoingFrame struct {
	kind    controlstream.FrameKind
	message proto.Message
}

// connection is a proxy's connection. Three goroutines serve it: a streamReader, a streamWriter and server.watch. Fields are
// constant after newConnection, unless noted otherwise.
type connection struct {
	stream  *Stream // owned by the core's goroutine
	conn    net.Conn
	outbox  chan outgoingFrame // frames from the core to the writer
	session *controlstream.PlannerSession

	closeOnce  sync.Once
	closed     chan struct{}             // closed by the first call of close
	closeCause *controlstream.CloseError // why the connection is closed; valid after closed is closed

	proxyName string          // empty until the proxy joins; owned by the reader; others may read it after the reader has ended
	coalesced coalescedReport // load report that waits for the core; guarded by coalescedReports.mu
}

// newConnection returns a connection with a new Stream for the core.
func newConnection(conn net.Conn, from netip.Addr, session *controlstream.PlannerSession) *connection {
	c := &connection{
		stream:  &Stream{Address: from},
		conn:    conn,
		outbox:  make(chan outgoingFrame, outboxFrames),
		session: session,
		closed:  make(chan struct{}),
	}
	c.stream.Transport = c
	return c
}

// connectionOf returns the connection of a stream that newConnection created.
func connectionOf(s *Stream) *connection { return s.Transport.(*connection) }

// close starts closing the connection for a cause. Only the first call has an effect. Any goroutine may call close, which
// does not wait for the connection to end.
func (c *connection) close(cause *controlstream.CloseError) {
	c.closeOnce.Do(func() {
		c.closeCause = cause
		close(c.closed)
	})
}

// isClosed reports whether close has been called.
func (c *connection) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// serveConnection serves one connection until the connection has ended, and then notifies the core.
func (s *server) serveConnection(ctx context.Context, conn net.Conn, from netip.Addr) {
	session := controlstream.NewPlannerSession(s.limits, s.Clock.Monotonic())
	c := newConnection(conn, from, session)
	reader := &streamReader{
		connection: c,
		loop:       s.loop,
		reports:    s.reports,
		clock:      s.Clock,
		partial:    partialFrame{frames: &s.partial},
	}
	writer := newStreamWriter(c, s)
	var goroutines sync.WaitGroup
	goroutines.Go(func() { reader.run(ctx) })
	goroutines.Go(writer.run)
	goroutines.Go(func() { s.watch(ctx, c) })
	goroutines.Wait()
	closeQuietly(conn)
	s.loop.submit(ctx, func(core *Core) { core.HandleDisconnect(c.stream, c.closeCause) })
	s.Log.LogAttrs(ctx, closeLogLevel(c.closeCause.Reason), "stream closed",
		slog.String(logKeyProxy, c.proxyName),
		slog.Any(logKeyFrom, from),
		slog.String(logKeyReason, string(c.closeCause.Reason)),
		slog.String(logKeyDetail, c.closeCause.Detail))
}

// watch waits until the connection is being closed, and then interrupts the connection's reader. When the planner stops,
// watch waits for the core to close the connection, and after closeTimeoutMs closes the connection itself, because the core
// may have panicked.
func (s *server) watch(ctx context.Context, c *connection) {
	select {
	case <-c.closed:
	case <-ctx.Done():
		expired, stop := s.Clock.NewTimer(closeTimeoutMs)
		defer stop()
		select {
		case <-c.closed:
		case <-expired:
			c.close(&controlstream.CloseError{Reason: controlstream.ReasonShutdown})
		}
	}
	// SetReadDeadline fails only for a broken connection, which the reader notices by itself.
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
}

// closeLogLevel returns Info for close reasons that are normal in operation, and Warn for those that an operator should
// investigate.
func closeLogLevel(reason controlstream.CloseReason) slog.Level {
	switch reason {
	case controlstream.ReasonPeerClosed, controlstream.ReasonConnectionLost, controlstream.ReasonShutdown:
		return slog.LevelInfo
	default:
		return slog.LevelWarn
	}
}
