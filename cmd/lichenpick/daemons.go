package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"lichenpick/internal/clock"
	"lichenpick/internal/discovery"
	"lichenpick/internal/fake"
	"lichenpick/internal/planner"
	"lichenpick/internal/proxy"
	"lichenpick/internal/settings"
	pb "lichenpick/proto/settings"
)

// Limits of a planner's stream to an endpoint registry.
const (
	registryHeartbeatTimeoutMs = 10_000
	registryMaxFrameBytes      = 16 << 20
)

// machine is the network of this machine. Keep-alive ends connections to peers that are gone without a word.
var machine = clock.TCP{KeepAlive: 15 * time.Second}

// daemon returns a sub-command that reads a settings file of one kind and runs until a signal.
func daemon[M proto.Message](name, short string, empty func() M, run func(ctx context.Context, set M, log *slog.Logger) error) *cobra.Command {
	var file string
	var logging logFlags
	command := &cobra.Command{
		Use:   name + " -c FILE",
		Short: short,
		Args:  exactly(0),
		RunE: func(command *cobra.Command, _ []string) error {
			log, err := logging.logger()
			if err != nil {
				return err
			}
			if file == "" {
				return usage{fmt.Errorf("%s needs -c FILE", name)}
			}
			set := empty()
			if err := settings.Load(file, set); err != nil {
				return err
			}
			return run(command.Context(), set, log)
		},
	}
	command.Flags().StringVarP(&file, "config", "c", "", "settings file, protobuf text format")
	logging.register(command, "info")
	return command
}

func plannerCommand() *cobra.Command {
	return daemon("planner", "Run a planner until SIGTERM; proxies then keep their weight tables",
		func() *pb.Planner { return &pb.Planner{} }, runPlanner)
}

// runPlanner runs a planner until the context ends.
func runPlanner(ctx context.Context, set *pb.Planner, log *slog.Logger) error {
	if cores := int(set.GetCores()); cores > 0 {
		runtime.GOMAXPROCS(cores)
	}
	realClock := clock.NewReal()
	source, err := endpointSource(set.List, realClock)
	if err != nil {
		return err
	}
	return planner.Run(ctx, planner.Options{
		Settings: set,
		Clock:    realClock,
		Network:  machine,
		Log:      log,
		Source:   source,
	})
}

// errNoSource tells that settings name no endpoint source; their check refuses such settings.
var errNoSource = errors.New("the settings name no endpoint source")

// endpointSource returns the endpoint source that settings name.
func endpointSource(list *pb.ListSource, c clock.Clock) (discovery.Source, error) {
	switch from := list.From.(type) {
	case *pb.ListSource_Stream:
		return &discovery.StreamSource{
			Address:            from.Stream.Address,
			ReconnectDelayMs:   settings.Milliseconds(from.Stream.Redial),
			HeartbeatTimeoutMs: registryHeartbeatTimeoutMs,
			MaxFrameBytes:      registryMaxFrameBytes,
			Clock:              c,
			Network:            machine,
		}, nil
	case *pb.ListSource_File:
		return &discovery.FileSource{
			Path:           from.File.Path,
			PollIntervalMs: settings.Milliseconds(from.File.Poll),
			Clock:          c,
		}, nil
	}
	return nil, errNoSource
}

func proxyCommand() *cobra.Command {
	return daemon("proxy", "Run a plain proxy that follows a planner's weight tables",
		func() *pb.Proxy { return &pb.Proxy{} },
		func(ctx context.Context, set *pb.Proxy, log *slog.Logger) error {
			return proxy.New(proxy.Options{Settings: set, Clock: clock.NewReal(), Network: machine, Log: log}).Run(ctx)
		})
}

func serverCommand() *cobra.Command {
	return daemon("server", "Run a fake server, for trials",
		func() *pb.Server { return &pb.Server{} },
		func(ctx context.Context, set *pb.Server, log *slog.Logger) error {
			return fake.RunServer(ctx, set, clock.NewReal(), machine, log)
		})
}
