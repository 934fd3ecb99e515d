package scenario

import (
	"log/slog"
	"os/exec"

	"lichenpick/internal/planner"
	pb "lichenpick/proto/settings"
)

// Baseline names a simple policy that is run beside the real one, for comparison.
type Baseline string

// The baselines.
const (
	NoBaseline     Baseline = ""     // the real policy
	EqualWeights   Baseline = "even" // one table with the same weight for all servers
	ListedCapacity Baseline = "size" // one table with the capacities of the endpoint list as weights
)

// Hooks change a run: they select what it is run with, and plant faults to prove that the checker detects them. The zero
// value is the scenario as written, with one planner.
type Hooks struct {
	// Spawn returns a command that runs a planner with a settings file, with its log on standard error. It is required for
	// more than one planner.
	Spawn func(file string) *exec.Cmd

	SinglePlanner bool     // run one planner, whatever the script says
	Unshared      bool     // run several planners that share nothing
	Baseline      Baseline // run a baseline in one planner instead of the policy

	DisableFencing bool                                  // proxies do not check epochs
	Decider        func(planner.Decider) planner.Decider // wraps the policy of a planner in this process
	Proxy          func(set *pb.Proxy)                   // changes the settings of each proxy
	Planner        func(set *pb.Planner)                 // changes the settings of each planner
}

// deciderName returns what a report calls the deciding side of a run. Readers of reports know these names.
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

// discardLogger returns a logger that drops everything.
func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }
