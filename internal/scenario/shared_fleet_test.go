package scenario

import (
	"os/exec"
	"testing"
)

// sharedFaults is a fleet shared by three planners, through a pause longer than a lease, a kill amid messages and a cut.
const sharedFaults = `controllers: 3 sharing: true length: "9s"
	troubles { at: "1500ms" lasts: "3s" controller_pause { controller: 0 } }
	troubles { at: "2s" lasts: "4s" deploy { servers: 2 drain: "7s" } }
	troubles { at: "4s" lasts: "2s" planner_restart { controller: 1 kill: true after_bytes: 30 } }
	troubles { at: "6s" lasts: "2s" controller_cut { controller: 2 zone: "a" } }`

// sharedHold holds back what a planner sends for longer than its lease, while a deploy makes it decide. It guards against
// proxies that apply orders of a past leader. Drains take long in it, so the grace must be long. By 4 s each planner holds
// its quota of leases.
const sharedHold = `controllers: 3 sharing: true length: "9s" limits { drain_grace: "20s" warm_up: "5s" fall_window: "1s" }
	places { name: "c" proxies: 4 servers: 4 }
	troubles { at: "3500ms" lasts: "3s" deploy { servers: 8 drain: "20s" } }
	troubles { at: "4s" lasts: "3s" controller_cut { controller: 0 hold: true } }
	troubles { at: "4s" lasts: "3s" controller_cut { controller: 1 hold: true } }`

func TestSharedFleet(t *testing.T) {
	t.Run("invariants hold under faults of planners", func(t *testing.T) {
		t.Parallel()
		day := play(t, sharedFaults, Hooks{Spawn: plannerCommand})
		checkTakenOver(t, day)
	})
	testSharedRecovery(t)
	t.Run("invariants hold with a planner whose clock runs fast", func(t *testing.T) {
		t.Parallel()
		started := 0
		day := play(t, sharedFaults, Hooks{Spawn: func(file string) *exec.Cmd {
			command := plannerCommand(file)
			started++
			if started == 1 {
				command.Env = append(command.Env, clockRateVariable+"=1.05")
			}
			return command
		}})
		checkTakenOver(t, day)
	})
	t.Run("orders that arrive after a successor's are rejected", func(t *testing.T) {
		t.Parallel()
		day := play(t, sharedHold, Hooks{Spawn: plannerCommand})
		if len(day.ViolationCounts) > 0 || day.Rejected == 0 {
			t.Errorf("%d messages rejected, violated %v: %v", day.Rejected, day.ViolationCounts, day.Violations)
		}
	})
	t.Run("planted: proxies that check no epoch are detected", func(t *testing.T) {
		t.Parallel()
		day := play(t, sharedHold, Hooks{Spawn: plannerCommand, DisableFencing: true})
		if day.ViolationCounts["stale-order"] == 0 {
			t.Errorf("violated %v, want a stale order", day.ViolationCounts)
		}
	})
}

// checkTakenOver checks that invariants held, proxies were taken over and requests went on.
func checkTakenOver(t *testing.T, day *Result) {
	t.Helper()
	if len(day.ViolationCounts) > 0 || day.Takeovers == 0 || day.Service < 0.7 {
		t.Errorf("service %.3f, %d takeovers, violated %v: %v", day.Service, day.Takeovers, day.ViolationCounts, day.Violations)
	}
}

// testSharedRecovery runs subtests in which invariants must hold, and all proxies must have a leader again at the end.
func testSharedRecovery(t *testing.T) {
	t.Helper()
	for name, test := range map[string]struct {
		fields    string
		leaseless string // planner that may hold no lease at the end; empty: any may
	}{
		"a fourth planner joins under load": {fields: `controllers: 4 length: "10s" traffic { rate: "160/s" }
			troubles { at: "0s" lasts: "3s" planner_restart { controller: 3 kill: true } }`},
		"a takeover amid a drain": {fields: `controllers: 3 length: "9s" troubles { at: "2500ms" lasts: "3s" deploy { servers: 3 drain: "6s" } }
			troubles { at: "3s" lasts: "3s" planner_restart { controller: 0 kill: true after_bytes: 50 } }`},
		"a takeover amid the loss of a zone": {fields: `controllers: 3 length: "9s" troubles { at: "3s" lasts: "3s" zone_loss { zone: "a" } }
			troubles { at: "3200ms" lasts: "3s" planner_restart { controller: 1 kill: true } }`},
		"all three planners restart at once": {fields: `controllers: 3 length: "9s" bare_within: "5s" troubles { at: "3s" lasts: "1s" planner_restart { controller: 0 kill: true } }
			troubles { at: "3s" lasts: "1s" planner_restart { controller: 1 kill: true } }
			troubles { at: "3s" lasts: "1s" planner_restart { controller: 2 kill: true } }`},
		"a planner restarts on a full disk, and holds no lease": {
			leaseless: "planner-1",
			fields: `controllers: 3 length: "9s" places { name: "d" proxies: 6 servers: 4 } troubles { at: "1s" lasts: "30s" disk_full { controller: 0 } }
			troubles { at: "1500ms" lasts: "500ms" planner_restart { controller: 0 kill: true } }`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			day := play(t, `sharing: true `+test.fields, Hooks{Spawn: plannerCommand})
			if len(day.ViolationCounts) > 0 || day.Service < 0.6 || day.leaseCount() != day.Proxies {
				t.Errorf("service %.3f, leases of %d proxies at the end: %v, violated %v: %v",
					day.Service, day.Proxies, day.LeasesByPlanner, day.ViolationCounts, day.Violations)
			}
			if test.leaseless != "" && day.LeasesByPlanner[test.leaseless] > 0 {
				t.Errorf("%s holds leases at the end: %v", test.leaseless, day.LeasesByPlanner)
			}
		})
	}
}
