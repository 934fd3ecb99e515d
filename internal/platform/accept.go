package platform

import (
	"context"
	"errors"
	"net"

	"lichenpick/internal/clock"
)

const acceptBackoffMs = 5.0 // pause in ms after a failed accept

// accept serves incoming connections until the context ends. The caller must close the listener when the context ends.
func (s *serverRuntime) accept(ctx context.Context, listener net.Listener) {
	for ctx.Err() == nil {
		conn, err := listener.Accept()
		if err != nil {
			s.handleAcceptError(ctx, err)
			continue
		}
		s.addConnection(conn)
	}
}

// handleAcceptError sheds a connection, because the process may have run out of file descriptors. It then waits before the
// next accept.
func (s *serverRuntime) handleAcceptError(ctx context.Context, err error) {
	if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
		s.Log.Warn("accepting failed", keyError, err)
		s.withCore(func() { s.core.ShedConnection(s) })
	}
	if clock.Sleep(ctx, s.Clock, acceptBackoffMs) != nil {
		return // the context has ended, and accept returns
	}
}

// addConnection registers a connection and starts its reader. At the connection limit it sheds a connection first; if none
// can be shed, it closes the new one.
func (s *serverRuntime) addConnection(conn net.Conn) {
	t := &stream{Conn: conn}
	admitted := false
	s.withCore(func() {
		for s.isFull() {
			if !s.core.ShedConnection(s) {
				return
			}
		}
		admitted = true
		s.streams[&t.connection] = t
		s.core.HandleConnect(&t.connection)
	})
	if !admitted {
		s.closeQuietly(conn)
		return
	}
	s.tasks.Go(func() { s.read(t) })
}

// isFull reports whether the connection limit is reached. Closed connections that still have messages to write do not count.
// If there are more than maxLingering of these, isFull drops the oldest. The caller holds the lock.
func (s *serverRuntime) isFull() bool {
	for len(s.lingering) > maxLingering {
		s.drop(s.lingering[0])
	}
	return len(s.streams)-len(s.lingering) >= s.maxConnections
}
