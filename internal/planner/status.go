package planner

import (
	"maps"
	"sync/atomic"
	"time"

	"lichenpick/internal/controlstream"
)

// How often a status is published, and what it says of latencies.
const (
	// statusInterval is the shortest time between two statuses, by the date.
	statusInterval = 200 * time.Millisecond

	medianPercentile = 50
	tailPercentile   = 99
)

// Status is what a planner knows of itself. Its JSON form is an interface: keys keep their names.
type Status struct {
	Planner  string // name
	AtUnixMs int64  // date of this status
	Proxies  int    // joined
	Streams  int    // open connections

	Ready      int `json:"Ready"`    // servers listed as ready
	Draining   int `json:"Draining"` // servers listed as draining
	Removed    int `json:"Gone"`     // servers listed as removed
	Unverified int `json:"Doubted"`  // servers missing from the list that are not taken for removed yet
	Rejected   int `json:"Refused"`  // entries of the list that were not taken since the start

	Backlog     float64 `json:"LinesWaiting"` // entries that wait to be sent, message overhead included
	PeakBacklog float64 `json:"LinesPeak"`    // most of these since the last status
	MaxBacklog  float64 `json:"LinesMost"`    // most of these since the start

	Joins       uint64 `json:"Joins"`    // as in Counts
	Messages    uint64 `json:"Messages"` // as in Counts
	Entries     uint64 `json:"Lines"`    // as in Counts
	LoadReports uint64 `json:"Sums"`     // as in Counts
	Ignored     uint64 `json:"Unheard"`  // as in Counts
	Shed        uint64 `json:"Shed"`     // as in Counts

	Lagging bool    `json:"Behind"` // load reports wait too long: deferrable work rests
	LagMs   float64 // that the last load reports waited
	Merged  uint64  // load reports added to one that waited, since the start
	Lost    uint64  // samples of servers left out of these, since the start

	LeasesHeld        int    `json:"Commanded"` // proxies commanded; all that are joined where planners share nothing
	Takeovers         int    `json:"Takeovers"` // proxies taken over from other planners since the start
	Transferred       int    `json:"Handed"`    // proxies handed to other planners since the start
	Expired           int    `json:"Expired"`   // leases that expired since the start
	EpochReservations uint64 `json:"Marks"`     // as in Counts
	ClosedToLeases    bool   `json:"Claimless"` // it drains, or its store cannot be written

	Closes        map[controlstream.CloseReason]uint64 `json:"Endings"` // as in Counts
	OrderMsP50    float64                              // median time from a decision to its acknowledgement
	OrderMsP99    float64                              // 99th percentile of the same
	RejectedDials uint64                               `json:"RefusedDials"` // connections closed by address or number since the start
}

// statusPublisher holds the last status. Only the core's goroutine publishes; any goroutine may load.
type statusPublisher struct {
	current atomic.Pointer[Status]
}

// load returns the last status, which must not be changed; nil before the first.
func (p *statusPublisher) load() *Status { return p.current.Load() }

// due reports whether the last status is old. A date that was set back makes it due.
func (p *statusPublisher) due(wallTime time.Time) bool {
	last := p.load()
	if last == nil {
		return true
	}
	age := wallTime.UnixMilli() - last.AtUnixMs
	return age < 0 || age >= statusInterval.Milliseconds()
}

// publish replaces the last status.
func (p *statusPublisher) publish(s *Status) {
	s.MaxBacklog = s.PeakBacklog
	last := p.load()
	if last != nil {
		s.MaxBacklog = max(s.PeakBacklog, last.MaxBacklog)
	}
	p.current.Store(s)
}

// fillStatus fills in what the core knows. The peak of the backlog starts anew with each call.
func (c *Core) fillStatus(s *Status) {
	s.Proxies = len(c.proxies.byName)
	s.Ready, s.Draining, s.Removed = c.endpoints.tracker.CountByState()
	s.Unverified = c.endpoints.tracker.Unverified
	s.Rejected = c.endpoints.tracker.Rejected
	s.Backlog = c.publisher.queue.Backlog()
	s.PeakBacklog = c.publisher.queue.PeakBacklog()
	s.Joins = c.Counts.Joins
	s.Messages = c.Counts.Messages
	s.Entries = c.Counts.Entries
	s.LoadReports = c.Counts.LoadReports
	s.Ignored = c.Counts.Ignored
	s.Shed = c.Counts.Shed
	s.Closes = maps.Clone(c.Counts.Closes)
	s.Lagging = c.lagging
	s.LagMs = c.reportLagMs
	s.OrderMsP50 = float64(c.OrderLatency.ValueAtQuantile(medianPercentile)) / microsPerMilli
	s.OrderMsP99 = float64(c.OrderLatency.ValueAtQuantile(tailPercentile)) / microsPerMilli
	s.LeasesHeld = c.leases.countHeld(s.Proxies)
	if c.leases.enabled() {
		s.EpochReservations = c.Counts.EpochReservations
		s.Takeovers = c.leases.manager.Takeovers
		s.Transferred = c.leases.manager.Transferred
		s.Expired = c.leases.manager.Expired
		s.ClosedToLeases = !c.leases.manager.Open()
	}
}
