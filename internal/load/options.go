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

// Errors of Options that cannot be run, and of ramps; test with errors.Is.
var (
	ErrNoTarget       = errors.New("load needs at least one address")
	ErrNotPositive    = errors.New("load needs a rate, a length, a deadline and a bound on requests in flight, all above 0")
	ErrRateOutOfRange = errors.New("a rate must be above 0 and at most a million")
	ErrBadRamp        = errors.New("a ramp goes from a rate above 0 up to another, in at most 1000 steps")
)

// Options say what to send. All fields are required but Class, Seed, Progress and the two of the objective, whose zero
// values are stated. Options must not change during Run.
type Options struct {
	Clock       clock.Clock
	Targets     []string  // addresses, drawn evenly
	Class       string    // traffic class; empty: the target's first
	Rates       []float64 // requests a second, one for each step
	StepMs      float64   // length of each step
	DeadlineMs  float64   // from the time a request was due, after which it counts as failed
	MaxInFlight int       // requests that may be in flight; more are not sent, and counted
	Seed        int64     // of the times and targets

	// The objective, which ends a ramp at the first step that does not meet it. With both 0 no latency meets it.
	LatencyObjectiveMs float64 // that the 99th percentile may not exceed
	MinSuccessRatio    float64 // part of the requests that must succeed; 0: any

	// Progress is called about once a second with the step so far, by the goroutine of Run; nil: it is not.
	Progress func(step Step)
}

// Check returns an error for options that cannot be run.
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
			return fmt.Errorf("%w, not %g/s", ErrRateOutOfRange, rate)
		}
	}
	return nil
}

// MeetsObjective reports whether a step met the objective.
func (o Options) MeetsObjective(step Step) bool {
	return step.P99 <= o.LatencyObjectiveMs && step.SuccessRatio() >= o.MinSuccessRatio
}

// Ramp returns rates from one up to another, in equal steps. Its only error is ErrBadRamp.
func Ramp(from, to, by float64) ([]float64, error) {
	rises := from > 0 && by > 0 && to >= from // false for NaN
	if !rises || (to-from)/by > maxRampSteps {
		return nil, fmt.Errorf("%w; not from %g to %g by %g", ErrBadRamp, from, to, by)
	}
	var rates []float64
	for rate := from; rate <= to*(1+1e-9); rate += by { // the last one despite rounding
		rates = append(rates, rate)
	}
	return rates, nil
}
