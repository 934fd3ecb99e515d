// Package discovery brings the list of servers to a planner: sources that poll or follow, and a memory between them
// and the module that doubts a list from which too much is missing at once.
package discovery

import (
	"context"
	"math"

	"google.golang.org/protobuf/proto"

	"lichenpick/policy"
	pb "lichenpick/proto/settings"
)

// Endpoint is one server as a source names it. Times are those of the source's own clock.
type Endpoint struct {
	Server           string
	Zone             string
	State            policy.State
	RelativeCapacity float64
	StartedUnixMs    uint64 // latest start; 0: long past
}

// Update is one word of a source.
type Update struct {
	Kind      policy.UpdateKind // Change, Whole or Failed
	AsOfMs    uint64            // the source's clock, when it was true; births are counted from it
	Version   uint64
	Endpoints []Endpoint
	Fault     string // of a Failed one
	Restored  bool   // a whole list as last held before a restart
}

// Source follows a list until the context ends. It delivers in order, from one goroutine. It returns early only
// for what waiting will not mend.
type Source interface {
	Run(ctx context.Context, deliver func(Update)) error
}

const (
	unverifiedShare = 0.3     // part of the servers that may vanish at once unseen; more is rather a fault of the source
	minUnverified   = 3       // servers; of a handful, one or two may well go together
	unverifiedMs    = 10000.0 // ms that vanished servers are kept; a source that polls drops them for one poll, or two
	goneMs          = 9e5     // ms that a server is remembered when it is gone; longer than the module does
	longPast        = 1.0     // ms; births before the clock's origin count as this late, which is warm by far
)

// Host is told what to take as listed. Births are in ms of the planner's clock.
type Host interface {
	UpdateEndpoints(form policy.UpdateKind, list []policy.Endpoint)
}

type trackedEndpoint struct {
	Endpoint
	born    float64 // ms of the planner's clock, as worked out when this birth was first named
	listed  bool    // in the source's last word
	vanish  float64 // when it is believed gone, if not listed
	changed bool    // not told yet
	gone    float64 // since when
}

// Tracker turns what sources say into what the module is told. A server that a source states to drain or be gone is
// believed at once. One that is only missing from a whole list is believed gone at once while few are, and after
// doubtMs when many are: guards against a source that answers with a part of its list, or with none. It also
// covers a file read while it is written; it harms when a zone is really taken out of the list in one step, as
// flows go there until verdicts find it dead or the time is over.
type Tracker struct {
	zones   map[string]int
	most    int // servers held
	now     float64
	servers map[string]*trackedEndpoint
	order   []string // of first naming, so that the module hears the same each time
	failed  bool
	told    bool // a first list was told
	fresh   bool // a first list came
	stale   bool // and was kept over a restart
	news    bool // a word came since the last look
	due     float64

	Rejected   int // entries over the limit or of zones not known, in all
	Unverified int // entries missing that are kept for now
}

// NewTracker makes one for zones by name, that holds at most so many servers.
func NewTracker(zones []string, most int) *Tracker {
	m := &Tracker{zones: map[string]int{}, most: most, servers: map[string]*trackedEndpoint{}, due: math.Inf(1)}
	for n, z := range zones {
		m.zones[z] = n
	}
	return m
}

// SetTime tells the time, in ms of the planner's clock.
func (m *Tracker) SetTime(now float64) { m.now = now }

// RecordUpdate takes in a word of a source.
func (m *Tracker) RecordUpdate(u Update) {
	if u.Kind == policy.FailedUpdate {
		m.failed = true
		return
	}
	m.news = true
	m.stale = u.Restored && !m.fresh
	m.fresh = true
	if u.Kind == policy.FullUpdate {
		for _, h := range m.servers {
			h.listed = false
		}
	}
	for _, e := range u.Endpoints {
		m.take(e, u.AsOfMs)
	}
	if u.Kind != policy.FullUpdate {
		return
	}
	missing, all := 0, 0
	for _, h := range m.servers {
		if h.State != policy.Removed {
			if all++; !h.listed {
				missing++
			}
		}
	}
	many := missing >= minUnverified && float64(missing) > unverifiedShare*float64(all)
	m.Unverified = 0
	for _, h := range m.servers {
		switch {
		case h.listed || h.State == policy.Removed:
			h.vanish = math.Inf(1)
		case !many:
			h.vanish = m.now
		case math.IsInf(h.vanish, 1):
			h.vanish = m.now + unverifiedMs
		}
		if !h.listed && h.State != policy.Removed && h.vanish > m.now {
			m.Unverified++
		}
	}
}

func (m *Tracker) take(e Endpoint, asOf uint64) {
	h := m.servers[e.Server]
	if _, known := m.zones[e.Zone]; !known || h == nil && len(m.servers) >= m.most && !m.forget() {
		m.Rejected++
		return
	}
	if h == nil {
		h = &trackedEndpoint{vanish: math.Inf(1), changed: true}
		h.State = -1
		m.servers[e.Server], m.order = h, append(m.order, e.Server)
	}
	// A birth is worked out once, from the source's own clock: steps of this machine's date would otherwise look
	// like restarts.
	if e.StartedUnixMs != h.StartedUnixMs {
		h.born, h.changed = 0, true
		if e.StartedUnixMs > 0 {
			age := math.Max(float64(asOf)-float64(e.StartedUnixMs), 0)
			h.born = math.Max(m.now-age, longPast)
		}
	}
	h.changed = h.changed || h.State != e.State || h.Zone != e.Zone || h.RelativeCapacity != e.RelativeCapacity
	h.Endpoint, h.listed, h.vanish = e, true, math.Inf(1)
}

// forget makes room by a server that is gone and was told so.
func (m *Tracker) forget() bool {
	for n, name := range m.order {
		if h := m.servers[name]; h.State == policy.Removed && !h.changed {
			delete(m.servers, name)
			m.order = append(m.order[:n], m.order[n+1:]...)
			return true
		}
	}
	return false
}

// Next tells the host at most one thing, and says whether it did.
func (m *Tracker) Next(h Host) bool {
	if m.failed {
		m.failed = false
		h.UpdateEndpoints(policy.FailedUpdate, nil)
		return true
	}
	if !m.fresh || !m.news && m.now < m.due {
		return false
	}
	m.news, m.due = false, math.Inf(1)
	var list []policy.Endpoint
	order := m.order[:0]
	for _, name := range m.order {
		s := m.servers[name]
		if s.State == policy.Removed && !s.changed && m.now-s.gone > goneMs {
			delete(m.servers, name)
			continue
		}
		order = append(order, name)
		if !s.listed && s.State != policy.Removed && s.vanish <= m.now {
			s.State, s.changed = policy.Removed, true
			m.Unverified = max(m.Unverified-1, 0)
		}
		if !s.listed && s.State != policy.Removed {
			m.due = math.Min(m.due, s.vanish)
		}
		if s.changed || !m.told && s.State != policy.Removed {
			s.changed, s.gone = false, m.now
			list = append(list, policy.Endpoint{Server: name, Zone: m.zones[s.Zone], State: s.State, RelativeCapacity: s.RelativeCapacity, StartedMs: s.born})
		}
	}
	m.order = order
	form := policy.DeltaUpdate
	if !m.told {
		if form, m.told = policy.FullUpdate, true; m.stale {
			form = policy.RestoredUpdate
		}
	} else if len(list) == 0 {
		return false
	}
	h.UpdateEndpoints(form, list)
	return true
}

// Deadline is when something missing will be believed gone, in ms; infinite if nothing is.
func (m *Tracker) Deadline() float64 {
	if m.news {
		return m.now
	}
	return m.due
}

// CountByState counts what is held by state.
func (m *Tracker) CountByState() (ready, draining, gone int) {
	for _, h := range m.servers {
		switch h.State {
		case policy.Ready:
			ready++
		case policy.Draining:
			draining++
		default:
			gone++
		}
	}
	return ready, draining, gone
}

// Snapshot gives what is held, to be written down for a restart, with births by this machine's date.
func (m *Tracker) Snapshot(wallMs uint64) *pb.List {
	l := &pb.List{KeptUnixMs: wallMs, AsOfUnixMs: wallMs}
	names := map[int]string{}
	for name, n := range m.zones {
		names[n] = name
	}
	for _, name := range m.order {
		h := m.servers[name]
		if h.State == policy.Removed {
			continue
		}
		e := &pb.List_Entry{Server: name, Zone: h.Zone, State: pb.List_State(h.State), Size: proto.Float64(h.RelativeCapacity)}
		if age := math.Max(m.now-h.born, 0); h.StartedUnixMs > 0 && float64(wallMs) > age {
			e.BornUnixMs = wallMs - uint64(age)
		}
		l.Servers = append(l.Servers, e)
	}
	return l
}
