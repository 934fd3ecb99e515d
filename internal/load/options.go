package load

import (
	"errors"
	"fmt"

	"lichenpick/internal/clock"
)

const (
	maxRampSteps         = 1000
	maxRequestsPerSecond = 1e6
)

// Errors returned by Options.Check and by Ramp; test for them with errors.Is.
var (
	ErrNoTarget       = errors.New("load needs at least one target address")
	ErrNotPositive    = errors.New("load needs a rate, a step length, a deadline and a limit of requests in flight, all above 0")
	ErrRateOutOfRange = errors.New("a rate must be above 0 and at most 1000000 requests per second")
	ErrBadRamp        = errors.New("a ramp needs a first rate above 0, a last rate not below it, an increment above 0 and at most 1000 steps")
)

// Options are the parameters of a run. Class, Seed, Progress and the two fields of the objective may have their zero values;
// all other fields are required. Options must not change during Run.
type Options struct {
	Clock       clock.Clock
	Targets     []string  // addresses of the proxies; each request goes to one drawn at random, all with equal probability
	Class       string    // name of the traffic class; empty: the target's first class
	Rates       []float64 // requests per second of each step
	StepMs      float64   // length of a step, in ms
	DeadlineMs  float64   // time from when a request is due until it counts as failed, in ms
	MaxInFlight int       // largest number of requests in flight; requests beyond this number are not sent and count as unsent
	Seed        int64     // seed of the random times and targets

	// The two fields below are the objective of each step. A run with several rates stops after the first step that misses
	// the objective. A latency objective of 0 is met only by a step without successful requests.
	LatencyObjectiveMs float64 // limit of the 99th percentile of the latency, in ms
	MinSuccessRatio    float64 // smallest fraction of the requests that must succeed; 0: no requirement

	// Progress, unless nil, is called about once a second with the results of the current step, by the goroutine of Run.
	Progress func(step Step)
}

// Check returns an error if the options are incomplete or out of range.
func (o Options) Check() error {
	if len(o.Targets) == 0 {
		return ErrNoTarget
	}
	if len(o.Rates) == 0 || o.StepMs <= 0 || o.DeadlineMs <= 0 || o.MaxInFlight <= 0 {
		return ErrNotPositive
	}
	for _, rate := range o.Rates {
		inRange := rate > 0 && rate <= maxRequestsPerSecond // false for NaN
		if !inRange {
			return fmt.Errorf("%w, got %g/s", ErrRateOutOfRange, rate)
		}
	}
	return nil
}

// MeetsObjective reports whether a step meets both LatencyObjectiveMs and MinSuccessRatio.
func (o Options) MeetsObjective(step Step) bool {
	return step.P99 <= o.LatencyObjectiveMs && step.SuccessRatio() >= o.MinSuccessRatio
}

// Ramp returns the rates from one value up to another at a fixed increment. It returns no error other than ErrBadRamp.
func Ramp(from, to, by float64) ([]float64, error) {
	rises := from > 0 && by > 0 && to >= from // false for NaN
	if !rises || (to-from)/by > maxRampSteps {
		return nil, fmt.Errorf("%w; got %g to %g by %g", ErrBadRamp, from, to, by)
	}
	var rates []float64
	for rate := from; rate <= to*(1+1e-9); rate += by { // the tolerance keeps the last rate despite rounding errors
		rates = append(rates, rate)
	}
	return rates, nil
}
