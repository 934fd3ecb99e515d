// Lichenpick is the program: planner, proxy, stand-ins and rehearsals in one binary.
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

// Exit codes: a run that failed or broke a rule, and input that cannot be used.
const (
	failed   = 1
	badInput = 2
)

// usage marks an error of the call itself.
type usage struct{ error }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := root().ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "lichenpick:", err)
		os.Exit(code(err))
	}
}

func code(err error) int {
	var bad *settings.Error
	var call usage
	if errors.As(err, &bad) || errors.As(err, &call) {
		return badInput
	}
	return failed
}

func root() *cobra.Command {
	c := &cobra.Command{
		Use: "lichenpick", Short: "A traffic director for fleets of proxies",
		SilenceErrors: true, SilenceUsage: true,
	}
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usage{err} })
	c.AddCommand(plannerCommand(), serveCommand(), proxyCommand(), serverCommand(), scenarioCommand(), stressCommand(), loadCommand(), simulateCommand(), storeCommand(), settingsCommand(), versionCommand())
	return c
}

// exactly wraps cobra's check of the number of arguments, so that a wrong call ends with 2.
func exactly(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(c, args); err != nil {
			return usage{err}
		}
		return nil
	}
}
