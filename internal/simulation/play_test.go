package simulation

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"lichenpick/internal/settings"
	"lichenpick/proto/script"
)

// faultFreeScenario is a scenario without faults, to which the tests add fields.
const faultFreeScenario = `name: "d" length: "12s" warm: "1s"
places { name: "a" proxies: 3 servers: 4 } places { name: "b" proxies: 3 servers: 4 }
groups { name: "check" latency_budget: "600ms" expiry: "1.5s" repeat: RETRIABLE }
groups { name: "charge" latency_budget: "800ms" expiry: "2.5s" }
servers { work: "40ms" } traffic { rate: "100/s" } `

// parseScenario parses the fault-free scenario with additional fields.
func parseScenario(t *testing.T, fields string) *script.Script {
	t.Helper()
	parsed := &script.Script{}
	if err := settings.Parse("test scenario", []byte(faultFreeScenario+fields), parsed); err != nil {
		t.Fatal(err)
	}
	return parsed
}

// playScenario plays the fault-free scenario with additional fields.
func playScenario(t *testing.T, fields string) *Result {
	t.Helper()
	result, err := Play(parseScenario(t, fields))
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func TestPlay(t *testing.T) {
	t.Run("the same seed gives the same result, and another seed another result", func(t *testing.T) {
		const faults = `troubles { at: "2s" lasts: "4s" deploy { servers: 2 drain: "3s" } } troubles { at: "4s" lasts: "4s" hang { servers: 1 } } `
		first := playScenario(t, faults+"seed: 4")
		second := playScenario(t, faults+"seed: 4")
		other := playScenario(t, faults+"seed: 5")
		if !reflect.DeepEqual(first, second) || reflect.DeepEqual(first, other) {
			t.Errorf("two results with one seed, and one with another seed:\n%+v\n%+v\n%+v", first, second, other)
		}
	})
	t.Run("every request ends once, and without faults at least 99% succeed in time", func(t *testing.T) {
		result := playScenario(t, "")
		for _, class := range result.Classes {
			ended := class.Succeeded + class.Late + class.Rejected + class.NoServer + class.Failed
			if class.Requested < 200 || class.Requested != ended || class.Succeeded < class.Requested*99/100 {
				t.Errorf("too few requests, a request without one outcome, or too few successes: %+v", class)
			}
		}
		if result.Messages == 0 || result.Entries == 0 {
			t.Errorf("the proxies received no messages or no entries: %+v", result)
		}
	})
	// If faults did not lower the service figure, the simulation could not tell a good planner from a bad one.
	t.Run("a hang, an overload and a lost zone each lower the service figure, and a deploy does not", func(t *testing.T) {
		faultFree := playScenario(t, "").Service
		for name, fields := range map[string]string{
			"hang":     `troubles { at: "3s" lasts: "6s" hang { servers: 2 } }`,
			"overload": `troubles { at: "3s" lasts: "6s" burst { factor: 8 } }`,
			"zone":     `troubles { at: "3s" lasts: "4s" zone_loss { zone: "a" } }`,
		} {
			if got := playScenario(t, fields).Service; got > faultFree-0.005 {
				t.Errorf("%s: service %.3f, %.3f without faults", name, got, faultFree)
			}
		}
		if got := playScenario(t, `troubles { at: "3s" lasts: "4s" deploy { servers: 2 drain: "4s" } }`).Service; got < faultFree-0.01 {
			t.Errorf("a deploy with long drains: service %.3f, %.3f without faults", got, faultFree)
		}
	})
	t.Run("a fault that needs sockets is refused", func(t *testing.T) {
		_, err := Play(parseScenario(t, `troubles { at: "1s" lasts: "1s" stuck_proxy {} }`))
		var unsupported *UnsupportedFaultError
		if !errors.As(err, &unsupported) || !strings.Contains(err.Error(), "scenario") {
			t.Errorf("error %v, want an UnsupportedFaultError that names the scenario command", err)
		}
	})
}
