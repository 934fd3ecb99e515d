package platform

import (
	"cmp"
	"maps"
	"slices"
	"testing"

	"lichenpick/policy"
)

const (
	graceSlackMs    = 300.0 // ms by which the drain grace may be exceeded, because planner and test evaluate at intervals
	drainBatch      = 30    // servers that start to drain at the same time
	massJoinServers = 200
	settledMs       = 10000.0 // ms from the first joins to the joins with inherited tables
	completionMs    = 20000.0 // ms from the last event until every proxy must hold its complete table
	rejoinAfterMs   = 800.0   // ms from the leave of a proxy until it rejoins
	firstLeaveMs    = 400.0   // ms from the first join with inherited tables until the first proxy leaves
	leaveEveryMs    = 40.0    // ms between two proxies that leave
	joinIntervalMs  = 500.0   // ms within which the proxies of other planners join in most scenarios
)

// massJoinScenario describes a planner that proxies of other planners join while servers drain. Times are ms from the first
// of these joins.
type massJoinScenario struct {
	name             string
	ownProxies       int     // proxies that join first, without tables
	inheritedProxies int     // proxies with inherited tables
	ownJoinMs        float64 // time at which the planner starts and ownProxies join
	joinPeriodMs     float64 // time within which the proxies with inherited tables join
	drainsMs         []float64
	rejoining        int // proxies with inherited tables that leave and rejoin
}

// massJoinScenarios are scenarios in which the channel is fast enough for the drain grace to be kept. The channel sends 2400
// entries per second, as set in run; an entry is, for example, the weight or the ejection of one server, sent to one proxy.
// An assignment has 25 to 31 entries, so 200 assignments take 2.1 s to 2.6 s. A batch of drains takes 0.3 s to 0.8 s.
var massJoinScenarios = []massJoinScenario{
	{"drains before the joins", 40, 200, -settledMs, joinIntervalMs, []float64{-500}, 0},
	{"drains during the joins", 40, 200, -settledMs, joinIntervalMs, []float64{250}, 0},
	{"drains after the joins", 40, 200, -settledMs, joinIntervalMs, []float64{1000}, 0},
	{"three batches of drains", 40, 200, -settledMs, joinIntervalMs, []float64{0, 2000, 4000}, 0},
	{"a full channel", 120, 120, -300, joinIntervalMs, []float64{0}, 0},
	{"joins over 2 s", 40, 180, -settledMs, 2000, []float64{0, 2000}, 0},
	{"a planner that has just started", 0, 240, 0, joinIntervalMs, []float64{1000}, 0},
	{"proxies that leave and rejoin", 40, 200, -settledMs, joinIntervalMs, []float64{0, 2000}, 40},
	{"a planner that has just started, while servers drain", 0, 240, 0, joinIntervalMs, []float64{0}, 0},
	{"a planner that has just started, two batches of drains", 0, 160, 0, joinIntervalMs, []float64{0, 2000}, 0},
	{"few proxies without inherited tables", 10, 190, -settledMs, joinIntervalMs, []float64{0, 2000}, 0},
}

// TestDrainsDuringMassJoin checks that proxies of other planners stop picking draining servers in time when they join all
// at once. Each server must be ejected, or missing in a new table, at every proxy within the drain grace, although the
// channel cannot notify every proxy of every server in that time.
func TestDrainsDuringMassJoin(t *testing.T) {
	for index, scenario := range massJoinScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			scenario.run(t, int64(index))
		})
	}
}

func (s *massJoinScenario) run(t *testing.T, seed int64) {
	t.Helper()
	site := readTestSettings(t)
	site.Policy.Proxies = s.ownProxies + s.inheritedProxies
	site.Policy.Planners = 5
	site.Policy.EntriesPerSecond = 2400
	site.Policy.MaxBacklog = 4800
	site.Policy.MaxPropagationMs = 450
	site.Policy.DrainGraceMs = 3600
	f := newModelFleet(t, site, massJoinServers, seed)
	s.play(f)
	t.Logf("seed %d: backlog of %.0f entries, %d messages to a proxy, last pick %.0f ms after the notification",
		seed, f.maxBacklog, f.maxMessages, f.latestPickMs)
	if violations := slices.Sorted(maps.Keys(f.violations)); len(violations) > 0 {
		t.Errorf("seed %d: %d violations, such as: %s", seed, len(violations), violations[0])
	}
	if f.maxBacklog > site.Policy.MaxBacklog || f.maxMessages > site.Policy.MaxMessages {
		t.Errorf("seed %d: over a limit with a backlog of %.0f entries and %d messages to a proxy", seed, f.maxBacklog, f.maxMessages)
	}
	f.checkComplete()
}

// play runs the events, and then lets time pass until no update is in transit.
func (s *massJoinScenario) play(f *modelFleet) {
	events := s.events(f)
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.atMs, b.atMs) })
	startMs := events[0].atMs
	endMs := events[len(events)-1].atMs - startMs + completionMs
	for f.atMs < endMs || len(f.deliveries) > 0 && f.atMs < 2*endMs {
		for len(events) > 0 && events[0].atMs-startMs <= f.atMs {
			events[0].run()
			events = events[1:]
		}
		f.step()
	}
}

// event is a function to run at a time, in ms from the first join with inherited tables.
type event struct {
	atMs float64
	run  func()
}

func (s *massJoinScenario) events(f *modelFleet) []event {
	var events []event
	for _, p := range f.proxies[:s.ownProxies] {
		events = append(events, event{s.ownJoinMs, func() { f.join(p, false) }})
	}
	others := f.proxies[s.ownProxies:]
	for index, p := range others {
		p.inheritTables(f.random, f.servers)
		events = append(events, event{s.joinPeriodMs * float64(index) / float64(len(others)), func() { f.join(p, true) }})
	}
	for index, p := range others[:s.rejoining] {
		leaveMs := firstLeaveMs + leaveEveryMs*float64(index)
		events = append(events, event{leaveMs, func() { f.leave(p) }}, event{leaveMs + rejoinAfterMs, func() {
			f.join(p, true)
			p.rejoinedMs = f.atMs
		}})
	}
	order := f.random.Perm(massJoinServers)
	for batch, atMs := range s.drainsMs {
		var servers []policy.Endpoint
		for _, index := range order[batch*drainBatch:][:drainBatch] {
			servers = append(servers, f.servers[index])
		}
		events = append(events, event{atMs, func() { f.drain(servers) }})
	}
	return events
}

// TestServerOfTwoTablesIsNotOmitted checks that a server which is in one table of a proxy is not omitted from another table.
// Otherwise the proxy would not be notified of an ejection of the server.
func TestServerOfTwoTablesIsNotOmitted(t *testing.T) {
	const proxyID, first, second = 1, 90, 91
	h := startCore(t)
	h.connect("joined id=1 site=a rps=2 new=0")
	host := policyHost{h.Core}
	host.SetWeight(first, "s-1", 1)
	host.SetWeight(second, "s-1", 1)
	host.AssignTable(proxyID, first, []int{0}, nil)
	host.AssignTable(proxyID, second, []int{1}, []string{"s-1"})
	host.SetEjected("s-1", true, false)
	if !h.endpoints.byName["s-1"].notified.contains(proxyID) {
		t.Error("the proxy is not notified of the ejection")
	}
}
