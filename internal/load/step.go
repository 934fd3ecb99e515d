package load

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyUs is the highest latency in µs that can be recorded, and histogramDigits the number of significant digits.
	maxLatencyUs    = 600_000_000
	histogramDigits = 3
)

// Step is the result of the requests sent at one rate. P50 to Max are latencies in ms of the requests that succeeded, measured
// from the time at which each was due.
type Step struct {
	Rate                     float64 // requests per second
	Due                      int     // number of requests due: the sum of Succeeded, Rejected, Failed and Unsent
	Succeeded                int
	Rejected                 int // requests that a proxy shed, or for which it had no server
	Failed                   int // requests answered with an error, or not answered before the deadline
	Unsent                   int // requests not sent because too many were in flight
	P50, P90, P99, P999, Max float64
	MaxLateMs                float64 // longest time from when a request was due until this process sent it, in ms
}

// SuccessRatio returns the fraction of the requests that succeeded.
func (s Step) SuccessRatio() float64 { return float64(s.Succeeded) / float64(max(s.Due, 1)) }

// outcome is how a request that was sent ended.
type outcome int

const (
	failed outcome = iota
	succeeded
	rejected
)

// recorder collects the result of a step while it runs. It is safe for concurrent use.
type recorder struct {
	mu          sync.Mutex
	step        Step
	latenciesUs *hdrhistogram.Histogram
}

// newRecorder returns a recorder for a step at the given rate.
func newRecorder(rate float64) *recorder {
	return &recorder{step: Step{Rate: rate}, latenciesUs: hdrhistogram.New(1, maxLatencyUs, histogramDigits)}
}

// recordDue records that a request was due, and how late this process sends the request, in ms.
func (r *recorder) recordDue(lateMs float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.step.Due++
	r.step.MaxLateMs = max(r.step.MaxLateMs, lateMs)
}

// recordUnsent records that a request was not sent because too many requests were in flight.
func (r *recorder) recordUnsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.step.Unsent++
}

// recordOutcome records the outcome of a request, and its latency in ms from the time at which it was due.
func (r *recorder) recordOutcome(result outcome, tookMs float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch result {
	case succeeded:
		r.step.Succeeded++
		_ = r.latenciesUs.RecordValue(max(int64(tookMs*1000), 1)) // fails only above maxLatencyUs, which no deadline reaches
	case rejected:
		r.step.Rejected++
	default:
		r.step.Failed++
	}
}

// current returns the result of the step so far.
func (r *recorder) current() Step {
	r.mu.Lock()
	defer r.mu.Unlock()
	step := r.step
	step.P50 = r.quantileMs(50)
	step.P90 = r.quantileMs(90)
	step.P99 = r.quantileMs(99)
	step.P999 = r.quantileMs(99.9)
	step.Max = r.quantileMs(100)
	return step
}

// quantileMs returns a percentile of the latencies in ms. The caller holds the lock.
func (r *recorder) quantileMs(percent float64) float64 {
	return float64(r.latenciesUs.ValueAtQuantile(percent)) / 1000
}
