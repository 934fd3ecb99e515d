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
	SetTimer(at float64)
	// ReserveEpochs has the store record that epochs up to this one may be used; the host reports the outcome by
	// EpochsReserved. It is called only where planners share a fleet, and once at a time.
	ReserveEpochs(upTo uint64)
}

// Decider decides: the policy, or a baseline to compare it with. Its methods are those of policy.Policy.
type Decider interface {
	SetTime(now float64)
	UpdateEndpoints(form policy.UpdateKind, list []policy.Endpoint)
	AddProxy(id, zone int, usual float64, sent ...float64)
	RemoveProxy(id int)
	RecordReport(server string, zone, count, failed int, latency, covers float64)
	RecordDemand(id, group, count, failed int, covers float64)
	Acknowledge(id, number int, took float64)
	SetLagging(on bool)
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
	now           float64
	wall          time.Time // date at now; only shown and sent along
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
	replies       []func(Host) // answers to inputs, carried out before anything new is decided
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
func NewCore(set *pb.Planner, decider Decider, incarnation uint64, now float64) *Core {
	c := &Core{
		configuration: set,
		policy:        decider,
		now:           now,
		incarnation:   incarnation,
		zones:         newZoneTable(set.Zones),
		proxies:       newProxyTable(),
		registry:      weighttable.NewRegistry[*joinedProxy](len(set.Groups)),
		endpoints:     newEndpointRegistry(set),
		intake:        newReportIntake(intakeLimitsOf(set.Reports), now),
		publisher:     newPublisher(set, incarnation),
		acks:          newAckTracker(set),
		leases:        newLeaseState(),
		timers:        newTimers(),
		warmUpMs:      settings.Milliseconds(set.Servers.WarmUp),
		reportEveryMs: uint32(settings.Milliseconds(set.Reports.Every)),
		Counts:        Counts{Closes: map[controlstream.CloseReason]uint64{}},
		OrderLatency:  hdrhistogram.New(minOrderLatencyUs, maxOrderLatencyUs, orderLatencyDigits),
	}
	c.SetTime(now, time.Time{})
	return c
}

// SetTime sets the time, by a clock that never jumps and by the date. What is decided until the next call leaves in one
// message per proxy.
func (c *Core) SetTime(now float64, wall time.Time) {
	c.now = now
	c.wall = wall
	c.policy.SetTime(policyOriginMs + now)
	c.endpoints.tracker.SetTime(policyOriginMs + now)
	c.intake.setTime(now)
	c.leases.setTime(now)
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
	c.recentInputs.add(loggedInput{atMs: c.now, kind: kind, stream: s, content: content})
}

// Next carries out at most one decision and reports whether it did. The host calls it until it returns false.
func (c *Core) Next(h Host) bool {
	if c.nextReply(h) || c.nextLeaseDecision(h) {
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

// nextReply carries out the oldest answer to an input.
func (c *Core) nextReply(h Host) bool {
	if len(c.replies) == 0 {
		return false
	}
	reply := c.replies[0]
	c.replies = c.replies[1:]
	reply(h)
	return true
}

// reply has an answer to an input carried out by the next call of Next.
func (c *Core) reply(act func(Host)) { c.replies = append(c.replies, act) }
