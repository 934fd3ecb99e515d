package proxy

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"lichenpick/policy"
	"lichenpick/proto/order"
)

func TestCore(t *testing.T) {
	t.Run("picks follow the weights with each pick method", checkPicksFollowWeights)
	t.Run("tables and ejections stay in force after their session until the next session assigns a table",
		checkTablesOutliveSessions)
	t.Run("an ejected server gets no requests until it is readmitted", checkEjection)
	t.Run("an admission rate applies until another session assigns a table", checkAdmission)
	t.Run("retries depend on mode, outcome and idempotency", checkRetries)
	t.Run("orders received between two attempts apply to the second", checkOrdersBetweenAttempts)
	t.Run("an attempt that can be retried has a shorter limit, and there is no retry shortly before the deadline",
		checkAttemptLimits)
	t.Run("each attempt and request is reported exactly once", checkLoadReport)
	t.Run("orders of a past epoch or of another controller are rejected", checkFencing)
	t.Run("the next lease holder is notified of the drains in force alone", checkReportedDrains)
	t.Run("Pick finds no server in an empty table", func(t *testing.T) {
		core := newAssignedCore(t, "", entry("a", 0))
		request, _ := core.Admit(0, 0)
		if server, _, ok := core.Pick(0, request); ok {
			t.Errorf("picked %q from an empty table", server)
		}
	})
}

func checkPicksFollowWeights(t *testing.T) {
	for _, pick := range []string{"WEIGHTED", "ROUND", "TWO"} {
		core := newAssignedCore(t, "pick: "+pick, entry("a", 0.6), entry("b", 0.3), entry("c", 0.1))
		counts := countPicks(core, 0, 10000)
		if math.Abs(float64(counts["a"])-6000) > 300 || math.Abs(float64(counts["c"])-1000) > 200 {
			t.Errorf("%s: picks are %v, want about 6000, 3000 and 1000", pick, counts)
		}
		if pick == "ROUND" && (counts["a"] != 6000 || counts["c"] != 1000) {
			t.Errorf("round robin: picks are %v, want exactly 6000, 3000 and 1000", counts)
		}
	}
}

func checkTablesOutliveSessions(t *testing.T) {
	core := newTestCore(t, "")
	if counts := countPicks(core, 0, 100); counts["127.0.0.1:1"] == 0 || counts["127.0.0.1:2"] == 0 {
		t.Errorf("picks before the first session are %v, want both servers of the standing table", counts)
	}
	core.StartSession(&order.Welcome{Withdrawn: []string{"127.0.0.1:1"}})
	if counts := countPicks(core, 0, 100); counts["127.0.0.1:1"] != 0 {
		t.Errorf("picks are %v, want none of the server that the Welcome ejects", counts)
	}
	core.ApplyOrders(assignOrder([]string{"a"}, entry("a", 0.5), entry("b", 0.5)))
	core.StartSession(&order.Welcome{}) // starts a session with another planner, which has not ejected server "a"
	if counts := countPicks(core, 0, 100); counts["b"] != 100 {
		t.Errorf("picks after the session are %v, want only b, as a stays ejected", counts)
	}
	core.ApplyOrders(assignOrder(nil, entry("a", 0.5), entry("c", 0.5))) // replaces the earlier session's table and ejections
	if counts := countPicks(core, 0, 100); counts["a"] == 0 || counts["c"] == 0 || counts["b"] != 0 {
		t.Errorf("picks are %v, want a and c from the new session's table", counts)
	}
}

func checkEjection(t *testing.T) {
	core := newAssignedCore(t, "", entry("a", 0.5), entry("b", 0.5))
	core.ApplyOrders(ejectionOrder("a", true))
	if counts := countPicks(core, 1, 100); counts["b"] != 100 || core.MayReceive("a") {
		t.Errorf("picks are %v, want only b while a is ejected, and MayReceive must be false for a", counts)
	}
	core.ApplyOrders(ejectionOrder("a", false))
	if counts := countPicks(core, 1, 100); counts["a"] == 0 {
		t.Errorf("picks are %v, want some of the readmitted server a", counts)
	}
}

func checkAdmission(t *testing.T) {
	core := newAssignedCore(t, "", entry("a", 1))
	core.ApplyOrders(admissionOrder(0, 0.3, 1))
	if admitted := countPicks(core, 0, 10000)["a"]; math.Abs(float64(admitted)-3000) > 200 {
		t.Errorf("%d of 10000 requests admitted, want about 3000", admitted)
	}
	core.StartSession(&order.Welcome{})
	if admitted := countPicks(core, 0, 1000)["a"]; admitted > 500 {
		t.Errorf("%d of 1000 requests admitted before the new session's table, want about 300", admitted)
	}
	core.ApplyOrders(assignOrder(nil, entry("a", 1)))
	if admitted := countPicks(core, 0, 1000)["a"]; admitted != 1000 {
		t.Errorf("%d of 1000 requests admitted after the new session's table, want all", admitted)
	}
}

func checkRetries(t *testing.T) {
	for name, test := range map[string]struct {
		class   int
		retry   uint32
		outcome Outcome
		want    int // expected number of attempts
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
				t.Fatalf("%s: picked %q, want a server not attempted before", name, server)
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
		t.Error("FinishAttempt wants a retry although the only other server is ejected")
	}
}

func checkAttemptLimits(t *testing.T) {
	core := newAssignedCore(t, "", entry("a", 0.5), entry("b", 0.5))
	core.ApplyOrders(admissionOrder(0, 1, policy.RetryOnce))
	request, _ := core.Admit(0, 0)
	server, limitMs, _ := core.Pick(0, request)
	if limitMs != 720 {
		t.Errorf("the limit of the first attempt is %g ms, want 720 ms (1.2 times the latency objective)", limitMs)
	}
	if core.FinishAttempt(1400, request, server, Failed, 1400) {
		t.Error("FinishAttempt wants a retry 100 ms before the deadline")
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
		t.Errorf("load report is %v, want 3 attempts with 1 failed and 30 ms mean latency, 3 requests with 1 failed", report)
	}
	if next := core.TakeLoadReport(2000); len(next.Servers) != 0 {
		t.Errorf("the next load report is %v, want no servers", next)
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
		t.Error("the first controller did not get or keep the lease, or another one got it before it expired")
	}
	if !accepts(3000, "A", 1) || accepts(3000, "B", 1) || accepts(3600, "A", 1) {
		t.Error("the holder's orders were rejected before its lease expired, or others' or later ones were accepted")
	}
	if !requestLease(3700, "B", 2) || accepts(3800, "A", 1) || !accepts(3800, "B", 2) {
		t.Error("the next holder got no lease or its orders were rejected, or the previous holder's were accepted")
	}
	state := core.LeaseState(3800, true)
	if state.Epoch != 2 || state.Controller != "B" || len(state.Holds) != 1 || len(state.Holds[0].Lines) != 2 {
		t.Errorf("lease state is %v, want epoch 2, controller B and one table of 2 entries", state)
	}
}

// Guards against a zone without a server: after servers had crashed and started again, the next lease holder was still notified
// that they drain, and ejected them for 30 s.
func checkReportedDrains(t *testing.T) {
	weightOrder := func(server string, weight float64, forget bool) *order.Orders {
		change := &order.SetLine{Table: testTable, Line: entry(server, weight), Forget: forget}
		return &order.Orders{Orders: []*order.Order{{What: &order.Order_Line{Line: change}}}}
	}
	drain := func(server string) *order.Orders {
		ejection := &order.Withdraw{Server: server, Out: true, Going: true}
		return &order.Orders{Orders: []*order.Order{{What: &order.Order_Withdraw{Withdraw: ejection}}}}
	}
	core := newAssignedCore(t, "sharing: true", entry("restarted", 0.4), entry("removed", 0.3), entry("inherited", 0.3))
	for _, message := range []*order.Orders{
		drain("restarted"),
		drain("removed"),
		weightOrder("restarted", 0, true),
		weightOrder("removed", 0, true),
		weightOrder("restarted", 0.1, false), // the list of the holder shows the server as ready again
		drain("inherited"),
		weightOrder("inherited", 0.2, false), // the holder keeps a drain that its own list does not show yet
	} {
		core.ApplyOrders(message)
	}
	state := core.LeaseState(1000, true)
	if want := []string{"inherited", "removed"}; !slices.Equal(state.Going, want) {
		t.Errorf("the next lease holder is notified that %q drain, want %q", state.Going, want)
	}
}
