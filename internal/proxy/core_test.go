package proxy

import (
	"fmt"
	"math"
	"testing"

	"lichenpick/policy"
	"lichenpick/proto/order"
)

func TestCore(t *testing.T) {
	t.Run("picks follow the weights, in each way of picking", checkPicksFollowWeights)
	t.Run("a standing table holds until another is assigned, and tables hold over a session's end with all ejections",
		checkTablesOutliveSessions)
	t.Run("an ejected server gets nothing until the ejection ends", checkEjection)
	t.Run("a fraction is admitted, and that ends with its planner's tables", checkAdmission)
	t.Run("retries depend on mode, outcome and idempotency", checkRetries)
	t.Run("orders that come between two attempts apply to the second", checkOrdersBetweenAttempts)
	t.Run("no retry when little time remains, and an attempt that a retry can follow gets less time", checkAttemptLimits)
	t.Run("a load report holds what was met, once", checkLoadReport)
	t.Run("orders of a past epoch, or of another controller, are rejected", checkFencing)
	t.Run("a table without entries leaves nothing to pick", func(t *testing.T) {
		core := newAssignedCore(t, "", entry("a", 0))
		request, _ := core.Admit(0, 0)
		if server, _, ok := core.Pick(0, request); ok {
			t.Errorf("picked %q", server)
		}
	})
}

func checkPicksFollowWeights(t *testing.T) {
	for _, pick := range []string{"WEIGHTED", "ROUND", "TWO"} {
		core := newAssignedCore(t, "pick: "+pick, entry("a", 0.6), entry("b", 0.3), entry("c", 0.1))
		counts := countPicks(core, 0, 10000)
		if math.Abs(float64(counts["a"])-6000) > 300 || math.Abs(float64(counts["c"])-1000) > 200 {
			t.Errorf("%s: %v", pick, counts)
		}
		if pick == "ROUND" && (counts["a"] != 6000 || counts["c"] != 1000) {
			t.Errorf("round robin is not exact: %v", counts)
		}
	}
}

func checkTablesOutliveSessions(t *testing.T) {
	core := newTestCore(t, "")
	if counts := countPicks(core, 0, 100); counts["127.0.0.1:1"] == 0 || counts["127.0.0.1:2"] == 0 {
		t.Errorf("the standing table is not used: %v", counts)
	}
	core.StartSession(&order.Welcome{Withdrawn: []string{"127.0.0.1:1"}})
	if counts := countPicks(core, 0, 100); counts["127.0.0.1:1"] != 0 {
		t.Errorf("an ejection of the welcome is not applied: %v", counts)
	}
	core.ApplyOrders(assignOrder([]string{"a"}, entry("a", 0.5), entry("b", 0.5)))
	core.StartSession(&order.Welcome{}) // another planner, which knows of no drain
	if counts := countPicks(core, 0, 100); counts["b"] != 100 {
		t.Errorf("an ejection ended with its session: %v", counts)
	}
	core.ApplyOrders(assignOrder(nil, entry("a", 0.5), entry("c", 0.5))) // its ejections count from its tables on
	if counts := countPicks(core, 0, 100); counts["a"] == 0 || counts["c"] == 0 || counts["b"] != 0 {
		t.Errorf("another planner's table is not used: %v", counts)
	}
}

func checkEjection(t *testing.T) {
	core := newAssignedCore(t, "", entry("a", 0.5), entry("b", 0.5))
	core.ApplyOrders(ejectionOrder("a", true))
	if counts := countPicks(core, 1, 100); counts["b"] != 100 || core.MayReceive("a") {
		t.Errorf("an ejected server was picked: %v", counts)
	}
	core.ApplyOrders(ejectionOrder("a", false))
	if counts := countPicks(core, 1, 100); counts["a"] == 0 {
		t.Errorf("a server is not picked after its ejection: %v", counts)
	}
}

func checkAdmission(t *testing.T) {
	core := newAssignedCore(t, "", entry("a", 1))
	core.ApplyOrders(admissionOrder(0, 0.3, 1))
	if admitted := countPicks(core, 0, 10000)["a"]; math.Abs(float64(admitted)-3000) > 200 {
		t.Errorf("%d of 10000 admitted", admitted)
	}
	core.StartSession(&order.Welcome{})
	if admitted := countPicks(core, 0, 1000)["a"]; admitted > 500 {
		t.Errorf("%d of 1000 admitted before another planner's tables", admitted)
	}
	core.ApplyOrders(assignOrder(nil, entry("a", 1)))
	if admitted := countPicks(core, 0, 1000)["a"]; admitted != 1000 {
		t.Errorf("%d of 1000 admitted", admitted)
	}
}

func checkRetries(t *testing.T) {
	for name, test := range map[string]struct {
		class   int
		retry   uint32
		outcome Outcome
		want    int // attempts in all
	}{
		"never":                                {0, policy.RetryNever, Unprocessed, 1},
		"unprocessed, with proof":              {0, policy.RetryUnprocessed, Unprocessed, 2},
		"unprocessed, without proof":           {0, policy.RetryUnprocessed, Failed, 1},
		"once":                                 {0, policy.RetryOnce, Failed, 2},
		"twice":                                {0, policy.RetryTwice, Failed, 3},
		"not idempotent, twice, without proof": {1, policy.RetryTwice, Failed, 1},
		"not idempotent, with proof":           {1, policy.RetryUnprocessed, Unprocessed, 2},
		"not idempotent, twice, with proofs":   {1, policy.RetryTwice, Unprocessed, 3},
	} {
		core := newAssignedCore(t, "", entry("a", 0.5), entry("b", 0.3), entry("c", 0.2))
		core.ApplyOrders(admissionOrder(uint32(test.class), 1, test.retry))
		request, _ := core.Admit(0, test.class)
		attempted := map[string]bool{}
		for retry := true; retry; {
			server, _, ok := core.Pick(0, request)
			if !ok || attempted[server] {
				t.Fatalf("%s: picked %q again", name, server)
			}
			attempted[server] = true
			retry = core.FinishAttempt(0, request, server, test.outcome, 1)
		}
		if len(attempted) != test.want {
			t.Errorf("%s: %d attempts, want %d", name, len(attempted), test.want)
		}
	}
}

func checkOrdersBetweenAttempts(t *testing.T) {
	core := newAssignedCore(t, "pick: ROUND", entry("a", 0.8), entry("b", 0.2))
	request, _ := core.Admit(0, 0)
	server, _, _ := core.Pick(0, request)
	core.ApplyOrders(ejectionOrder("b", true))
	if core.FinishAttempt(0, request, server, Unprocessed, 1) {
		t.Error("retries though the other server is ejected")
	}
}

func checkAttemptLimits(t *testing.T) {
	core := newAssignedCore(t, "", entry("a", 0.5), entry("b", 0.5))
	core.ApplyOrders(admissionOrder(0, 1, policy.RetryOnce))
	request, _ := core.Admit(0, 0)
	server, limitMs, _ := core.Pick(0, request)
	if limitMs != 720 {
		t.Errorf("an attempt may take %g ms, not 1.2 latency objectives", limitMs)
	}
	if core.FinishAttempt(1400, request, server, Failed, 1400) {
		t.Error("retries 100 ms before the deadline")
	}
}

func checkLoadReport(t *testing.T) {
	core := newAssignedCore(t, "", entry("a", 1))
	for _, outcome := range []Outcome{Succeeded, Succeeded, Failed} {
		request, _ := core.Admit(0, 1)
		server, _, _ := core.Pick(0, request)
		core.FinishAttempt(0, request, server, outcome, 30)
	}
	report := core.TakeLoadReport(1000)
	server, class := report.Servers[0], report.Groups[1]
	got := fmt.Sprint(server.Tries, server.Dropped, server.LatencyMs, class.Came, class.Dropped, report.CoversMs)
	if got != "3 1 30 3 1 1000" {
		t.Errorf("%v", report)
	}
	if next := core.TakeLoadReport(2000); len(next.Servers) != 0 {
		t.Errorf("reported again: %v", next)
	}
}

func checkFencing(t *testing.T) {
	core := newTestCore(t, "sharing: true")
	requestLease := func(nowMs float64, controller string, epoch uint64) bool {
		request := &order.Claim{Controller: controller, Incarnation: 1, Epoch: epoch, LeaseMs: 2000}
		granted, _ := core.HandleLeaseRequest(nowMs, request)
		return granted
	}
	accepts := func(nowMs float64, controller string, epoch uint64) bool {
		return core.AcceptsOrders(nowMs, controller, &order.Orders{Incarnation: 1, Epoch: epoch})
	}
	if !requestLease(0, "A", 1) || requestLease(100, "B", 2) || !requestLease(1500, "A", 1) {
		t.Error("the lease is not the first controller's alone while it lasts")
	}
	if !accepts(3000, "A", 1) || accepts(3000, "B", 1) || accepts(3600, "A", 1) {
		t.Error("orders are not accepted from the holder alone while its lease lasts")
	}
	if !requestLease(3700, "B", 2) || accepts(3800, "A", 1) || !accepts(3800, "B", 2) {
		t.Error("orders are not accepted from the next holder alone")
	}
	state := core.LeaseState(3800, true)
	if state.Epoch != 2 || state.Controller != "B" || len(state.Holds) != 1 || len(state.Holds[0].Lines) != 2 {
		t.Errorf("%v", state)
	}
}
