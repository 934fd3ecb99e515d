// Lichenpick distributes the traffic of a fleet of proxies over servers. This binary contains the planner, a proxy and tools to
// test them, each as a sub-command.
//
// The exit code is 0 for success or a requested stop, 1 if a run failed or violated an invariant, and 2 if the command line or
// a settings file is invalid.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"lichenpick/internal/settings"
)

// Exit codes other than 0.
const (
	exitFailed   = 1 // a run failed or violated an invariant
	exitBadInput = 2 // the command line or a settings file is invalid
)

// usageError is an error in the command line, such as an unknown flag.
type usageError struct{ error }

// Unwrap returns the wrapped error.
func (e usageError) Unwrap() error { return e.error }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := rootCommand().ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "lichenpick:", err)
		os.Exit(exitCode(err))
	}
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var badFile *settings.Error
	var badCall usageError
	if errors.As(err, &badFile) || errors.As(err, &badCall) {
		return exitBadInput
	}
	return exitFailed
}

// rootCommand returns the top-level command with all sub-commands.
func rootCommand() *cobra.Command {
	command := &cobra.Command{
		Use:           "lichenpick",
		Short:         "Distribute the traffic of a fleet of proxies over servers",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	command.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	command.AddCommand(
		plannerCommand(),
		serveCommand(),
		proxyCommand(),
		serverCommand(),
		scenarioCommand(),
		stressCommand(),
		loadCommand(),
		simulateCommand(),
		storeCommand(),
		settingsCommand(),
		versionCommand(),
	)
	return command
}

// exactArgs works like cobra.ExactArgs, but its error is a usageError.
func exactArgs(count int) cobra.PositionalArgs {
	return func(command *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(count)(command, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}
