package load

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lichenpick/internal/clock"
	"lichenpick/internal/proxy"
)

// startServer starts an HTTP server until the end of the test, and returns options that send traffic to it.
func startServer(t *testing.T, handler http.HandlerFunc) Options {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return Options{
		Clock:              clock.NewReal(),
		Targets:            []string{strings.TrimPrefix(server.URL, "http://")},
		Rates:              []float64{200},
		StepMs:             1500,
		DeadlineMs:         5000,
		LatencyObjectiveMs: 300,
		MinSuccessRatio:    0.99,
		MaxInFlight:        1000,
		Seed:               1,
	}
}

func TestRun(t *testing.T) {
	// A closed loop would send one request into the stall and measure one long latency. An open loop must measure the wait of
	// every request that was due during the stall.
	t.Run("a stall of the server raises the latency of all requests due during it", func(t *testing.T) {
		serverClock := clock.NewReal()
		options := startServer(t, func(http.ResponseWriter, *http.Request) {
			if nowMs := serverClock.Monotonic(); nowMs > 500 && nowMs < 1000 {
				// An early return of Sleep would lower the latencies and fail the test.
				_ = clock.Sleep(t.Context(), serverClock, 1000-nowMs)
			}
		})
		steps, err := Run(t.Context(), options)
		if err != nil || len(steps) != 1 {
			t.Fatalf("steps %+v, error %v; want one step", steps, err)
		}
		if step := steps[0]; step.Due < 200 || step.Succeeded != step.Due || step.P90 < 200 {
			t.Errorf("too few requests, failures, or latencies that hide the stall: %+v", step)
		}
	})
	t.Run("rejected, failed and unsent requests are counted separately, and each once", testOutcomes)
	t.Run("a ramp ends after the first step that misses the objective", func(t *testing.T) {
		options := startServer(t, func(response http.ResponseWriter, _ *http.Request) {
			response.WriteHeader(http.StatusBadGateway)
		})
		options.Rates = []float64{50, 100}
		options.StepMs = 200
		steps, err := Run(t.Context(), options)
		if err != nil || len(steps) != 1 || options.MeetsObjective(steps[0]) {
			t.Errorf("steps %+v, error %v; want one step that misses the objective", steps, err)
		}
	})
	t.Run("invalid ramps and options are rejected", testRefusedOptions)
}

func testOutcomes(t *testing.T) {
	var received atomic.Int64
	hold := make(chan struct{})
	options := startServer(t, func(response http.ResponseWriter, _ *http.Request) {
		number := received.Add(1)
		switch {
		case number <= 50:
			response.Header().Set(proxy.OutcomeHeader, "blocked")
			response.WriteHeader(http.StatusServiceUnavailable)
		case number <= 80:
			response.WriteHeader(http.StatusBadGateway)
		case number > 120:
			<-hold
		}
	})
	options.MaxInFlight = 40
	time.AfterFunc(1800*time.Millisecond, func() { close(hold) })
	steps, err := Run(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	step := steps[0]
	if step.Rejected != 50 || step.Failed != 30 || step.Succeeded != 80 || step.Unsent == 0 {
		t.Errorf("wrong counts: %+v", step)
	}
	if step.Due != step.Rejected+step.Failed+step.Succeeded+step.Unsent {
		t.Errorf("the outcomes do not add up to the requests due: %+v", step)
	}
}

func testRefusedOptions(t *testing.T) {
	rates, err := Ramp(100, 300, 100)
	if err != nil || len(rates) != 3 {
		t.Errorf("a ramp from 100 to 300 by 100: rates %v, error %v; want 3 rates", rates, err)
	}
	if _, err := Ramp(100, 50, 10); !errors.Is(err, ErrBadRamp) {
		t.Errorf("a ramp from 100 down to 50: %v", err)
	}
	negativeRate := Options{Targets: []string{"x"}, Rates: []float64{-1}, StepMs: 1, DeadlineMs: 1, MaxInFlight: 1}
	if err := negativeRate.Check(); !errors.Is(err, ErrRateOutOfRange) {
		t.Errorf("options with a negative rate: %v", err)
	}
	if err := (Options{}).Check(); !errors.Is(err, ErrNoTarget) {
		t.Errorf("options without a target: %v", err)
	}
}
