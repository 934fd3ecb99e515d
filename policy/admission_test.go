package policy

import "testing"

func TestAdmissionDuringOverload(t *testing.T) {
	t.Run("the class of least value is cut first and later admitted in full again", func(t *testing.T) {
		f := startFleet(testSettings(), 8)
		f.run(10, healthy)
		f.run(5, overloaded)
		if f.admission[0] >= 1 || f.admission[0] == 0 {
			t.Fatalf("admission rate of class 0 is %g during an overload, want between 0 and 1", f.admission[0])
		}
		if rate, ordered := f.admission[1]; ordered && rate < f.admission[0] {
			t.Errorf("the class of higher value was cut to %g, the other one to %g", rate, f.admission[0])
		}
		f.run(40, healthy)
		if f.admission[0] != 1 {
			t.Errorf("admission rate is %g 40 s after the overload, want 1", f.admission[0])
		}
	})
	t.Run("after an overload, the rate that succeeded before is admitted again at once", func(t *testing.T) {
		f := startFleet(testSettings(), 8)
		f.run(10, healthy)
		f.run(5, overloaded)
		f.run(7, healthy)
		if f.admission[0] < 0.7 {
			t.Errorf("admission rate is %g 7 s after the overload, want at least 0.7", f.admission[0])
		}
	})
}

func TestAdmissionWithoutOverload(t *testing.T) {
	t.Run("fast failures of many servers are no overload", func(t *testing.T) {
		f := startFleet(testSettings(), 8)
		f.run(10, healthy)
		f.run(10, func(server string) (int, int, float64) {
			if server < "s5" {
				return 10, 6, 100
			}
			return healthy(server)
		})
		if len(f.admission) > 0 {
			t.Errorf("admission rates %v were ordered though no requests wait", f.admission)
		}
	})
	t.Run("one dead server is no overload", func(t *testing.T) {
		f := startFleet(testSettings(), 8)
		f.run(10, healthy)
		f.run(10, except("s3", 20, 20, 0))
		if len(f.admission) > 0 {
			t.Errorf("admission rates %v were ordered for one dead server", f.admission)
		}
	})
}

func TestRetryModeOfNonIdempotentClass(t *testing.T) {
	settings := testSettings()
	settings.DefaultRetry = RetryTwice
	f := startFleet(settings, 4)
	if f.retries[1] != RetryUnprocessed {
		t.Errorf("retry mode of the non-idempotent class is %d, want RetryUnprocessed", f.retries[1])
	}
	if _, ordered := f.retries[0]; ordered {
		t.Error("an order was sent for the idempotent class, which keeps the default retry mode")
	}
}
