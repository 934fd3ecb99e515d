package scenario

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	"lichenpick/internal/clock"
	"lichenpick/internal/discovery"
	"lichenpick/internal/planner"
	"lichenpick/internal/settings"
	"lichenpick/policy"
	"lichenpick/proto/script"
	pb "lichenpick/proto/settings"
)

// The test binary runs as a planner where this is set.
const asPlanner = "LICHENPICK_TEST_AS_PLANNER"

// Where this is set too, the planner's clock runs by that rate.
const withRate = "LICHENPICK_TEST_RATE"

// rated is a clock that runs too fast or too slowly; its date is right.
type rated struct {
	*clock.Real
	rate float64
}

func (r rated) Monotonic() float64 { return r.Real.Monotonic() * r.rate }

func (r rated) NewTimer(ms float64) (<-chan time.Time, func()) { return r.Real.NewTimer(ms / r.rate) }

func (r rated) Deadline(ms float64) time.Time { return r.Real.Deadline(ms / r.rate) }

func TestMain(m *testing.M) {
	if file := os.Getenv(asPlanner); file != "" {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		set := &pb.Planner{}
		if err := settings.Load(file, set); err != nil {
			panic(err)
		}
		c := rated{clock.NewReal(), 1}
		if text := os.Getenv(withRate); text != "" {
			rate, err := strconv.ParseFloat(text, 64)
			if err != nil {
				panic(err)
			}
			c.rate = rate
		}
		from := set.List.GetStream()
		err := planner.Run(ctx, planner.Options{
			Settings: set, Clock: c, Network: clock.TCP{}, Log: discardLogger(),
			Source: &discovery.StreamSource{Address: from.Address, ReconnectDelayMs: 200, HeartbeatTimeoutMs: 5000, MaxFrameBytes: 16 << 20, Clock: c, Network: clock.TCP{}},
		})
		if err != nil {
			panic(err)
		}
		return
	}
	os.Exit(m.Run())
}

func spawned(file string) *exec.Cmd {
	c := exec.Command(os.Args[0])
	c.Env, c.Stderr = append(os.Environ(), asPlanner+"="+file), os.Stderr
	return c
}

const small = `name: "small" length: "5s" no_baselines: true warm: "1s"
places { name: "a" proxies: 2 servers: 4 } places { name: "b" proxies: 2 servers: 4 }
groups { name: "check" latency_budget: "600ms" expiry: "1.5s" repeat: RETRIABLE }
groups { name: "charge" latency_budget: "800ms" expiry: "2.5s" }
channel { longest_way: "300ms" } limits { drain_grace: "2s" warm_up: "5s" fall_window: "1s" }
servers { work: "40ms" } traffic { rate: "80/s" } bare_within: "3s" listed_late: "100ms"
`

func play(t *testing.T, more string, h Hooks) *Day {
	t.Helper()
	s, own, full := &script.Script{}, &script.Script{}, &script.Script{}
	for m, text := range map[*script.Script]string{s: small, own: more} {
		if err := prototext.Unmarshal([]byte(text), m); err != nil {
			t.Fatal(err)
		}
	}
	proto.Merge(s, own)
	if err := settings.Parse("test", []byte(settings.Format(s)), full); err != nil {
		t.Fatal(err)
	}
	d, err := PlayOne(t.Context(), full, h, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	if len(d.Unparsed) > 0 {
		t.Errorf("not read from the sockets: %v", d.Unparsed)
	}
	return d
}

// edited is a module whose decisions are changed on their way, as a faulty host would.
type edited struct {
	planner.Decider
	now   float64
	cold  map[string]bool
	host  policy.Host
	line  func(e *edited, table int, server string, weight float64)
	mask  func(e *edited, server string, out bool)
	admit func(e *edited, table, group int, share float64, retry int)
	first func(e *edited) // once a tick
	fresh bool
}

func (e *edited) SetTime(now float64) {
	e.now, e.fresh = now, true
	e.Decider.SetTime(now)
}

func (e *edited) UpdateEndpoints(form policy.UpdateKind, list []policy.Endpoint) {
	for _, x := range list {
		e.cold[x.Server] = x.StartedMs > 0
	}
	e.Decider.UpdateEndpoints(form, list)
}

func (e *edited) Next(h policy.Host) bool {
	e.host = h
	if e.fresh && e.first != nil {
		e.fresh = false
		e.first(e)
	}
	return e.Decider.Next(e)
}

func (e *edited) SetWeight(table int, server string, weight float64) {
	if e.line != nil {
		e.line(e, table, server, weight)
		return
	}
	e.host.SetWeight(table, server, weight)
}

func (e *edited) SetEjected(server string, out bool) {
	if e.mask != nil {
		e.mask(e, server, out)
		return
	}
	e.host.SetEjected(server, out)
}

func (e *edited) SetAdmission(table, group int, share float64, retry int) {
	if e.admit != nil {
		e.admit(e, table, group, share, retry)
		return
	}
	e.host.SetAdmission(table, group, share, retry)
}

func (e *edited) AssignTable(proxy, table int, groups []int) {
	e.host.AssignTable(proxy, table, groups)
}
func (e *edited) RequestAcknowledgement(number int) { e.host.RequestAcknowledgement(number) }
func (e *edited) WatchEndpoints()                   { e.host.WatchEndpoints() }
func (e *edited) SetTimer(ms float64)               { e.host.SetTimer(ms) }

func with(change func(e *edited)) func(planner.Decider) planner.Decider {
	return func(d planner.Decider) planner.Decider {
		e := &edited{Decider: d, cold: map[string]bool{}}
		change(e)
		return e
	}
}

// A checker that cannot fail proves nothing: each planted fault must break its rule, and no other.
func TestPlanted(t *testing.T) {
	const drain = `troubles { at: "1s" lasts: "3s" deploy { servers: 2 drain: "9s" } }`
	for name, c := range map[string]struct {
		more string
		h    Hooks
		want string
	}{
		"nothing planted": {drain, Hooks{}, "map[]"},
		"a bare table": {`bare_within: "1500ms"`, Hooks{Decider: with(func(e *edited) {
			e.line = func(e *edited, table int, server string, _ float64) { e.host.SetWeight(table, server, 0) }
		})}, "bare"},
		"flows that may not run twice are repeated": {
			`troubles { at: "1s" lasts: "4s" failing { servers: 4 resets: 0.5 } }`,
			Hooks{Proxy: func(set *pb.Proxy) {
				set.DefaultRetry = pb.Retry_ONCE
				for _, g := range set.Groups {
					g.Repeat = pb.Repeat_RETRIABLE
				}
			}, Planner: func(set *pb.Planner) {
				for _, g := range set.Groups { // the module is deceived as well, or it would forbid it
					g.Repeat = pb.Repeat_RETRIABLE
				}
				set.DefaultRetry = pb.Retry_ONCE
			}},
			"twice",
		},
		"a host that drops withdrawals": {drain, Hooks{Decider: with(func(e *edited) {
			e.mask = func(e *edited, server string, out bool) {}
			e.line = func(e *edited, table int, server string, weight float64) {
				if weight > 0 {
					e.host.SetWeight(table, server, weight)
				}
			}
		})}, "drain"},
		"a rush on a cold server": {`length: "9s" traffic { rate: "250/s" } servers { work: "40ms" waiting: 400 } limits { warm_up: "20s" fall_window: "1s" drain_grace: "2s" }
			troubles { at: "1s" lasts: "1s" crash { servers: 1 listed: true } }`, Hooks{Decider: with(func(e *edited) {
			e.line = func(e *edited, table int, server string, weight float64) {
				if e.cold[server] && weight > 0 {
					weight = 50
				}
				e.host.SetWeight(table, server, weight)
			}
		})}, "push-over"},
		"a flood of lines": {"", Hooks{Planner: func(set *pb.Planner) {
			// The channel would end the streams; so its own limits are lifted, the checker's stay.
			set.Channel = proto.Clone(set.Channel).(*pb.Channel)
			set.Channel.MostMessages, set.Channel.MostWaiting = proto.Uint32(100000), proto.Uint32(1000000)
		}, Decider: with(func(e *edited) {
			e.first = func(e *edited) {
				for n := range 3 {
					e.host.SetWeight(0, fmt.Sprintf("127.9.9.9:%d", 9000+n), 1e-6)
				}
			}
		})}, "queue"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := play(t, c.more, c.h)
			got := fmt.Sprint(d.ViolationCounts)
			if c.want != "map[]" && (len(d.ViolationCounts) != 1 || d.ViolationCounts[c.want] == 0) || c.want == "map[]" && got != c.want {
				t.Errorf("broken %v, want %s; %v", d.ViolationCounts, c.want, d.Violations)
			}
		})
	}
}

// Each kind of trouble that rules are at stake in, on a small fleet. All must keep the rules, and flows go on.
func TestTroubles(t *testing.T) {
	for name, c := range map[string]struct {
		more  string
		least float64 // of the utility; far under what is measured, as this tells only that the fleet serves
	}{
		"a planner killed amid its messages, then started from a stale list": {`listed_late: "2s"
			troubles { at: "2500ms" lasts: "800ms" planner_restart { kill: true after_bytes: 60 } }
			troubles { at: "2s" lasts: "3s" deploy { servers: 2 drain: "6s" } }`, 0.7},
		"a list that is empty for two polls": {`troubles { at: "2s" lasts: "2s" wrong_list { missing: 1 } }`, 0.8},
		"a list that names strangers":        {`troubles { at: "2s" lasts: "3s" wrong_list { strangers: 3 } }`, 0.5},
		"stuck streams during a drain": {`troubles { at: "1s" lasts: "5s" stuck_proxy {} }
			troubles { at: "1500ms" lasts: "3s" deploy { servers: 2 drain: "9s" } }`, 0.7},
		"a zone lost and back": {`troubles { at: "1500ms" lasts: "1500ms" zone_loss { zone: "a" } }`, 0.3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := play(t, c.more, Hooks{})
			if len(d.ViolationCounts) > 0 || d.Service < c.least {
				t.Errorf("service %.3f, broken %v: %v", d.Service, d.ViolationCounts, d.Violations)
			}
		})
	}
}

// Three controllers as processes share the small fleet, through a pause beyond the lease, a kill amid messages and a cut.
func TestSharing(t *testing.T) {
	const shared = `controllers: 3 sharing: true length: "9s"
		troubles { at: "1500ms" lasts: "3s" controller_pause { controller: 0 } }
		troubles { at: "2s" lasts: "4s" deploy { servers: 2 drain: "7s" } }
		troubles { at: "4s" lasts: "2s" planner_restart { controller: 1 kill: true after_bytes: 30 } }
		troubles { at: "6s" lasts: "2s" controller_cut { controller: 2 zone: "a" } }`
	t.Run("all rules are kept", func(t *testing.T) {
		t.Parallel()
		d := play(t, shared, Hooks{Spawn: spawned})
		if len(d.ViolationCounts) > 0 || d.Takeovers == 0 || d.Service < 0.7 {
			t.Errorf("service %.3f, %d takeovers, broken %v: %v", d.Service, d.Takeovers, d.ViolationCounts, d.Violations)
		}
	})
	// Each is a hard hour of its own: rules kept, and all proxies commanded again at the end.
	const onFull = "one restarts on a full disk, and commands nothing"
	for name, more := range map[string]string{
		"a fourth controller joins under load": `controllers: 4 length: "10s" traffic { rate: "160/s" }
			troubles { at: "0s" lasts: "3s" planner_restart { controller: 3 kill: true } }`,
		"a takeover amid a drain": `controllers: 3 length: "9s" troubles { at: "2500ms" lasts: "3s" deploy { servers: 3 drain: "6s" } }
			troubles { at: "3s" lasts: "3s" planner_restart { controller: 0 kill: true after_bytes: 50 } }`,
		"a takeover amid a zone's loss": `controllers: 3 length: "9s" troubles { at: "3s" lasts: "3s" zone_loss { zone: "a" } }
			troubles { at: "3200ms" lasts: "3s" planner_restart { controller: 1 kill: true } }`,
		"all three restarted at once": `controllers: 3 length: "9s" bare_within: "5s" troubles { at: "3s" lasts: "1s" planner_restart { controller: 0 kill: true } }
			troubles { at: "3s" lasts: "1s" planner_restart { controller: 1 kill: true } }
			troubles { at: "3s" lasts: "1s" planner_restart { controller: 2 kill: true } }`,
		onFull: `controllers: 3 length: "9s" places { name: "d" proxies: 6 servers: 4 } troubles { at: "1s" lasts: "30s" disk_full { controller: 0 } }
			troubles { at: "1500ms" lasts: "500ms" planner_restart { controller: 0 kill: true } }`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := play(t, `sharing: true `+more, Hooks{Spawn: spawned})
			if len(d.ViolationCounts) > 0 || d.Service < 0.6 || d.commanded() != d.Proxies || name == onFull && d.LeasesByController["planner-1"] > 0 {
				t.Errorf("service %.3f, %v hold %d proxies at the end, broken %v: %v", d.Service, d.LeasesByController, d.Proxies, d.ViolationCounts, d.Violations)
			}
		})
	}
	t.Run("a controller whose clock runs fast", func(t *testing.T) {
		t.Parallel()
		n := 0
		d := play(t, shared, Hooks{Spawn: func(file string) *exec.Cmd {
			c := spawned(file)
			if n++; n == 1 {
				c.Env = append(c.Env, withRate+"=1.05")
			}
			return c
		}})
		if len(d.ViolationCounts) > 0 || d.Takeovers == 0 || d.Service < 0.7 {
			t.Errorf("service %.3f, %d takeovers, broken %v: %v", d.Service, d.Takeovers, d.ViolationCounts, d.Violations)
		}
	})
	// What a controller sends is held back for longer than its lease, while a release makes it decide. Guards against proxies
	// that obey a controller which is past; a drain is answered late in it, so the grace must be long. By 4 s each holds its share.
	const held = `controllers: 3 sharing: true length: "9s" limits { drain_grace: "20s" warm_up: "5s" fall_window: "1s" }
		places { name: "c" proxies: 4 servers: 4 }
		troubles { at: "3500ms" lasts: "3s" deploy { servers: 8 drain: "20s" } }
		troubles { at: "4s" lasts: "3s" controller_cut { controller: 0 hold: true } }
		troubles { at: "4s" lasts: "3s" controller_cut { controller: 1 hold: true } }`
	t.Run("orders that come after a successor's are refused", func(t *testing.T) {
		t.Parallel()
		d := play(t, held, Hooks{Spawn: spawned})
		if len(d.ViolationCounts) > 0 || d.Rejected == 0 {
			t.Errorf("%d past messages refused, broken %v: %v", d.Rejected, d.ViolationCounts, d.Violations)
		}
	})
	t.Run("planted: proxies that check no epoch", func(t *testing.T) {
		t.Parallel()
		d := play(t, held, Hooks{Spawn: spawned, DisableFencing: true})
		if d.ViolationCounts["stale-order"] == 0 {
			t.Errorf("broken %v, want a stale order", d.ViolationCounts)
		}
	})
}
