package planner

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"

	"lichenpick/internal/controlstream"
	"lichenpick/internal/discovery"
	"lichenpick/internal/settings"
	"lichenpick/internal/weighttable"
	"lichenpick/policy"
	pb "lichenpick/proto/settings"
)

// Scales of time.
const (
	// policyOriginMs is the policy's time when the planner's clock shows 0. Start times of servers some days before the
	// planner stay above 0, which the policy takes for "long past".
	policyOriginMs = 1e9

	// Bounds and precision of the histogram of order latencies, in microseconds.
	minOrderLatencyUs  = 1
	maxOrderLatencyUs  = 600e6
	orderLatencyDigits = 3
	microsPerMilli     = 1000
)

// Host carries out what the core decides. Each method is one decision; the core calls them from within Next only.
type Host interface {
	// Send sends a frame on a stream. It must not block.
	Send(s *Stream, kind controlstream.FrameKind, m proto.Message)
	// Close ends a stream. The core forgets the stream before it calls this.
	Close(s *Stream, why *controlstream.CloseError)
	// SetTimer asks for a call of SetTime and Next at a time, in ms of the clock that SetTime goes by. It replaces the
	// timer set before.
	SetTimer(atMs float64)
	// ReserveEpochs has the store record that epochs up to this one may be used; the host reports the outcome by
	// EpochsReserved. It is called only where planners share a fleet, and once at a time.
	ReserveEpochs(upTo uint64)
}

// Decider decides: the policy, or a baseline to compare it with. Its methods are those of policy.Policy.
type Decider interface {
	// SetTime sets the time, in ms from policyOriginMs on.
	SetTime(nowMs float64)
	// UpdateEndpoints takes in a list of servers, or changes of one.
	UpdateEndpoints(kind policy.UpdateKind, list []policy.Endpoint)
	// AddProxy begins the command of a proxy that expects some requests per second and was sent messages at these times.
	AddProxy(id, zone int, expectedRate float64, sentMs ...float64)
	// RemoveProxy ends the command of a proxy.
	RemoveProxy(id int)
	// RecordReport takes in attempts of a zone's proxies at a server, with the mean latency of those that succeeded.
	RecordReport(server string, zone, count, failed int, latencyMs, coversMs float64)
	// RecordDemand takes in a proxy's requests of a traffic class.
	RecordDemand(id, class, count, failed int, coversMs float64)
	// Acknowledge takes in that a proxy gave an acknowledgement, some time after it was decided to ask for it.
	Acknowledge(id, number int, tookMs float64)
	// SetLagging says whether the planner lags: deferrable decisions rest then.
	SetLagging(on bool)
	// Next carries out at most one decision and reports whether it did.
	Next(h policy.Host) bool
}

// Counts are totals since the start of the planner.
type Counts struct {
	Joins             uint64                               // streams that joined
	Messages          uint64                               // order messages sent
	Entries           uint64                               // entries sent in them, message overhead included
	LoadReports       uint64                               // samples of servers taken in
	Ignored           uint64                               // samples of servers that were never listed, or without attempts
	Shed              uint64                               // entries dropped as too many waited for the policy
	EpochReservations uint64                               // successful writes to the epoch store
	Closes            map[controlstream.CloseReason]uint64 // streams ended, by reason
}

// Core is one planner without I/O. It is owned by one goroutine, which calls SetTime, then input methods (those that take
// in what happened), then Next until it returns false. All times are in ms of a clock that never jumps.
type Core struct {
	configuration *pb.Planner
	policy        Decider
	nowMs         float64
	wallTime      time.Time // date at now; only shown and sent along
	incarnation   uint64

	zones         zoneTable
	proxies       proxyTable
	registry      *weighttable.Registry[*joinedProxy]
	endpoints     endpointRegistry
	intake        *reportIntake
	publisher     publisher
	acks          ackTracker
	leases        leaseState
	timers        timers
	recentInputs  inputLog
	actions       []func(Host) // decided already; carried out before anything new is decided
	reportLagMs   float64      // that load reports waited for the core last
	lagging       bool
	warmUpMs      float64 // after its start, for which a server is warming up
	reportEveryMs uint32

	// Counts are totals since the start.
	Counts Counts
	// OrderLatency is the time from a decision to its acknowledgement, in microseconds.
	OrderLatency *hdrhistogram.Histogram
}

// NewCore starts a planner at a time in ms of the host's clock. The incarnation tells this process from earlier ones of the
// same name. The settings must have been checked by package settings; the core only reads them.
func NewCore(set *pb.Planner, decider Decider, incarnation uint64, nowMs float64) *Core {
	c := &Core{
		configuration: set,
		policy:        decider,
		nowMs:         nowMs,
		incarnation:   incarnation,
		zones:         newZoneTable(set.Zones),
		proxies:       newProxyTable(),
		registry:      weighttable.NewRegistry[*joinedProxy](len(set.Groups)),
		endpoints:     newEndpointRegistry(set),
		intake:        newReportIntake(intakeLimitsOf(set.Reports), nowMs),
		publisher:     newPublisher(set, incarnation),
		acks:          newAckTracker(set),
		timers:        newTimers(),
		warmUpMs:      settings.Milliseconds(set.Servers.WarmUp),
		reportEveryMs: uint32(settings.Milliseconds(set.Reports.Every)),
		Counts:        Counts{Closes: map[controlstream.CloseReason]uint64{}},
		OrderLatency:  hdrhistogram.New(minOrderLatencyUs, maxOrderLatencyUs, orderLatencyDigits),
	}
	c.SetTime(nowMs, time.Time{})
	return c
}

// SetTime sets the time, in ms of a clock that never jumps, and the date. What is decided until the next call leaves in one
// message per proxy.
func (c *Core) SetTime(nowMs float64, wallTime time.Time) {
	c.nowMs = nowMs
	c.wallTime = wallTime
	c.policy.SetTime(policyOriginMs + nowMs)
	c.endpoints.tracker.SetTime(policyOriginMs + nowMs)
	c.intake.setTime(nowMs)
	c.leases.setTime(nowMs)
}

// DumpInputs writes the last inputs, oldest first, one per line.
func (c *Core) DumpInputs(w io.Writer) error { return c.recentInputs.writeTo(w) }

// UpdateEndpoints takes in an update of the endpoint source.
func (c *Core) UpdateEndpoints(u discovery.Update) {
	c.logInput(inputEndpoints, nil, newUpdateSummary(u))
	c.endpoints.tracker.RecordUpdate(u)
}

// logInput logs an input for a later dump. The stream is nil if it has not joined, the content if there is none.
func (c *Core) logInput(kind inputKind, s *Stream, content fmt.Stringer) {
	c.recentInputs.add(loggedInput{atMs: c.nowMs, kind: kind, stream: s, content: content})
}

// Next carries out at most one decision and reports whether it did. The host calls it until it returns false. What is known
// already goes first, then news for the policy, so that the policy decides on all of it, then what follows from its decisions:
// an update is queued only when the policy has nothing to add to it.
func (c *Core) Next(h Host) bool {
	if c.nextAction(h) || c.nextLeaseDecision(h) {
		return true
	}
	if c.endpoints.tracker.Next(endpointUpdater{c}) || c.nextLoad() {
		return true
	}
	if c.policy.Next(policyHost{c}) || c.nextUpdate() {
		return true
	}
	if c.nextDeparture(h) || c.nextLateAck() {
		return true
	}
	return c.updateTimer(h)
}

// nextAction carries out the oldest action that an input method scheduled.
func (c *Core) nextAction(h Host) bool {
	if len(c.actions) == 0 {
		return false
	}
	action := c.actions[0]
	c.actions = c.actions[1:]
	action(h)
	return true
}

// schedule has an action carried out by a later call of Next, as input methods have no host.
func (c *Core) schedule(action func(Host)) { c.actions = append(c.actions, action) }
