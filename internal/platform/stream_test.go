package platform

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"lichenpick/internal/clock"
)

// TestStreamEnds checks on loopback sockets what happens to pending messages and to the proxy when a stream ends at an
// unfavorable moment.
func TestStreamEnds(t *testing.T) {
	t.Run("a stream that is replaced while an update to it is unsent does not delay the newer one", testStreamReplaced)
	t.Run("a stream that ends within a message discards it, and the proxy can rejoin", testStreamCutInsideMessage)
	t.Run("after a stream that ended within an update, the next one is sent the complete table", testStreamCutInsideUpdate)
	t.Run("a peer that has closed its sending side is sent its pong", testStreamHalfClosed)
	t.Run("a refused peer is sent the refusal, even if it keeps sending", testStreamRefused)
	t.Run("messages that arrive byte by byte, or several in one read", testStreamSingleBytes)
	t.Run("a proxy that is shed can rejoin, and its late acknowledgement does no harm", testStreamShed)
}

func testStreamReplaced(t *testing.T) {
	discovery := newFakeDiscovery(t, listText(9, true, "s-1:ready"))
	held := make(chan bool)
	release := make(chan bool)
	var first atomic.Bool
	planner := startPlannerWith(t, configText(discovery.address(), 64), func(o *Options) {
		o.Clock = extendedDeadlines()
		o.Network = hookedNetwork{accepted: func(c *hookedConn) {
			if !first.CompareAndSwap(false, true) {
				return
			}
			c.write = func(b []byte) (int, error) {
				close(held)
				<-release
				c.write = nil
				return c.Conn.Write(b)
			}
		}}
	})
	older := planner.dial(joinText)
	<-held
	newer := planner.dial(rejoinText)
	newer.await("replace=1")
	close(release)
	older.readAll()
	newer.write("ping\r\n")
	newer.await(wirePong)
}

func testStreamCutInsideMessage(t *testing.T) {
	discovery := newFakeDiscovery(t, listText(9, true, "s-1:ready"))
	planner := startPlanner(t, discovery)
	for _, end := range []func(*testPeer){
		(*testPeer).close,
		(*testPeer).reset,
		func(p *testPeer) {
			p.closeWrite()
			p.readAll()
		},
	} {
		older := planner.dial(joinText + "usage id=1 lane=lookup count=5")
		older.await("replace=1")
		end(older)
		newer := planner.dial(rejoinText)
		newer.await("replace=1")
		newer.write("usage id=1 lane=lookup count=5 fail=0 over=1000.0\r\nping\r\n")
		newer.await(wirePong)
		newer.close()
	}
}

func testStreamCutInsideUpdate(t *testing.T) {
	discovery := newFakeDiscovery(t, listText(9, true, "s-1:ready"))
	var once sync.Once
	planner := startPlannerWith(t, configText(discovery.address(), 64), func(o *Options) {
		o.Network = hookedNetwork{accepted: func(c *hookedConn) {
			c.write = func(b []byte) (n int, err error) {
				once.Do(func() {
					n, err = c.Conn.Write(b[:len(b)/2])
					if closeErr := c.Close(); err == nil && closeErr == nil {
						err = net.ErrClosed
					}
				})
				if err != nil {
					return n, err
				}
				return c.Conn.Write(b)
			}
		}}
	})
	planner.dial(joinText).readAll()
	line := planner.dial(joinText).readLine()
	if !strings.HasPrefix(line, wireUpdate+" ") || !strings.Contains(line, "replace=1") {
		t.Errorf("no update with a complete table: %q", line)
	}
}

func testStreamHalfClosed(t *testing.T) {
	discovery := newFakeDiscovery(t, listText(9, true, "s-1:ready"))
	ended := make(chan bool)
	planner := startPlannerWith(t, configText(discovery.address(), 64), func(o *Options) {
		o.Network = hookedNetwork{accepted: func(c *hookedConn) {
			c.read = func(b []byte) (int, error) { // one read returns both the ping and the end of the stream
				<-ended
				n, err := io.ReadFull(c.Conn, b[:len("ping\r\n")])
				if err == nil {
					err = io.EOF
				}
				return n, err
			}
		}}
	})
	peer := planner.dial("ping\r\n")
	peer.closeWrite()
	close(ended)
	if text := peer.readAll(); text != "pong\r\n" {
		t.Errorf("sent %q", text)
	}
}

func testStreamRefused(t *testing.T) {
	discovery := newFakeDiscovery(t, listText(9, true, "s-1:ready"))
	held := make(chan bool)
	release := make(chan bool)
	discarded := make(chan bool)
	planner := startPlannerWith(t, configText(discovery.address(), 64), func(o *Options) {
		o.Clock = extendedDeadlines()
		o.Network = hookedNetwork{accepted: func(c *hookedConn) {
			reads := 0
			c.read = func(b []byte) (int, error) {
				reads++
				if reads == 3 { // the planner has handled the second read, whose data came after the core closed the connection
					close(discarded)
				}
				return c.Conn.Read(b)
			}
			c.write = func(b []byte) (int, error) {
				close(held)
				<-release
				return c.Conn.Write(b)
			}
		}}
	})
	peer := planner.dial("ping\r\nGET / HTTP/1.1\r\n")
	<-held
	peer.write("Host: x\r\n")
	select {
	case <-discarded:
	case <-after(1000): // time for a wrong result to appear
	}
	close(release)
	if text := peer.readAll(); text != "pong\r\nrefused\r\n" {
		t.Errorf("sent %q", text)
	}
}

func testStreamSingleBytes(t *testing.T) {
	discovery := newFakeDiscovery(t, listText(9, true, "s-1:ready"))
	slow := startPlannerWith(t, configText(discovery.address(), 64), func(o *Options) {
		o.Network = hookedNetwork{accepted: func(c *hookedConn) {
			c.read = func(b []byte) (int, error) { return c.Conn.Read(b[:1]) }
		}}
	})
	slow.dial(joinText+"ping\r\n").awaitAll(wirePong, "replace=1")
	whole := startPlanner(t, discovery)
	loads := strings.TrimSuffix(strings.Repeat("inflight:7,", 100), ",")
	long := "heard site=a target=s-1 count=2 fail=1 mean=1 over=1000.0 util=" + loads + lineEnd
	whole.dial("collector site=a\r\n" + long + long + "ping\r\n").await(wirePong)
}

func testStreamShed(t *testing.T) {
	discovery := newFakeDiscovery(t, listText(9, true, "s-1:ready"))
	planner := startPlannerWith(t, configText(discovery.address(), 32), func(o *Options) { // the limit is 8 connections
		o.Clock = scaledClock{clock.NewReal(), 5, 1}
	})
	silent := planner.dial("joined id=0 site=a rps=10 new=1\r\n")
	silent.await(" stamp=")
	var others []*testPeer
	for id := 1; id < 8; id++ {
		peer := planner.dial(fmt.Sprintf("joined id=%d site=a rps=10 new=1\r\n", id))
		peer.await("replace=1")
		others = append(others, peer)
	}
	stop := make(chan bool)
	var talking sync.WaitGroup
	for index, peer := range others { // like the silent peer, these do not acknowledge updates, but they send reports
		talking.Go(func() { keepTalking(peer, index+1, stop) })
	}
	defer talking.Wait()
	defer close(stop)
	gone := make(chan bool)
	go func() {
		_, _ = io.Copy(io.Discard, silent.reader) // returns when the connection ends, by a close or a reset
		close(gone)
	}()
	connectUntil(t, planner.address, gone)
	back := planner.dial("joined id=0 site=a rps=10 new=0\r\napplied id=0 seq=1 ms=9000.0\r\n")
	back.await("replace=1")
	back.write("ping\r\n")
	back.await(wirePong)
}

// keepTalking makes a proxy send demand reports until stop is closed or the stream of the proxy ends.
func keepTalking(peer *testPeer, id int, stop <-chan bool) {
	for {
		select {
		case <-stop:
			return
		case <-after(20):
		}
		if _, err := io.WriteString(peer.Conn, demandMessage(id)+lineEnd); err != nil {
			return
		}
	}
}

// connectUntil opens one connection after another, and waits for the planner to close each, until a channel is closed.
func connectUntil(t *testing.T, address string, gone <-chan bool) {
	t.Helper()
	for {
		select {
		case <-gone:
			return
		default:
		}
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.SetDeadline(clock.NewReal().Deadline(peerTimeoutMs)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, conn); err != nil {
			t.Logf("connection reset: %v", err)
		}
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
	}
}

// blockedRuntime is a runtime with connections on loopback whose writes block until the test ends.
type blockedRuntime struct {
	*serverRuntime
	streams []*stream // in the order of connecting
}

func newBlockedRuntime(t *testing.T, memoryMB, count int) blockedRuntime {
	t.Helper()
	leaks := startLeakCheck(t)
	path := filepath.Join(t.TempDir(), "config.json")
	memory := fmt.Sprintf(`"memory_mb":%d`, memoryMB)
	writeConfig(t, path, strings.Replace(configText("127.0.0.1:1", 0), `"memory_mb":64`, memory, 1))
	r := blockedRuntime{serverRuntime: newRuntime(Options{
		Config:  parsedConfig(t, path),
		Clock:   clock.NewReal(),
		Network: clock.TCP{},
		Log:     slog.New(slog.DiscardHandler),
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	release := make(chan bool)
	var peers []net.Conn
	for range count {
		peers = append(peers, r.connect(t, listener, release))
	}
	t.Cleanup(func() {
		close(release)
		r.shutdown()
		for _, open := range peers {
			if err := open.Close(); err != nil {
				t.Error(err)
			}
		}
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
		leaks.finish()
	})
	return r
}

// connect adds a stream, and returns the peer's side of its connection.
func (r *blockedRuntime) connect(t *testing.T, listener net.Listener, release <-chan bool) net.Conn {
	t.Helper()
	peer, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	added := &stream{Conn: &hookedConn{Conn: conn, write: func(b []byte) (int, error) {
		<-release
		return conn.Write(b)
	}}}
	r.withCore(func() {
		r.serverRuntime.streams[&added.connection] = added
		r.core.HandleConnect(&added.connection)
	})
	r.tasks.Go(func() { r.read(added) })
	r.streams = append(r.streams, added)
	return peer
}

// isOpen reports whether the descriptor of a stream is open. The caller holds the lock.
func (r *blockedRuntime) isOpen(t *stream) bool { return r.serverRuntime.streams[&t.connection] != nil }

func TestUnsentBytesAreBounded(t *testing.T) {
	t.Run("unsent bytes of all peers have a common limit, and the peer with the most is closed first", func(t *testing.T) {
		r := newBlockedRuntime(t, 8, 64)
		r.withCore(func() { checkTotalUnsentLimit(t, &r) })
	})
	t.Run("a peer that stops reading is closed without affecting others", func(t *testing.T) {
		r := newBlockedRuntime(t, 64, 4)
		first := r.streams[0]
		r.withCore(func() {
			for range maxUnsentBytes/1000 + 2 {
				r.Send(&first.connection, make([]byte, 1000))
			}
			// The writer of the closed stream is still blocked. A second close must not add it to lingering, because drop
			// would ignore it and isFull would never end.
			r.CloseConnection(&first.connection, CloseShed, nil)
			if len(r.lingering) > 0 {
				t.Error("a dropped connection is in lingering")
			}
			if r.isOpen(first) || len(r.serverRuntime.streams) != 3 || r.unsentBytes != 0 {
				t.Errorf("%d streams are open, %d bytes wait", len(r.serverRuntime.streams), r.unsentBytes)
			}
		})
	})
	t.Run("lingering connections are limited", func(t *testing.T) {
		r := newBlockedRuntime(t, 64, 40)
		r.maxConnections = 24
		r.withCore(func() { checkLingering(t, &r) })
	})
}

// checkTotalUnsentLimit sends bytes to all streams, twice as many to the eighth as to each other stream, until some streams
// are closed. The caller holds the lock.
func checkTotalUnsentLimit(t *testing.T, r *blockedRuntime) {
	message := make([]byte, 1000)
	for range maxUnsentBytes / len(message) / 4 {
		for index, stream := range r.streams {
			r.Send(&stream.connection, message)
			if index == 7 {
				r.Send(&stream.connection, message)
			}
			if r.unsentBytes > r.maxTotalUnsentBytes {
				t.Fatalf("%d bytes wait, more than the limit of %d", r.unsentBytes, r.maxTotalUnsentBytes)
			}
		}
	}
	open := 0
	sum := 0
	for _, stream := range r.streams {
		if r.isOpen(stream) {
			open++
			sum += stream.unsentBytes()
		}
	}
	if r.isOpen(r.streams[7]) || open < 8 || open == len(r.streams) {
		t.Errorf("%d streams are open; is the one with the most unsent bytes: %t", open, r.isOpen(r.streams[7]))
	}
	if sum != r.unsentBytes {
		t.Errorf("%d bytes wait, but %d are counted", sum, r.unsentBytes)
	}
}

// checkLingering makes the core refuse most connections, and counts the connections that are still open. The caller holds
// the lock.
func checkLingering(t *testing.T, r *blockedRuntime) {
	for _, stream := range r.streams[:30] {
		r.core.HandleData(&stream.connection, []byte("GET / HTTP/1.1\r\n"))
	}
	sessions := &r.core.sessions
	for len(sessions.replies) > 0 {
		connection := sessions.replies[0]
		sessions.replies = sessions.replies[1:]
		r.core.sendReplies(r, connection)
	}
	open := len(r.serverRuntime.streams)
	if r.isFull() || len(r.lingering) != maxLingering || len(r.serverRuntime.streams) != 10+maxLingering {
		t.Errorf("%d streams before isFull, %d after it, %d linger", open, len(r.serverRuntime.streams), len(r.lingering))
	}
}
