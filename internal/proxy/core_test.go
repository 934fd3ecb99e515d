package proxy

import (
	"fmt"
	"math"
	"testing"

	"lichenpick/internal/settings"
	"lichenpick/policy"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

func begin(t testing.TB, more string) *Core {
	t.Helper()
	set := &pb.Proxy{}
	if err := settings.Parse("test", []byte(`name: "x" listen: "127.0.0.1:0" planners: "127.0.0.1:1" standing: "127.0.0.1:1" standing: "127.0.0.1:2"
		groups { name: "check" latency_budget: "600ms" expiry: "1.5s" repeat: RETRIABLE }
		groups { name: "charge" latency_budget: "800ms" expiry: "2.5s" }`+more), set); err != nil {
		t.Fatal(err)
	}
	return NewCore(set, 0)
}

func bindTo(number uint32, withdrawn []string, lines ...any) *order.Orders {
	b := &order.Bind{Table: number, Groups: []uint32{0, 1}, Withdrawn: withdrawn}
	for n := 0; n < len(lines); n += 2 {
		b.Lines = append(b.Lines, &order.Line{Server: lines[n].(string), Weight: lines[n+1].(float64)})
	}
	return &order.Orders{Orders: []*order.Order{{What: &order.Order_Bind{Bind: b}}}}
}

func levelOf(group uint32, share float64, retry uint32) *order.Orders {
	return &order.Orders{Orders: []*order.Order{{What: &order.Order_Level{Level: &order.Level{Group: group, Share: share, Retry: retry}}}}}
}

func withdraw(server string, out bool) *order.Orders {
	return &order.Orders{Orders: []*order.Order{{What: &order.Order_Withdraw{Withdraw: &order.Withdraw{Server: server, Out: out}}}}}
}

// picks counts what a number of flows of a group pick.
func picks(c *Core, group, n int) map[string]int {
	got := map[string]int{}
	for range n {
		if f, ok := c.Admit(0, group); ok {
			s, _, _ := c.Pick(0, f)
			got[s]++
			c.FinishAttempt(0, f, s, Succeeded, 1)
		}
	}
	return got
}

func TestCore(t *testing.T) {
	t.Run("picks go by weight, each way of picking", func(t *testing.T) {
		for _, how := range []string{"WEIGHTED", "ROUND", "TWO"} {
			c := begin(t, "pick: "+how)
			c.StartSession(&order.Welcome{})
			c.ApplyOrders(bindTo(1, nil, "a", 0.6, "b", 0.3, "c", 0.1))
			got := picks(c, 0, 10000)
			if math.Abs(float64(got["a"])-6000) > 300 || math.Abs(float64(got["c"])-1000) > 200 {
				t.Errorf("%s: %v", how, got)
			}
			if how == "ROUND" && (got["a"] != 6000 || got["c"] != 1000) {
				t.Errorf("not even: %v", got)
			}
		}
	})
	t.Run("standing tables hold until told, and over a break with all withdrawals", func(t *testing.T) {
		c := begin(t, "")
		if got := picks(c, 0, 100); got["127.0.0.1:1"] == 0 || got["127.0.0.1:2"] == 0 {
			t.Errorf("%v", got)
		}
		c.StartSession(&order.Welcome{Withdrawn: []string{"127.0.0.1:1"}})
		if got := picks(c, 0, 100); got["127.0.0.1:1"] != 0 {
			t.Errorf("a withdrawal of the welcome is not obeyed: %v", got)
		}
		c.ApplyOrders(bindTo(1, []string{"a"}, "a", 0.5, "b", 0.5))
		c.StartSession(&order.Welcome{}) // another planner, which knows of no drain
		if got := picks(c, 0, 100); got["b"] != 100 {
			t.Errorf("%v", got)
		}
		c.ApplyOrders(bindTo(1, nil, "a", 0.5, "c", 0.5)) // its word counts from its tables on
		if got := picks(c, 0, 100); got["a"] == 0 || got["c"] == 0 || got["b"] != 0 {
			t.Errorf("%v", got)
		}
	})
	t.Run("a withdrawal and its end", func(t *testing.T) {
		c := begin(t, "")
		c.StartSession(&order.Welcome{})
		c.ApplyOrders(bindTo(1, nil, "a", 0.5, "b", 0.5))
		c.ApplyOrders(withdraw("a", true))
		if got := picks(c, 1, 100); got["b"] != 100 || c.MayReceive("a") {
			t.Errorf("%v", got)
		}
		c.ApplyOrders(withdraw("a", false))
		if got := picks(c, 1, 100); got["a"] == 0 {
			t.Errorf("%v", got)
		}
	})
	t.Run("levels let in their share, and end with their planner's tables", func(t *testing.T) {
		c := begin(t, "")
		c.StartSession(&order.Welcome{})
		c.ApplyOrders(bindTo(1, nil, "a", 1.0))
		c.ApplyOrders(levelOf(0, 0.3, 1))
		if got := picks(c, 0, 10000)["a"]; math.Abs(float64(got)-3000) > 200 {
			t.Errorf("%d let in", got)
		}
		c.StartSession(&order.Welcome{})
		if got := picks(c, 0, 1000)["a"]; got > 500 {
			t.Errorf("%d let in before another planner's tables", got)
		}
		c.ApplyOrders(bindTo(1, nil, "a", 1.0))
		if got := picks(c, 0, 1000)["a"]; got != 1000 {
			t.Errorf("%d let in", got)
		}
	})
	t.Run("further tries by mode, outcome and kind of flow", func(t *testing.T) {
		for name, x := range map[string]struct {
			group   int
			retry   uint32
			outcome Outcome
			want    int // tries in all
		}{
			"never":                             {0, policy.RetryNever, Unprocessed, 1},
			"after proof":                       {0, policy.RetryUnprocessed, Unprocessed, 2},
			"no proof":                          {0, policy.RetryUnprocessed, Failed, 1},
			"once":                              {0, policy.RetryOnce, Failed, 2},
			"twice":                             {0, policy.RetryTwice, Failed, 3},
			"non-retriable, told to repeat":     {1, policy.RetryTwice, Failed, 1},
			"non-retriable, with proof":         {1, policy.RetryUnprocessed, Unprocessed, 2},
			"non-retriable, twice, with proofs": {1, policy.RetryTwice, Unprocessed, 3},
		} {
			c := begin(t, "")
			c.StartSession(&order.Welcome{})
			c.ApplyOrders(bindTo(1, nil, "a", 0.5, "b", 0.3, "c", 0.2))
			c.ApplyOrders(levelOf(uint32(x.group), 1, x.retry))
			f, _ := c.Admit(0, x.group)
			seen := map[string]bool{}
			for again := true; again; {
				s, _, ok := c.Pick(0, f)
				if !ok || seen[s] {
					t.Fatalf("%s: picked %q again", name, s)
				}
				seen[s] = true
				again = c.FinishAttempt(0, f, s, x.outcome, 1)
			}
			if len(seen) != x.want {
				t.Errorf("%s: %d tries, want %d", name, len(seen), x.want)
			}
		}
	})
	t.Run("a message that comes between two tries counts for the second", func(t *testing.T) {
		c := begin(t, "pick: ROUND")
		c.StartSession(&order.Welcome{})
		c.ApplyOrders(bindTo(1, nil, "a", 0.8, "b", 0.2))
		f, _ := c.Admit(0, 0)
		s, _, _ := c.Pick(0, f)
		c.ApplyOrders(withdraw("b", true))
		if c.FinishAttempt(0, f, s, Unprocessed, 1) {
			t.Error("tries again though the other server is withdrawn")
		}
	})
	t.Run("no further try when little time is left; a try that may be followed waits less", func(t *testing.T) {
		c := begin(t, "")
		c.StartSession(&order.Welcome{})
		c.ApplyOrders(bindTo(1, nil, "a", 0.5, "b", 0.5))
		c.ApplyOrders(levelOf(0, 1, policy.RetryOnce))
		f, _ := c.Admit(0, 0)
		s, within, _ := c.Pick(0, f)
		if within != 720 {
			t.Errorf("waits %g ms, not 1.2 latency budgets", within)
		}
		if c.FinishAttempt(1400, f, s, Failed, 1400) {
			t.Error("tries again 100 ms before the expiry")
		}
	})
	t.Run("sums hold what was met, once", func(t *testing.T) {
		c := begin(t, "")
		c.StartSession(&order.Welcome{})
		c.ApplyOrders(bindTo(1, nil, "a", 1.0))
		for _, o := range []Outcome{Succeeded, Succeeded, Failed} {
			f, _ := c.Admit(0, 1)
			s, _, _ := c.Pick(0, f)
			c.FinishAttempt(0, f, s, o, 30)
		}
		m := c.TakeLoadReport(1000)
		if fmt.Sprint(m.Servers[0].Tries, m.Servers[0].Dropped, m.Servers[0].LatencyMs, m.Groups[1].Came, m.Groups[1].Dropped, m.CoversMs) !=
			"3 1 30 3 1 1000" || len(c.TakeLoadReport(2000).Servers) != 0 {
			t.Errorf("%v", m)
		}
	})
	t.Run("orders of a past epoch, or of another controller, are not obeyed", func(t *testing.T) {
		c := begin(t, "sharing: true")
		claim := func(now float64, who string, epoch uint64) bool {
			granted, _ := c.HandleLeaseRequest(now, &order.Claim{Controller: who, Incarnation: 1, Epoch: epoch, LeaseMs: 2000})
			return granted
		}
		under := func(epoch uint64) *order.Orders { return &order.Orders{Incarnation: 1, Epoch: epoch} }
		if !claim(0, "A", 1) || claim(100, "B", 2) || !claim(1500, "A", 1) {
			t.Error("not the first alone, while its lease lasts")
		}
		if !c.AcceptsOrders(3000, "A", under(1)) || c.AcceptsOrders(3000, "B", under(1)) || c.AcceptsOrders(3600, "A", under(1)) {
			t.Error("not just the holder, while its lease lasts")
		}
		if !claim(3700, "B", 2) || c.AcceptsOrders(3800, "A", under(1)) || !c.AcceptsOrders(3800, "B", under(2)) {
			t.Error("not the successor alone")
		}
		w := c.LeaseState(3800, true)
		if w.Epoch != 2 || w.Controller != "B" || len(w.Holds) != 1 || len(w.Holds[0].Lines) != 2 {
			t.Errorf("%v", w)
		}
	})
	t.Run("a table without a line leaves nothing to pick", func(t *testing.T) {
		c := begin(t, "")
		c.StartSession(&order.Welcome{})
		c.ApplyOrders(bindTo(1, nil, "a", 0.0))
		f, _ := c.Admit(0, 0)
		if s, _, ok := c.Pick(0, f); ok {
			t.Errorf("picked %q", s)
		}
	})
}
