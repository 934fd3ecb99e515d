package main

import (
	"strconv"
	"strings"
	"testing"
)

// TestStressSharesTheFleet starts three planners that share a fleet of fake proxies, and kills one planner. It guards against
// stress tests that measure proxies without a planner: every proxy must have been assigned tables, and the two surviving
// planners must hold the leases of the killed planner.
func TestStressSharesTheFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("takes six seconds")
	}
	command, errorText := programCommand("stress", "-c", "deploy/examples/planner-sharing.txtpb", "--spawn", "3",
		"--proxies", "30", "--servers", "12", "--length", "6s", "--kill-at-ms", "2000", "--back-after-ms", "30000")
	out, err := command.Output()
	if err != nil {
		t.Fatalf("the stress test failed: %v\n%s", err, errorText)
	}
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	if len(lines) != 6 {
		t.Fatalf("want 6 lines of output, got:\n%s", out)
	}
	if cells := strings.Fields(lines[1]); cells[0] != "30x12" || cells[2] != "30" {
		t.Errorf("not all proxies were assigned tables:\n%s", out)
	}
	leases := 0
	for _, line := range lines[3:] {
		cells := strings.Fields(line)
		if held, err := strconv.Atoi(cells[3]); err == nil && cells[0] != "planner-2" {
			leases += held
		}
	}
	if leases != 30 {
		t.Errorf("the two running planners hold %d of 30 leases:\n%s", leases, out)
	}
}
