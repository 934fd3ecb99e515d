package planner

import (
	"math"

	"lichenpick/internal/settings"
	pb "lichenpick/proto/settings"
)

// Burst size and unit of the intake's rate.
const (
	intakeBurstsPerSecond = 5 // the burst, the limit on loads that pass at once, is the rate per second divided by this constant
	millisPerSecond       = 1000
)

// intakeLimits bounds how many loads the policy receives.
type intakeLimits struct {
	periodMs  float64 // length of the periods over which reports are aggregated
	perSecond float64 // limit on the loads passed to the policy per second
	maxQueued int     // limit on the loads that wait; above the limit the oldest load is shed
}

// intakeLimitsOf returns the limits of checked settings.
func intakeLimitsOf(set *pb.Reports) intakeLimits {
	return intakeLimits{
		periodMs:  settings.Milliseconds(set.Every),
		perSecond: settings.PerSecond(set.Intake),
		maxQueued: int(set.GetMostPending()),
	}
}

// reportIntake aggregates load reports into loads: one per server and reporting zone, and one per proxy and traffic class.
// It passes a limited rate of loads to the policy, oldest first. Samples of a load that already waits are added to that
// load, so each load is in the queue at most once.
type reportIntake struct {
	intakeLimits
	periodStartMs float64
	current       []*pendingLoad // loads with samples in the current period, in the order of their first samples
	queue         []*pendingLoad // loads with samples from closed periods, oldest first
	removed       int            // loads in the queue whose owner has left
	tokens        float64        // count of loads that may pass to the policy now
	nowMs         float64
	shed          int // loads dropped from the queue since the start
}

// pendingLoad is the load of a server from a zone, or the demand of a proxy in a traffic class, that was not passed to the
// policy yet. The owner of the load, an endpointState or a joinedProxy, keeps a pointer to it, so that adding a report
// needs neither a lookup nor an allocation.
type pendingLoad struct {
	server string       // name of the server; empty for the demand of a proxy
	zone   int          // zone of the reporting proxies; unused for the demand of a proxy
	proxy  *joinedProxy // proxy with the demand; nil for the load of a server
	class  int          // traffic class of the demand; unused for the load of a server

	current   loadSample // samples of the current period
	queued    loadSample // samples of earlier periods
	coversMs  float64    // total length of the periods that queued covers, in ms
	isCurrent bool       // whether the load is in reportIntake.current
	isQueued  bool       // whether the load is in reportIntake.queue
	removed   bool       // whether the owner has left
}

// loadSample counts attempts at a server, or requests of a traffic class.
type loadSample struct {
	count     int
	failed    int     // failed attempts or requests, included in count
	latencyMs float64 // sum of the latencies of the successful attempts
}

// add adds another sample to this one.
func (s *loadSample) add(other loadSample) {
	s.count += other.count
	s.failed += other.failed
	s.latencyMs += other.latencyMs
}

// meanLatencyMs returns the mean latency of the successful attempts, and 0 if there are none.
func (s *loadSample) meanLatencyMs() float64 {
	succeeded := s.count - s.failed
	if succeeded <= 0 {
		return 0
	}
	return s.latencyMs / float64(succeeded)
}

// newReportIntake returns an empty intake whose first period starts at nowMs.
func newReportIntake(limits intakeLimits, nowMs float64) *reportIntake {
	return &reportIntake{intakeLimits: limits, periodStartMs: nowMs, nowMs: nowMs}
}

// add adds a sample to a load. meanLatencyMs is the mean latency of the successful attempts.
func (in *reportIntake) add(load *pendingLoad, count, failed int, meanLatencyMs float64) {
	if !load.isCurrent {
		load.isCurrent = true
		in.current = append(in.current, load)
	}
	load.current.add(loadSample{count: count, failed: failed, latencyMs: meanLatencyMs * float64(count-failed)})
}

// setTime sets the time, in ms. It refills the tokens, and closes the current period if the period is over.
func (in *reportIntake) setTime(nowMs float64) {
	burst := math.Max(in.perSecond/intakeBurstsPerSecond, 1)
	in.tokens = math.Min(in.tokens+(nowMs-in.nowMs)/millisPerSecond*in.perSecond, burst)
	in.nowMs = nowMs
	if nowMs-in.periodStartMs >= in.periodMs {
		in.closePeriod()
	}
}

// closePeriod moves the samples of the current period to the queue and starts the next period.
func (in *reportIntake) closePeriod() {
	coversMs := in.nowMs - in.periodStartMs
	in.periodStartMs = in.nowMs
	in.compact()
	for _, load := range in.queue { // a queued load covers the current period too, even without samples in it
		load.coversMs += coversMs
	}
	for _, load := range in.current {
		load.isCurrent = false
		if load.removed {
			continue
		}
		if !load.isQueued {
			in.enqueue(load, coversMs)
		}
		load.queued.add(load.current)
		load.current = loadSample{}
	}
	in.current = in.current[:0]
}

// enqueue queues a load. If the queue is full it sheds the oldest load, whose samples are the most outdated. The samples
// are lost together with the time that they cover, so rates computed from the same owner's later loads stay correct.
func (in *reportIntake) enqueue(load *pendingLoad, coversMs float64) {
	if len(in.queue) >= in.maxQueued {
		oldest := in.queue[0]
		oldest.queued = loadSample{}
		oldest.isQueued = false
		in.queue = in.queue[1:]
		in.shed++
	}
	load.isQueued = true
	load.coversMs = coversMs
	in.queue = append(in.queue, load)
}

// next removes the oldest load from the queue and returns it; nil if the queue is empty or the rate allows none now. The
// caller must take the load's sample before anything is added to the load.
func (in *reportIntake) next() *pendingLoad {
	for len(in.queue) > 0 && in.queue[0].removed {
		in.queue = in.queue[1:]
		in.removed--
	}
	if len(in.queue) == 0 || in.tokens < 1 {
		return nil
	}
	load := in.queue[0]
	in.queue = in.queue[1:]
	in.tokens--
	load.isQueued = false
	return load
}

// take returns the load's queued sample and sets that sample to zero.
func (load *pendingLoad) take() loadSample {
	sample := load.queued
	load.queued = loadSample{}
	return sample
}

// deadline returns the time, in ms, at which next() should be called again: when the rate allows another load, or when the
// current period ends. The time is infinite if no load waits.
func (in *reportIntake) deadline() float64 {
	switch {
	case len(in.queue) > in.removed:
		return in.nowMs + math.Max(1-in.tokens, 0)/in.perSecond*millisPerSecond
	case len(in.current) > 0:
		return in.periodStartMs + in.periodMs
	default:
		return math.Inf(1)
	}
}

// remove marks loads whose owner has left. The marked loads stay in the queue, and next() skips them.
func (in *reportIntake) remove(loads []*pendingLoad) {
	for _, load := range loads {
		load.removed = true
		if load.isQueued {
			in.removed++
		}
	}
}

// compact deletes removed loads from the queue, so that they do not count towards maxQueued.
func (in *reportIntake) compact() {
	if in.removed == 0 {
		return
	}
	remaining := in.queue[:0]
	for _, load := range in.queue {
		if !load.removed {
			remaining = append(remaining, load)
		}
	}
	in.queue = remaining
	in.removed = 0
}
