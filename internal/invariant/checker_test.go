package invariant

import (
	"fmt"
	"testing"

	"lichenpick/proto/order"
)

// shared is a checker that has seen a proxy join two controllers and grant A under epoch 1.
func shared() *Checker {
	c := NewChecker(Limits{Idempotency: []Idempotency{NonIdempotent}, SameZoneOnly: []bool{false}, NoServerMs: 1e6, MaxBacklog: 1e6})
	for _, name := range []string{"A", "B"} {
		c.RecordJoin("x", name, 0, &order.Join{Proxy: "x", Lease: &order.Lease{}})
	}
	c.RecordLease("x", "A", 10, &order.Lease{Granted: true, Epoch: 1, Controller: "A", Count: 1})
	return c
}

func broken(c *Checker) string {
	_, counts := c.Finish(1000)
	return fmt.Sprint(counts)
}

func TestSharing(t *testing.T) {
	orders := func(epoch uint64) *order.Orders { return &order.Orders{Number: 1, Epoch: epoch} }
	t.Run("orders of the one that was granted, obeyed", func(t *testing.T) {
		c := shared()
		c.RecordSend("x", "A", 21, 20, orders(1))
		c.RecordAck("x", "A", 30, &order.Applied{Number: 1, Epoch: 1})
		if got := broken(c); got != "map[]" {
			t.Error(got)
		}
	})
	t.Run("orders decided while another was granted", func(t *testing.T) {
		c := shared()
		c.RecordSend("x", "B", 21, 20, orders(2))
		if got := broken(c); got != "map[one-commander:1]" {
			t.Error(got)
		}
	})
	t.Run("orders that came late: refused, or obeyed", func(t *testing.T) {
		for refused, want := range map[bool]string{true: "map[]", false: "map[stale-order:1]"} {
			c := shared()
			c.RecordSend("x", "A", 21, 20, orders(1))
			c.RecordLease("x", "B", 40, &order.Lease{Granted: true, Epoch: 2, Controller: "B", Count: 5})
			c.RecordAck("x", "A", 50, &order.Applied{Number: 1, Epoch: 2, Refused: refused})
			if got := broken(c); got != want {
				t.Errorf("refused %v: %s", refused, got)
			}
		}
	})
	t.Run("an epoch that falls; and one that only passed later on another stream", func(t *testing.T) {
		for count, want := range map[uint64]string{3: "map[]", 9: "map[stale-order:1]"} {
			c := shared()
			c.RecordLease("x", "B", 40, &order.Lease{Granted: true, Epoch: 7, Controller: "B", Count: 5})
			c.RecordLease("x", "A", 45, &order.Lease{Granted: true, Epoch: 3, Controller: "A", Count: count})
			if got := broken(c); got != want {
				t.Errorf("count %d: %s", count, got)
			}
		}
	})
}
