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

// What a planner owes when it is asked to end, on loopback sockets, with the crossing forced.
func TestShutdown(t *testing.T) {
	t.Run("an update that is half written is written whole, then the stream ends", testShutdownHalfWritten)
	t.Run("a connection accepted and not read is refused and closed, and its reader is waited for", testShutdownNotRead)
	t.Run("a peer that reads nothing does not delay it", testShutdownUnreadByPeer)
	t.Run("before it listens, it ends without an error", func(t *testing.T) {
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
		t.Errorf("it ended with %v while an update was half written", err)
		planner.done <- err
	case <-limited:
	}
	close(release)
	text := peer.readAll()
	if !strings.Contains(text, "replace=1") || !strings.HasSuffix(text, lineEnd) {
		t.Errorf("half an update: %q", text)
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
	if text != "refused\r\n" && text != "" { // the unread ping may make a reset of the close
		t.Errorf("sent %q", text)
	}
	select {
	case err := <-planner.done:
		t.Errorf("it ended with %v before its reader did", err)
		planner.done <- err
	case <-after(100): // for a fault to show; nothing is waited for where there is none
	}
	close(release)
}

func testShutdownUnreadByPeer(t *testing.T) {
	discovery := newFakeDiscovery(t, listText(9, true, "s-1:ready"))
	stuck := make(chan bool, 1)
	planner := startPlannerWith(t, configText(discovery.address(), 64), func(o *Options) {
		o.Network = hookedNetwork{accepted: func(c *hookedConn) {
			c.write = func([]byte) (int, error) { // as a socket whose buffer is full
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
	planner.stop() // and the test's end waits for it
}
