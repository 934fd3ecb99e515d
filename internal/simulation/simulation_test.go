package simulation

import (
	"reflect"
	"strings"
	"testing"

	"lichenpick/internal/settings"
	"lichenpick/proto/script"
)

const day = `name: "d" length: "12s" warm: "1s"
places { name: "a" proxies: 3 servers: 4 } places { name: "b" proxies: 3 servers: 4 }
groups { name: "check" latency_budget: "600ms" expiry: "1.5s" repeat: RETRIABLE }
groups { name: "charge" latency_budget: "800ms" expiry: "2.5s" }
servers { work: "40ms" } traffic { rate: "100/s" } `

func play(t *testing.T, more string) *Result {
	t.Helper()
	s := &script.Script{}
	if err := settings.Parse("day", []byte(day+more), s); err != nil {
		t.Fatal(err)
	}
	r, err := Play(s)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestEmulator(t *testing.T) {
	t.Run("one seed gives one run, another gives another", func(t *testing.T) {
		const busy = `troubles { at: "2s" lasts: "4s" deploy { servers: 2 drain: "3s" } } troubles { at: "4s" lasts: "4s" hang { servers: 1 } } `
		a, b, c := play(t, busy+"seed: 4"), play(t, busy+"seed: 4"), play(t, busy+"seed: 5")
		if !reflect.DeepEqual(a, b) || reflect.DeepEqual(a, c) {
			t.Errorf("%+v\n%+v\n%+v", a, b, c)
		}
	})
	t.Run("every flow has one end, and a calm day is served", func(t *testing.T) {
		r := play(t, "")
		for _, g := range r.Classes {
			if g.Requested < 200 || g.Requested != g.Succeeded+g.Late+g.Rejected+g.NoServer+g.Failed || g.Succeeded < g.Requested*99/100 {
				t.Errorf("%+v", g)
			}
		}
		if r.Messages == 0 || r.Entries == 0 {
			t.Errorf("%+v", r)
		}
	})
	// A model in which nothing goes wrong would pass for any planner.
	t.Run("a hang, an overload and a lost zone each cost service, and a drain does not", func(t *testing.T) {
		calm := play(t, "").Service
		for name, more := range map[string]string{
			"hang":     `troubles { at: "3s" lasts: "6s" hang { servers: 2 } }`,
			"overload": `troubles { at: "3s" lasts: "6s" burst { factor: 8 } }`,
			"zone":     `troubles { at: "3s" lasts: "4s" zone_loss { zone: "a" } }`,
		} {
			if got := play(t, more).Service; got > calm-0.005 {
				t.Errorf("%s: service %.3f, %.3f on a calm day", name, got, calm)
			}
		}
		if got := play(t, `troubles { at: "3s" lasts: "4s" deploy { servers: 2 drain: "4s" } }`).Service; got < calm-0.01 {
			t.Errorf("a release without haste: %.3f, %.3f on a calm day", got, calm)
		}
	})
	t.Run("what only sockets can have is refused", func(t *testing.T) {
		s := &script.Script{}
		if err := settings.Parse("day", []byte(day+`troubles { at: "1s" lasts: "1s" stuck_proxy {} }`), s); err != nil {
			t.Fatal(err)
		}
		if _, err := Play(s); err == nil || !strings.Contains(err.Error(), "scenario") {
			t.Errorf("%v", err)
		}
	})
}
