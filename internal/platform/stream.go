package platform

import (
	"errors"
	"io"
	"net"
)

const readBufferBytes = 2048 // bytes of a connection's buffer; messages are short

// stream is a connection with what waits to be written to it. Its fields are under the lock of the runtime.
type stream struct {
	net.Conn
	connection Connection
	unsent     []byte
	inFlight   int  // bytes that are being written
	writing    bool // a goroutine writes
	closing    bool // is closed when all is written
}

func (t *stream) unsentBytes() int { return len(t.unsent) + t.inFlight }

// read hands the core what comes until the connection ends. What comes after the core has closed it is read and discarded:
// closing with bytes unread resets a connection, which takes the last messages back.
func (s *serverRuntime) read(t *stream) {
	buffer := make([]byte, readBufferBytes)
	for {
		count, err := t.Read(buffer)
		ok := s.withCore(func() { s.handleRead(t, buffer[:count], err) })
		if !ok { // the bytes brought the core to a panic
			s.withCore(func() {
				s.drop(t)
				s.core.HandleDisconnect(&t.connection)
			})
			return
		}
		s.notifyWork()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			s.Log.Debug("reading ended", keyError, err)
			return
		}
	}
}

// handleRead hands the core the result of one read. The lock is held.
func (s *serverRuntime) handleRead(t *stream, data []byte, err error) {
	if len(data) > 0 {
		s.core.HandleData(&t.connection, data)
	}
	switch {
	case errors.Is(err, io.EOF):
		s.core.HandleHalfClose(&t.connection)
	case err != nil:
		s.core.HandleDisconnect(&t.connection)
		s.drop(t)
	}
}

// write writes all that waits for a connection, and then closes it where that was asked for.
func (s *serverRuntime) write(t *stream) {
	for {
		messages := s.nextWrite(t)
		if len(messages) == 0 {
			return
		}
		if _, err := t.Write(messages); err != nil {
			s.mu.Lock()
			t.writing = false
			s.drop(t) // the reader tells the core
			s.mu.Unlock()
			return
		}
	}
}

// nextWrite takes what waits for a connection. Where nothing does, the goroutine that writes must end.
func (s *serverRuntime) nextWrite(t *stream) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsentBytes -= t.inFlight
	messages := t.unsent
	t.unsent = nil
	t.inFlight = len(messages)
	if len(messages) == 0 {
		t.writing = false
		if t.closing {
			s.drop(t)
		}
	}
	return messages
}

// Send has messages written to a connection, as Host of the core. A peer that leaves too much unread is closed, and where
// all together leave too much, the one that leaves most. The lock is held.
func (s *serverRuntime) Send(connection *Connection, messages []byte) {
	t := s.streams[connection]
	if t == nil || t.closing {
		return
	}
	t.unsent = append(t.unsent, messages...)
	s.unsentBytes += len(messages)
	if t.unsentBytes() > maxUnsentBytes {
		s.closeUnread(t)
		return
	}
	for s.unsentBytes > s.maxTotalUnsentBytes { // each is within its own limit, but not all together
		s.closeUnread(s.mostUnsent())
	}
	if !t.closing && !t.writing {
		t.writing = true
		s.tasks.Go(func() { s.write(t) })
	}
}

func (s *serverRuntime) mostUnsent() *stream {
	var most *stream
	for _, t := range s.streams {
		if most == nil || t.unsentBytes() > most.unsentBytes() {
			most = t
		}
	}
	return most
}

// closeUnread closes a connection whose peer leaves unread what it is sent. The lock is held.
func (s *serverRuntime) closeUnread(t *stream) {
	s.logClose(&t.connection, CloseUnreadByPeer, nil)
	s.core.Abort(&t.connection, CloseUnreadByPeer)
	s.drop(t)
}

// CloseConnection closes a connection once all is written, as Host of the core; until then it lingers. The lock is held.
func (s *serverRuntime) CloseConnection(connection *Connection, reason CloseReason, cause error) {
	s.logClose(connection, reason, cause)
	t := s.streams[connection]
	if t == nil { // dropped already; it must not linger, as isFull waits for those that linger to be dropped
		return
	}
	t.closing = true
	if !t.writing {
		s.drop(t)
		return
	}
	s.lingering = append(s.lingering, t)
	s.setFlushDeadline(t)
}

func (s *serverRuntime) logClose(connection *Connection, reason CloseReason, cause error) {
	attributes := []any{keyReason, reason, keyJoined, !connection.Unjoined()}
	if cause != nil {
		attributes = append(attributes, keyError, cause)
	}
	s.Log.Debug("connection closed", attributes...)
}

// SetTimer sets when to evaluate next without an input, as Host of the core. The lock is held.
func (s *serverRuntime) SetTimer(atMs float64) { s.timerMs = atMs }

// drop closes a connection at once, whatever waits for it. The lock is held.
func (s *serverRuntime) drop(t *stream) {
	if s.streams[&t.connection] == nil {
		return
	}
	delete(s.streams, &t.connection)
	s.lingering = without(s.lingering, t)
	s.unsentBytes -= t.unsentBytes()
	t.unsent = nil
	t.inFlight = 0
	t.closing = true
	s.closeQuietly(t.Conn)
}
