package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"lichenpick/internal/clock"
	"lichenpick/internal/load"
	"lichenpick/internal/settings"
)

// errFirstRateFailed means that a ramp's first rate, the lowest, missed the objective.
var errFirstRateFailed = errors.New("the first rate of the ramp misses the objective")

// loadFlags has the unchecked flags of the sub-command load.
type loadFlags struct {
	targets   string
	rate      float64 // requests per second
	ramp      string  // rates of the ramp as FROM:TO:BY; empty: run at one rate only
	length    string  // duration of the run, or of the run at each rate of a ramp
	class     string
	deadline  string
	objective string

	minSuccessRatio float64
	maxInFlight     int
	seed            int64
}

func loadCommand() *cobra.Command {
	flags := &loadFlags{}
	command := &cobra.Command{
		Use:   "load --to ADDRESS[,ADDRESS]",
		Short: "Send open-loop traffic to proxies, and find the highest rate that meets an objective",
		Args:  exactArgs(0),
		Long: "Sends requests at a given rate, at times drawn beforehand, and measures each from the time it was due, so that delays of\n" +
			"this tool count too. With --ramp FROM:TO:BY, each rate lasts --length, and the first that misses the objective ends the run.",
		RunE: func(command *cobra.Command, _ []string) error {
			options, err := flags.plan()
			if err != nil {
				return err
			}
			return runLoad(command.Context(), options, flags.ramp != "", command.OutOrStdout(), command.ErrOrStderr())
		},
	}
	flags.register(command)
	return command
}

// register adds the flags to a command.
func (f *loadFlags) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&f.targets, "to", "", "addresses of proxies, separated by commas")
	flags.Float64Var(&f.rate, "rate", 100, "requests per second")
	flags.StringVar(&f.length, "length", "10s", "duration of the run, or of each rate of a ramp")
	flags.StringVar(&f.ramp, "ramp", "", "rates to try one after the other, as FROM:TO:BY in requests per second")
	flags.StringVar(&f.class, "group", "", "traffic class; if empty, the first one of the proxies")
	flags.StringVar(&f.deadline, "expiry", "5s", "deadline of a request, after which it counts as failed")
	flags.StringVar(&f.objective, "budget", "500ms", "latency objective: the highest p99 with which a rate holds")
	flags.Float64Var(&f.minSuccessRatio, "least", 0.99, "lowest ratio of successful requests with which a rate holds")
	flags.IntVar(&f.maxInFlight, "most", 10000, "maximum number of requests in flight; requests beyond it are not sent, and counted as unsent")
	flags.Int64Var(&f.seed, "seed", 1, "seed of the random numbers")
}

// plan returns the checked options of the run. All its errors are of type usageError.
func (f *loadFlags) plan() (load.Options, error) {
	options := load.Options{
		Clock:              clock.NewReal(),
		Class:              f.class,
		Rates:              []float64{f.rate},
		StepMs:             settings.Milliseconds(f.length),
		DeadlineMs:         settings.Milliseconds(f.deadline),
		LatencyObjectiveMs: settings.Milliseconds(f.objective),
		MinSuccessRatio:    f.minSuccessRatio,
		MaxInFlight:        f.maxInFlight,
		Seed:               f.seed,
	}
	if f.targets != "" {
		options.Targets = strings.Split(f.targets, ",")
	}
	if f.ramp != "" {
		rates, err := parseRamp(f.ramp)
		if err != nil {
			return options, usageError{err}
		}
		options.Rates = rates
	}
	if err := options.Check(); err != nil {
		return options, usageError{err}
	}
	return options, nil
}

// parseRamp parses FROM:TO:BY and returns the rates of the ramp.
func parseRamp(text string) ([]float64, error) {
	var from, to, by float64
	if _, err := fmt.Sscanf(text, "%f:%f:%f", &from, &to, &by); err != nil {
		return nil, fmt.Errorf("invalid ramp %q; want FROM:TO:BY, such as 100:1000:100", text)
	}
	return load.Ramp(from, to, by)
}

// runLoad sends the traffic. It writes the result to the writer out, and a line after each rate to the writer progress.
func runLoad(ctx context.Context, options load.Options, ramp bool, out, progress io.Writer) error {
	options.Progress = func(step load.Step) {
		// A failure to write progress does not affect the run.
		_, _ = fmt.Fprintf(progress, "%g/s: %d due, %d succeeded, p50 %.1f ms, p99 %.1f ms\n", step.Rate, step.Due, step.Succeeded, step.P50, step.P99)
	}
	steps, err := load.Run(ctx, options)
	if printErr := printSteps(out, options, steps); err == nil {
		err = printErr
	}
	if err != nil || !ramp {
		return err
	}
	rate, found := highestSustainedRate(options, steps)
	if !found {
		return errFirstRateFailed
	}
	_, err = fmt.Fprintf(out, "holds up to %g/s\n", rate)
	return err
}

// printSteps prints a table with one row per rate.
func printSteps(out io.Writer, options load.Options, steps []load.Step) error {
	var table strings.Builder
	table.WriteString("rate/s\tdue\tsucceeded\trejected\tfailed\tunsent\tp50 ms\tp90\tp99\tp99.9\tmax\ttool late ms\tholds\n")
	for _, step := range steps {
		fmt.Fprintf(&table, "%g\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%t\n",
			step.Rate, step.Due, step.Succeeded, step.Rejected, step.Failed, step.Unsent,
			step.P50, step.P90, step.P99, step.P999, step.Max, step.MaxLateMs, options.MeetsObjective(step))
	}
	return writeTable(out, table.String())
}

// highestSustainedRate returns the last rate that met the objective, and reports whether any rate met the objective.
func highestSustainedRate(options load.Options, steps []load.Step) (rate float64, found bool) {
	for _, step := range steps {
		if options.MeetsObjective(step) {
			rate = step.Rate
			found = true
		}
	}
	return rate, found
}
