// Package scenario plays scripted scenarios on loopback: real planners and proxies, fake servers and clients, with all links
// through relays. Faults come as the script says, and the invariants are judged from what passed on the sockets.
//
// [Play] runs a script under the real policy and, for comparison, under baselines at the same time; [PlayOne] runs it once.
// One planner runs in this process; several run as processes of their own, so that they can be paused and killed. Each zone
// has its own loopback addresses, by which relays tell where a connection comes from.
//
// A run takes real time. Its result depends on the machine, and a busy machine can break invariants by its delays alone.
package scenario

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"time"

	"golang.org/x/sync/errgroup"

	"lichenpick/internal/clock"
	"lichenpick/internal/fake"
	"lichenpick/internal/settings"
	"lichenpick/proto/script"
)

// cooldown is how long a run goes on after its last request, so that drains end and invariants are still judged.
const cooldown = 1500 * time.Millisecond

// Play runs a script under the policy and, unless the script says no, under two variants for comparison at the same time:
// baselines for one planner, planners that share nothing and a single planner for a shared fleet. The machine is only passed
// on to the report. Only the policy's run logs to log. See [Hooks.Spawn] for spawn.
//
// A broken invariant is no error; see [Report.Passed]. An error tells that a run could not be played.
func Play(ctx context.Context, scenario *script.Script, machine string, log *slog.Logger, spawn func(file string) *exec.Cmd) (*Report, error) {
	variants := variantsOf(scenario, spawn)
	report := &Report{Script: scenario.Name, Runs: make([]Result, len(variants)), Machine: machine}
	group, ctx := errgroup.WithContext(ctx)
	for n, hooks := range variants {
		runLog := log
		if n > 0 {
			runLog = discardLogger()
		}
		group.Go(func() error {
			day, err := PlayOne(ctx, scenario, hooks, runLog)
			if err != nil {
				return fmt.Errorf("playing with %s: %w", hooks.deciderName(), err)
			}
			report.Runs[n] = *day
			return nil
		})
	}
	return report, group.Wait()
}

// variantsOf returns the hooks of all runs of a script, the policy's first.
func variantsOf(scenario *script.Script, spawn func(file string) *exec.Cmd) []Hooks {
	variants := []Hooks{{Spawn: spawn}}
	switch {
	case scenario.NoBaselines:
	case scenario.Sharing:
		variants = append(variants, Hooks{Spawn: spawn, Unshared: true}, Hooks{Spawn: spawn, SinglePlanner: true})
	default:
		variants = append(variants, Hooks{Spawn: spawn, Baseline: EqualWeights}, Hooks{Spawn: spawn, Baseline: ListedCapacity})
	}
	return variants
}

// PlayOne runs a script once, and returns when everything that it started has ended. The script must have passed the check
// of package settings.
func PlayOne(ctx context.Context, scenario *script.Script, hooks Hooks, log *slog.Logger) (day *Result, err error) {
	directory, err := os.MkdirTemp("", "lichenpick-scenario-")
	if err != nil {
		return nil, fmt.Errorf("making a directory for the scenario: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(directory)) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, running := errgroup.WithContext(ctx)
	f := newFleet(scenario, hooks, directory, log)
	observed, err := f.play(running, group)
	f.stopPlannerProcesses()
	cancel()
	// An error of a component is the cause of whatever else failed.
	if groupErr := group.Wait(); groupErr != nil && !errors.Is(groupErr, context.Canceled) {
		err = groupErr
	}
	if err != nil {
		return nil, err
	}
	return f.summarize(observed), nil
}

// play starts the fleet, sends it the script's requests under the script's faults, and returns what was observed.
func (f *fleet) play(ctx context.Context, group *errgroup.Group) (*observations, error) {
	f.loadGenerator = &fake.LoadGenerator{
		Clock:             f.clock,
		Classes:           f.script.Groups,
		Shares:            settings.ClassShares(f.script),
		RequestsPerSecond: settings.PerSecond(f.script.Traffic.Rate),
		MaxRetries:        int(f.script.Traffic.GetRepeats()),
		BackoffMs:         settings.Milliseconds(f.script.Traffic.Pause),
		Seed:              int64(f.script.GetSeed()),
	}
	if err := f.start(ctx, group); err != nil {
		return nil, err
	}
	f.loadGenerator.Proxies = f.proxyAddresses
	if err := f.sleep(ctx, settings.Duration(f.script.Warm)); err != nil {
		return nil, err
	}
	if err := f.loadWithFaults(ctx); err != nil {
		return nil, err
	}
	return f.recorder.finish(f.clock.Monotonic()), nil
}

// loadWithFaults sends the requests and plays the faults beside them. Faults that last longer end with the cooldown. An
// error of a fault ends the other faults and is returned at the end.
func (f *fleet) loadWithFaults(ctx context.Context) error {
	faults, faultsCtx := errgroup.WithContext(ctx)
	faultsCtx, endFaults := context.WithCancel(faultsCtx)
	defer endFaults()
	for _, fault := range f.script.Troubles {
		faults.Go(func() error { return f.playFault(faultsCtx, fault) })
	}
	err := f.loadGenerator.Run(ctx, settings.Milliseconds(f.script.Length))
	if err == nil {
		err = f.sleep(ctx, cooldown)
	}
	endFaults()
	faultErr := faults.Wait()
	if err != nil {
		return err
	}
	return faultErr
}

// sleep waits for a time on the run's clock. Its only error is that of a context that ends before.
func (f *fleet) sleep(ctx context.Context, duration time.Duration) error {
	return clock.Sleep(ctx, f.clock, milliseconds(duration))
}

// milliseconds returns a duration in the unit of package clock.
func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
