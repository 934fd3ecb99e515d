package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"

	"github.com/spf13/cobra"

	"lichenpick/internal/scenario"
	"lichenpick/internal/settings"
	"lichenpick/proto/script"
)

// errInvariantViolated means that a scenario ran to its end, but an invariant was violated in the run.
var errInvariantViolated = errors.New("the scenario violated an invariant")

// scenarioFlags has the flags of the sub-command scenario.
type scenarioFlags struct {
	report  string // path of the JSON report; empty: no report is written
	logging logFlags
}

func scenarioCommand() *cobra.Command {
	flags := &scenarioFlags{}
	command := &cobra.Command{
		Use:   "scenario SCRIPT",
		Short: "Run a scripted scenario on loopback and check the invariants",
		Args:  exactArgs(1),
		Long: "Runs a scenario with real planners and proxies and with fake servers on loopback, and checks the invariants against the\n" +
			"observed traffic. Exit code 0: all invariants held; 1: one was violated, or the run failed; 2: the script is invalid.",
		RunE: func(command *cobra.Command, args []string) error {
			return playScenario(command.Context(), args[0], flags, command.OutOrStdout())
		},
	}
	command.Flags().StringVar(&flags.report, "report", "", "write the result as JSON to this file")
	flags.logging.register(command, "error")
	return command
}

// playScenario runs the scenario of a script file and prints its report.
func playScenario(ctx context.Context, file string, flags *scenarioFlags, out io.Writer) error {
	log, err := flags.logging.logger()
	if err != nil {
		return err
	}
	parsed := &script.Script{}
	if err := settings.Load(file, parsed); err != nil {
		return err
	}
	hostDescription := fmt.Sprintf("%s/%s, %d cores, %s", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
	report, err := scenario.Play(ctx, parsed, hostDescription, log, newPlannerProcess)
	if err != nil {
		return err
	}
	if err := report.Print(out); err != nil {
		return err
	}
	if flags.report != "" {
		if err := report.Write(flags.report); err != nil {
			return err
		}
	}
	if !report.Passed() {
		return errInvariantViolated
	}
	return nil
}

// newPlannerProcess returns a command that runs this program as a planner with a settings file. The planner logs errors to the
// standard error of this process.
func newPlannerProcess(file string) *exec.Cmd {
	executable, err := os.Executable()
	if err != nil {
		executable = os.Args[0]
	}
	command := exec.Command(executable, "planner", "-c", file, "--log-level", "error")
	command.Stderr = os.Stderr
	return command
}
