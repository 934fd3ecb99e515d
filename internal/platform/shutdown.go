package platform

import (
	"errors"
	"io"
	"net"
)

// flushTimeoutMs is how long, in ms, writing the last messages to a connection may take. The platform sends SIGKILL 700 ms
// after SIGTERM.
const flushTimeoutMs = 300.0

// shutdown closes each connection after its last messages are written, and waits for all readers and writers.
func (s *serverRuntime) shutdown() {
	s.withCore(func() { s.core.Close(s) })
	s.mu.Lock()
	for _, t := range s.streams {
		t.closing = true // if Core.Close panicked, closing may not be set yet
		if t.writing {
			s.setFlushDeadline(t)
		} else {
			s.drop(t)
		}
	}
	s.mu.Unlock()
	s.tasks.Wait()
}

// setFlushDeadline limits the time for writing the last messages to a connection, so that a peer that does not read cannot
// keep it open.
func (s *serverRuntime) setFlushDeadline(t *stream) {
	if err := t.SetWriteDeadline(s.Clock.Deadline(flushTimeoutMs)); err != nil {
		s.Log.Debug("write deadline failed", keyError, err) // the connection is closed already, and its writer ends
	}
}

// closeQuietly closes something that is no longer used; a failure is only logged.
func (s *serverRuntime) closeQuietly(closer io.Closer) {
	err := closer.Close()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		s.Log.Debug("closing failed", keyError, err)
	}
}
