package platform

import (
	"errors"
	"strings"
	"sync/atomic"
	"testing"

	"lichenpick/internal/clock"
)

const (
	watchByteIntervalMs = 10  // ms between bytes of a line that never ends
	maxWatchBytes       = 150 // of such a line, at most
)

// What is owed when discovery ends or moves, on loopback sockets, with the crossing forced.
func TestDiscoveryFailures(t *testing.T) {
	t.Run("a watch that falls silent late is asked anew from the known version", testWatchGoesSilent)
	t.Run("a line that comes byte by byte without end is no sign of life", testWatchByteByByte)
	t.Run("a complete list without the draining server removes it for all", func(t *testing.T) {
		discovery := newFakeDiscovery(t, listText(20, true, "s-1:ready", "s-3:ready", "s-4:ready"))
		planner := startPlanner(t, discovery)
		<-discovery.watched
		peer := planner.dial(joinText)
		peer.await("replace=1")
		discovery.lines <- "rubbish\n"
		peer.await("drop=s-2")
	})
	t.Run("a complete list that ends early or is too long changes nothing", testFullListUnreadable)
	t.Run("discovery moves while the old address is half way through a drain", testDiscoveryMoves)
	t.Run("a second signal while a configuration is read again, and the third attempt finds it whole", testSecondHangup)
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
		<-discovery.watched // for silence alone
	}
	for _, query := range discovery.queries()[1:] {
		if query == "" {
			t.Errorf("the complete list was asked for: %q", discovery.queries())
		}
	}
}

func testWatchByteByByte(t *testing.T) {
	discovery := newFakeDiscovery(t, fourServers())
	startPlannerWith(t, configText(discovery.address(), 64), func(o *Options) {
		o.Clock = scaledClock{clock.NewReal(), 20, 0.05} // 130 ms of silence, 250 a line
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
	t.Error("the line was waited for all the while")
}

func testFullListUnreadable(t *testing.T) {
	text := listText(20, true, "s-1:ready")
	discovery := newFakeDiscovery(t, text[:len(text)/2])
	planner := startPlanner(t, discovery)
	<-discovery.watched
	peer := planner.dial(joinText)
	peer.await("replace=1")
	discovery.lines <- "rubbish\n"
	discovery.awaitQueries(4) // it asks again and again
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
		t.Errorf("asked for %q", query)
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
