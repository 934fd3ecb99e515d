package platform

import (
	"fmt"
	"strings"
	"testing"

	"lichenpick/internal/simulator"
	"lichenpick/policy"
)

// A planner that starts anew meets all proxies at once, with tables and ejections that others ordered. Each assignment then
// names each server twice, which the policy did not count.
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
	most := 0.7 * site.Policy.MaxBacklog
	if h.Counts.MaxBacklog > most || h.Counts.MaxBacklog < most/4 {
		t.Errorf("a backlog of %.0f entries, where %.0f may wait", h.Counts.MaxBacklog, most)
	}
}

// A channel that stands still holds all that was ever ordered: no more of it than may wait, whatever happens meanwhile. What
// the policy did not count was found in it: ejections to proxies without a table, servers readmitted at proxies whose
// tables hold them no more, and what others' ejections cost where a table gets a server that it had not.
func TestStalledChannelIsNotOverfilled(t *testing.T) {
	variants := map[string]func(*simulator.Settings){
		"a small backlog": func(site *simulator.Settings) { site.Policy.MaxBacklog = 2000 },
		"a large backlog": func(site *simulator.Settings) { site.Policy.MaxBacklog = 9000 },
		"no limit of messages": func(site *simulator.Settings) {
			site.Policy.MaxBacklog = 3000
			site.Policy.MaxMessages = 0
		},
	}
	for name, change := range variants {
		for _, fresh := range []int{0, 1} {
			t.Run(fmt.Sprintf("%s, new=%d", name, fresh), func(t *testing.T) {
				site := readTestSettings(t)
				site.Policy.Proxies = 60
				change(&site)
				h := newTestHost(t, site, 40)
				causeManyUpdates(h, fresh)
				entries := float64(h.Counts.Entries) + site.Policy.MessageOverhead*float64(h.Counts.Updates)
				t.Logf("%.0f entries of %.0f", entries, site.Policy.MaxBacklog)
				if entries > site.Policy.MaxBacklog {
					t.Errorf("%.0f entries wait, where %.0f may", entries, site.Policy.MaxBacklog)
				}
			})
		}
	}
}

// causeManyUpdates plays 10 s in which proxies join, servers drain, come and fail; in 12 s a channel eight times slower than stated
// would have sent all.
func causeManyUpdates(h *testHost, fresh int) {
	collector := h.connect("collector site=a")
	drained := 0
	for round := range 50 {
		if round < 30 { // two join every 200 ms
			for id := 2 * round; id < 2*round+2; id++ {
				h.connect(fmt.Sprintf("joined id=%d site=%s rps=10 new=%d", id, zoneNames[id%2], fresh))
				h.advance(1) // no two evaluations at one instant: the runtime pauses between them
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

// replaceServer drains one server and adds a cold one.
func replaceServer(h *testHost, index int) {
	h.UpdateEndpoints(policy.DeltaUpdate, []policy.Endpoint{
		{Server: fmt.Sprintf("s-%d", index), Zone: index % 2, RelativeCapacity: 1, State: policy.Draining},
		{Server: fmt.Sprintf("n-%d", index), Zone: index % 2, RelativeCapacity: 1, StartedMs: h.nowMs},
	})
}

// reportFailures reports on each server; where they fail, one in eight fails all requests.
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
