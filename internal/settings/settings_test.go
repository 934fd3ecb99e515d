package settings

import (
	"errors"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"lichenpick/policy"
	pb "lichenpick/proto/settings"
)

const validPlanner = `name: "p"
listen: "127.0.0.1:0"
zones { name: "a" prefixes: "127.1.0.0/16" }
groups { name: "check" latency_budget: "600ms" expiry: "1.5s" }
list { file { path: "list.txtpb" } }
`

// badPlanner is an edit that makes validPlanner invalid, and a part of the expected error.
type badPlanner struct{ from, to, want string }

var badPlanners = map[string]badPlanner{
	"unknown field":             {`name: "p"`, `nam: "p"`, "f:1:1: nam: unknown field"},
	"no unit":                   {`"600ms"`, `"600"`, `f:4:24: groups[0].latency_budget: is "600"; want a duration with a unit`},
	"out of range":              {`"600ms"`, `"0ms"`, "groups[0].latency_budget: is \"0ms\", out of range; from 1ms to 10m0s"},
	"deadline before objective": {`"1.5s"`, `"0.5s"`, "f:4:48: groups[0].expiry: is \"0.5s\", shorter than the latency_budget"},
	"not a prefix":              {"127.1.0.0/16", "127.1.0.0", "f:3:19: zones[0].prefixes[0]: is \"127.1.0.0\""},
	"an empty prefix":           {"127.1.0.0/16", "", `f:3:19: zones[0].prefixes[0]: is ""; want an IP prefix`},
	"an empty allowed prefix":   {`name: "p"`, `name: "p" allow: ""`, `f:1:11: allow[0]: is ""; want an IP prefix`},
	"missing":                   {`listen: "127.0.0.1:0"`, "", "f:1:1: listen: is missing"},
	"no endpoint source":        {`file { path: "list.txtpb" }`, "", "f:5:1: list: has no source"},
	"not an address":            {"127.0.0.1:0", "localhost:x", "f:2:1: listen: is \"localhost:x\""},
	"infinite":                  {`name: "p"`, `name: "p" cross_price: inf`, "cross_price: is +Inf, out of range; from 0 to 1000"},
	"two zones of one prefix":   {"zones {", `zones { name: "b" prefixes: "127.1.0.0/16" } zones {`, "which zone \"b\" already has"},
	"two classes of one name":   {"groups {", `groups { name: "check" latency_budget: "1s" expiry: "1s" } groups {`, "the name of an earlier group"},
	"not text format":           {`name: "p"`, `name: "p`, "f:1:7"},
	"after comments":            {"zones {", "# why\n  # how\n  zones { name: \"a\" } zones {", "f:5:31: zones[1].name"},
}

func TestParse(t *testing.T) {
	t.Run("omitted fields get their defaults, also in omitted messages", func(t *testing.T) {
		var planner pb.Planner
		if err := Parse("f", []byte(validPlanner), &planner); err != nil {
			t.Fatal(err)
		}
		if PerSecond(planner.Channel.Lines) != 2500 || planner.Streams.GetMost() != 4096 || planner.Groups[0].GetUtility() != 1 {
			t.Errorf("the defaults are not those of the .proto file: %v", &planner)
		}
	})
	for name, test := range badPlanners {
		t.Run("bad: "+name, func(t *testing.T) {
			text := strings.Replace(validPlanner, test.from, test.to, 1)
			checkRejected(t, text, &pb.Planner{}, test.want)
		})
	}
	t.Run("a formatted message reads back to the same values", func(t *testing.T) {
		var planner, again pb.Planner
		if err := Parse("f", []byte(validPlanner), &planner); err != nil {
			t.Fatal(err)
		}
		printed := Format(&planner)
		if err := Parse("g", []byte(printed), &again); err != nil || Format(&again) != printed {
			t.Errorf("error %v\nformatted:\n%s\nformatted again:\n%s", err, printed, Format(&again))
		}
	})
	t.Run("start times of servers require the time of the list", func(t *testing.T) {
		text := `servers { server: "127.0.0.1:1" zone: "a" born_unix_ms: 5 }`
		checkRejected(t, text, &pb.List{}, "as_of_unix_ms: is missing")
	})
}

// checkRejected checks that a text is rejected with an *Error of one line that contains the wanted part.
func checkRejected(t *testing.T, text string, into proto.Message, want string) {
	t.Helper()
	err := Parse("f", []byte(text), into)
	var found *Error
	if !errors.As(err, &found) || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
		t.Errorf("got error %q, want one line with %q", err, want)
	}
}

// TestRetryMode checks that every retry mode of the settings converts to the right retry mode of the policy.
func TestRetryMode(t *testing.T) {
	want := map[pb.Retry]int{
		pb.Retry_AFTER_PROOF: policy.RetryUnprocessed,
		pb.Retry_NEVER:       policy.RetryNever,
		pb.Retry_ONCE:        policy.RetryOnce,
		pb.Retry_TWICE:       policy.RetryTwice,
	}
	for number := range pb.Retry_name {
		retry := pb.Retry(number)
		mode, known := want[retry]
		if !known {
			t.Errorf("%s has no expected policy mode in this test", retry)
		}
		if got := RetryMode(retry); got != mode {
			t.Errorf("%s converts to mode %d, want %d", retry, got, mode)
		}
	}
}
