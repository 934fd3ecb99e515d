package platform

import (
	"context"
	"log/slog"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"lichenpick/internal/clock"
)

// TestShutdown checks on loopback sockets what a planner still does for its connections when it is stopped at an
// unfavorable moment.
func TestShutdown(t *testing.T) {
	t.Run("a half written update is completed before the stream is closed", testShutdownHalfWritten)
	t.Run("an accepted connection that was not read is refused, and Run waits for its reader", testShutdownNotRead)
	t.Run("a peer that does not read cannot delay the shutdown", testShutdownUnreadByPeer)
	t.Run("Run returns without an error if it is stopped before it listens", func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		stop()
		path := filepath.Join(t.TempDir(), "config.json")
		writeConfig(t, path, configText("127.0.0.1:1", 64))
		err := Run(ctx, Options{
			Config:  parsedConfig(t, path),
			Clock:   clock.NewReal(),
			Network: clock.TCP{},
			Log:     slog.New(slog.DiscardHandler),
		})
		if err != nil {
			t.Error(err)
		}
	})
}

func testShutdownHalfWritten(t *testing.T) {
	discovery := newFakeDiscovery(t, listText(9, true, "s-1:ready"))
	half := make(chan bool)
	release := make(chan bool)
	limited := make(chan bool, 64)
	var once sync.Once
	planner := startPlannerWith(t, configText(discovery.address(), 64), func(o *Options) {
		o.Clock = extendedDeadlines()
		o.Network = hookedNetwork{accepted: func(c *hookedConn) {
			c.deadline = func() { limited <- true }
			c.write = func(b []byte) (n int, err error) {
				once.Do(func() {
					n, err = c.Conn.Write(b[:len(b)/2])
					close(half)
					<-release
				})
				if err != nil {
					return n, err
				}
				rest, err := c.Conn.Write(b[n:])
				return n + rest, err
			}
		}}
	})
	peer := planner.dial(joinText)
	<-half
	planner.stop()
	select {
	case err := <-planner.done:
		t.Errorf("Run ended with %v while an update was half written", err)
		planner.done <- err
	case <-limited:
	}
	close(release)
	text := peer.readAll()
	if !strings.Contains(text, "replace=1") || !strings.HasSuffix(text, lineEnd) {
		t.Errorf("no complete update: %q", text)
	}
}

func testShutdownNotRead(t *testing.T) {
	discovery := newFakeDiscovery(t, listText(9, true, "s-1:ready"))
	reading := make(chan bool)
	release := make(chan bool)
	planner := startPlannerWith(t, configText(discovery.address(), 64), func(o *Options) {
		o.Clock = extendedDeadlines()
		o.Network = hookedNetwork{accepted: func(c *hookedConn) {
			c.read = func([]byte) (int, error) {
				close(reading)
				<-release
				return 0, net.ErrClosed
			}
		}}
	})
	peer := planner.dial("ping\r\n")
	<-reading
	planner.stop()
	text := peer.readAll()
	if text != "refused\r\n" && text != "" { // closing a socket with the ping unread may reset it, and the refusal is lost
		t.Errorf("sent %q", text)
	}
	select {
	case err := <-planner.done:
		t.Errorf("Run ended with %v before its reader did", err)
		planner.done <- err
	case <-after(100): // time for a wrong result to appear
	}
	close(release)
}

func testShutdownUnreadByPeer(t *testing.T) {
	discovery := newFakeDiscovery(t, listText(9, true, "s-1:ready"))
	stuck := make(chan bool, 1)
	planner := startPlannerWith(t, configText(discovery.address(), 64), func(o *Options) {
		o.Network = hookedNetwork{accepted: func(c *hookedConn) {
			c.write = func([]byte) (int, error) { // like a socket whose buffer is full
				stuck <- true
				zeros := make([]byte, 1<<16)
				for {
					if _, err := c.Conn.Write(zeros); err != nil {
						return 0, err
					}
				}
			}
		}}
	})
	planner.dial(joinText)
	<-stuck
	planner.stop() // the cleanup of the test waits for the planner to end
}
