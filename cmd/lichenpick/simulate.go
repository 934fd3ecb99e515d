package main

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"lichenpick/internal/clock"
	"lichenpick/internal/settings"
	"lichenpick/internal/simulation"
	"lichenpick/proto/script"
)

func simulateCommand() *cobra.Command {
	var seeds int
	c := &cobra.Command{
		Use: "simulate SCRIPT", Short: "Play a rehearsal's day in made-up time, with models for servers, clients and links", Args: exactly(1),
		Long: "Planner core, module and proxies are the program's own; the rest is modelled. One seed gives one run. Troubles that only\n" +
			"sockets can have are refused.",
		RunE: func(c *cobra.Command, args []string) error {
			s := &script.Script{}
			if err := settings.Load(args[0], s); err != nil {
				return err
			}
			if seeds < 1 || seeds > 10000 {
				return usage{fmt.Errorf("--seeds from 1 to 10000, not %d", seeds)}
			}
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			var names []string
			for _, g := range s.Groups {
				names = append(names, g.Name)
			}
			fmt.Fprintln(t, "seed\tservice\t"+strings.Join(names, "\t")+"\tlate\tblocked\tdropped\tmessages\tlines\tfell over\tevents\temulated s/s")
			first, c0 := s.GetSeed(), clock.NewReal()
			for n := range uint64(seeds) {
				seed := first + n
				s.Seed = &seed
				begun := c0.Monotonic()
				r, err := simulation.Play(s)
				if err != nil {
					return err
				}
				var shares []string
				late, blocked, dropped := 0, 0, 0
				for _, g := range r.Classes {
					shares = append(shares, fmt.Sprintf("%.3f", g.Value/max(g.MaxValue, 1e-9)))
					late, blocked, dropped = late+g.Late, blocked+g.Rejected+g.NoServer, dropped+g.Failed
				}
				all := settings.Milliseconds(s.Warm) + settings.Milliseconds(s.Length)
				fmt.Fprintf(t, "%d\t%.3f\t%s\t%d\t%d\t%d\t%d\t%.0f\t%d\t%d\t%.0f\n", seed, r.Service, strings.Join(shares, "\t"), late, blocked, dropped,
					r.Messages, r.Entries, r.ColdOverloads, r.Events, all/(c0.Monotonic()-begun))
			}
			return t.Flush()
		},
	}
	c.Flags().IntVar(&seeds, "seeds", 1, "days to play, with seeds from the script's on")
	return c
}
