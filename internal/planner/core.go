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

// Time origin and units.
const (
	// policyOriginMs is added to the planner's clock to get the policy's time. The offset keeps the start times of servers
	// that started days before the planner above 0, because the policy reads a start time of 0 as "long ago".
	policyOriginMs = 1e9

	// Bounds, in microseconds, and significant digits of the order latency histogram.
	minOrderLatencyUs  = 1
	maxOrderLatencyUs  = 600e6
	orderLatencyDigits = 3
	microsPerMilli     = 1000
)

// Host carries out the core's decisions, one per call. The core calls the host only from within Next.
type Host interface {
	// Send sends a frame on a stream. It must not block.
	Send(s *Stream, kind controlstream.FrameKind, m proto.Message)
	// Close closes a stream. The core has already dropped its own state of the stream when it calls Close.
	Close(s *Stream, why *controlstream.CloseError)
	// SetTimer asks the host to call Core.SetTime and Core.Next at atMs, in ms of the clock that Core.SetTime uses. The new
	// timer replaces the previous one.
	SetTimer(atMs float64)
	// ReserveEpochs makes the epoch store record that epochs up to and including upTo may be used. The host reports the
	// outcome by Core.EpochsReserved. The core calls ReserveEpochs only if planners share a fleet, and only once the
	// previous outcome was reported.
	ReserveEpochs(upTo uint64)
}

// Decider makes the decisions about tables, ejections and admission rates: the policy, or a baseline that is compared with
// it. Its methods are those of policy.Policy.
type Decider interface {
	// SetTime sets the time, in ms. The time is policyOriginMs when the planner's clock shows 0.
	SetTime(nowMs float64)
	// UpdateEndpoints records an endpoint list, or changes to the current one.
	UpdateEndpoints(kind policy.UpdateKind, list []policy.Endpoint)
	// AddProxy adds a proxy to command. The proxy expects expectedRate requests per second, and planners sent the proxy
	// messages at the times sentMs.
	AddProxy(id, zone int, expectedRate float64, sentMs ...float64)
	// RemoveProxy removes a proxy, which this planner no longer commands.
	RemoveProxy(id int)
	// RecordLoadReport records the attempts that a zone's proxies sent to a server within a period of coversMs, with the
	// mean latency of the successful attempts.
	RecordLoadReport(server string, zone, count, failed int, latencyMs, coversMs float64)
	// RecordDemandReport records the requests of a traffic class that a proxy received within a period of coversMs.
	RecordDemandReport(id, class, count, failed int, coversMs float64)
	// Acknowledge records that a proxy sent the acknowledgement that the policy requested under a number, tookMs after the
	// policy decided to request it.
	Acknowledge(id, number int, tookMs float64)
	// SetLagging sets whether the planner lags. The policy holds back deferrable decisions while the planner lags.
	SetLagging(on bool)
	// UnsentDrains returns the number of pairs of a proxy and a draining or removed server whose ejection the proxy should have
	// been sent by now.
	UnsentDrains() int
	// Next carries out at most one decision, and reports whether there was one.
	Next(h policy.Host) bool
}

// Counts are totals since the start of the planner.
type Counts struct {
	Joins             uint64                               // streams that joined
	Messages          uint64                               // order messages sent
	Entries           uint64                               // entries sent in order messages, message overhead included
	LoadReports       uint64                               // server samples accepted from load reports
	Ignored           uint64                               // server samples ignored: without attempts, or of servers never listed
	Shed              uint64                               // loads dropped because too many waited for the policy
	EpochReservations uint64                               // successful writes to the epoch store
	Closes            map[controlstream.CloseReason]uint64 // ended streams, by reason
}

// Core is a planner without I/O. The goroutine that owns it calls SetTime, then input methods, which report what happened,
// and then Next until it returns false. All times are in ms of a monotonic clock.
type Core struct {
	configuration *pb.Planner
	policy        Decider
	nowMs         float64
	wallTime      time.Time // wall-clock time at nowMs; used in the status and in messages, never for decisions
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
	actions       []func(Host) // actions that input methods scheduled; Next carries them out before any new decision
	reportLagMs   float64      // longest time that a load report of the last batch waited for the core
	lagging       bool
	warmUpMs      float64 // how long a server warms up after its start
	reportEveryMs uint32  // interval of the proxies' load reports

	// Counts are totals since the start of the planner.
	Counts Counts
	// OrderLatency holds the times from decisions to their acknowledgements, in microseconds.
	OrderLatency *hdrhistogram.Histogram
}

// NewCore returns a planner that starts at nowMs of the host's clock. The incarnation identifies this process among all that
// ran under the same name. The settings must have been checked by package settings; the core does not modify them.
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

// SetTime sets the time, in ms of a monotonic clock, and the wall-clock time. Orders that are decided before the next call
// of SetTime are sent in one message per proxy.
func (c *Core) SetTime(nowMs float64, wallTime time.Time) {
	c.nowMs = nowMs
	c.wallTime = wallTime
	c.policy.SetTime(policyOriginMs + nowMs)
	c.endpoints.tracker.SetTime(policyOriginMs + nowMs)
	c.intake.setTime(nowMs)
	c.leases.setTime(nowMs)
}

// DumpInputs writes the most recent inputs, oldest first, one per line.
func (c *Core) DumpInputs(w io.Writer) error { return c.recentInputs.writeTo(w) }

// UpdateEndpoints records an update from the endpoint source.
func (c *Core) UpdateEndpoints(u discovery.Update) {
	c.logInput(inputEndpoints, nil, newUpdateSummary(u))
	c.endpoints.tracker.RecordUpdate(u)
}

// logInput records an input for a later dump. The stream is nil if the input belongs to no joined stream; content may be
// nil.
func (c *Core) logInput(kind inputKind, s *Stream, content fmt.Stringer) {
	c.recentInputs.add(loggedInput{atMs: c.nowMs, kind: kind, stream: s, content: content})
}

// Next carries out at most one decision, and reports whether there was one. The host calls Next until it returns false.
//
// Scheduled actions and lease decisions go first. Next come the inputs of the policy, so that it decides on all of them,
// then the policy's decisions, and last the messages that result from them: an update is queued only when the policy has no
// more orders to add to it.
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

// schedule adds an action for a later call of Next, because input methods cannot call the host.
func (c *Core) schedule(action func(Host)) { c.actions = append(c.actions, action) }
