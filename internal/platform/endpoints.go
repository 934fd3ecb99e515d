package platform

import (
	"encoding/json"
	"fmt"
	"math"

	"lichenpick/policy"
)

// listing is one word of discovery.
type listing struct {
	version int64
	full    bool
	entries []policy.Endpoint // births in Unix ms, by which the module's clock goes here
}

var states = map[string]policy.State{"ready": policy.Ready, "draining": policy.Draining, "gone": policy.Removed}

// readListing decodes discovery's form of a list, whole or not at all.
func readListing(raw []byte, zones []string) (listing, error) {
	var m struct {
		Version *int64
		Full    bool
		Servers []struct {
			ID      string
			Zone    string
			State   string
			Weight  *float64
			Started float64 `json:"started_ms"`
		}
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return listing{}, err
	}
	if m.Version == nil {
		return listing{}, fmt.Errorf("no version")
	}
	l := listing{version: *m.Version, full: m.Full}
	for _, s := range m.Servers {
		e := policy.Endpoint{Server: s.ID, Zone: -1, RelativeCapacity: 1, StartedMs: s.Started}
		for n, z := range zones {
			if z == s.Zone {
				e.Zone = n
			}
		}
		state, ok := states[s.State]
		if e.State = state; s.Weight != nil {
			e.RelativeCapacity = *s.Weight
		}
		if !ok || !fits(s.ID) || !(e.RelativeCapacity >= 0) || math.IsInf(e.RelativeCapacity, 0) || !(e.StartedMs >= 0) {
			return listing{}, fmt.Errorf("server %q with state %q, weight %g, start %g", s.ID, s.State, e.RelativeCapacity, e.StartedMs)
		}
		l.entries = append(l.entries, e)
	}
	return l, nil
}

// follower turns the lines of a watch into what the core is told. It holds the version that is known.
type follower struct {
	zones   []string
	version int64
	whole   bool // the whole list must be asked for
}

// take reads a line of a watch, or a whole list; ok where it tells something. After what can't be read or does not
// follow, the whole list is asked for anew; what is known stays.
func (f *follower) take(raw []byte) (l listing, ok bool, err error) {
	if len(raw) == 0 { // a sign of life
		return l, false, nil
	}
	if l, err = readListing(raw, f.zones); err == nil && !l.full && (f.whole || l.version < f.version) {
		err = fmt.Errorf("a change to version %d does not follow version %d", l.version, f.version)
	}
	if f.whole = err != nil; err != nil {
		return l, false, err
	}
	f.version = l.version
	return l, l.full || len(l.entries) > 0, nil
}
