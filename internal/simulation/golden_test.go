package simulation_test

import (
	"encoding/json"
	"path/filepath"
	"testing"

	"lichenpick/internal/fake"
	"lichenpick/internal/golden"
	"lichenpick/internal/settings"
	"lichenpick/internal/simulation"
	"lichenpick/proto/script"
)

// requestCounts counts the requests of a traffic class, or of a second of the run, by outcome.
type requestCounts struct {
	Requests        int     `json:"requests"`
	Succeeded       int     `json:"succeeded"`
	Late            int     `json:"late"`
	Rejected        int     `json:"rejected"`
	WithoutServer   int     `json:"without_server"`
	Failed          int     `json:"failed"`
	WeightEarned    float64 `json:"weight_earned"`
	WeightAvailable float64 `json:"weight_available"`
}

// simulationOutcome is the complete result of a simulation. The golden files use the JSON names of its fields, so that
// renaming a field of simulation.Result or fake.Tally does not change the files.
type simulationOutcome struct {
	Service  float64         `json:"service"`
	Messages int             `json:"messages"`
	Entries  float64         `json:"entries"`
	Crashed  int             `json:"servers_crashed_by_overload"`
	Events   int             `json:"events"`
	Classes  []requestCounts `json:"classes"`
	Seconds  []requestCounts `json:"seconds"`
}

func countsOf(tallies []fake.Tally) []requestCounts {
	counts := make([]requestCounts, 0, len(tallies))
	for _, tally := range tallies {
		counts = append(counts, requestCounts{
			Requests:        tally.Requested,
			Succeeded:       tally.Succeeded,
			Late:            tally.Late,
			Rejected:        tally.Rejected,
			WithoutServer:   tally.NoServer,
			Failed:          tally.Failed,
			WeightEarned:    tally.Value,
			WeightAvailable: tally.MaxValue,
		})
	}
	return counts
}

func simulate(t *testing.T, path string) simulationOutcome {
	t.Helper()
	scenario := &script.Script{}
	if err := settings.Load(path, scenario); err != nil {
		t.Fatal(err)
	}
	result, err := simulation.Play(scenario)
	if err != nil {
		t.Fatal(err)
	}
	return simulationOutcome{
		Service:  result.Service,
		Messages: result.Messages,
		Entries:  result.Entries,
		Crashed:  result.ColdOverloads,
		Events:   result.Events,
		Classes:  countsOf(result.Classes),
		Seconds:  countsOf(result.Seconds),
	}
}

// TestGoldenOutcomes compares every figure of some simulated scenarios with golden files. The simulation runs the product's
// own planner core, policy and proxy core, so that any change of their decisions changes a count.
func TestGoldenOutcomes(t *testing.T) {
	for _, name := range []string{"size-20x10", "size-171x81", "mixed-faults"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			outcome := simulate(t, filepath.Join("testdata", name+".txtpb"))
			text, err := json.MarshalIndent(outcome, "", " ")
			if err != nil {
				t.Fatal(err)
			}
			golden.Check(t, filepath.Join("testdata", name+".golden.json"), append(text, '\n'))
		})
	}
}
