package decisionlog

import (
	"log/slog"
	"math"
	"strings"
	"testing"

	"lichenpick/policy"
)

func TestObserverLogsChangesAndSolves(t *testing.T) {
	var text strings.Builder
	observer := New(slog.New(slog.NewTextHandler(&text, nil)))
	observer.ServerChanged(policy.ServerChange{Server: "s-1", Reason: policy.ChangeHeldBack, AgeMs: 2500, EjectedMs: 3000})
	observer.ServerChanged(policy.ServerChange{Server: "s-2", Reason: policy.ChangeListed, State: policy.Draining, AgeMs: math.Inf(1)})
	observer.Solved(policy.SolveSummary{Warm: 3, DemandRate: 10, AdmittedRate: 10})
	observer.Solved(policy.SolveSummary{Warm: 3, Cold: 1, ColdShare: 0.126, DemandRate: 10, AdmittedRate: 9.6, BearableShare: 1})
	observer.DrainsUnsent([]policy.UnsentDrain{
		{Server: "s-3", Proxy: 7, AgeMs: 2700.4, Reason: policy.UnsentUnassigned},
		{Server: "s-4", Proxy: 7, AgeMs: 2900, Reason: policy.UnsentNoTable, JoinedAfterward: true},
		{Server: "s-4", Proxy: 8, AgeMs: 2800, Reason: policy.UnsentNoTable},
	})
	want := []string{
		`msg="server changed" server=s-1 reason=held_back_cold state=ready age_ms=2500 ejected_ms=3000`,
		`msg="server changed" server=s-2 reason=listed state=draining`,
		`msg="tables solved" warm=3 cold=1 unhealthy=0 cold_share=0.13 demand_per_s=10 admitted_per_s=10 bearable_share=1`,
		`msg="drains not sent" drains=3 proxies=2 servers=2 reasons.awaits_table=1 reasons.no_servers_for_table=2 ` +
			`server=s-4 proxy=7 age_ms=2900 reason=no_servers_for_table joined_after_order=true`,
	}
	lines := strings.Split(strings.TrimSpace(text.String()), "\n")
	if len(lines) != len(want) {
		t.Fatalf("%d lines, want %d: %q", len(lines), len(want), lines)
	}
	for index, line := range lines {
		if !strings.HasSuffix(line, want[index]) {
			t.Errorf("line %q, want it to end with %q", line, want[index])
		}
	}
}
