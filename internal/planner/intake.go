package planner

import (
	"math"

	"lichenpick/internal/settings"
	pb "lichenpick/proto/settings"
)

// Scales of the intake's rate.
const (
	intakeBurstsPerSecond = 5 // the rate of one second, divided by this, may pass at once
	millisPerSecond       = 1000
)

// intakeLimits bound how much of load reports the policy receives.
type intakeLimits struct {
	periodMs  float64 // for which samples are summed up
	perSecond float64 // loads that may pass to the policy
	maxQueued int     // loads that wait; beyond it the oldest is shed
}

// intakeLimitsOf translates checked settings.
func intakeLimitsOf(set *pb.Reports) intakeLimits {
	return intakeLimits{
		periodMs:  settings.Milliseconds(set.Every),
		perSecond: settings.PerSecond(set.Intake),
		maxQueued: int(set.GetMostPending()),
	}
}

// reportIntake adds load reports up, per server and zone, and per proxy and traffic class, and passes a limited number of
// loads per second to the policy, oldest first. What waits keeps growing in place: each load is queued once at most.
type reportIntake struct {
	intakeLimits
	periodStartMs float64
	current       []*pendingLoad // with samples in this period, in order of their first
	queue         []*pendingLoad // of closed periods, oldest first
	removed       int            // of the queue: those whose owner is gone
	tokens        float64        // loads that may pass now
	nowMs         float64
	shed          int // loads dropped from the queue since the start
}

// pendingLoad is what is known and not yet passed on of a server in a zone, or of a proxy in a traffic class. Its owner (an
// endpointState or a joinedProxy) holds on to it, so that a report costs neither a search nor an allocation.
type pendingLoad struct {
	server string // empty: it is demand of a proxy
	zone   int
	proxy  *joinedProxy
	class  int

	current   loadSample // of the current period
	queued    loadSample // of earlier periods
	coversMs  float64    // length of these
	isCurrent bool       // listed in reportIntake.current
	isQueued  bool       // listed in reportIntake.queue
	removed   bool       // its owner is gone
}

// loadSample is a number of attempts or requests.
type loadSample struct {
	count     int
	failed    int
	latencyMs float64 // sum over those that succeeded
}

// add adds another sample.
func (s *loadSample) add(other loadSample) {
	s.count += other.count
	s.failed += other.failed
	s.latencyMs += other.latencyMs
}

// meanLatencyMs is 0 if none succeeded.
func (s *loadSample) meanLatencyMs() float64 {
	succeeded := s.count - s.failed
	if succeeded <= 0 {
		return 0
	}
	return s.latencyMs / float64(succeeded)
}

// newReportIntake starts the first period at a time, in ms.
func newReportIntake(limits intakeLimits, nowMs float64) *reportIntake {
	return &reportIntake{intakeLimits: limits, periodStartMs: nowMs, nowMs: nowMs}
}

// add adds a report to a load. The latency is the mean of those that succeeded, in ms.
func (in *reportIntake) add(load *pendingLoad, count, failed int, meanLatencyMs float64) {
	if !load.isCurrent {
		load.isCurrent = true
		in.current = append(in.current, load)
	}
	load.current.add(loadSample{count: count, failed: failed, latencyMs: meanLatencyMs * float64(count-failed)})
}

// setTime adds to what may pass, and closes the period if it is over.
func (in *reportIntake) setTime(nowMs float64) {
	burst := math.Max(in.perSecond/intakeBurstsPerSecond, 1)
	in.tokens = math.Min(in.tokens+(nowMs-in.nowMs)/millisPerSecond*in.perSecond, burst)
	in.nowMs = nowMs
	if nowMs-in.periodStartMs >= in.periodMs {
		in.closePeriod()
	}
}

// closePeriod queues what came in the current period and starts the next one.
func (in *reportIntake) closePeriod() {
	coversMs := in.nowMs - in.periodStartMs
	in.periodStartMs = in.nowMs
	in.compact()
	for _, load := range in.queue { // covers this period too, even if nothing came
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

// enqueue queues a load. If too many wait it sheds the oldest: the newer is the better news, and
// the next load of the shed one's owner states the longer time that it covers.
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

// next removes the oldest load from the queue, if one may pass now; nil if none may. The caller takes its sample before
// anything is added to it.
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

// take returns what was queued and empties it.
func (load *pendingLoad) take() loadSample {
	sample := load.queued
	load.queued = loadSample{}
	return sample
}

// deadline is when the next load may pass, in ms; infinite if nothing waits.
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

// remove ends loads whose owner is gone. They stay queued and are skipped in their turn.
func (in *reportIntake) remove(loads []*pendingLoad) {
	for _, load := range loads {
		load.removed = true
		if load.isQueued {
			in.removed++
		}
	}
}

// compact takes removed loads out of the queue, so that they use up no place.
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
