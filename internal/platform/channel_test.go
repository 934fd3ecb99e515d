package platform

import (
	"fmt"
	"strings"
	"testing"

	"lichenpick/internal/simulator"
	"lichenpick/policy"
)

// TestMassJoinFitsChannel starts a planner and makes all proxies join it, which hold tables and ejections of other planners.
// Each assignment then names each server twice, as an entry and as a server to readmit, and the policy must count both.
func TestMassJoinFitsChannel(t *testing.T) {
	const proxies = 150
	site := readTestSettings(t)
	site.Policy.Proxies = proxies
	h := newTestHost(t, site, 30)
	connections := make([]*Connection, proxies)
	for id := range connections {
		connection := &Connection{}
		h.HandleConnect(connection)
		h.HandleData(connection, fmt.Appendf(nil, "joined id=%d site=%s rps=2 new=0\r\n", id, zoneNames[id%2]))
		connections[id] = connection
	}
	for range 20 {
		h.advance(300)
		for id, connection := range connections {
			h.acknowledge(connection, id)
		}
	}
	for id, connection := range connections {
		if !strings.Contains(h.sent[connection], "replace=1") {
			t.Errorf("proxy %d has no table after 6 s", id)
		}
	}
	limit := 0.7 * site.Policy.MaxBacklog
	if h.Counts.MaxBacklog > limit || h.Counts.MaxBacklog < limit/4 {
		t.Errorf("backlog of %.0f entries; want at most %.0f and at least a quarter of that", h.Counts.MaxBacklog, limit)
	}
}

// TestStalledChannelIsNotOverfilled simulates a channel that delivers nothing and so holds every entry ever sent. The total
// of these entries must stay within the maximum backlog throughout the test. The policy must also count ejections for
// proxies without a table, readmissions for proxies whose tables no longer hold the server, and the end of inherited
// ejections when a server is added to a table.
func TestStalledChannelIsNotOverfilled(t *testing.T) {
	variants := map[string]func(*simulator.Settings){
		"small backlog": func(site *simulator.Settings) { site.Policy.MaxBacklog = 2000 },
		"large backlog": func(site *simulator.Settings) { site.Policy.MaxBacklog = 9000 },
		"no message limit": func(site *simulator.Settings) {
			site.Policy.MaxBacklog = 3000
			site.Policy.MaxMessages = 0
		},
	}
	for name, change := range variants {
		for _, newFlag := range []int{0, 1} {
			t.Run(fmt.Sprintf("%s, new=%d", name, newFlag), func(t *testing.T) {
				site := readTestSettings(t)
				site.Policy.Proxies = 60
				change(&site)
				h := newTestHost(t, site, 40)
				causeManyUpdates(h, newFlag)
				entries := float64(h.Counts.Entries) + site.Policy.MessageOverhead*float64(h.Counts.Updates)
				t.Logf("%.0f entries wait; the limit is %.0f", entries, site.Policy.MaxBacklog)
				if entries > site.Policy.MaxBacklog {
					t.Errorf("%.0f entries wait, more than the limit of %.0f", entries, site.Policy.MaxBacklog)
				}
			})
		}
	}
}

// causeManyUpdates simulates 10 s in which proxies join and servers drain, start and fail. That is less than the 12 s after
// which even a channel that is eight times slower than stated would have sent everything.
func causeManyUpdates(h *testHost, newFlag int) {
	collector := h.connect("collector site=a")
	drained := 0
	for round := range 50 {
		if round < 30 { // two proxies join every 200 ms
			for id := 2 * round; id < 2*round+2; id++ {
				h.connect(fmt.Sprintf("joined id=%d site=%s rps=10 new=%d", id, zoneNames[id%2], newFlag))
				h.advance(1) // the runtime pauses between evaluations, so no two evaluations happen at the same time
			}
		}
		if round%5 == 2 {
			for range 3 {
				replaceServer(h, drained)
				drained++
			}
		}
		if round%5 == 0 {
			reportFailures(h, collector, round%40 < 25)
		}
		h.advance(200)
	}
}

// replaceServer drains a server and adds a cold one.
func replaceServer(h *testHost, index int) {
	h.UpdateEndpoints(policy.DeltaUpdate, []policy.Endpoint{
		{Server: fmt.Sprintf("s-%d", index), Zone: index % 2, RelativeCapacity: 1, State: policy.Draining},
		{Server: fmt.Sprintf("n-%d", index), Zone: index % 2, RelativeCapacity: 1, StartedMs: h.nowMs},
	})
}

// reportFailures sends a load report on each server. If failing is set, every eighth server fails all requests.
func reportFailures(h *testHost, collector *Connection, failing bool) {
	for index := range 40 {
		failed := 0
		if failing && index%8 == 7 {
			failed = 20
		}
		h.receive(collector, fmt.Sprintf("heard site=a target=s-%d count=20 fail=%d mean=100 over=1000", index, failed))
		h.advance(1)
	}
}
