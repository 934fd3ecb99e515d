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
	closeTimeoutMs = 200.0 // that the last frames of a stream may take
	outboxFrames   = 256   // frames that wait for one connection; a window's messages are far fewer
)

// outgoingFrame is a frame to be encoded and sent.
type outgoingFrame struct {
	kind    controlstream.FrameKind
	message proto.Message
}

// connection is a proxy's connection. Three goroutines serve it: a streamReader, a streamWriter and watch. Fields do not
// change once made, unless they say otherwise.
type connection struct {
	stream  *Stream // the core's; only its goroutine reads it
	conn    net.Conn
	outbox  chan outgoingFrame // from the core to the writer
	session *controlstream.PlannerSession

	closeOnce  sync.Once
	closed     chan struct{}             // closed by the first call of close
	closeCause *controlstream.CloseError // valid once closed is closed

	proxyName string          // empty until it joins; the reader's, and anybody's when it has ended
	coalesced coalescedReport // guarded by the lock of coalescedReports
}

// newConnection makes a connection and the core's stream of it.
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

// connectionOf returns the connection of a stream, which this package's server made.
func connectionOf(s *Stream) *connection { return s.Transport.(*connection) }

// close has the connection end for a reason; the first one counts. It may be called from any goroutine, and does not wait.
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

// serveConnection runs one connection to its end and tells the core of that.
func (s *server) serveConnection(ctx context.Context, conn net.Conn, from netip.Addr) {
	session := controlstream.NewPlannerSession(s.limits, s.Clock.Monotonic())
	c := newConnection(conn, from, session)
	reader := &streamReader{connection: c, loop: s.loop, reports: s.reports, clock: s.Clock}
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

// watch waits until the connection is to end, and then interrupts its reader. When the planner stops, the core's farewell
// comes first; the time limit guards against a core that no longer says it.
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
	// It fails only for a connection that is broken, which the reader notices by itself.
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
}

// closeLogLevel is Info for ends that are ordinary in a fleet, and Warn for those that an operator should investigate.
func closeLogLevel(reason controlstream.CloseReason) slog.Level {
	switch reason {
	case controlstream.ReasonPeerClosed, controlstream.ReasonConnectionLost, controlstream.ReasonShutdown:
		return slog.LevelInfo
	default:
		return slog.LevelWarn
	}
}
