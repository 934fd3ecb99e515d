package policy

import "testing"

func TestAdmissionInAnOverload(t *testing.T) {
	t.Run("the class that earns least gives way first, and comes back", func(t *testing.T) {
		f := startFleet(testSettings(), 8)
		f.run(10, healthy)
		f.run(5, overloaded)
		if f.admission[0] >= 1 || f.admission[0] == 0 {
			t.Fatalf("admission rate %g in an overload", f.admission[0])
		}
		if rate, ordered := f.admission[1]; ordered && rate < f.admission[0] {
			t.Errorf("the better class was cut to %g, the other to %g", rate, f.admission[0])
		}
		f.run(40, healthy)
		if f.admission[0] != 1 {
			t.Errorf("admission rate %g long after the overload", f.admission[0])
		}
	})
	t.Run("after it what succeeded before is admitted again at once", func(t *testing.T) {
		f := startFleet(testSettings(), 8)
		f.run(10, healthy)
		f.run(5, overloaded)
		f.run(7, healthy)
		if f.admission[0] < 0.7 {
			t.Errorf("admission rate %g seven seconds after the overload", f.admission[0])
		}
	})
}

func TestAdmissionWithoutAnOverload(t *testing.T) {
	t.Run("servers that reject at once are none", func(t *testing.T) {
		f := startFleet(testSettings(), 8)
		f.run(10, healthy)
		f.run(10, func(server string) (int, int, float64) {
			if server < "s5" {
				return 10, 6, 100
			}
			return healthy(server)
		})
		if len(f.admission) > 0 {
			t.Errorf("admission rates %v though nothing waits", f.admission)
		}
	})
	t.Run("one dead server is none", func(t *testing.T) {
		f := startFleet(testSettings(), 8)
		f.run(10, healthy)
		f.run(10, except("s3", 20, 20, 0))
		if len(f.admission) > 0 {
			t.Errorf("admission rates %v for one server", f.admission)
		}
	})
}

func TestNoRetryThatARuleForbids(t *testing.T) {
	settings := testSettings()
	settings.DefaultRetry = RetryTwice
	f := startFleet(settings, 4)
	if f.retries[1] != RetryUnprocessed {
		t.Errorf("non-idempotent requests are repeated in mode %d", f.retries[1])
	}
	if _, ordered := f.retries[0]; ordered {
		t.Error("idempotent requests need no order")
	}
}
