// Package scenario plays scripted scenarios on loopback, with real planners and proxies, and fake servers and clients. All
// links pass through relays. The package injects the script's faults, and checks the invariants in the traffic that the relays
// transport.
//
// [Play] runs a script under the real policy and, for comparison, under baselines at the same time; [PlayOne] runs it once.
// A single planner runs in this process. Several planners run as processes of their own, so that they can be paused and killed.
// Each zone has its own loopback addresses, by which relays identify the zone that a connection comes from.
//
// A run takes real time, and its result depends on the machine: on a busy machine, delays alone can violate invariants.
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

// cooldown is the time between the last request and the end of a run. In this time, drains end while invariants are still
// checked.
const cooldown = 1500 * time.Millisecond

// Play runs a script under the policy. Unless the script disables comparisons, it runs two variants for comparison at the same
// time. For a shared fleet, the variants are planners that do not share the fleet, and a single planner; otherwise they are two
// baselines. The parameter machine is a description of the computer, which Play only copies to the report. Only the policy's run
// writes to the logger log. The function spawn becomes [Hooks.Spawn] of every run.
//
// A violated invariant is no error; see [Report.Passed]. Play returns an error if a run could not be completed.
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
			result, err := PlayOne(ctx, scenario, hooks, runLog)
			if err != nil {
				return fmt.Errorf("playing the script with %s: %w", hooks.deciderName(), err)
			}
			report.Runs[n] = *result
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

// PlayOne runs a script once, and returns when all components of the run have ended. The script must have passed the check of
// package settings.
func PlayOne(ctx context.Context, scenario *script.Script, hooks Hooks, log *slog.Logger) (result *Result, err error) {
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
	// An error of a component takes precedence, as it causes the other errors.
	if groupErr := group.Wait(); groupErr != nil && !errors.Is(groupErr, context.Canceled) {
		err = groupErr
	}
	if err != nil {
		return nil, err
	}
	return f.summarize(observed), nil
}

// play starts the fleet, sends the script's requests to it and injects the script's faults meanwhile. It returns what was
// observed.
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
	if err := f.runLoadWithFaults(ctx); err != nil {
		return nil, err
	}
	return f.recorder.finish(f.clock.Monotonic()), nil
}

// runLoadWithFaults sends the requests and injects the faults at the same time. At the end of the cooldown, it ends the faults
// that are still in effect. If the injection of a fault fails, the other faults end and the requests go on; the error of the
// injection is returned at the end.
func (f *fleet) runLoadWithFaults(ctx context.Context) error {
	faults, faultsCtx := errgroup.WithContext(ctx)
	faultsCtx, endFaults := context.WithCancel(faultsCtx)
	defer endFaults()
	for _, fault := range f.script.Troubles {
		faults.Go(func() error { return f.injectFault(faultsCtx, fault) })
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

// sleep waits for a duration on the run's clock. It returns an error only if the context ends first.
func (f *fleet) sleep(ctx context.Context, duration time.Duration) error {
	return clock.Sleep(ctx, f.clock, milliseconds(duration))
}

// milliseconds converts a duration to ms, the unit of package clock.
func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
