package proxy

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"sync"

	"google.golang.org/protobuf/proto"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/settings"
	"lichenpick/proto/order"
)

// shutdownReason is the reason stated to planners when the proxy shuts down.
const shutdownReason = "the proxy ends"

// runStream dials a planner and holds the stream until it ends. It says whether the planner welcomed the proxy, and why the
// stream ended: a *controlstream.CloseError if this package's end or the planner closed it.
func (c *ControlClient) runStream(ctx context.Context, planner string, streamNumber uint64) (joined bool, err error) {
	conn, err := c.dial(ctx, planner)
	if err != nil {
		return false, err
	}
	limits := controlstream.Limits{
		MaxFrameBytes:      int(c.Settings.GetFrameBytes()),
		HandshakeTimeoutMs: handshakeTimeoutMs,
		HeartbeatTimeoutMs: settings.Milliseconds(c.Settings.SilentAfter),
	}
	codec := controlstream.NewProxySession(limits, c.Clock.Monotonic())
	session := newSession(c)
	session.send(controlstream.FrameJoin, c.join(streamNumber))

	streamCtx, stopWriting := context.WithCancel(ctx)
	var writing sync.WaitGroup
	writing.Go(func() {
		defer closeConnection(conn)
		writer := &streamWriter{session: session, conn: conn, codec: codec}
		writer.run(streamCtx, ctx)
	})
	defer func() {
		stopWriting()
		closeConnection(conn)
		writing.Wait()
		c.removeSession(session)
	}()
	err = session.read(conn, codec)
	return session.joined && session.protocolErr == nil, err
}

// closeConnection closes a connection that is of no more use. An error has no consequence: nothing is written after it.
func closeConnection(conn net.Conn) { _ = conn.Close() }

// read delivers what a planner sends until the stream ends, and returns why.
func (s *session) read(conn net.Conn, codec *controlstream.ProxySession) error {
	timeSource := s.client.Clock
	buffer := make([]byte, readBufferBytes)
	for {
		remainingMs := codec.Deadline() - timeSource.Monotonic()
		_ = conn.SetReadDeadline(timeSource.Deadline(max(remainingMs, 1))) // fails on a closed connection, as Read then does
		size, err := conn.Read(buffer)
		codec.Feed(timeSource.Monotonic(), buffer[:size])
		if size > 0 {
			s.recordActivity()
		}
		for s.protocolErr == nil && codec.Next(s) {
		}
		switch {
		case s.protocolErr != nil:
			return s.protocolErr
		case codec.CloseCause() != nil:
			return codec.CloseCause()
		case err != nil && !isTimeout(err):
			return fmt.Errorf("reading from a planner: %w", err)
		}
	}
}

func isTimeout(err error) bool {
	var networkError net.Error
	return errors.As(err, &networkError) && networkError.Timeout()
}

// streamWriter is the only writer of a connection to a planner.
type streamWriter struct {
	session *session
	conn    net.Conn
	codec   *controlstream.ProxySession // only its Append is used, which shares nothing with the reader
	buffer  []byte
}

// run sends what is queued, and a load report or heartbeat in each interval, until streamCtx ends, a write fails or the
// outbox overflows. When the proxy's own context ended, it says so to the planner.
func (w *streamWriter) run(streamCtx, proxyCtx context.Context) {
	client := w.session.client
	intervalMs := settings.Milliseconds(client.Settings.ReportEvery)
	// The first report comes at a moment drawn by the process, as all proxies would otherwise report at once after a
	// planner's restart.
	random := rand.New(rand.NewSource(int64(client.incarnation)))
	nextReportMs := client.Clock.Monotonic() + intervalMs*random.Float64()
	for {
		reportDue, releaseTimer := client.Clock.NewTimer(nextReportMs - client.Clock.Monotonic())
		select {
		case <-streamCtx.Done():
			releaseTimer()
			if proxyCtx.Err() != nil {
				w.write(controlstream.FrameClose, &order.Bye{Reason: shutdownReason})
			}
			return
		case <-w.session.overflowed:
			releaseTimer()
			return
		case frame := <-w.session.outbox:
			releaseTimer()
			if !w.write(frame.kind, frame.body) {
				return
			}
		case <-reportDue:
			nextReportMs = client.Clock.Monotonic() + intervalMs
			if kind, body := w.session.report(); kind != 0 && !w.write(kind, body) {
				return
			}
		}
	}
}

// write sends one frame and says whether it went out. The caller ends the stream otherwise; the reader reports why.
func (w *streamWriter) write(kind controlstream.FrameKind, body proto.Message) bool {
	var err error
	w.buffer, err = w.codec.Append(w.buffer[:0], kind, body)
	if err != nil {
		return false
	}
	if err := w.conn.SetWriteDeadline(w.session.client.Clock.Deadline(writeTimeoutMs)); err != nil {
		return false
	}
	_, err = w.conn.Write(w.buffer)
	return err == nil
}

// report gives what is due to a planner now: load if it commands the proxy, else a heartbeat; kind 0 before it joined.
func (s *session) report() (controlstream.FrameKind, proto.Message) {
	client := s.client
	client.mu.Lock()
	defer client.mu.Unlock()
	if !s.joined {
		return 0, nil
	}
	nowMs := client.Clock.Monotonic()
	if client.Settings.Sharing {
		client.core.grantor.SetTime(nowMs)
		if !s.isHolder() {
			return controlstream.FrameHeartbeat, nil
		}
	}
	return controlstream.FrameLoadReport, client.core.TakeLoadReport(nowMs)
}
