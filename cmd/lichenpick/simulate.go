package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"lichenpick/internal/clock"
	"lichenpick/internal/settings"
	"lichenpick/internal/simulation"
	"lichenpick/proto/script"
)

// maxSeeds is the maximum number of seeds that one call of the sub-command simulate runs.
const maxSeeds = 10_000

func simulateCommand() *cobra.Command {
	var seeds int
	command := &cobra.Command{
		Use:   "simulate SCRIPT",
		Short: "Run a scenario in simulated time, with models of servers, clients and links",
		Args:  exactArgs(1),
		Long: "Runs the program's own planner core, policy and proxies; servers, clients and links are models. The same seed gives the\n" +
			"same run. Faults that only occur on sockets are rejected.",
		RunE: func(command *cobra.Command, args []string) error {
			if seeds < 1 || seeds > maxSeeds {
				return usageError{fmt.Errorf("--seeds must be from 1 to %d, not %d", maxSeeds, seeds)}
			}
			return simulate(args[0], seeds, command.OutOrStdout())
		},
	}
	command.Flags().IntVar(&seeds, "seeds", 1, "number of runs, with consecutive seeds that start at the script's")
	return command
}

// simulate runs the scenario of a script file once per seed and prints a table with one row per run.
func simulate(file string, seeds int, out io.Writer) error {
	scenario := &script.Script{}
	if err := settings.Load(file, scenario); err != nil {
		return err
	}
	var table strings.Builder
	table.WriteString("seed\tservice\t")
	for _, class := range scenario.Groups {
		table.WriteString(class.Name + "\t")
	}
	table.WriteString("late\trejected\tfailed\tmessages\tentries\tcold overloads\tevents\tsimulated s/s\n")
	realClock := clock.NewReal()
	simulatedMs := settings.Milliseconds(scenario.Warm) + settings.Milliseconds(scenario.Length)
	firstSeed := scenario.GetSeed()
	for n := range uint64(seeds) {
		seed := firstSeed + n
		scenario.Seed = &seed
		startMs := realClock.Monotonic()
		result, err := simulation.Play(scenario)
		if err != nil {
			return err
		}
		speed := simulatedMs / (realClock.Monotonic() - startMs)
		formatSimulation(&table, seed, result, speed)
	}
	return writeTable(out, table.String())
}

// formatSimulation appends the row of one run to the table, with tabs between the cells. The speed is in simulated seconds per
// second of real time.
func formatSimulation(table *strings.Builder, seed uint64, result *simulation.Result, speed float64) {
	fmt.Fprintf(table, "%d\t%.3f", seed, result.Service)
	late := 0
	rejected := 0
	failures := 0
	for _, class := range result.Classes {
		fmt.Fprintf(table, "\t%.3f", class.Value/max(class.MaxValue, 1e-9))
		late += class.Late
		rejected += class.Rejected + class.NoServer
		failures += class.Failed
	}
	fmt.Fprintf(table, "\t%d\t%d\t%d\t%d\t%.0f\t%d\t%d\t%.0f\n",
		late, rejected, failures, result.Messages, result.Entries, result.ColdOverloads, result.Events, speed)
}
