package platform

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"lichenpick/policy"
)

// testListing returns an endpoint list of one server. The arguments are JSON, except for the state.
func testListing(version, full, state, started string) string {
	const format = `{"version":%s,"full":%s,"servers":[{"id":"s-1","addr":"x:1","zone":"b","kind":"m","cell":3,"state":"%s","weight":1.5,"started_ms":%s}]}`
	return fmt.Sprintf(format, version, full, state, started)
}

func TestVersionTracker(t *testing.T) {
	tracker := versionTracker{zones: zoneNames, version: 41}
	list, changed, err := tracker.accept([]byte(testListing("43", "false", "draining", "1.8e12")))
	want := policy.Endpoint{Server: "s-1", Zone: 1, State: policy.Draining, RelativeCapacity: 1.5, StartedMs: 1.8e12}
	if err != nil || !changed || list.entries[0] != want || tracker.version != 43 {
		t.Errorf("list %+v, changed %t, error %v", list, changed, err)
	}
	if _, changed, err := tracker.accept(nil); changed || err != nil {
		t.Errorf("an empty line is not ignored: %v", err)
	}
	t.Run("a complete list is accepted whatever its version", func(t *testing.T) {
		tracker := versionTracker{zones: zoneNames, version: 43, needsFullList: true}
		_, changed, err := tracker.accept([]byte(testListing("2", "true", "ready", "0")))
		if !changed || err != nil || tracker.version != 2 || tracker.needsFullList {
			t.Errorf("changed %t, error %v, tracker %+v", changed, err, tracker)
		}
	})
}

func TestUnreadableListIsNotAccepted(t *testing.T) {
	valid := testListing("44", "false", "ready", "0")
	for name, line := range map[string]string{
		"truncated":   `{"version":44,"ful`,
		"state":       testListing("44", "false", "odd", "0"),
		"old version": testListing("42", "false", "ready", "0"),
		"no version":  `{"full":true}`,
		"weight":      strings.Replace(valid, "1.5", "-1", 1),
		"name":        strings.Replace(valid, "s-1", "s 1", 1),
	} {
		t.Run("invalid list is rejected and the complete list requested: "+name, func(t *testing.T) {
			tracker := versionTracker{zones: zoneNames, version: 43}
			_, changed, err := tracker.accept([]byte(line))
			if changed || err == nil || tracker.version != 43 || !tracker.needsFullList {
				t.Errorf("changed %t, error %v, tracker %+v", changed, err, tracker)
			}
		})
	}
}

func TestManyServersDecode(t *testing.T) {
	var document struct{ Servers []map[string]any }
	for index := range 300 {
		document.Servers = append(document.Servers, map[string]any{"id": "s-" + strconv.Itoa(index), "zone": "a", "state": "ready"})
	}
	text, err := json.Marshal(map[string]any{"version": 1, "full": true, "servers": document.Servers})
	if err != nil {
		t.Fatal(err)
	}
	list, err := parseEndpointList(text, zoneNames)
	if err != nil || len(list.entries) != 300 {
		t.Errorf("%d entries, error %v", len(list.entries), err)
	}
}
