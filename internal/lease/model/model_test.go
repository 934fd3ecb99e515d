package model

import (
	"flag"
	"strings"
	"testing"
)

var large = flag.Bool("large", false, "explore larger spaces, for some minutes")

func TestExplore(t *testing.T) {
	one := Bounds{Proxies: 1, Epochs: 2, Restarts: 1, Losses: true, States: 5e6}
	spaces := map[string]Bounds{"one proxy, with restarts and losses": one, "two proxies": {Proxies: 2, Epochs: 1, States: 5e6}}
	if *large {
		spaces = map[string]Bounds{
			"one proxy, three epochs": {Proxies: 1, Epochs: 3, Restarts: 1, Losses: true, States: 5e7},
			"two proxies, two epochs": {Proxies: 2, Epochs: 2, States: 3e7},
		}
	}
	for name, b := range spaces {
		t.Run(name+": no state breaks a rule", func(t *testing.T) {
			r := Explore(b, Nothing)
			t.Logf("%d states, %d steps deep, all: %v", r.States, r.Depth, r.Whole)
			if r.Wrong != "" || !r.Whole && !*large || r.States < 1000 {
				t.Errorf("%s\n%s", r.Wrong, strings.Join(r.Trace, "\n"))
			}
		})
	}
	for broken, want := range map[Broken]string{
		NoFence: "an order that is past was obeyed", FromAnswer: "both controllers believe",
		NoProcess: "an order that is past", NoRateBound: "both controllers believe",
	} {
		t.Run("a part left out is found: "+want, func(t *testing.T) {
			r := Explore(one, broken)
			t.Logf("%d states until:\n%s\n%s", r.States, r.Wrong, strings.Join(r.Trace, "\n"))
			if !strings.Contains(r.Wrong, want) || len(r.Trace) < 3 {
				t.Errorf("variant %d: %q in %d states, %v", broken, r.Wrong, r.States, r.Trace)
			}
		})
	}
}
