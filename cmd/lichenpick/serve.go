package main

import (
	"io"
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
	heapShare = 0.5 // part of the memory limit for the runtime; the rest is code, stacks of the kernel, and room
	garbage   = 50  // percent; a small heap that grows little between collections
)

func serveCommand() *cobra.Command {
	var file, level, form string
	var trace bool
	c := &cobra.Command{
		Use: "serve", Short: "Run a planner on the operators' platform until SIGTERM; EDGE_CONFIG names its configuration",
		Args: exactly(0), RunE: func(c *cobra.Command, _ []string) error {
			hangup := make(chan os.Signal, 1)
			signal.Notify(hangup, syscall.SIGHUP) // first of all: by itself it would end the program
			log, err := logger(level, form)
			if err != nil {
				return err
			}
			config, err := platform.ReadConfig(file)
			if err != nil {
				return err
			}
			runtime.GOMAXPROCS(max(int(config.Cores), 1))
			if config.MemoryMB > 0 {
				debug.SetMemoryLimit(int64(heapShare * float64(config.MemoryMB) * (1 << 20)))
				debug.SetGCPercent(garbage)
			}
			var to io.Writer
			if trace {
				to = os.Stderr
			}
			return platform.Run(c.Context(), platform.Options{
				Trace: to, Config: config, Hangup: hangup, Clock: clock.NewReal(), Network: machine,
				Reload: func() (platform.Config, error) { return platform.ReadConfig(file) }, Log: log,
			})
		},
	}
	c.Flags().StringVarP(&file, "config", "c", os.Getenv("EDGE_CONFIG"), "configuration, in the platform's JSON")
	c.Flags().BoolVar(&trace, "trace", false, "write each second what the module believes, beside counts off the sockets")
	c.Flags().StringVar(&level, "log-level", "info", "debug, info, warn or error")
	c.Flags().StringVar(&form, "log-form", "text", "text or json")
	return c
}
