package discovery_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lichenpick/internal/discovery"
	"lichenpick/internal/golden"
	"lichenpick/policy"
)

const (
	// recordedList was written on 2026-12-02 by Save, from the tracker of recordedTracker. It represents the files of
	// deployed planners, so it must not be regenerated.
	recordedList = "testdata/cached-list.txtpb"
	writtenMs    = 1_790_000_100_000 // Unix time when the list was cached
	sourceMs     = 1_790_000_000_000 // Unix time when the list was valid at its source
	restartMs    = 7_500             // time from writing the cached list to reading it, in ms
	serverLimit  = 100
)

var zones = []string{"east", "west"}

// recordingHost records the updates of a tracker as text. The golden files contain the wording of this text, so it must not
// change.
type recordingHost struct{ text strings.Builder }

func (h *recordingHost) UpdateEndpoints(form policy.UpdateKind, entries []policy.Endpoint) {
	fmt.Fprintf(&h.text, "endpoints, form %d\n", int(form))
	for _, entry := range entries {
		fmt.Fprintf(&h.text, "  %s zone %d state %d size %g born at %g ms\n",
			entry.Server, entry.Zone, int(entry.State), entry.RelativeCapacity, entry.StartedMs)
	}
}

// recordedTracker returns a tracker some time after its servers were listed. The servers cover each state, and both
// known and unknown start times.
func recordedTracker() *discovery.Tracker {
	const firstMs, cachedMs = 60_000, 160_000 // when servers were listed and cached, by the planner's clock
	tracker := discovery.NewTracker(zones, serverLimit)
	tracker.SetTime(firstMs)
	tracker.RecordUpdate(discovery.Update{Kind: policy.FullUpdate, AsOfMs: sourceMs, Version: 4, Endpoints: []discovery.Endpoint{
		{Server: "10.0.0.1:80", Zone: "east", State: policy.Ready, RelativeCapacity: 1},
		{Server: "10.0.0.2:80", Zone: "west", State: policy.Draining, RelativeCapacity: 2.5},
		{Server: "10.0.0.3:80", Zone: "west", State: policy.Removed, RelativeCapacity: 1},
		{Server: "10.0.0.4:80", Zone: "east", State: policy.Ready, RelativeCapacity: 1.0 / 3, StartedUnixMs: sourceMs - 12_345},
		{Server: "10.0.0.5:80", Zone: "south", State: policy.Ready, RelativeCapacity: 1}, // unknown zone
	}})
	host := &recordingHost{}
	for tracker.Next(host) {
	}
	tracker.SetTime(cachedMs)
	return tracker
}

// TestGoldenCachedList compares a newly written file with the golden one, byte for byte.
func TestGoldenCachedList(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	if err := discovery.Save(path, recordedTracker().Snapshot(writtenMs)); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "testdata/cached-list.golden.txt", content)
}

// TestRecordedCachedList reads a list that an earlier release cached, as a planner does at its start, and passes it to a
// tracker. Servers must have the same state, capacity and start time as when the list was written.
func TestRecordedCachedList(t *testing.T) {
	update, found, err := discovery.Restore(recordedList, writtenMs+restartMs)
	if err != nil || !found {
		t.Fatalf("found %t, error %v", found, err)
	}
	host := &recordingHost{}
	fmt.Fprintf(&host.text, "form %d, as of %d ms, version %d, restored %t, trouble %q\n",
		int(update.Kind), update.AsOfMs, update.Version, update.Restored, update.Fault)
	for _, entry := range update.Endpoints {
		fmt.Fprintf(&host.text, "  %s zone %s state %d size %g born %d ms\n",
			entry.Server, entry.Zone, int(entry.State), entry.RelativeCapacity, entry.StartedUnixMs)
	}
	const startMs = 300_000 // time of the planner's start, by the planner's clock
	tracker := discovery.NewTracker(zones, serverLimit)
	tracker.SetTime(startMs)
	tracker.RecordUpdate(update)
	for tracker.Next(host) {
	}
	golden.Check(t, "testdata/cached-list-read.golden.txt", []byte(host.text.String()))
}
