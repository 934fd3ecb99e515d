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

// shutdownReason is the reason in the close frame that planners get when the proxy shuts down.
const shutdownReason = "the proxy ends"

// runStream dials a planner and runs the stream until it ends. joined reports whether the planner welcomed the proxy
// without a protocol violation. err is the reason why the stream ended: a *controlstream.CloseError if this end closed the
// stream or received a close frame.
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

// closeConnection closes a connection that is no longer used. An error has no consequence, as nothing is written any more.
func closeConnection(conn net.Conn) { _ = conn.Close() }

// read receives a planner's messages and passes them to the session until the stream ends. It returns the reason why the
// stream ended.
func (s *session) read(conn net.Conn, codec *controlstream.ProxySession) error {
	timeSource := s.client.Clock
	buffer := make([]byte, readBufferBytes)
	for {
		remainingMs := codec.Deadline() - timeSource.Monotonic()
		// The error is ignored: SetReadDeadline fails on a closed connection, and Read then fails too.
		_ = conn.SetReadDeadline(timeSource.Deadline(max(remainingMs, 1)))
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

// streamWriter writes to a connection to a planner. Nothing else writes to the connection.
type streamWriter struct {
	session *session
	conn    net.Conn
	codec   *controlstream.ProxySession // the writer calls only Append, which may run concurrently with the reader's calls
	buffer  []byte                      // holds the encoded frame; reused for each frame
}

// run sends the queued frames, and a load report or heartbeat in each report interval, until streamCtx ends, a write fails or
// the outbox overflows. If proxyCtx has ended too, because the proxy shuts down, run sends a close frame.
func (w *streamWriter) run(streamCtx, proxyCtx context.Context) {
	client := w.session.client
	intervalMs := settings.Milliseconds(client.Settings.ReportEvery)
	// The first report is sent at a random time within the report interval. Otherwise all proxies would report at the same
	// time after a planner's restart.
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

// write sends one frame and reports whether the write succeeded. After a failed write, the caller ends the stream, and
// session.read returns the reason.
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

// report returns the frame to send when a report is due: a load report if the planner commands the proxy, else a heartbeat.
// Before the planner has welcomed the proxy, it returns kind 0, which means that nothing is to be sent.
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
