package platform

import (
	"errors"
	"io"
	"net"
)

// flushTimeoutMs is the time in ms that the last messages to a connection may take. SIGKILL follows SIGTERM after 700 ms.
const flushTimeoutMs = 300.0

// shutdown sends each connection what it is owed, closes it, and waits for all readers and writers.
func (s *serverRuntime) shutdown() {
	s.withCore(func() { s.core.Close(s) })
	s.mu.Lock()
	for _, t := range s.streams {
		t.closing = true // a panic may have kept the core from it
		if t.writing {
			s.setFlushDeadline(t)
		} else {
			s.drop(t)
		}
	}
	s.mu.Unlock()
	s.tasks.Wait()
}

// setFlushDeadline limits the time of the last messages to a connection, so that a peer that reads nothing does not keep it open.
func (s *serverRuntime) setFlushDeadline(t *stream) {
	if err := t.SetWriteDeadline(s.Clock.Deadline(flushTimeoutMs)); err != nil {
		s.Log.Debug("write deadline failed", keyError, err) // it is closed already, and its writer ends
	}
}

// closeQuietly closes what is not used any more; a failure is only logged.
func (s *serverRuntime) closeQuietly(closer io.Closer) {
	err := closer.Close()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		s.Log.Debug("closing failed", keyError, err)
	}
}
