package fake

import (
	"math"
	"testing"

	"lichenpick/internal/settings"
	pb "lichenpick/proto/settings"
)

// newServerSettings returns validated settings of a server with two cores that warms up within 10 s.
func newServerSettings(t *testing.T) *pb.Server {
	t.Helper()
	const text = `name: "s" listen: "127.0.0.1:0" cores: 2 speed: 1 work: "10ms" waiting: 2
		cold_share: 0.1 warm_up: "10s" fall_window: "1s" fall_multiple: 2`
	set := &pb.Server{}
	if err := settings.Parse("test", []byte(text), set); err != nil {
		t.Fatal(err)
	}
	return set
}

func TestCapacityRisesLinearlyAfterColdStart(t *testing.T) {
	set := newServerSettings(t)
	for _, test := range []struct {
		ageMs float64
		cold  bool
		want  float64
	}{
		{ageMs: 0, cold: true, want: 0.2},
		{ageMs: 5000, cold: true, want: 1.1},
		{ageMs: 10_000, cold: true, want: 2},
		{ageMs: 0, cold: false, want: 2},
	} {
		if got := Capacity(set, test.ageMs, test.cold); math.Abs(got-test.want) > 1e-9 {
			t.Errorf("capacity at an age of %g ms, cold %t: %g, want %g", test.ageMs, test.cold, got, test.want)
		}
	}
}

func TestWarmUp(t *testing.T) {
	t.Run("a cold server crashes when the work in the window exceeds the multiple of its capacity", func(t *testing.T) {
		model := NewWarmUp(newServerSettings(t))
		model.Start(1000, true)
		// With a cold share of 0.1, the server's two cores do 200 ms of work in the window of 1 s. The server crashes when
		// it receives more than twice this work in the window, which is 400 ms.
		if model.Receive(1000, 390) {
			t.Error("the server crashed below the limit")
		}
		if !model.Receive(1001, 390) || !model.Overloaded() || model.Overloads() != 1 {
			t.Errorf("after work above the limit: overloaded %t, %d overloads", model.Overloaded(), model.Overloads())
		}
		model.Start(2000, true)
		if model.Overloaded() || model.Overloads() != 1 {
			t.Errorf("after the next start: overloaded %t, %d overloads", model.Overloaded(), model.Overloads())
		}
	})
	t.Run("work before the window does not count", func(t *testing.T) {
		model := NewWarmUp(newServerSettings(t))
		model.Start(1000, true)
		if model.Receive(1000, 390) || model.Receive(2000, 390) {
			t.Error("the server crashed, as if earlier work counted")
		}
	})
	t.Run("a warm server does not crash", func(t *testing.T) {
		model := NewWarmUp(newServerSettings(t))
		model.Start(1000, false)
		if model.Receive(1000, 1e6) || model.StartedMs() != 0 {
			t.Error("the server crashed or has the time of a cold start")
		}
	})
}

func TestDeduplicatorForgetsAfterTheWindow(t *testing.T) {
	var deduplicator Deduplicator
	if !deduplicator.recordKey("a", 0, 100) || deduplicator.recordKey("a", 100, 100) || !deduplicator.recordKey("b", 100, 100) {
		t.Error("within the window: a new key was reported as seen, or a seen key as new")
	}
	if !deduplicator.recordKey("a", 201, 100) {
		t.Error("after the window: the key was reported as seen")
	}
}
