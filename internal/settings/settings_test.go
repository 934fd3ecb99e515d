package settings

import (
	"errors"
	"strings"
	"testing"

	pb "lichenpick/proto/settings"
)

const good = `name: "p"
listen: "127.0.0.1:0"
zones { name: "a" prefixes: "127.1.0.0/16" }
groups { name: "check" latency_budget: "600ms" expiry: "1.5s" }
list { file { path: "list.txtpb" } }
`

func TestParse(t *testing.T) {
	t.Run("what is left out is filled in, below messages that are left out too", func(t *testing.T) {
		var m pb.Planner
		if err := Parse("f", []byte(good), &m); err != nil {
			t.Fatal(err)
		}
		if PerSecond(m.Channel.Lines) != 2500 || m.Streams.GetMost() != 4096 || m.Groups[0].GetUtility() != 1 {
			t.Errorf("%v", &m)
		}
	})
	// Each fault of a file is one line with its place, and names the right range.
	for name, c := range map[string]struct{ from, to, want string }{
		"unknown field":          {`name: "p"`, `nam: "p"`, "f:1:1: nam: no such field here"},
		"no unit":                {`"600ms"`, `"600"`, `f:4:24: groups[0].latency_budget: holds "600"; a time with its unit`},
		"out of range":           {`"600ms"`, `"0ms"`, "groups[0].latency_budget: holds \"0ms\", out of its range; from 1ms to 10m0s"},
		"expiry before budget":   {`"1.5s"`, `"0.5s"`, "f:4:48: groups[0].expiry: holds \"0.5s\", under the latency_budget"},
		"not a prefix":           {"127.1.0.0/16", "127.1.0.0", "f:3:19: zones[0].prefixes[0]: holds"},
		"missing":                {`listen: "127.0.0.1:0"`, "", "f:1:1: listen: is missing"},
		"no source":              {`file { path: "list.txtpb" }`, "", "f:5:1: list: names no source"},
		"not an address":         {"127.0.0.1:0", "localhost:x", "f:2:1: listen: holds"},
		"infinite":               {`name: "p"`, `name: "p" cross_price: inf`, "cross_price: holds +Inf, out of its range; from 0 to 1000"},
		"two zones of a prefix":  {"zones {", `zones { name: "b" prefixes: "127.1.0.0/16" } zones {`, "which zone \"b\" has"},
		"two groups of one name": {"groups {", `groups { name: "check" latency_budget: "1s" expiry: "1s" } groups {`, "an earlier group has"},
		"not text format":        {`name: "p"`, `name: "p`, "f:1:7"},
		"deep in a comment":      {"zones {", "# why\n  # how\n  zones { name: \"a\" } zones {", "f:5:31: zones[1].name"},
	} {
		t.Run("bad: "+name, func(t *testing.T) {
			var m pb.Planner
			err := Parse("f", []byte(strings.Replace(good, c.from, c.to, 1)), &m)
			var e *Error
			if !errors.As(err, &e) || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %q, want %q", err, c.want)
			}
		})
	}
	t.Run("a printed file reads back the same", func(t *testing.T) {
		var m, again pb.Planner
		if err := Parse("f", []byte(good), &m); err != nil {
			t.Fatal(err)
		}
		if err := Parse("g", []byte(Format(&m)), &again); err != nil || Format(&m) != Format(&again) {
			t.Errorf("%v\n%s\n%s", err, Format(&m), Format(&again))
		}
	})
	t.Run("births need the clock they are told by", func(t *testing.T) {
		var m pb.List
		err := Parse("f", []byte(`servers { server: "127.0.0.1:1" zone: "a" born_unix_ms: 5 }`), &m)
		if err == nil || !strings.Contains(err.Error(), "as_of_unix_ms: is missing") {
			t.Error(err)
		}
	})
}
