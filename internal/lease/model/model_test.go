package model

import (
	"flag"
	"strings"
	"testing"
)

var large = flag.Bool("large", false, "search larger state spaces, which takes some minutes")

// smallSpace bounds a state space in which every mutation causes a violation.
var smallSpace = Bounds{Proxies: 1, Epochs: 2, Restarts: 1, Losses: true, MaxStates: 5e6}

func TestExplore(t *testing.T) {
	spaces := map[string]Bounds{
		"one proxy, with restarts and losses": smallSpace,
		"two proxies":                         {Proxies: 2, Epochs: 1, MaxStates: 5e6},
	}
	if *large {
		spaces = map[string]Bounds{
			"one proxy, three epochs": {Proxies: 1, Epochs: 3, Restarts: 1, Losses: true, MaxStates: 5e7},
			"two proxies, two epochs": {Proxies: 2, Epochs: 2, MaxStates: 3e7},
		}
	}
	for name, bounds := range spaces {
		t.Run(name+": the protocol breaks no rule", func(t *testing.T) {
			result := Explore(bounds, NoMutation)
			t.Logf("%d states in %d levels, complete: %t", result.States, result.Depth, result.Complete)
			if result.Violation != "" {
				t.Errorf("%s\n%s", result.Violation, strings.Join(result.Trace, "\n"))
			}
			if !result.Complete && !*large {
				t.Error("the search is incomplete")
			}
			if result.States < 1000 {
				t.Errorf("%d states, want at least 1000", result.States)
			}
		})
	}
	mutations := []struct {
		name      string
		mutation  Mutation
		violation string
	}{
		{"without fencing", WithoutFencing, "a stale order was obeyed"},
		{"with leases measured from the answer", LeaseFromAnswer, "both controllers believe"},
		{"without incarnations", WithoutIncarnation, "a stale order was obeyed"},
		{"without a bound on clock rates", WithoutClockRateBound, "both controllers believe"},
	}
	for _, test := range mutations {
		t.Run(test.name+" a violation is found: "+test.violation, func(t *testing.T) {
			result := Explore(smallSpace, test.mutation)
			t.Logf("%d states until the violation:\n%s\n%s", result.States, result.Violation, strings.Join(result.Trace, "\n"))
			if !strings.Contains(result.Violation, test.violation) || len(result.Trace) < 3 {
				t.Errorf("violation %q in %d states, trace %v", result.Violation, result.States, result.Trace)
			}
		})
	}
}
