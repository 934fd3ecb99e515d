package proxy

import (
	"testing"

	"lichenpick/internal/settings"
	"lichenpick/proto/order"
	pb "lichenpick/proto/settings"
)

const testTable = 1

// newTestCore returns a Core with two traffic classes, "check" (idempotent) and "charge" (not idempotent).
func newTestCore(t *testing.T, extraSettings string) *Core {
	t.Helper()
	set := &pb.Proxy{}
	text := `name: "x" listen: "127.0.0.1:0" planners: "127.0.0.1:1" standing: "127.0.0.1:1" standing: "127.0.0.1:2"
		groups { name: "check" latency_budget: "600ms" expiry: "1.5s" repeat: RETRIABLE }
		groups { name: "charge" latency_budget: "800ms" expiry: "2.5s" }` + extraSettings
	if err := settings.Parse("test", []byte(text), set); err != nil {
		t.Fatal(err)
	}
	return NewCore(set, 0)
}

// newAssignedCore returns a Core to which a planner has assigned one table for both traffic classes.
func newAssignedCore(t *testing.T, extraSettings string, entries ...*order.Line) *Core {
	t.Helper()
	core := newTestCore(t, extraSettings)
	core.StartSession(&order.Welcome{})
	core.ApplyOrders(assignOrder(nil, entries...))
	return core
}

func entry(server string, weight float64) *order.Line {
	return &order.Line{Server: server, Weight: weight}
}

// assignOrder returns a message that assigns a table to both traffic classes and ejects servers.
func assignOrder(ejected []string, entries ...*order.Line) *order.Orders {
	assignment := &order.Bind{Table: testTable, Groups: []uint32{0, 1}, Withdrawn: ejected, Lines: entries}
	return &order.Orders{Orders: []*order.Order{{What: &order.Order_Bind{Bind: assignment}}}}
}

func admissionOrder(class uint32, fraction float64, retry uint32) *order.Orders {
	level := &order.Level{Group: class, Share: fraction, Retry: retry}
	return &order.Orders{Orders: []*order.Order{{What: &order.Order_Level{Level: level}}}}
}

func ejectionOrder(server string, ejected bool) *order.Orders {
	ejection := &order.Withdraw{Server: server, Out: ejected}
	return &order.Orders{Orders: []*order.Order{{What: &order.Order_Withdraw{Withdraw: ejection}}}}
}

// countPicks passes requests of a traffic class to Admit and Pick, lets all attempts succeed, and returns the number of
// requests for which Pick chose each server.
func countPicks(core *Core, class, requests int) map[string]int {
	counts := map[string]int{}
	for range requests {
		request, admitted := core.Admit(0, class)
		if !admitted {
			continue
		}
		server, _, _ := core.Pick(0, request)
		counts[server]++
		core.FinishAttempt(0, request, server, Succeeded, 1)
	}
	return counts
}
