package platform

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"time"

	"lichenpick/internal/clock"
)

const readBufferBytes = 2048 // bytes of the read buffer of a connection; messages are short

// stream is a network connection with the bytes that wait to be written to it. It is guarded by the lock of the runtime.
type stream struct {
	net.Conn
	connection Connection
	unsent     []byte
	inFlight   int  // bytes that are being written
	writing    bool // a writer goroutine is running
	closing    bool // the connection is to be closed when everything is written
}

func (t *stream) unsentBytes() int { return len(t.unsent) + t.inFlight }

// read passes received data to the core until the connection ends. Data that arrives after the core has closed the
// connection is read and discarded: closing a socket with unread data resets the connection, and the peer may lose the last
// messages.
func (s *serverRuntime) read(t *stream) {
	buffer := make([]byte, readBufferBytes)
	var pace readPace
	for {
		count, err := t.Read(buffer)
		ok := s.withCore(func() { s.handleRead(t, buffer[:count], err) })
		if !ok { // the core panicked on the data
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
		if pauseMs := pace.pauseMs(count, s.nowMs()); pauseMs > 0 && clock.Sleep(context.Background(), s.Clock, pauseMs) != nil {
			return
		}
	}
}

// handleRead passes the result of one read to the core. The caller holds the lock.
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

// write writes all bytes that wait for a connection, and then closes it if that was requested.
func (s *serverRuntime) write(t *stream) {
	for {
		messages := s.nextWrite(t)
		if len(messages) == 0 {
			return
		}
		if _, err := t.Write(messages); err != nil {
			s.mu.Lock()
			t.writing = false
			s.drop(t) // the reader fails next and notifies the core
			s.mu.Unlock()
			return
		}
	}
}

// nextWrite returns the bytes that wait for a connection. If there are none, the writer must end.
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

// Send implements Host: it queues messages to be written to a connection. A connection with too many unwritten bytes is
// closed; if all connections together have too many, the connection with the most unwritten bytes is closed. The caller
// holds the lock.
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
	for s.unsentBytes > s.maxTotalUnsentBytes { // each connection may be within its own limit
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

// closeUnread closes a connection whose peer does not read what it is sent. The caller holds the lock.
func (s *serverRuntime) closeUnread(t *stream) {
	s.logClose(&t.connection, CloseUnreadByPeer, nil)
	s.core.Abort(&t.connection, CloseUnreadByPeer)
	s.drop(t)
}

// CloseConnection implements Host: it closes a connection when everything is written; until then the connection lingers.
// The caller holds the lock.
func (s *serverRuntime) CloseConnection(connection *Connection, reason CloseReason, cause error) {
	s.logClose(connection, reason, cause)
	t := s.streams[connection]
	if t == nil { // the stream is dropped already; in lingering, it would keep isFull from ending, as drop ignores it
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

// logClose logs that the planner closes a connection: on the level info if the connection has joined, up to a rate, as a single
// peer may cause any number of closes, and on the level debug otherwise.
func (s *serverRuntime) logClose(connection *Connection, reason CloseReason, cause error) {
	attributes := []any{keyReason, reason, keyJoined, !connection.Unjoined()}
	if cause != nil {
		attributes = append(attributes, keyError, cause)
	}
	level := slog.LevelDebug
	if !connection.Unjoined() && s.closeLogLimit.AllowN(time.UnixMilli(int64(s.nowMs())), 1) {
		level = slog.LevelInfo
	}
	s.Log.Log(context.Background(), level, "connection closed", attributes...)
}

// SetTimer implements Host: it sets the time of the next evaluation if there is no input. The caller holds the lock.
func (s *serverRuntime) SetTimer(atMs float64) { s.timerMs = atMs }

// drop closes a connection at once and discards the bytes that wait for it. The caller holds the lock.
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
