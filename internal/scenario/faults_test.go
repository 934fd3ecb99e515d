package scenario

import (
	"testing"

	"lichenpick/proto/script"
)

func TestEveryFaultHasAHandler(t *testing.T) {
	fields := (&script.Trouble{}).ProtoReflect().Descriptor().Oneofs().ByName("what").Fields()
	for n := range fields.Len() {
		if name := fields.Get(n).Name(); faultHandlers[name] == nil {
			t.Errorf("no handler for %s", name)
		}
	}
	if len(faultHandlers) != fields.Len() {
		t.Errorf("%d handlers for %d kinds of faults", len(faultHandlers), fields.Len())
	}
}

// TestInvariantsHoldUnderFaults injects faults that endanger invariants into a small fleet. It checks that all invariants hold
// and that requests still succeed.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	for name, test := range map[string]struct {
		fields     string
		minService float64 // minimum of Result.Service; far below the usual value, to check only that requests succeed
	}{
		"a planner that is killed while it sends, and restarts from a stale list": {`listed_late: "2s"
			troubles { at: "2500ms" lasts: "800ms" planner_restart { kill: true after_bytes: 60 } }
			troubles { at: "2s" lasts: "3s" deploy { servers: 2 drain: "6s" } }`, 0.7},
		"an endpoint list that is empty for two seconds": {`troubles { at: "2s" lasts: "2s" wrong_list { missing: 1 } }`, 0.8},
		"an endpoint list that names unknown endpoints":  {`troubles { at: "2s" lasts: "3s" wrong_list { strangers: 3 } }`, 0.5},
		"stuck streams during a drain": {`troubles { at: "1s" lasts: "5s" stuck_proxy {} }
			troubles { at: "1500ms" lasts: "3s" deploy { servers: 2 drain: "9s" } }`, 0.7},
		"a zone that is lost and returns": {`troubles { at: "1500ms" lasts: "1500ms" zone_loss { zone: "a" } }`, 0.3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result := play(t, test.fields, Hooks{})
			if len(result.ViolationCounts) > 0 || result.Service < test.minService {
				t.Errorf("service %.3f, violated %v: %v", result.Service, result.ViolationCounts, result.Violations)
			}
		})
	}
}
