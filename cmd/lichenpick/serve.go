package main

import (
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"lichenpick/internal/clock"
	"lichenpick/internal/platform"
)

const (
	heapMemoryShare = 0.5 // share of the memory limit for the Go runtime; the rest is for code, kernel buffers and a reserve
	gcPercent       = 50  // GOGC: below the default of 100, so that the heap stays small at the cost of more collections
)

func serveCommand() *cobra.Command {
	var path, logLevel, logForm string
	var trace bool
	command := &cobra.Command{
		Use:   "serve",
		Short: "Run a planner on the operators' platform until SIGTERM; EDGE_CONFIG is the path of its configuration",
		Args:  exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error {
			hangup := make(chan os.Signal, 1)
			signal.Notify(hangup, syscall.SIGHUP) // called first, as an earlier SIGHUP would end the process
			log, err := logger(logLevel, logForm)
			if err != nil {
				return err
			}
			reload := func() (platform.Config, error) { return platform.ReadConfig(path) }
			config, err := reload()
			if err != nil {
				return err
			}
			limitResources(config)
			options := platform.Options{
				Config: config, Reload: reload, Hangup: hangup, Clock: clock.NewReal(), Network: localNetwork, Log: log,
			}
			if trace {
				options.Trace = os.Stderr
			}
			return platform.Run(command.Context(), options)
		},
	}
	flags := command.Flags()
	flags.StringVarP(&path, "config", "c", os.Getenv("EDGE_CONFIG"), "configuration file, in the platform's JSON format")
	flags.BoolVar(&trace, "trace", false, "write to standard error, once per second, the policy's estimates beside the observed values")
	flags.StringVar(&logLevel, "log-level", "info", "lowest level that is logged: debug, info, warn or error")
	flags.StringVar(&logForm, "log-form", "text", "format of the log: text or json")
	return command
}

// limitResources applies a configuration's limits on cores and memory to the Go runtime.
func limitResources(config platform.Config) {
	runtime.GOMAXPROCS(max(int(config.Cores), 1))
	if config.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapMemoryShare * float64(config.MemoryMB) * (1 << 20)))
		debug.SetGCPercent(gcPercent)
	}
}
