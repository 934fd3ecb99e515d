package scenario

import (
	"testing"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	"lichenpick/internal/settings"
	"lichenpick/proto/script"
)

// smallScenario is the base script of the tests. Each test merges its own fields into this script.
const smallScenario = `name: "small" length: "5s" no_baselines: true warm: "1s"
places { name: "a" proxies: 2 servers: 4 } places { name: "b" proxies: 2 servers: 4 }
groups { name: "check" latency_budget: "600ms" expiry: "1.5s" repeat: RETRIABLE }
groups { name: "charge" latency_budget: "800ms" expiry: "2.5s" }
channel { longest_way: "300ms" } limits { drain_grace: "2s" warm_up: "5s" fall_window: "1s" }
servers { work: "40ms" } traffic { rate: "80/s" } bare_within: "3s" listed_late: "100ms"
`

// parseScript parses a script without checking it.
func parseScript(t *testing.T, text string) *script.Script {
	t.Helper()
	parsed := &script.Script{}
	if err := prototext.Unmarshal([]byte(text), parsed); err != nil {
		t.Fatal(err)
	}
	return parsed
}

// play runs smallScenario with further fields, and fails the test if anything in the run could not be checked.
func play(t *testing.T, fields string, hooks Hooks) *Result {
	t.Helper()
	merged := parseScript(t, smallScenario)
	proto.Merge(merged, parseScript(t, fields))
	checked := &script.Script{}
	if err := settings.Parse("test", []byte(settings.Format(merged)), checked); err != nil {
		t.Fatal(err)
	}
	result, err := PlayOne(t.Context(), checked, hooks, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	if len(result.Unparsed) > 0 {
		t.Errorf("could not be checked: %v", result.Unparsed)
	}
	return result
}
