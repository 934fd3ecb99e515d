// Package load sends open-loop traffic to proxies: each request is due at a time that does not depend on earlier answers, and
// its latency is measured from that time, even if this process sends it late. A closed loop would send fewer requests while the
// proxy is slow, and so miss the latencies that it should measure (coordinated omission).
package load

import (
	"context"
	"errors"
	"io"
	"math/rand"
	"net/http"
	"sync"
	"time"

	"lichenpick/internal/clock"
	"lichenpick/internal/proxy"
)

const (
	// maxIdleConnections is the number of idle connections that are kept to each target.
	maxIdleConnections = 1024
	// progressIntervalMs is the time between two calls of Options.Progress.
	progressIntervalMs = 1000.0
)

// generator sends the requests of a run.
type generator struct {
	options  Options
	client   *http.Client
	random   *rand.Rand
	inFlight chan struct{} // holds one element for each request in flight
}

// Run sends traffic at each rate in turn. With several rates it stops after the first step that does not meet the objective.
// It returns the completed steps, and the error of the context if the context ended early. The options must have passed
// Check.
func Run(ctx context.Context, options Options) ([]Step, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}
	defer transport.CloseIdleConnections()
	g := &generator{
		options:  options,
		client:   &http.Client{Transport: transport},
		random:   rand.New(rand.NewSource(options.Seed)),
		inFlight: make(chan struct{}, options.MaxInFlight),
	}
	var steps []Step
	for _, rate := range options.Rates {
		step, err := g.runStep(ctx, rate)
		if err != nil {
			return steps, err
		}
		steps = append(steps, step)
		if len(options.Rates) > 1 && !options.MeetsObjective(step) {
			break
		}
	}
	return steps, nil
}

// runStep sends traffic at one rate for the length of a step, and waits until all requests have ended.
func (g *generator) runStep(ctx context.Context, rate float64) (Step, error) {
	recorder := newRecorder(rate)
	var requests sync.WaitGroup
	defer requests.Wait()
	startMs := g.options.Clock.Monotonic()
	lastProgressMs := 0.0
	dueMs := g.nextInterval(rate)
	for dueMs < g.options.StepMs {
		waitMs := startMs + dueMs - g.options.Clock.Monotonic()
		if waitMs > 0 {
			if err := clock.Sleep(ctx, g.options.Clock, waitMs); err != nil {
				return recorder.current(), err
			}
		}
		g.sendDue(ctx, &requests, recorder, startMs+dueMs)
		if g.options.Progress != nil && dueMs-lastProgressMs >= progressIntervalMs {
			lastProgressMs = dueMs
			g.options.Progress(recorder.current())
		}
		dueMs += g.nextInterval(rate)
	}
	requests.Wait()
	return recorder.current(), ctx.Err()
}

// nextInterval draws the time in ms from one request until the next is due.
func (g *generator) nextInterval(rate float64) float64 { return g.random.ExpFloat64() / rate * 1000 }

// sendDue sends a due request without waiting for its answer. If too many requests are in flight, it counts the request as
// unsent.
func (g *generator) sendDue(ctx context.Context, requests *sync.WaitGroup, recorder *recorder, dueMs float64) {
	target := g.options.Targets[g.random.Intn(len(g.options.Targets))]
	recorder.recordDue(g.options.Clock.Monotonic() - dueMs)
	select {
	case g.inFlight <- struct{}{}:
	default:
		recorder.recordUnsent()
		return
	}
	requests.Go(func() {
		defer func() { <-g.inFlight }()
		result := g.send(ctx, target, dueMs+g.options.DeadlineMs)
		recorder.recordOutcome(result, g.options.Clock.Monotonic()-dueMs)
	})
}

// send sends a request, waits for its answer until the deadline at most, and returns the outcome.
func (g *generator) send(ctx context.Context, target string, deadlineMs float64) outcome {
	timeoutMs := max(deadlineMs-g.options.Clock.Monotonic(), 1)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(timeoutMs*float64(time.Millisecond)))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/", http.NoBody)
	if err != nil {
		return failed
	}
	if g.options.Class != "" {
		request.Header.Set(proxy.ClassHeader, g.options.Class)
	}
	response, err := g.client.Do(request)
	if err != nil {
		return failed
	}
	_, err = io.Copy(io.Discard, response.Body)
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return failed
	}
	if response.StatusCode < http.StatusBadRequest {
		return succeeded
	}
	switch response.Header.Get(proxy.OutcomeHeader) {
	case proxy.OutcomeRejected, proxy.OutcomeNoServer:
		return rejected
	}
	return failed
}
