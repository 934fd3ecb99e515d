package model

import (
	"flag"
	"strings"
	"testing"
)

var large = flag.Bool("large", false, "explore larger spaces, for some minutes")

func TestExplore(t *testing.T) {
	one := Bounds{Proxies: 1, Epochs: 2, Restarts: 1, Losses: true, MaxStates: 5e6}
	spaces := map[string]Bounds{"one proxy, with restarts and losses": one, "two proxies": {Proxies: 2, Epochs: 1, MaxStates: 5e6}}
	if *large {
		spaces = map[string]Bounds{
			"one proxy, three epochs": {Proxies: 1, Epochs: 3, Restarts: 1, Losses: true, MaxStates: 5e7},
			"two proxies, two epochs": {Proxies: 2, Epochs: 2, MaxStates: 3e7},
		}
	}
	for name, b := range spaces {
		t.Run(name+": no state breaks a rule", func(t *testing.T) {
			r := Explore(b, NoMutation)
			t.Logf("%d states, %d steps deep, all: %v", r.States, r.Depth, r.Complete)
			if r.Violation != "" || !r.Complete && !*large || r.States < 1000 {
				t.Errorf("%s\n%s", r.Violation, strings.Join(r.Trace, "\n"))
			}
		})
	}
	for broken, want := range map[Mutation]string{
		WithoutFencing: "an order that is past was obeyed", LeaseFromAnswer: "both controllers believe",
		WithoutIncarnation: "an order that is past", WithoutClockRateBound: "both controllers believe",
	} {
		t.Run("a part left out is found: "+want, func(t *testing.T) {
			r := Explore(one, broken)
			t.Logf("%d states until:\n%s\n%s", r.States, r.Violation, strings.Join(r.Trace, "\n"))
			if !strings.Contains(r.Violation, want) || len(r.Trace) < 3 {
				t.Errorf("variant %d: %q in %d states, %v", broken, r.Violation, r.States, r.Trace)
			}
		})
	}
}
