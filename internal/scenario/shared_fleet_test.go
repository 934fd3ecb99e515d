package scenario

import (
	"os/exec"
	"testing"
)

// sharedFaults is a script with a fleet shared by three planners: one planner is paused for longer than a lease lasts, one is
// killed while it sends, and one loses its streams to the proxies of a zone.
const sharedFaults = `controllers: 3 sharing: true length: "9s"
	troubles { at: "1500ms" lasts: "3s" controller_pause { controller: 0 } }
	troubles { at: "2s" lasts: "4s" deploy { servers: 2 drain: "7s" } }
	troubles { at: "4s" lasts: "2s" planner_restart { controller: 1 kill: true after_bytes: 30 } }
	troubles { at: "6s" lasts: "2s" controller_cut { controller: 2 zone: "a" } }`

// sharedStalls is a script that holds back what two planners send for longer than their leases last, while a deploy causes
// decisions. It guards against proxies that apply orders of a past leader. The drains of the deploy take 20 s, so the drain
// grace is 20 s too. The stalls begin at 4 s, when each planner holds its quota of leases.
const sharedStalls = `controllers: 3 sharing: true length: "9s" limits { drain_grace: "20s" warm_up: "5s" fall_window: "1s" }
	places { name: "c" proxies: 4 servers: 4 }
	troubles { at: "3500ms" lasts: "3s" deploy { servers: 8 drain: "20s" } }
	troubles { at: "4s" lasts: "3s" controller_cut { controller: 0 hold: true } }
	troubles { at: "4s" lasts: "3s" controller_cut { controller: 1 hold: true } }`

func TestSharedFleet(t *testing.T) {
	t.Run("invariants hold under faults of planners", func(t *testing.T) {
		t.Parallel()
		result := play(t, sharedFaults, Hooks{Spawn: plannerCommand})
		checkTakenOver(t, result)
	})
	testSharedRecovery(t)
	t.Run("invariants hold with a planner whose clock runs fast", func(t *testing.T) {
		t.Parallel()
		started := 0
		result := play(t, sharedFaults, Hooks{Spawn: func(file string) *exec.Cmd {
			command := plannerCommand(file)
			started++
			if started == 1 {
				command.Env = append(command.Env, clockRateVariable+"=1.05")
			}
			return command
		}})
		checkTakenOver(t, result)
	})
	t.Run("orders that arrive after those of a later leader are rejected", func(t *testing.T) {
		t.Parallel()
		result := play(t, sharedStalls, Hooks{Spawn: plannerCommand})
		if len(result.ViolationCounts) > 0 || result.Rejected == 0 {
			t.Errorf("%d messages rejected, violated %v: %v", result.Rejected, result.ViolationCounts, result.Violations)
		}
	})
	t.Run("planted: proxies that check no epoch are detected", func(t *testing.T) {
		t.Parallel()
		result := play(t, sharedStalls, Hooks{Spawn: plannerCommand, DisableFencing: true})
		if result.ViolationCounts["stale-order"] == 0 {
			t.Errorf("violated %v, want a stale order", result.ViolationCounts)
		}
	})
}

// checkTakenOver checks that all invariants held, that takeovers occurred, and that requests still succeeded.
func checkTakenOver(t *testing.T, result *Result) {
	t.Helper()
	if len(result.ViolationCounts) > 0 || result.Takeovers == 0 || result.Service < 0.7 {
		t.Errorf("service %.3f, %d takeovers, violated %v: %v", result.Service, result.Takeovers, result.ViolationCounts, result.Violations)
	}
}

// testSharedRecovery runs subtests in which the invariants must hold, and all proxies must have a leader at the end.
func testSharedRecovery(t *testing.T) {
	t.Helper()
	for name, test := range map[string]struct {
		fields               string
		plannerWithoutLeases string // planner that must hold no lease at the end of the run; empty: no such planner
	}{
		"a fourth planner joins under load": {fields: `controllers: 4 length: "10s" traffic { rate: "160/s" }
			troubles { at: "0s" lasts: "3s" planner_restart { controller: 3 kill: true } }`},
		"a takeover during a drain": {fields: `controllers: 3 length: "9s" troubles { at: "2500ms" lasts: "3s" deploy { servers: 3 drain: "6s" } }
			troubles { at: "3s" lasts: "3s" planner_restart { controller: 0 kill: true after_bytes: 50 } }`},
		"a takeover during the loss of a zone": {fields: `controllers: 3 length: "9s" troubles { at: "3s" lasts: "3s" zone_loss { zone: "a" } }
			troubles { at: "3200ms" lasts: "3s" planner_restart { controller: 1 kill: true } }`},
		"all three planners restart at once": {fields: `controllers: 3 length: "9s" bare_within: "5s" troubles { at: "3s" lasts: "1s" planner_restart { controller: 0 kill: true } }
			troubles { at: "3s" lasts: "1s" planner_restart { controller: 1 kill: true } }
			troubles { at: "3s" lasts: "1s" planner_restart { controller: 2 kill: true } }`},
		"a planner restarts on a full disk, and holds no lease": {
			plannerWithoutLeases: "planner-1",
			fields: `controllers: 3 length: "9s" places { name: "d" proxies: 6 servers: 4 } troubles { at: "1s" lasts: "30s" disk_full { controller: 0 } }
			troubles { at: "1500ms" lasts: "500ms" planner_restart { controller: 0 kill: true } }`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result := play(t, `sharing: true `+test.fields, Hooks{Spawn: plannerCommand})
			if len(result.ViolationCounts) > 0 || result.Service < 0.6 || result.leaseCount() != result.Proxies {
				t.Errorf("service %.3f, leases of %d proxies at the end: %v, violated %v: %v",
					result.Service, result.Proxies, result.LeasesByPlanner, result.ViolationCounts, result.Violations)
			}
			if test.plannerWithoutLeases != "" && result.LeasesByPlanner[test.plannerWithoutLeases] > 0 {
				t.Errorf("%s holds leases at the end: %v", test.plannerWithoutLeases, result.LeasesByPlanner)
			}
		})
	}
}
