package load

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyUs and histogramDigits are the range, in µs, and the precision of latencies.
	maxLatencyUs    = 600_000_000
	histogramDigits = 3
)

// Step is how the requests of one rate ended. Latencies are those of requests that succeeded, in ms from the time each was
// due.
type Step struct {
	Rate                     float64 // requests a second
	Due                      int     // the sum of the four below
	Succeeded                int
	Rejected                 int // shed by a proxy, or it had no server to pick
	Failed                   int // an error, or no answer before the deadline
	Unsent                   int // not sent, as too many were in flight
	P50, P90, P99, P999, Max float64
	MaxLateMs                float64 // the most that this process was late to send a request
}

// SuccessRatio returns the part of the requests that succeeded.
func (s Step) SuccessRatio() float64 { return float64(s.Succeeded) / float64(max(s.Due, 1)) }

// outcome is how a request ended.
type outcome int

const (
	failed outcome = iota
	succeeded
	rejected
)

// recorder collects a step while it runs. Any goroutine may use it.
type recorder struct {
	mu          sync.Mutex
	step        Step
	latenciesUs *hdrhistogram.Histogram
}

// newRecorder returns the recorder of a step of one rate.
func newRecorder(rate float64) *recorder {
	return &recorder{step: Step{Rate: rate}, latenciesUs: hdrhistogram.New(1, maxLatencyUs, histogramDigits)}
}

// recordDue records that a request was due, and how late this process was to send it.
func (r *recorder) recordDue(lateMs float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.step.Due++
	r.step.MaxLateMs = max(r.step.MaxLateMs, lateMs)
}

// recordUnsent records that a request was not sent.
func (r *recorder) recordUnsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.step.Unsent++
}

// recordOutcome records how a request ended, and how long after it was due.
func (r *recorder) recordOutcome(how outcome, tookMs float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch how {
	case succeeded:
		r.step.Succeeded++
		_ = r.latenciesUs.RecordValue(max(int64(tookMs*1000), 1)) // fails only beyond any deadline
	case rejected:
		r.step.Rejected++
	default:
		r.step.Failed++
	}
}

// current returns the step so far.
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

// quantileMs returns a quantile, in percent, of the latencies. The caller holds the lock.
func (r *recorder) quantileMs(percent float64) float64 {
	return float64(r.latenciesUs.ValueAtQuantile(percent)) / 1000
}
