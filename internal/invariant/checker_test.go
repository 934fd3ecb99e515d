package invariant

import (
	"fmt"
	"testing"

	"lichenpick/proto/order"
)

// newSharedChecker returns a checker for a shared fleet, in which proxy x has joined planners A and B and granted A its lease
// under epoch 1.
func newSharedChecker(t *testing.T) *Checker {
	t.Helper()
	checker := NewChecker(Limits{Idempotency: []Idempotency{NonIdempotent}, SameZoneOnly: []bool{false}, NoServerMs: 1e6, MaxBacklog: 1e6})
	for _, planner := range []string{"A", "B"} {
		checker.RecordJoin("x", planner, 0, &order.Join{Proxy: "x", Lease: &order.Lease{}})
	}
	checker.RecordLease("x", "A", 10, &order.Lease{Granted: true, Epoch: 1, Controller: "A", Count: 1})
	return checker
}

// violationCounts finishes the run and returns the number of violations by rule, as text.
func violationCounts(t *testing.T, checker *Checker) string {
	t.Helper()
	_, counts := checker.Finish(1000)
	return fmt.Sprint(counts)
}

func TestLeaseRules(t *testing.T) {
	orders := func(epoch uint64) *order.Orders { return &order.Orders{Number: 1, Epoch: epoch} }
	t.Run("orders of the lease holder may be applied", func(t *testing.T) {
		checker := newSharedChecker(t)
		checker.RecordSend("x", "A", 21, 20, orders(1))
		checker.RecordAck("x", "A", 30, &order.Applied{Number: 1, Epoch: 1})
		if got := violationCounts(t, checker); got != "map[]" {
			t.Error(got)
		}
	})
	t.Run("a planner must not decide orders while another holds the lease", func(t *testing.T) {
		checker := newSharedChecker(t)
		checker.RecordSend("x", "B", 21, 20, orders(2))
		if got := violationCounts(t, checker); got != "map[one-commander:1]" {
			t.Error(got)
		}
	})
	t.Run("orders of a past epoch must be rejected", func(t *testing.T) {
		for rejected, want := range map[bool]string{true: "map[]", false: "map[stale-order:1]"} {
			checker := newSharedChecker(t)
			checker.RecordSend("x", "A", 21, 20, orders(1))
			checker.RecordLease("x", "B", 40, &order.Lease{Granted: true, Epoch: 2, Controller: "B", Count: 5})
			checker.RecordAck("x", "A", 50, &order.Applied{Number: 1, Epoch: 2, Refused: rejected})
			if got := violationCounts(t, checker); got != want {
				t.Errorf("rejected %v: %s, want %s", rejected, got, want)
			}
		}
	})
	t.Run("an epoch must not fall, but an older grant may be observed later on another stream", func(t *testing.T) {
		for count, want := range map[uint64]string{3: "map[]", 9: "map[stale-order:1]"} {
			checker := newSharedChecker(t)
			checker.RecordLease("x", "B", 40, &order.Lease{Granted: true, Epoch: 7, Controller: "B", Count: 5})
			checker.RecordLease("x", "A", 45, &order.Lease{Granted: true, Epoch: 3, Controller: "A", Count: count})
			if got := violationCounts(t, checker); got != want {
				t.Errorf("count %d: %s, want %s", count, got, want)
			}
		}
	})
}
