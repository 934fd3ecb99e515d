// Package load sends open-loop traffic: each flow has its time, drawn ahead, and is measured from that time on, whether the tool or
// what it loads was late. A closed loop would send less while things are slow, and so leave out what it is there to see.
package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lichenpick/internal/clock"
	"lichenpick/internal/proxy"
)

// Options of a run. Times in ms, rates a second.
type Options struct {
	Clock              clock.Clock
	Targets            []string // addresses, drawn evenly
	Class              string   // traffic group; empty: the first
	Rates              []float64
	StepMs             float64 // that each rate lasts
	DeadlineMs         float64 // after which a flow counts as dropped
	LatencyObjectiveMs float64 // that p99 must keep, for the knee
	MinSuccessRatio    float64 // part that must be delivered, for the knee
	MaxInFlight        int     // in hand; more are counted as unsent
	Seed               int64
	Progress           func(s Step) // each second, with the step so far; may be nil
}

// Step is what became of the flows of one rate. Latencies are of delivered ones, in ms from the time each was to be sent.
type Step struct {
	Rate                                     float64
	Due, Succeeded, Rejected, Failed, Unsent int
	P50, P90, P99, P999, Max                 float64
	LateMs                                   float64 // the most that the tool itself was late to send
}

// SuccessRatio is the part delivered.
func (s Step) SuccessRatio() float64 { return float64(s.Succeeded) / float64(max(s.Due, 1)) }

// MeetsObjective says whether a step kept the budget.
func (o Options) MeetsObjective(s Step) bool {
	return s.P99 <= o.LatencyObjectiveMs && s.SuccessRatio() >= o.MinSuccessRatio
}

// Ramp gives rates from one to another, in equal steps.
func Ramp(from, to, by float64) (rates []float64, err error) {
	if !(from > 0 && by > 0 && to >= from) || (to-from)/by > 1000 {
		return nil, fmt.Errorf("a ramp goes from a rate above 0 up to another, in at most 1000 steps; not from %g to %g by %g", from, to, by)
	}
	for r := from; r <= to*(1+1e-9); r += by {
		rates = append(rates, r)
	}
	return rates, nil
}

// tally collects a step while it runs.
type tally struct {
	mu   sync.Mutex
	step Step
	hist *hdrhistogram.Histogram // us
}

func (t *tally) read() Step {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, at := t.step, func(q float64) float64 { return float64(t.hist.ValueAtQuantile(q)) / 1000 }
	s.P50, s.P90, s.P99, s.P999, s.Max = at(50), at(90), at(99), at(99.9), at(100)
	return s
}

// Run plays all steps, and stops after the first that does not hold if there are several: the one before it is the knee.
func Run(ctx context.Context, o Options) (steps []Step, err error) {
	line := &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}
	defer line.CloseIdleConnections()
	client := &http.Client{Transport: line}
	chance := rand.New(rand.NewSource(o.Seed))
	inHand := make(chan struct{}, o.MaxInFlight)
	for _, rate := range o.Rates {
		s, err := o.step(ctx, client, chance, inHand, rate)
		if err != nil {
			return steps, err
		}
		if steps = append(steps, s); len(o.Rates) > 1 && !o.MeetsObjective(s) {
			break
		}
	}
	return steps, nil
}

func (o Options) step(ctx context.Context, client *http.Client, chance *rand.Rand, inHand chan struct{}, rate float64) (Step, error) {
	t := &tally{step: Step{Rate: rate}, hist: hdrhistogram.New(1, 600e6, 3)}
	var flows sync.WaitGroup
	defer flows.Wait()
	start, told := o.Clock.Monotonic(), 0.0
	for next := chance.ExpFloat64() / rate * 1000; next < o.StepMs; next += chance.ExpFloat64() / rate * 1000 {
		if wait := start + next - o.Clock.Monotonic(); wait > 0 && clock.Sleep(ctx, o.Clock, wait) != nil {
			return t.read(), ctx.Err()
		}
		due, to, now := start+next, o.Targets[chance.Intn(len(o.Targets))], o.Clock.Monotonic()
		t.mu.Lock()
		t.step.Due++
		t.step.LateMs = max(t.step.LateMs, now-due)
		t.mu.Unlock()
		select {
		case inHand <- struct{}{}:
			flows.Add(1)
			go func() {
				defer flows.Done()
				defer func() { <-inHand }()
				o.flow(ctx, client, t, to, due)
			}()
		default:
			t.mu.Lock()
			t.step.Unsent++
			t.mu.Unlock()
		}
		if o.Progress != nil && next-told >= 1000 {
			told = next
			o.Progress(t.read())
		}
	}
	flows.Wait()
	return t.read(), ctx.Err()
}

func (o Options) flow(ctx context.Context, client *http.Client, t *tally, to string, due float64) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(max(due+o.DeadlineMs-o.Clock.Monotonic(), 1)*float64(time.Millisecond)))
	defer cancel()
	good, blocked := o.ask(ctx, client, to)
	took := o.Clock.Monotonic() - due
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case good:
		t.step.Succeeded++
		t.hist.RecordValue(max(int64(took*1000), 1))
	case blocked:
		t.step.Rejected++
	default:
		t.step.Failed++
	}
}

func (o Options) ask(ctx context.Context, client *http.Client, to string) (good, blocked bool) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+"/", http.NoBody)
	if err != nil {
		return false, false
	}
	if o.Class != "" {
		r.Header.Set(proxy.ClassHeader, o.Class)
	}
	resp, err := client.Do(r)
	if err != nil {
		return false, false
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return false, false
	}
	outcome := resp.Header.Get(proxy.OutcomeHeader)
	return resp.StatusCode < 400, outcome == "blocked" || outcome == "bare"
}

// Check finds what cannot be played.
func (o Options) Check() error {
	switch {
	case len(o.Targets) == 0:
		return errors.New("load needs at least one address")
	case len(o.Rates) == 0 || o.StepMs <= 0 || o.DeadlineMs <= 0 || o.MaxInFlight <= 0:
		return errors.New("load needs a rate, a length, an expiry and a bound on flows in hand, all above 0")
	}
	for _, r := range o.Rates {
		if !(r > 0 && r <= 1e6) {
			return fmt.Errorf("a rate of %g/s; above 0, at most a million", r)
		}
	}
	return nil
}
