package planner

import (
	"io"
	"net"
	"net/netip"
	"slices"
	"testing"

	"lichenpick/internal/clock"
	"lichenpick/internal/controlstream"
	"lichenpick/proto/order"
)

// framesWrittenAtClose runs the writer of a connection that is closed for a reason with lease releases in its outbox. It
// returns the kinds of the frames that the peer receives.
func framesWrittenAtClose(t *testing.T, reason controlstream.CloseReason, releases int) []controlstream.FrameKind {
	t.Helper()
	peer, conn := net.Pipe()
	limits := controlstream.Limits{MaxFrameBytes: 1 << 16, HandshakeTimeoutMs: 60000, HeartbeatTimeoutMs: 60000}
	c := newConnection(conn, netip.MustParseAddr("127.1.0.9"), controlstream.NewPlannerSession(limits, 0))
	c.close(&controlstream.CloseError{Reason: reason})
	c.close(&controlstream.CloseError{Reason: controlstream.ReasonInternalError}) // no effect: close has been called before
	for number := range releases {
		c.outbox <- outgoingFrame{controlstream.FrameLeaseRelease, &order.Release{Epoch: uint64(number)}}
	}
	writer := &streamWriter{connection: c, clock: clock.NewReal(), timeoutMs: 5000, heartbeatMs: 60000}
	go writer.run() // the writer closes its end of the pipe when it returns, which ends ReadAll
	written, err := io.ReadAll(peer)
	if err != nil {
		t.Fatal(err)
	}
	decoder := controlstream.NewDecoder(limits.MaxFrameBytes)
	decoder.Feed(written)
	var kinds []controlstream.FrameKind
	for {
		frame, ok, err := decoder.Next()
		if err != nil {
			t.Fatal(err)
		}
		if !ok {
			return kinds
		}
		kinds = append(kinds, frame.Kind)
	}
}

func TestLastFrames(t *testing.T) {
	const releases = 20
	t.Run("a planner that stops sends the queued frames before its close frame", func(t *testing.T) {
		kinds := framesWrittenAtClose(t, controlstream.ReasonShutdown, releases)
		expected := append(slices.Repeat([]controlstream.FrameKind{controlstream.FrameLeaseRelease}, releases), controlstream.FrameClose)
		if !slices.Equal(kinds, expected) {
			t.Errorf("wrong kinds of frames sent: %v", kinds)
		}
	})
	t.Run("a stream that is closed for another reason ends with its close frame", func(t *testing.T) {
		kinds := framesWrittenAtClose(t, controlstream.ReasonSuperseded, 0)
		if !slices.Equal(kinds, []controlstream.FrameKind{controlstream.FrameClose}) {
			t.Errorf("kinds of frames sent: %v, expected one close frame", kinds)
		}
	})
	t.Run("a peer that does not read is sent nothing more", func(t *testing.T) {
		kinds := framesWrittenAtClose(t, controlstream.ReasonSlowReader, 0)
		if len(kinds) != 0 {
			t.Errorf("kinds of frames sent: %v, expected none", kinds)
		}
	})
}

func TestAdmission(t *testing.T) {
	t.Run("a connection from an allowed prefix is served", func(t *testing.T) {
		t.Parallel()
		server := startServer(t, parseTestSettings(t, `proxies: 4 allow: "127.1.0.0/16"`), nil, 4)
		server.joinAndAwaitTable("first", 1, 1)
		expectRejectedDials(t, server, 0)
	})
	t.Run("a connection from outside the allowed prefixes is rejected", func(t *testing.T) {
		t.Parallel()
		server := startServer(t, parseTestSettings(t, `proxies: 4 allow: "10.0.0.0/8"`), nil, 4)
		<-server.connect().done
		expectRejectedDials(t, server, 1)
	})
	t.Run("a connection beyond the configured maximum is rejected", func(t *testing.T) {
		t.Parallel()
		server := startServer(t, parseTestSettings(t, `proxies: 4 streams { most: 1 }`), nil, 4)
		first := server.joinAndAwaitTable("first", 1, 1)
		<-server.connect().done
		expectRejectedDials(t, server, 1)
		eventually(t, "the close frame at the first proxy", func() bool { return first.isClosedFor(controlstream.ReasonShutdown) })
	})
}

// expectRejectedDials stops a planner and checks how many connections it rejected.
func expectRejectedDials(t *testing.T, server *testServer, expected uint64) {
	t.Helper()
	last := server.stop()
	if last.RejectedDials != expected {
		t.Errorf("%d connections rejected, expected %d", last.RejectedDials, expected)
	}
}
