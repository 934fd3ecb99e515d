package platform

import (
	"context"
	"errors"
	"net"

	"lichenpick/internal/clock"
)

const acceptBackoffMs = 5.0 // ms of backoff after a failed accept

// accept takes in connections until the context ends and the listener is closed.
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

// handleAcceptError sheds a connection, as the process may have run out of descriptors, and waits before the next attempt.
func (s *serverRuntime) handleAcceptError(ctx context.Context, err error) {
	if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
		s.Log.Warn("accepting failed", keyError, err)
		s.withCore(func() { s.core.ShedConnection(s) })
	}
	if clock.Sleep(ctx, s.Clock, acceptBackoffMs) != nil {
		return // accept ends with the context
	}
}

// addConnection serves a connection. Where there are too many and none can be shed, it closes it.
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

// isFull says whether one more connection would be too many. Those that linger over their last messages are not counted;
// where there are more than maxLingering, the oldest of them are dropped. The lock is held.
func (s *serverRuntime) isFull() bool {
	for len(s.lingering) > maxLingering {
		s.drop(s.lingering[0])
	}
	return len(s.streams)-len(s.lingering) >= s.maxConnections
}
