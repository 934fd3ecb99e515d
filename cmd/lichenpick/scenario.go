package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"

	"github.com/spf13/cobra"

	"lichenpick/internal/scenario"
	"lichenpick/internal/settings"
	"lichenpick/proto/script"
)

// spawn runs this program as a planner, which logs what is out of order to this one's standard error.
func spawn(file string) *exec.Cmd {
	self, err := os.Executable()
	if err != nil {
		self = os.Args[0]
	}
	cmd := exec.Command(self, "planner", "-c", file, "--log-level", "error")
	cmd.Stderr = os.Stderr
	return cmd
}

func scenarioCommand() *cobra.Command {
	var report, level, form string
	c := &cobra.Command{
		Use: "scenario SCRIPT", Short: "Play a scripted day on loopback and judge the rules", Args: exactly(1),
		Long: "Plays a day with a real planner, plain proxies and stand-in servers on loopback, and judges the rules from what\n" +
			"passed on the sockets. Exit 0: all rules kept; 1: one was broken, or the day failed; 2: the script is bad.",
		RunE: func(c *cobra.Command, args []string) error {
			log, err := logger(level, form)
			if err != nil {
				return err
			}
			s := &script.Script{}
			if err := settings.Load(args[0], s); err != nil {
				return err
			}
			machine := fmt.Sprintf("%s/%s, %d cores, %s", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
			r, err := scenario.Play(c.Context(), s, machine, log, spawn)
			if err != nil {
				return err
			}
			if err := r.Print(c.OutOrStdout()); err != nil {
				return err
			}
			if report != "" {
				if err := r.Write(report); err != nil {
					return err
				}
			}
			if !r.Passed() {
				return errors.New("the day broke a rule")
			}
			return nil
		},
	}
	c.Flags().StringVar(&report, "report", "", "write the result as JSON to this file")
	c.Flags().StringVar(&level, "log-level", "error", "debug, info, warn or error")
	c.Flags().StringVar(&form, "log-form", "text", "text or json")
	return c
}
