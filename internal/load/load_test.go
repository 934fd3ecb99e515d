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

// startServer starts a server until the end of the test, and returns options that send to it.
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
	// A closed loop would send one request into the stall and measure one long time. All that were due in it must show.
	t.Run("a stall shows in all requests that were due in it", func(t *testing.T) {
		serverClock := clock.NewReal()
		options := startServer(t, func(http.ResponseWriter, *http.Request) {
			if nowMs := serverClock.Monotonic(); nowMs > 500 && nowMs < 1000 {
				_ = clock.Sleep(t.Context(), serverClock, 1000-nowMs) // an early end shows in the latencies
			}
		})
		steps, err := Run(t.Context(), options)
		if err != nil || len(steps) != 1 {
			t.Fatalf("%+v, %v", steps, err)
		}
		if step := steps[0]; step.Due < 200 || step.Succeeded != step.Due || step.P90 < 200 {
			t.Errorf("%+v", step)
		}
	})
	t.Run("rejected, failed and unsent requests are told apart, and none is missing", testOutcomes)
	t.Run("a ramp ends after the first step that misses the objective", func(t *testing.T) {
		options := startServer(t, func(response http.ResponseWriter, _ *http.Request) {
			response.WriteHeader(http.StatusBadGateway)
		})
		options.Rates = []float64{50, 100}
		options.StepMs = 200
		steps, err := Run(t.Context(), options)
		if err != nil || len(steps) != 1 || options.MeetsObjective(steps[0]) {
			t.Errorf("%+v, %v", steps, err)
		}
	})
	t.Run("ramps and options that cannot be run are refused", testRefusedOptions)
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
		t.Errorf("%+v", step)
	}
	if step.Due != step.Rejected+step.Failed+step.Succeeded+step.Unsent {
		t.Errorf("requests are missing: %+v", step)
	}
}

func testRefusedOptions(t *testing.T) {
	rates, err := Ramp(100, 300, 100)
	if err != nil || len(rates) != 3 {
		t.Errorf("%v %v", rates, err)
	}
	if _, err := Ramp(100, 50, 10); !errors.Is(err, ErrBadRamp) {
		t.Errorf("a ramp that falls: %v", err)
	}
	negativeRate := Options{Targets: []string{"x"}, Rates: []float64{-1}, StepMs: 1, DeadlineMs: 1, MaxInFlight: 1}
	if err := negativeRate.Check(); !errors.Is(err, ErrRateOutOfRange) {
		t.Errorf("a negative rate: %v", err)
	}
	if err := (Options{}).Check(); !errors.Is(err, ErrNoTarget) {
		t.Errorf("no target: %v", err)
	}
}
