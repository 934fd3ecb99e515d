package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"os/exec"
	"slices"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"

	"lichenpick/internal/clock"
	"lichenpick/internal/fake"
	"lichenpick/internal/invariant"
	"lichenpick/internal/planner"
	"lichenpick/internal/settings"
	"lichenpick/proto/script"
)

// lastMs is how long a day runs on after its last flow, so that drains and rules still count.
const lastMs = 1500.0

// Group is what became of one traffic group's flows.
type Group struct {
	Name string
	fake.Tally
	Service float64 // utility delivered within the latency budget, over utility asked for
}

// Day is what one run of a script gave.
type Day struct {
	Decider     string
	Service     float64
	Groups      []Group
	Seconds     []float64 // service by second
	Asks, Tries int
	Messages    int
	Lines       float64
	OrderMsP50  float64
	OrderMsP99  float64
	LinesPeak   float64
	Breaches    []invariant.Breach
	Broken      map[string]int
	Endings     map[string]uint64
	Unread      map[string]int // what the watch of the sockets could not read; it must be empty
	Fell        int            // cold servers pushed over
	Servers     int
	Proxies     int

	// Where controllers share the fleet: proxies that were granted anew after the day began, how long they had no commander,
	// in ms, and messages that they refused as past.
	Takeovers                  int
	BareP50, BareP99, BareMost float64 // from the last frame of the one before to the grant of the next
	Refused                    int
	Holders                    map[string]int // proxies of each controller at the end
	Reissued                   int            // lines of whole tables that proxies were sent again by a next commander
	CPUMs                      float64        // of planners that ran as processes
	UpBytes, DownBytes         int            // of streams, from proxies and to them
}

func (d *Day) commanded() (n int) {
	for _, held := range d.Holders {
		n += held
	}
	return n
}

// takeovers sums up those after each proxy's first.
func (d *Day) takeovers(all []invariant.Takeover) {
	first := map[string]bool{}
	var bare []float64
	for _, t := range all {
		if first[t.Proxy] {
			bare = append(bare, max(t.AtMs-t.SpokeMs, 0))
		}
		first[t.Proxy] = true
	}
	if d.Takeovers = len(bare); len(bare) == 0 {
		return
	}
	slices.Sort(bare)
	at := func(q float64) float64 { return bare[int(q*float64(len(bare)-1))] }
	d.BareP50, d.BareP99, d.BareMost = at(0.5), at(0.99), at(1)
}

// Report is a rehearsal's result.
type Report struct {
	Script  string
	Days    []Day // the module's first, then the baselines
	Machine string
}

// Kept says whether the module's day kept all rules.
func (r *Report) Kept() bool {
	return len(r.Days) > 0 && len(r.Days[0].Broken) == 0 && len(r.Days[0].Unread) == 0
}

// Play runs a script under the module and, unless it says no, under both baselines at the same time.
func Play(ctx context.Context, s *script.Script, machine string, log *slog.Logger, spawn func(file string) *exec.Cmd) (*Report, error) {
	kinds := []string{""}
	if s.Sharing && !s.NoBaselines {
		kinds = append(kinds, "apart", "single")
	} else if !s.NoBaselines {
		kinds = append(kinds, "even", "size")
	}
	r := &Report{Script: s.Name, Days: make([]Day, len(kinds)), Machine: machine}
	group, ctx := errgroup.WithContext(ctx)
	for n, kind := range kinds {
		group.Go(func() error {
			l := log
			if kind != "" {
				l = quiet()
			}
			h := Hooks{Spawn: spawn, Apart: kind == "apart", Single: kind == "single"}
			if !h.Apart && !h.Single {
				h.Baseline = kind
			}
			d, err := PlayOne(ctx, s, h, l)
			if err != nil {
				return fmt.Errorf("day %s: %w", named(kind), err)
			}
			r.Days[n] = *d
			return nil
		})
	}
	return r, group.Wait()
}

func named(kind string) string {
	return map[string]string{"": "module", "apart": "module, sharing nothing", "single": "module, one planner", "even": "baseline: even table", "size": "baseline: by listed size"}[kind]
}

// PlayOne runs a script once.
func PlayOne(ctx context.Context, s *script.Script, h Hooks, log *slog.Logger) (*Day, error) {
	dir, err := os.MkdirTemp("", "rehearsal")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	f := newFleet(s, h, dir, log)
	day, cancel := context.WithCancel(ctx)
	defer cancel()
	group, running := errgroup.WithContext(day)
	fail := func(err error) (*Day, error) {
		f.finish()
		cancel()
		if e := group.Wait(); e != nil && !errors.Is(e, context.Canceled) {
			err = e
		}
		return nil, err
	}
	f.crowd = &fake.Crowd{
		Clock: f.clock, Groups: s.Groups, Shares: shares(s), PerS: settings.PerS(s.Traffic.Rate),
		Repeats: int(s.Traffic.GetRepeats()), PauseMs: settings.Ms(s.Traffic.Pause), Seed: int64(s.GetSeed()),
	}
	if err := f.start(running, group); err != nil {
		return fail(err)
	}
	f.crowd.Proxies = f.proxies
	if err := clock.Sleep(running, f.clock, settings.Ms(s.Warm)); err != nil {
		return fail(err)
	}
	troubles, troubled := errgroup.WithContext(running)
	troublesEnd, endTroubles := context.WithCancel(troubled)
	for _, t := range s.Troubles {
		troubles.Go(func() error { return f.trouble(troublesEnd, t) })
	}
	err = f.crowd.Run(running, settings.Ms(s.Length))
	if err == nil {
		err = clock.Sleep(running, f.clock, lastMs)
	}
	endTroubles()
	if e := troubles.Wait(); err == nil {
		err = e
	}
	if err != nil {
		return fail(err)
	}
	f.judge.mu.Lock()
	breaches, broken := f.judge.checker.Finish(f.clock.Mono())
	messages, lines, tries, odd := f.judge.checker.Messages, f.judge.checker.Lines, f.judge.checker.Flows, maps.Clone(f.judge.odd)
	up, down := f.judge.up, f.judge.down
	takeovers, refused := slices.Clone(f.judge.checker.Takeovers), f.judge.checker.Refused
	holders, reissued := f.judge.checker.Holders(), f.judge.checker.Reissued
	f.judge.mu.Unlock()
	f.finish()
	cancel()
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return nil, err
	}
	d := f.day(breaches, broken)
	d.Messages, d.Lines, d.Tries, d.Unread, d.Refused, d.CPUMs = messages, lines, tries, odd, refused, f.cpuMs
	if f.hung > 0 {
		d.Unread["planners that did not end when told"] = f.hung
	}
	d.UpBytes, d.DownBytes, d.Holders, d.Reissued = up, down, holders, reissued
	d.takeovers(takeovers)
	return d, nil
}

func shares(s *script.Script) []float64 {
	out, sum := append([]float64(nil), s.Traffic.Shares...), 0.0
	if len(out) == 0 {
		for range s.Groups {
			out = append(out, 1)
		}
	}
	for _, x := range out {
		sum += x
	}
	for n := range out {
		out[n] /= sum
	}
	return out
}

func (f *fleet) day(breaches []invariant.Breach, broken map[invariant.Rule]int) *Day {
	kind := f.hooks.Baseline
	if f.hooks.Apart {
		kind = "apart"
	} else if f.hooks.Single {
		kind = "single"
	}
	d := &Day{
		Decider: named(kind), Breaches: breaches, Broken: map[string]int{}, Endings: map[string]uint64{},
		Servers: len(f.nodes), Proxies: len(f.proxies),
	}
	for r, n := range broken {
		d.Broken[r.String()] = n
	}
	groups, seconds, asks := f.crowd.Tallies()
	d.Asks = asks
	got, possible := 0.0, 0.0
	for n, t := range groups {
		got, possible = got+t.Utility, possible+t.Possible
		d.Groups = append(d.Groups, Group{f.script.Groups[n].Name, t, share(t)})
	}
	d.Service = got / max(possible, 1e-9)
	for _, t := range seconds {
		if t.Asked > 0 {
			d.Seconds = append(d.Seconds, share(t))
		}
	}
	for _, n := range f.nodes {
		d.Fell += n.server.Counts().Fell
	}
	for _, s := range f.status {
		d.OrderMsP50, d.OrderMsP99 = max(d.OrderMsP50, s.OrderMsP50), max(d.OrderMsP99, s.OrderMsP99)
		for r, n := range s.Endings {
			d.Endings[string(r)] += n
		}
		d.LinesPeak = max(d.LinesPeak, s.LinesMost)
	}
	return d
}

func share(t fake.Tally) float64 { return t.Utility / max(t.Possible, 1e-9) }

// Print writes a report for people.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "rehearsal %s: %d proxies, %d servers (stand-ins on loopback)\n", r.Script, r.Days[0].Proxies, r.Days[0].Servers)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "decided by\tservice")
	for _, g := range r.Days[0].Groups {
		fmt.Fprintf(t, "\t%s", g.Name)
	}
	fmt.Fprintln(t, "\tlate\tblocked\tdropped\tmessages\tlines\torder ms p50\tp99\tfell over\trules")
	for _, d := range r.Days {
		fmt.Fprintf(t, "%s\t%.3f", d.Decider, d.Service)
		late, blocked, dropped := 0, 0, 0
		for _, g := range d.Groups {
			fmt.Fprintf(t, "\t%.3f", g.Service)
			late, blocked, dropped = late+g.Late, blocked+g.Blocked+g.Bare, dropped+g.Dropped
		}
		kept := "kept"
		if len(d.Broken) > 0 {
			kept = fmt.Sprint("broken ", d.Broken)
		}
		fmt.Fprintf(t, "\t%d\t%d\t%d\t%d\t%.0f\t%.1f\t%.1f\t%d\t%s\n", late, blocked, dropped, d.Messages, d.Lines, d.OrderMsP50, d.OrderMsP99, d.Fell, kept)
	}
	t.Flush()
	if d := r.Days[0]; d.Takeovers > 0 {
		fmt.Fprintf(w, "sharing: %d takeovers after the first; from the last word of the one before %.0f ms (p50), %.0f (p99), %.0f at most; %d past messages refused; %d lines of tables sent anew; %d of %d commanded at the end\n",
			d.Takeovers, d.BareP50, d.BareP99, d.BareMost, d.Refused, d.Reissued, d.commanded(), d.Proxies)
	}
	for _, b := range r.Days[0].Breaches {
		fmt.Fprintf(w, "broken: %s at %.0f ms: %s\n", b.Rule, b.AtMs, b.Evidence)
	}
	for what, n := range r.Days[0].Unread {
		fmt.Fprintf(w, "not read from the sockets: %s, %d times\n", what, n)
	}
}

// Write writes a report as JSON.
func (r *Report) Write(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err == nil {
		err = os.WriteFile(path, append(text, '\n'), 0o644)
	}
	return err
}

var _ planner.Decider = (*even)(nil)
