package scenario

import (
	"log/slog"
	"os/exec"

	"lichenpick/internal/planner"
	pb "lichenpick/proto/settings"
)

// Baseline names a simple policy, with which a script is run for comparison with the real policy.
type Baseline string

// The baselines.
const (
	NoBaseline     Baseline = ""     // the real policy
	EqualWeights   Baseline = "even" // one table with the same weight for all servers
	ListedCapacity Baseline = "size" // one table with the capacities of the endpoint list as weights
)

// Hooks change a run of a script. They select the planners and the policy, and plant defects with which tests check that the
// checker detects violations. The zero value runs a script with one planner unchanged.
type Hooks struct {
	// Spawn returns a command that runs a planner with a settings file, with its log on standard error. It is required for
	// more than one planner.
	Spawn func(file string) *exec.Cmd

	SinglePlanner bool     // run one planner, whatever number the script states
	Unshared      bool     // run several planners that do not share the fleet: each proxy belongs to one planner
	Baseline      Baseline // run a baseline in one planner instead of the policy

	DisableFencing bool                                  // proxies do not check epochs
	Decider        func(planner.Decider) planner.Decider // wraps the policy of a planner in this process
	Proxy          func(set *pb.Proxy)                   // changes the settings of each proxy
	Planner        func(set *pb.Planner)                 // changes the settings of each planner
}

// deciderName returns the name that reports use for the policy or baseline of a run. Programs read these names, so they must
// not change.
func (h Hooks) deciderName() string {
	switch {
	case h.Unshared:
		return "module, sharing nothing"
	case h.SinglePlanner:
		return "module, one planner"
	case h.Baseline == EqualWeights:
		return "baseline: even table"
	case h.Baseline == ListedCapacity:
		return "baseline: by listed size"
	}
	return "module"
}

// discardLogger returns a logger that drops all log entries.
func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }
