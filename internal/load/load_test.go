package load

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lichenpick/internal/clock"
	"lichenpick/internal/proxy"
)

func options(at *httptest.Server) Options {
	return Options{
		Clock: clock.NewReal(), Targets: []string{strings.TrimPrefix(at.URL, "http://")}, Rates: []float64{200}, StepMs: 1500,
		DeadlineMs: 5000, LatencyObjectiveMs: 300, MinSuccessRatio: 0.99, MaxInFlight: 1000, Seed: 1,
	}
}

func TestLoad(t *testing.T) {
	// A closed loop would send one flow into the stall and measure one long time. All that were due in it must show.
	t.Run("a stall shows in all flows that were due in it", func(t *testing.T) {
		c := clock.NewReal()
		s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			if at := c.Monotonic(); at > 500 && at < 1000 {
				clock.Sleep(t.Context(), c, 1000-at)
			}
		}))
		defer s.Close()
		got, err := Run(t.Context(), options(s))
		if err != nil || len(got) != 1 || got[0].Due < 200 || got[0].Succeeded != got[0].Due || got[0].P90 < 200 {
			t.Errorf("%+v, %v", got, err)
		}
	})
	t.Run("what is blocked, dropped and not sent is told apart, and none is missing", func(t *testing.T) {
		var n atomic.Int64
		hold := make(chan struct{})
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			switch k := n.Add(1); {
			case k <= 50:
				w.Header().Set(proxy.OutcomeHeader, "blocked")
				w.WriteHeader(http.StatusServiceUnavailable)
			case k <= 80:
				w.WriteHeader(http.StatusBadGateway)
			case k > 120:
				<-hold
			}
		}))
		defer s.Close()
		o := options(s)
		o.MaxInFlight = 40
		time.AfterFunc(1800*time.Millisecond, func() { close(hold) })
		got, err := Run(t.Context(), o)
		if err != nil {
			t.Fatal(err)
		}
		x := got[0]
		if x.Rejected != 50 || x.Failed != 30 || x.Succeeded != 80 || x.Unsent == 0 || x.Due != x.Rejected+x.Failed+x.Succeeded+x.Unsent {
			t.Errorf("%+v", x)
		}
	})
	t.Run("a ramp ends after the first step that does not hold", func(t *testing.T) {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }))
		defer s.Close()
		o := options(s)
		o.Rates, o.StepMs = []float64{50, 100}, 200
		got, err := Run(t.Context(), o)
		if err != nil || len(got) != 1 || o.MeetsObjective(got[0]) {
			t.Errorf("%+v, %v", got, err)
		}
	})
	t.Run("odd ramps and options are refused", func(t *testing.T) {
		if r, err := Ramp(100, 300, 100); err != nil || len(r) != 3 {
			t.Errorf("%v %v", r, err)
		}
		if _, err := Ramp(100, 50, 10); err == nil {
			t.Error("a ramp that falls")
		}
		if (Options{Targets: []string{"x"}, Rates: []float64{-1}, StepMs: 1, DeadlineMs: 1, MaxInFlight: 1}).Check() == nil || (Options{}).Check() == nil {
			t.Error("odd options pass")
		}
	})
}
