// Lichenpick directs the traffic of a fleet of proxies. The program is planner, proxy and the tools to try them in one binary,
// with a sub-command for each.
//
// It exits with 0 when it ended as asked, 1 when a run failed or violated an invariant, and 2 when the call or a file is bad.
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
	exitBadInput = 2 // the call or a file cannot be used
)

// usageError is an error of the call itself, such as a bad flag.
type usageError struct{ error }

// Unwrap returns what is wrong with the call.
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

// rootCommand returns the command of the program, with all sub-commands.
func rootCommand() *cobra.Command {
	command := &cobra.Command{
		Use:           "lichenpick",
		Short:         "A traffic director for fleets of proxies",
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

// exactArgs returns cobra's check of the number of arguments with an error of type usageError.
func exactArgs(count int) cobra.PositionalArgs {
	return func(command *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(count)(command, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}
