package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"lichenpick/internal/clock"
	"lichenpick/internal/fake"
	"lichenpick/internal/settings"
	pb "lichenpick/proto/settings"
)

// maxSpawned is the maximum number of planners that one call of the sub-command stress starts.
const maxSpawned = 16

// errStressUsage states the requirements of a stress test. The limit of --spawn is maxSpawned.
var errStressUsage = errors.New("stress needs planner settings with a list file, a --length such as 20s, more than 0 --proxies and --servers, and a --spawn from 0 to 16")

// stressFlags has the unchecked flags of the sub-command stress.
type stressFlags struct {
	file         string
	length       string
	spawned      int // number of planners to start
	plannerCores int // CPU cores of each started planner; 0: as in the settings
	kill         killSchedule
	test         fake.StressTest // only the fields that have a flag are set
}

func stressCommand() *cobra.Command {
	flags := &stressFlags{}
	command := &cobra.Command{
		Use:   "stress -c PLANNER-FILE",
		Short: "Load planners with many fake proxies that only implement the control stream",
		Args:  exactArgs(0),
		Long: "Measures planners with large fleets. Reads a planner's settings, writes its endpoint list, and joins with fake proxies. They\n" +
			"send no requests: their load reports are computed from their weight tables. With --spawn it also starts planners whose settings\n" +
			"are derived from that file, in a temporary directory and on consecutive ports, and prints the resource usage of each.",
		RunE: func(command *cobra.Command, _ []string) error {
			plan, err := flags.plan()
			if err != nil {
				return err
			}
			return plan.run(command.Context(), command.OutOrStdout())
		},
	}
	flags.register(command)
	return command
}

// register adds the flags to a command.
func (f *stressFlags) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVarP(&f.file, "config", "c", "", "the planner's settings file")
	flags.IntVar(&f.test.Proxies, "proxies", 100, "number of fake proxies")
	flags.IntVar(&f.test.Servers, "servers", 50, "number of servers in the endpoint list")
	flags.Float64Var(&f.test.RequestsPerSecond, "rate", 5, "reported requests per second and proxy")
	flags.Float64Var(&f.test.DrainIntervalMs, "flip-ms", 2000, "ms between changes of the endpoint list: one server drains, or is ready again")
	flags.Float64Var(&f.test.JoinSpreadMs, "join-over-ms", 100, "ms over which the joins of the proxies are spread")
	flags.Int64Var(&f.test.Seed, "seed", 1, "seed of the random numbers")
	flags.StringVar(&f.length, "length", "20s", "duration of the test")
	flags.IntVar(&f.spawned, "spawn", 0, "number of planners to start; 0: use a planner that runs already")
	flags.IntVar(&f.plannerCores, "planner-cores", 0, "cores that each started planner may use; 0: as in the settings")
	flags.Float64Var(&f.kill.atMs, "kill-at-ms", 0, "ms from the start until the second planner is killed; 0: never")
	flags.Float64Var(&f.kill.restartAfterMs, "back-after-ms", 5000, "ms from the kill until the planner is started again")
}

// stressPlan is a checked stress test, ready to run.
type stressPlan struct {
	test     *fake.StressTest
	settings *pb.Planner // settings of the running planner, or the template for the planners to start
	lengthMs float64
	spawned  int // number of planners to start
	kill     killSchedule
}

// plan checks the flags, reads the settings file and returns the stress test.
func (f *stressFlags) plan() (*stressPlan, error) {
	config := &pb.Planner{}
	if err := settings.Load(f.file, config); err != nil {
		return nil, err
	}
	lengthMs := settings.Milliseconds(f.length)
	list, hasList := config.List.From.(*pb.ListSource_File)
	sized := lengthMs > 0 && f.test.Proxies > 0 && f.test.Servers > 0
	if !hasList || !sized || f.spawned < 0 || f.spawned > maxSpawned {
		return nil, usageError{errStressUsage}
	}
	if f.plannerCores > 0 && f.spawned > 0 {
		config.Cores = proto.Uint32(uint32(f.plannerCores))
	}
	test := &f.test
	test.Clock = clock.NewReal()
	test.Network = localNetwork
	test.Planners = []string{config.Listen}
	test.ListPath = list.File.Path
	test.Classes = config.Groups
	test.ReportIntervalMs = settings.Milliseconds(config.Reports.Every)
	test.SharedFleet = config.Sharing != nil
	for _, zone := range config.Zones {
		test.Zones = append(test.Zones, zone.Name)
	}
	return &stressPlan{test: test, settings: config, lengthMs: lengthMs, spawned: f.spawned, kill: f.kill}, nil
}

// run runs the stress test and prints the result. If the plan has planners to start, it starts and stops them.
func (p *stressPlan) run(ctx context.Context, out io.Writer) error {
	if p.spawned == 0 {
		result, err := p.test.Run(ctx, p.lengthMs)
		if err != nil {
			return err
		}
		return p.print(out, result)
	}
	return p.runWithPlanners(ctx, out)
}

// runWithPlanners starts planners in a temporary directory, runs the stress test against them, and prints the results of the
// proxies and of the planners.
func (p *stressPlan) runWithPlanners(ctx context.Context, out io.Writer) (err error) {
	directory, err := os.MkdirTemp("", "lichenpick-stress-")
	if err != nil {
		return fmt.Errorf("creating a directory for planners: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(directory)) }()
	planners, err := newPlannerGroup(p.settings, p.test.Proxies, p.spawned, directory)
	if err != nil {
		return err
	}
	p.test.Planners = planners.addresses()
	p.test.ListPath = planners.list
	if err := p.test.Prepare(); err != nil {
		return err
	}
	defer planners.stop()
	if err := planners.start(ctx); err != nil {
		return err
	}
	result, err := p.runWatched(ctx, planners)
	if err != nil {
		return err
	}
	if err := p.print(out, result); err != nil {
		return err
	}
	planners.stop()
	return planners.print(out)
}

// runWatched runs the stress test. Meanwhile it polls the planners, and kills and restarts one planner if the plan has a kill.
func (p *stressPlan) runWatched(ctx context.Context, planners *plannerGroup) (fake.StressResult, error) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var watch errgroup.Group
	watch.Go(func() error { return planners.watch(watchCtx, p.test.Clock, p.kill, p.lengthMs) })
	result, err := p.test.Run(ctx, p.lengthMs)
	cancel()
	return result, errors.Join(err, watch.Wait())
}

// print prints a table with the measurements of the fake proxies.
func (p *stressPlan) print(out io.Writer, result fake.StressResult) error {
	proxySeconds := float64(p.test.Proxies) * p.lengthMs / 1000
	var table strings.Builder
	table.WriteString("proxies x servers\tdials\tassigned\tall assigned ms\tmessages\torders\tapplied ms p50\tp99\tp99.9\tmax\t" +
		"max messages in 10 s\tbytes up, down a proxy and s\ttakeovers\twithout leader ms p50\tp99\tmax\n")
	fmt.Fprintf(&table, "%dx%d\t%d\t%d\t%.0f\t", p.test.Proxies, p.test.Servers, result.Dials, result.Assigned, result.AllAssignedMs)
	fmt.Fprintf(&table, "%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t", result.Messages, result.Orders, result.ApplyP50Ms, result.ApplyP99Ms, result.ApplyP999Ms, result.ApplyMaxMs)
	fmt.Fprintf(&table, "%d\t%.0f, %.0f\t", result.MaxMessages, float64(result.BytesUp)/proxySeconds, float64(result.BytesDown)/proxySeconds)
	fmt.Fprintf(&table, "%d\t%.1f\t%.1f\t%.1f\n", result.Takeovers, result.WithoutLeaderP50Ms, result.WithoutLeaderP99Ms, result.WithoutLeaderMaxMs)
	return writeTable(out, table.String())
}
