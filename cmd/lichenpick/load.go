package main

import (
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"lichenpick/internal/clock"
	"lichenpick/internal/load"
	"lichenpick/internal/settings"
)

func loadCommand() *cobra.Command {
	o := load.Options{}
	var to, length, ramp, expiry, budget string
	var rate float64
	c := &cobra.Command{
		Use: "load --to ADDRESS[,ADDRESS]", Short: "Send open-loop traffic to proxies, and find the rate up to which they hold", Args: exactly(0),
		Long: "Sends flows at times drawn ahead, at a set rate, and measures each from the time it was due: what is late shows, whoever is late.\n" +
			"With --ramp FROM:TO:BY each rate lasts --length, and the first that does not keep the budget ends the run.",
		RunE: func(c *cobra.Command, _ []string) (err error) {
			o.Clock, o.Rates = clock.NewReal(), []float64{rate}
			if to != "" {
				o.Targets = strings.Split(to, ",")
			}
			if ramp != "" {
				var a, b, by float64
				if _, err := fmt.Sscanf(ramp, "%f:%f:%f", &a, &b, &by); err != nil {
					return usage{fmt.Errorf("no ramp %q; FROM:TO:BY, such as 100:1000:100", ramp)}
				}
				if o.Rates, err = load.Ramp(a, b, by); err != nil {
					return usage{err}
				}
			}
			o.StepMs, o.DeadlineMs, o.LatencyObjectiveMs = settings.Milliseconds(length), settings.Milliseconds(expiry), settings.Milliseconds(budget)
			if err := o.Check(); err != nil {
				return usage{err}
			}
			o.Progress = func(s load.Step) {
				fmt.Fprintf(c.ErrOrStderr(), "%g/s: %d due, %d delivered, p50 %.1f ms, p99 %.1f ms\n", s.Rate, s.Due, s.Succeeded, s.P50, s.P99)
			}
			steps, err := load.Run(c.Context(), o)
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "rate/s\tdue\tdelivered\tblocked\tdropped\tunsent\tp50 ms\tp90\tp99\tp99.9\tmax\ttool late ms\tholds")
			knee := 0.0
			for _, s := range steps {
				fmt.Fprintf(t, "%g\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%t\n", s.Rate, s.Due, s.Succeeded, s.Rejected, s.Failed, s.Unsent,
					s.P50, s.P90, s.P99, s.P999, s.Max, s.LateMs, o.MeetsObjective(s))
				if o.MeetsObjective(s) {
					knee = s.Rate
				}
			}
			if t.Flush(); err != nil {
				return err
			}
			if ramp != "" && knee == 0 {
				return errors.New("not even the first rate holds")
			}
			if ramp != "" {
				fmt.Fprintf(c.OutOrStdout(), "holds up to %g/s\n", knee)
			}
			return nil
		},
	}
	c.Flags().StringVar(&to, "to", "", "addresses of proxies, separated by commas")
	c.Flags().Float64Var(&rate, "rate", 100, "flows a second")
	c.Flags().StringVar(&length, "length", "10s", "how long, or how long each step of a ramp")
	c.Flags().StringVar(&ramp, "ramp", "", "FROM:TO:BY flows a second")
	c.Flags().StringVar(&o.Class, "group", "", "traffic group; none: the proxies' first")
	c.Flags().StringVar(&expiry, "expiry", "5s", "time after which a flow counts as dropped")
	c.Flags().StringVar(&budget, "budget", "500ms", "p99 that a rate must keep to hold")
	c.Flags().Float64Var(&o.MinSuccessRatio, "least", 0.99, "part that must be delivered for a rate to hold")
	c.Flags().IntVar(&o.MaxInFlight, "most", 10000, "flows in hand; more are not sent, and counted")
	c.Flags().Int64Var(&o.Seed, "seed", 1, "seed of chance")
	return c
}
