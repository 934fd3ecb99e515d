package discovery

import (
	"fmt"
	"slices"
	"testing"

	"lichenpick/policy"
)

const (
	testAsOfMs       = 1e12 // Unix time when the lists of listOf are valid
	testMaxEndpoints = 100
)

// trackerTest is a tracker and its Host. As the Host, it records the states of servers that the policy would have.
type trackerTest struct {
	tracker *Tracker
	states  map[string]policy.State
	started map[string]float64
	kinds   []policy.UpdateKind
}

func newTrackerTest() *trackerTest {
	return &trackerTest{
		tracker: NewTracker([]string{"a", "b"}, testMaxEndpoints),
		states:  map[string]policy.State{},
		started: map[string]float64{},
	}
}

func (h *trackerTest) UpdateEndpoints(kind policy.UpdateKind, endpoints []policy.Endpoint) {
	h.kinds = append(h.kinds, kind)
	for _, endpoint := range endpoints {
		h.states[endpoint.Server] = endpoint.State
		h.started[endpoint.Server] = endpoint.StartedMs
	}
}

// at sets the time, passes updates to the tracker, and makes the tracker report all changes.
func (h *trackerTest) at(nowMs float64, updates ...Update) {
	h.tracker.SetTime(nowMs)
	for _, update := range updates {
		h.tracker.RecordUpdate(update)
	}
	for h.tracker.Next(h) {
	}
}

func (h *trackerTest) countReady() int {
	ready := 0
	for _, state := range h.states {
		if state == policy.Ready {
			ready++
		}
	}
	return ready
}

func (h *trackerTest) expectReady(t *testing.T, want int) {
	t.Helper()
	if ready := h.countReady(); ready != want {
		t.Errorf("%d servers ready, want %d", ready, want)
	}
}

func (h *trackerTest) expectUnverified(t *testing.T, want int) {
	t.Helper()
	if h.tracker.Unverified != want {
		t.Errorf("%d endpoints unverified, want %d", h.tracker.Unverified, want)
	}
}

func (h *trackerTest) expectRejected(t *testing.T, want int) {
	t.Helper()
	if h.tracker.Rejected != want {
		t.Errorf("%d endpoints rejected, want %d", h.tracker.Rejected, want)
	}
}

func (h *trackerTest) expectState(t *testing.T, server string, want policy.State) {
	t.Helper()
	state, known := h.states[server]
	if !known || state != want {
		t.Errorf("%s is in state %v (known: %t), want %v", server, state, known, want)
	}
}

func (h *trackerTest) expectStarted(t *testing.T, server string, wantMs float64) {
	t.Helper()
	if h.started[server] != wantMs {
		t.Errorf("%s started at %g ms, want %g", server, h.started[server], wantMs)
	}
}

// listOf returns a full update with the servers s0, s1, ... in zone a.
func listOf(count int) Update {
	update := Update{Kind: policy.FullUpdate, AsOfMs: testAsOfMs}
	for number := range count {
		update.Endpoints = append(update.Endpoints, Endpoint{Server: fmt.Sprint("s", number), Zone: "a", RelativeCapacity: 1})
	}
	return update
}

func TestTracker(t *testing.T) {
	t.Run("an empty list leaves servers unverified until a complete list contains them", testEmptyListLeavesServersUnverified)
	t.Run("a removed server is dropped after the retention time, and may come back", testRemovedServerIsDropped)
	t.Run("all servers are removed once a list has been empty for the removal delay", testEmptyListRemovesServersAfterDelay)
	t.Run("a listed draining state takes effect at once, even in a list that lacks many servers", testDrainingTakesEffectAtOnce)
	t.Run("one missing server among many is removed at once", testOneMissingServerIsRemoved)
	t.Run("start times follow the source's clock, and a clock step is not a restart", testStartsFollowSourceClock)
	t.Run("a start before the clock's origin is neither unknown nor negative", testStartBeforeOrigin)
	t.Run("endpoints over the limit are rejected, and a removed one is replaced by a new one", testEndpointLimit)
	t.Run("a failed update changes no endpoint", testFailedUpdate)
}

func testEmptyListLeavesServersUnverified(t *testing.T) {
	test := newTrackerTest()
	test.at(1000, listOf(10))
	test.at(1500, listOf(0))
	test.at(2000, listOf(0))
	test.expectReady(t, 10)
	test.expectUnverified(t, 10)
	test.at(2500, listOf(10))
	test.at(30000)
	test.expectReady(t, 10)
	test.expectUnverified(t, 0)
}

func testRemovedServerIsDropped(t *testing.T) {
	test := newTrackerTest()
	test.at(1000, listOf(10))
	test.at(2000, listOf(9))
	test.at(2000+RemovedRetentionMs/2, listOf(9))
	if test.tracker.endpoints["s9"] == nil {
		t.Error("removed server s9 was dropped before the retention time")
	}
	test.at(3000+RemovedRetentionMs, listOf(9))
	if len(test.tracker.endpoints) != 9 || len(test.tracker.order) != 9 {
		t.Errorf("%d endpoints and %d in order, want 9 of each", len(test.tracker.endpoints), len(test.tracker.order))
	}
	test.at(4000+RemovedRetentionMs, listOf(10))
	test.expectReady(t, 10)
}

func testEmptyListRemovesServersAfterDelay(t *testing.T) {
	test := newTrackerTest()
	test.at(1000, listOf(10))
	test.at(2000, listOf(0))
	if deadlineMs := test.tracker.Deadline(); deadlineMs != 2000+removalDelayMs {
		t.Errorf("deadline at %g ms, want removalDelayMs after the first empty list", deadlineMs)
	}
	test.at(6000, listOf(0))
	test.at(2000 + removalDelayMs)
	test.expectReady(t, 0)
}

func testDrainingTakesEffectAtOnce(t *testing.T) {
	test := newTrackerTest()
	test.at(1000, listOf(10))
	update := listOf(3)
	update.Endpoints[0].State = policy.Draining
	test.at(1500, update)
	test.expectState(t, "s0", policy.Draining)
	test.expectReady(t, 9)
}

func testOneMissingServerIsRemoved(t *testing.T) {
	test := newTrackerTest()
	test.at(1000, listOf(10))
	test.at(1500, listOf(9))
	test.expectState(t, "s9", policy.Removed)
}

func testStartsFollowSourceClock(t *testing.T) {
	const beginMs = 1e9
	test := newTrackerTest()
	update := listOf(1)
	update.Endpoints[0].StartedUnixMs = testAsOfMs - 4000
	test.at(beginMs, update)
	test.at(beginMs+500, update)
	update.AsOfMs += 3600e3 // the server started at the same time, but the source's clock was set forward by an hour
	test.at(beginMs+1000, update)
	test.expectStarted(t, "s0", beginMs-4000)
	if len(test.kinds) != 1 {
		t.Errorf("reported updates of kinds %v, want one update", test.kinds)
	}
	update.Endpoints[0].StartedUnixMs = update.AsOfMs - 100
	test.at(beginMs+2000, update)
	test.expectStarted(t, "s0", beginMs+1900)
}

func testStartBeforeOrigin(t *testing.T) {
	test := newTrackerTest()
	update := listOf(1)
	update.Endpoints[0].StartedUnixMs = 5
	test.at(1000, update)
	test.expectStarted(t, "s0", earliestStartMs)
}

func testEndpointLimit(t *testing.T) {
	test := newTrackerTest()
	test.at(1000, listOf(testMaxEndpoints+20))
	test.expectReady(t, testMaxEndpoints)
	test.expectRejected(t, 20)
	test.at(2000, Update{Kind: policy.DeltaUpdate, Endpoints: []Endpoint{{Server: "s0", Zone: "a", State: policy.Removed}}})
	test.at(2500, Update{Kind: policy.DeltaUpdate, Endpoints: []Endpoint{
		{Server: "new", Zone: "a"},
		{Server: "odd", Zone: "nowhere"},
	}})
	test.expectState(t, "new", policy.Ready)
	test.expectRejected(t, 21)
}

func testFailedUpdate(t *testing.T) {
	test := newTrackerTest()
	test.at(1000, listOf(4))
	test.at(2000, Update{Kind: policy.FailedUpdate})
	test.expectReady(t, 4)
	want := []policy.UpdateKind{policy.FullUpdate, policy.FailedUpdate}
	if !slices.Equal(test.kinds, want) {
		t.Errorf("reported updates of kinds %v, want %v", test.kinds, want)
	}
}
