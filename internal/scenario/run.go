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

// ClassResult is what became of one traffic group's flows.
type ClassResult struct {
	Name string
	fake.Tally
	Service float64 // utility delivered within the latency budget, over utility asked for
}

// Day is what one run of a script gave.
type Day struct {
	Decider         string
	Service         float64
	Classes         []ClassResult `json:"Groups"`
	Seconds         []float64     // service by second
	Requests        int           `json:"Asks"`
	Attempts        int           `json:"Tries"`
	Messages        int
	Entries         float64 `json:"Lines"`
	OrderMsP50      float64
	OrderMsP99      float64
	PeakBacklog     float64               `json:"LinesPeak"`
	Violations      []invariant.Violation `json:"Breaches"`
	ViolationCounts map[string]int        `json:"Broken"`
	Closes          map[string]uint64     `json:"Endings"`
	Unparsed        map[string]int        `json:"Unread"` // what the watch of the sockets could not read; it must be empty
	ColdOverloads   int                   `json:"Fell"`   // cold servers pushed over
	Servers         int
	Proxies         int

	// Where controllers share the fleet: proxies that were granted anew after the day began, how long they had no commander,
	// in ms, and messages that they refused as past.
	Takeovers          int
	WithoutLeaderP50   float64        `json:"BareP50"`
	WithoutLeaderP99   float64        `json:"BareP99"`
	WithoutLeaderMax   float64        `json:"BareMost"` // from the last frame of the one before to the grant of the next
	Rejected           int            `json:"Refused"`
	LeasesByController map[string]int `json:"Holders"`  // proxies of each controller at the end
	ResentEntries      int            `json:"Reissued"` // lines of whole tables that proxies were sent again by a next commander
	CPUMs              float64        // of planners that ran as processes
	BytesUp            int            `json:"UpBytes"`
	BytesDown          int            `json:"DownBytes"` // of streams, from proxies and to them
}

func (d *Day) commanded() (n int) {
	for _, held := range d.LeasesByController {
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
			bare = append(bare, max(t.GrantedMs-t.LastFrameMs, 0))
		}
		first[t.Proxy] = true
	}
	if d.Takeovers = len(bare); len(bare) == 0 {
		return
	}
	slices.Sort(bare)
	at := func(q float64) float64 { return bare[int(q*float64(len(bare)-1))] }
	d.WithoutLeaderP50, d.WithoutLeaderP99, d.WithoutLeaderMax = at(0.5), at(0.99), at(1)
}

// Report is a rehearsal's result.
type Report struct {
	Script  string
	Days    []Day // the module's first, then the baselines
	Machine string
}

// Passed says whether the module's day kept all rules.
func (r *Report) Passed() bool {
	return len(r.Days) > 0 && len(r.Days[0].ViolationCounts) == 0 && len(r.Days[0].Unparsed) == 0
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
				l = discardLogger()
			}
			h := Hooks{Spawn: spawn, Unshared: kind == "apart", SinglePlanner: kind == "single"}
			if !h.Unshared && !h.SinglePlanner {
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
	f.crowd = &fake.LoadGenerator{
		Clock: f.clock, Classes: s.Groups, Shares: shares(s), RequestsPerSecond: settings.PerSecond(s.Traffic.Rate),
		MaxRetries: int(s.Traffic.GetRepeats()), BackoffMs: settings.Milliseconds(s.Traffic.Pause), Seed: int64(s.GetSeed()),
	}
	if err := f.start(running, group); err != nil {
		return fail(err)
	}
	f.crowd.Proxies = f.proxies
	if err := clock.Sleep(running, f.clock, settings.Milliseconds(s.Warm)); err != nil {
		return fail(err)
	}
	troubles, troubled := errgroup.WithContext(running)
	troublesEnd, endTroubles := context.WithCancel(troubled)
	for _, t := range s.Troubles {
		troubles.Go(func() error { return f.trouble(troublesEnd, t) })
	}
	err = f.crowd.Run(running, settings.Milliseconds(s.Length))
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
	breaches, broken := f.judge.checker.Finish(f.clock.Monotonic())
	messages, lines, tries, odd := f.judge.checker.Messages, f.judge.checker.Entries, f.judge.checker.Requests, maps.Clone(f.judge.odd)
	up, down := f.judge.up, f.judge.down
	takeovers, refused := slices.Clone(f.judge.checker.Takeovers), f.judge.checker.Rejected
	holders, reissued := f.judge.checker.CountByController(), f.judge.checker.ResentEntries
	f.judge.mu.Unlock()
	f.finish()
	cancel()
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return nil, err
	}
	d := f.day(breaches, broken)
	d.Messages, d.Entries, d.Attempts, d.Unparsed, d.Rejected, d.CPUMs = messages, lines, tries, odd, refused, f.cpuMs
	if f.hung > 0 {
		d.Unparsed["planners that did not end when told"] = f.hung
	}
	d.BytesUp, d.BytesDown, d.LeasesByController, d.ResentEntries = up, down, holders, reissued
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

func (f *fleet) day(breaches []invariant.Violation, broken map[invariant.Rule]int) *Day {
	kind := f.hooks.Baseline
	if f.hooks.Unshared {
		kind = "apart"
	} else if f.hooks.SinglePlanner {
		kind = "single"
	}
	d := &Day{
		Decider: named(kind), Violations: breaches, ViolationCounts: map[string]int{}, Closes: map[string]uint64{},
		Servers: len(f.nodes), Proxies: len(f.proxies),
	}
	for r, n := range broken {
		d.ViolationCounts[r.String()] = n
	}
	groups, seconds, asks := f.crowd.Tallies()
	d.Requests = asks
	got, possible := 0.0, 0.0
	for n, t := range groups {
		got, possible = got+t.Value, possible+t.MaxValue
		d.Classes = append(d.Classes, ClassResult{f.script.Groups[n].Name, t, share(t)})
	}
	d.Service = got / max(possible, 1e-9)
	for _, t := range seconds {
		if t.Requested > 0 {
			d.Seconds = append(d.Seconds, share(t))
		}
	}
	for _, n := range f.nodes {
		d.ColdOverloads += n.server.Counts().ColdOverloads
	}
	for _, s := range f.status {
		d.OrderMsP50, d.OrderMsP99 = max(d.OrderMsP50, s.OrderMsP50), max(d.OrderMsP99, s.OrderMsP99)
		for r, n := range s.Closes {
			d.Closes[string(r)] += n
		}
		d.PeakBacklog = max(d.PeakBacklog, s.MaxBacklog)
	}
	return d
}

func share(t fake.Tally) float64 { return t.Value / max(t.MaxValue, 1e-9) }

// Print writes a report for people.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "rehearsal %s: %d proxies, %d servers (stand-ins on loopback)\n", r.Script, r.Days[0].Proxies, r.Days[0].Servers)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "decided by\tservice")
	for _, g := range r.Days[0].Classes {
		fmt.Fprintf(t, "\t%s", g.Name)
	}
	fmt.Fprintln(t, "\tlate\tblocked\tdropped\tmessages\tlines\torder ms p50\tp99\tfell over\trules")
	for _, d := range r.Days {
		fmt.Fprintf(t, "%s\t%.3f", d.Decider, d.Service)
		late, blocked, dropped := 0, 0, 0
		for _, g := range d.Classes {
			fmt.Fprintf(t, "\t%.3f", g.Service)
			late, blocked, dropped = late+g.Late, blocked+g.Rejected+g.NoServer, dropped+g.Failed
		}
		kept := "kept"
		if len(d.ViolationCounts) > 0 {
			kept = fmt.Sprint("broken ", d.ViolationCounts)
		}
		fmt.Fprintf(t, "\t%d\t%d\t%d\t%d\t%.0f\t%.1f\t%.1f\t%d\t%s\n", late, blocked, dropped, d.Messages, d.Entries, d.OrderMsP50, d.OrderMsP99, d.ColdOverloads, kept)
	}
	t.Flush()
	if d := r.Days[0]; d.Takeovers > 0 {
		fmt.Fprintf(w, "sharing: %d takeovers after the first; from the last word of the one before %.0f ms (p50), %.0f (p99), %.0f at most; %d past messages refused; %d lines of tables sent anew; %d of %d commanded at the end\n",
			d.Takeovers, d.WithoutLeaderP50, d.WithoutLeaderP99, d.WithoutLeaderMax, d.Rejected, d.ResentEntries, d.commanded(), d.Proxies)
	}
	for _, b := range r.Days[0].Violations {
		fmt.Fprintf(w, "broken: %s at %.0f ms: %s\n", b.Rule, b.AtMs, b.Evidence)
	}
	for what, n := range r.Days[0].Unparsed {
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
