package platform

import (
	"errors"
	"strings"
	"sync/atomic"
	"testing"

	"lichenpick/internal/clock"
)

const (
	watchByteIntervalMs = 10  // ms between the bytes of a line that never ends
	maxWatchBytes       = 150 // bytes of a line that never ends after which the test fails
)

// TestDiscoveryFailures checks on loopback sockets that endpoint updates are neither lost nor delayed when discovery fails
// or moves at an unfavorable moment.
func TestDiscoveryFailures(t *testing.T) {
	t.Run("a watch that goes silent is repeated from the known version", testWatchGoesSilent)
	t.Run("a line that trickles in byte by byte times out", testWatchByteByByte)
	t.Run("a server missing in a complete list is ejected at the proxies", func(t *testing.T) {
		discovery := newFakeDiscovery(t, listText(20, true, "s-1:ready", "s-3:ready", "s-4:ready"))
		planner := startPlanner(t, discovery)
		<-discovery.watched
		peer := planner.dial(joinText)
		peer.await("replace=1")
		discovery.lines <- "rubbish\n"
		peer.await("drop=s-2")
	})
	t.Run("a complete list that is truncated or too long changes nothing", testFullListUnreadable)
	t.Run("discovery moves while the old address has sent half a line", testDiscoveryMoves)
	t.Run("a second SIGHUP during the retries of a configuration that is half written", testSecondHangup)
}

func fourServers() string {
	return listText(9, true, "s-1:ready", "s-2:ready", "s-3:ready", "s-4:ready")
}

func testWatchGoesSilent(t *testing.T) {
	discovery := newFakeDiscovery(t, fourServers())
	planner := startPlannerWith(t, configText(discovery.address(), 64), func(o *Options) {
		o.Clock = scaledClock{clock.NewReal(), 1, 0.05}
	})
	<-discovery.watched
	peer := planner.dial(joinText)
	peer.await("replace=1")
	for index, server := range []string{"s-2", "s-3"} {
		discovery.lines <- listText(10+index, false, server+":draining")
		peer.await(server)
		<-discovery.watched // a new watch, which is requested only because the last watch went silent
	}
	for _, query := range discovery.queries()[1:] {
		if query == "" {
			t.Errorf("the complete list was requested: %q", discovery.queries())
		}
	}
}

func testWatchByteByByte(t *testing.T) {
	discovery := newFakeDiscovery(t, fourServers())
	startPlannerWith(t, configText(discovery.address(), 64), func(o *Options) {
		o.Clock = scaledClock{clock.NewReal(), 20, 0.05} // idle timeout of 130 ms, response timeout of 250 ms
	})
	<-discovery.watched
	for range maxWatchBytes {
		select {
		case discovery.lines <- " ":
		case <-discovery.watched:
			return
		}
		<-after(watchByteIntervalMs)
	}
	t.Error("the line did not time out")
}

func testFullListUnreadable(t *testing.T) {
	text := listText(20, true, "s-1:ready")
	discovery := newFakeDiscovery(t, text[:len(text)/2])
	planner := startPlanner(t, discovery)
	<-discovery.watched
	peer := planner.dial(joinText)
	peer.await("replace=1")
	discovery.lines <- "rubbish\n"
	discovery.awaitQueries(4) // the planner retries
	asked := discovery.setFullList(text + strings.Repeat(" ", maxEndpointListBytes))
	discovery.awaitQueries(asked + 2)
	discovery.setFullList(listText(21, true, "s-1:ready", "s-2:ready", "s-3:ready", "s-4:draining"))
	<-discovery.watched
	line := ""
	for !strings.Contains(line, "drop=") {
		line = peer.readLine()
		peer.write("ping\r\n")
	}
	if !strings.Contains(line, "drop=s-4") || strings.Contains(line, "s-2") || strings.Contains(line, "s-3") {
		t.Errorf("sent %q", line)
	}
}

func testDiscoveryMoves(t *testing.T) {
	discovery := newFakeDiscovery(t, fourServers())
	next := newFakeDiscovery(t, fourServers())
	planner := startPlanner(t, discovery)
	<-discovery.watched
	peer := planner.dial(joinText)
	peer.await("replace=1")
	discovery.lines <- listText(12, false, "s-2:draining")
	peer.await("s-2")
	drain := listText(13, false, "s-3:draining")
	discovery.lines <- drain[:len(drain)/2]
	planner.configure(configText(next.address(), 64))
	planner.reload()
	<-next.watched
	if query := next.queries()[0]; query != "follow=1&since=12" {
		t.Errorf("queried %q", query)
	}
	next.lines <- drain
	peer.await("s-3")
}

func testSecondHangup(t *testing.T) {
	discovery := newFakeDiscovery(t, fourServers())
	next := newFakeDiscovery(t, fourServers())
	var reads atomic.Int64
	second := make(chan bool)
	planner := startPlannerWith(t, configText(discovery.address(), 64), func(o *Options) {
		read := o.Reload
		o.Reload = func() (Config, error) {
			count := reads.Add(1)
			if count == 2 {
				close(second)
			}
			if count < 3 {
				return Config{}, errors.New("half written")
			}
			return read()
		}
	})
	<-discovery.watched
	planner.reload()
	<-second
	planner.configure(configText(next.address(), 64))
	planner.reload()
	<-next.watched
}
