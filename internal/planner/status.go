package planner

import (
	"maps"
	"sync/atomic"
	"time"

	"lichenpick/internal/controlstream"
)

// Interval of statuses, and the latency percentiles that they contain.
const (
	// statusInterval is the shortest wall-clock time between two published statuses.
	statusInterval = 200 * time.Millisecond

	medianPercentile = 50
	tailPercentile   = 99
)

// Status describes the state of a planner. Its JSON form is read by operators' tools, so the keys must not change.
type Status struct {
	Planner  string // name of the planner
	AtUnixMs int64  // wall-clock time of this status
	Proxies  int    // joined proxies
	Streams  int    // open connections

	Ready      int `json:"Ready"`    // servers listed as ready
	Draining   int `json:"Draining"` // servers listed as draining
	Removed    int `json:"Gone"`     // servers listed as removed
	Unverified int `json:"Doubted"`  // servers that are missing from the list and not yet considered removed
	Rejected   int `json:"Refused"`  // list entries rejected since the start: over the limit on servers, or of unknown zones

	Backlog     float64 `json:"LinesWaiting"` // entries that wait to be sent to proxies, message overhead included
	PeakBacklog float64 `json:"LinesPeak"`    // highest backlog since the last status
	MaxBacklog  float64 `json:"LinesMost"`    // highest backlog since the start

	UnsentDrains int `json:"DrainsUnsent"` // pairs of a proxy and a draining or removed server whose ejection is sent late

	Joins       uint64 `json:"Joins"`    // streams that joined since the start
	Messages    uint64 `json:"Messages"` // order messages sent since the start
	Entries     uint64 `json:"Lines"`    // entries sent in order messages since the start, message overhead included
	LoadReports uint64 `json:"Sums"`     // server samples accepted from load reports since the start
	Ignored     uint64 `json:"Unheard"`  // server samples ignored since the start: without attempts, or of servers never listed
	Shed        uint64 `json:"Shed"`     // loads dropped since the start because too many waited for the policy

	Lagging bool    `json:"Behind"` // whether load reports wait too long for the core, so that deferrable decisions are held back
	LagMs   float64 // longest time that a load report of the last batch waited for the core
	Merged  uint64  // load reports merged into a waiting report since the start
	Lost    uint64  // server samples dropped since the start because the report to merge them into was full

	LeasesHeld        int    `json:"Commanded"` // proxies that this planner commands; all if the fleet is not shared
	Takeovers         int    `json:"Takeovers"` // leases gained since the start
	Transferred       int    `json:"Handed"`    // proxies transferred to other planners since the start
	Expired           int    `json:"Expired"`   // leases that expired or were granted to another planner since the start
	EpochReservations uint64 `json:"Marks"`     // successful writes to the epoch store since the start
	ClosedToLeases    bool   `json:"Claimless"` // whether the planner accepts no new leases: draining, or store not writable

	Closes     map[controlstream.CloseReason]uint64 `json:"Endings"` // ended streams since the start, by close reason
	OrderMsP50 float64                              // median of the times from decisions to acknowledgements, in ms
	OrderMsP99 float64                              // 99th percentile of the times from decisions to acknowledgements, in ms
	// RejectedDials counts the connections rejected since the start: address not allowed, or too many connections open.
	RejectedDials uint64 `json:"RefusedDials"`
}

// statusPublisher holds the last published status. Only the core's goroutine may publish; any goroutine may load.
type statusPublisher struct {
	current atomic.Pointer[Status]
}

// load returns the last status, which the caller must not modify; nil before the first one.
func (p *statusPublisher) load() *Status { return p.current.Load() }

// due reports whether the last status is at least statusInterval old, or has a future time because the wall clock was set
// back.
func (p *statusPublisher) due(wallTime time.Time) bool {
	last := p.load()
	if last == nil {
		return true
	}
	age := wallTime.UnixMilli() - last.AtUnixMs
	return age < 0 || age >= statusInterval.Milliseconds()
}

// publish replaces the last status, and sets the new one's MaxBacklog.
func (p *statusPublisher) publish(s *Status) {
	s.MaxBacklog = s.PeakBacklog
	last := p.load()
	if last != nil {
		s.MaxBacklog = max(s.PeakBacklog, last.MaxBacklog)
	}
	p.current.Store(s)
}

// fillStatus sets the fields of a status that come from the core. Each call resets the peak backlog.
func (c *Core) fillStatus(s *Status) {
	s.Proxies = len(c.proxies.byName)
	s.Ready, s.Draining, s.Removed = c.endpoints.tracker.CountByState()
	s.Unverified = c.endpoints.tracker.Unverified
	s.Rejected = c.endpoints.tracker.Rejected
	s.Backlog = c.publisher.queue.Backlog()
	s.PeakBacklog = c.publisher.queue.PeakBacklog()
	s.UnsentDrains = c.policy.UnsentDrains()
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
		s.ClosedToLeases = !c.leases.manager.AcceptsLeases()
	}
}
