package planner

import (
	"math"
	"testing"

	"lichenpick/policy"
	"lichenpick/proto/order"
)

func TestLoadReport(t *testing.T) {
	t.Run("a sample of a removed server has no effect, and one of a server that was never listed is ignored", func(t *testing.T) {
		host := newRecordingHost(t, "proxies: 4", 4)
		stream := host.join("x", 1, 1)
		host.run(0, 3000)
		host.UpdateEndpoints(stateChange("s0", policy.Removed))
		host.run(3050, 5000)
		before := len(host.sent[stream])
		host.HandleLoadReport(stream, &order.Sums{CoversMs: 1000, Servers: []*order.ServerSum{
			{Server: "s0", Tries: 50, LatencyMs: 5},
			{Server: "never listed", Tries: 9},
		}})
		host.run(5050, 6500)
		for _, message := range host.sent[stream][before:] {
			for _, o := range message.(*order.Orders).Orders {
				entry := o.GetLine().GetLine()
				if entry.GetServer() == "s0" && entry.GetWeight() > 0 {
					t.Errorf("the removed server got a weight again: %v", o)
				}
			}
		}
		if host.Counts.Ignored != 1 || !host.received(stream, isEjectionOf("s0")) {
			t.Errorf("%d samples ignored, expected 1, or the removed server was not ejected", host.Counts.Ignored)
		}
	})
}

func TestReportIntake(t *testing.T) {
	t.Run("one load per server and period passes, oldest first, at the configured rate", testIntakeRate)
	t.Run("queued loads of a proxy that left are skipped", testIntakeSkipsRemoved)
	t.Run("if the queue is full the oldest load is shed and counted", testIntakeSheds)
}

// newTestIntake returns an intake with periods of 1 s that passes one load per second.
func newTestIntake(maxQueued int) *reportIntake {
	return newReportIntake(intakeLimits{periodMs: 1000, perSecond: 1, maxQueued: maxQueued}, 0)
}

// expectLoad takes the next load, checks it and returns its sample.
func expectLoad(t *testing.T, intake *reportIntake, expected *pendingLoad, count int, coversMs float64) loadSample {
	t.Helper()
	load := intake.next()
	if load != expected {
		t.Fatalf("next load is %+v, expected %+v", load, expected)
	}
	sample := load.take()
	if sample.count != count || load.coversMs != coversMs {
		t.Errorf("%+v covers %g ms, expected %d attempts in %g ms", sample, load.coversMs, count, coversMs)
	}
	return sample
}

func testIntakeRate(t *testing.T) {
	first := &pendingLoad{server: "a"}
	second := &pendingLoad{server: "b"}
	intake := newTestIntake(10)
	intake.add(first, 5, 1, 10)
	intake.add(second, 1, 0, 10)
	intake.add(first, 5, 0, 20)
	intake.setTime(1000)
	sample := expectLoad(t, intake, first, 10, 1000)
	if sample != (loadSample{count: 10, failed: 1, latencyMs: 140}) {
		t.Errorf("wrong sample %+v", sample)
	}
	if intake.next() != nil {
		t.Error("two loads passed within a second")
	}
	intake.add(second, 2, 0, 10)
	intake.setTime(2000)
	expectLoad(t, intake, second, 3, 2000)
	intake.add(second, 2, 0, 10)
	intake.setTime(3000)
	expectLoad(t, intake, second, 2, 1000) // without the samples that the previous expectLoad took
}

// Loads of a proxy that left must not reach the policy, and must not use up the rate or the queue space of others.
func testIntakeSkipsRemoved(t *testing.T) {
	removed := &pendingLoad{proxy: &joinedProxy{}}
	other := &pendingLoad{server: "b"}
	intake := newTestIntake(2)
	intake.add(removed, 1, 0, 1)
	intake.add(other, 1, 0, 1)
	intake.setTime(1000)
	intake.remove([]*pendingLoad{removed})
	if load := intake.next(); load != other {
		t.Errorf("next load is %+v, expected that of the server", load)
	}
	if load := intake.next(); load != nil {
		t.Errorf("next load is %+v, expected none", load)
	}
	if deadline := intake.deadline(); !math.IsInf(deadline, 1) {
		t.Errorf("deadline %g although nothing waits", deadline)
	}
}

func testIntakeSheds(t *testing.T) {
	oldest := &pendingLoad{server: "a"}
	newest := &pendingLoad{server: "b"}
	intake := newTestIntake(1)
	intake.add(oldest, 1, 0, 1)
	intake.add(newest, 1, 0, 1)
	intake.setTime(1000)
	load := intake.next()
	if load != newest || intake.shed != 1 || oldest.isQueued || oldest.queued.count != 0 {
		t.Errorf("next load is %+v, %d loads shed, the oldest is %+v", load, intake.shed, oldest)
	}
}
