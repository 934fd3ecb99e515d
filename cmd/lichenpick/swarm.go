package main

import (
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"lichenpick/internal/clock"
	"lichenpick/internal/settings"
	"lichenpick/internal/standin"
	pb "lichenpick/proto/settings"
)

func swarmCommand() *cobra.Command {
	s := &standin.Swarm{}
	var file, length string
	c := &cobra.Command{Use: "swarm -c PLANNER-FILE", Short: "Load a planner with many stand-in proxies that only speak the order stream", Args: exactly(0),
		Long: "Reads the planner's own settings for its address, zones, groups and list file, writes that list, and joins. Flows are\n" +
			"made up by the weights that the proxies hold. For measurements of a planner at large sizes.",
		RunE: func(c *cobra.Command, _ []string) error {
			set := &pb.Planner{}
			if err := settings.Load(file, set); err != nil {
				return err
			}
			from, ok := set.List.From.(*pb.ListSource_File)
			ms := settings.Ms(length)
			if !ok || ms <= 0 || s.Proxies <= 0 || s.Servers <= 0 {
				return usage{fmt.Errorf("swarm needs a planner with a list file, a --length such as 20s, and proxies and servers above 0")}
			}
			s.Clock, s.Network, s.Planner, s.List, s.Groups = clock.NewReal(), machine, set.Listen, from.File.Path, set.Groups
			s.EveryMs = settings.Ms(set.Reports.Every)
			for _, z := range set.Zones {
				s.Zones = append(s.Zones, z.Name)
			}
			r, err := s.Run(c.Context(), ms)
			if err != nil {
				return err
			}
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "proxies x servers\tjoined\tbound\tall bound ms\tlost\tmessages\torders\tapplied ms p50\tp99\tmax\tmost messages in 10 s")
			fmt.Fprintf(t, "%dx%d\t%d\t%d\t%.0f\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%d\n", s.Proxies, s.Servers, r.Joined, r.Bound, r.AllBoundMs, r.Lost,
				r.Messages, r.Orders, r.P50Ms, r.P99Ms, r.MaxMs, r.MostMessages)
			return t.Flush()
		}}
	c.Flags().StringVarP(&file, "config", "c", "", "the planner's settings file")
	c.Flags().IntVar(&s.Proxies, "proxies", 100, "proxies")
	c.Flags().IntVar(&s.Servers, "servers", 50, "servers in the list")
	c.Flags().Float64Var(&s.PerS, "rate", 5, "flows a proxy and second")
	c.Flags().Float64Var(&s.FlipMs, "flip-ms", 2000, "ms between changes of the list: one server drains, or is ready again")
	c.Flags().Float64Var(&s.JoinOver, "join-over-ms", 100, "ms over which the joins are spread")
	c.Flags().Int64Var(&s.Seed, "seed", 1, "seed of chance")
	c.Flags().StringVar(&length, "length", "20s", "how long")
	return c
}
