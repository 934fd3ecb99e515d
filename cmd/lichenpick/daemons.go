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

// Limits of the stream on which a planner receives the endpoint list from a registry.
const (
	registryHeartbeatTimeoutMs = 10_000
	registryMaxFrameBytes      = 16 << 20
)

// localNetwork is the network of this machine. Keep-alive probes detect peers that vanished without closing their connections.
var localNetwork = clock.TCP{KeepAlive: 15 * time.Second}

// daemonCommand returns a sub-command that reads a settings file of one kind and runs until SIGTERM or SIGINT.
func daemonCommand[M proto.Message](name, short string, empty func() M, run func(ctx context.Context, config M, log *slog.Logger) error) *cobra.Command {
	var file string
	var logging logFlags
	command := &cobra.Command{
		Use:   name + " -c FILE",
		Short: short,
		Args:  exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error {
			log, err := logging.logger()
			if err != nil {
				return err
			}
			if file == "" {
				return usageError{fmt.Errorf("%s needs -c FILE", name)}
			}
			config := empty()
			if err := settings.Load(file, config); err != nil {
				return err
			}
			return run(command.Context(), config, log)
		},
	}
	command.Flags().StringVarP(&file, "config", "c", "", "settings file, in protobuf text format")
	logging.register(command, "info")
	return command
}

func plannerCommand() *cobra.Command {
	return daemonCommand("planner", "Run a planner until SIGTERM; proxies then keep their weight tables",
		func() *pb.Planner { return &pb.Planner{} }, runPlanner)
}

// runPlanner runs a planner until the context ends.
func runPlanner(ctx context.Context, config *pb.Planner, log *slog.Logger) error {
	if cores := int(config.GetCores()); cores > 0 {
		runtime.GOMAXPROCS(cores)
	}
	realClock := clock.NewReal()
	source, err := endpointSource(config.List, realClock)
	if err != nil {
		return err
	}
	return planner.Run(ctx, planner.Options{
		Settings: config,
		Clock:    realClock,
		Network:  localNetwork,
		Log:      log,
		Source:   source,
	})
}

// errNoSource means that the settings name no endpoint source. The check of package settings rejects such settings.
var errNoSource = errors.New("the settings name no endpoint source")

// endpointSource returns the endpoint source that the settings name.
func endpointSource(list *pb.ListSource, c clock.Clock) (discovery.Source, error) {
	switch from := list.From.(type) {
	case *pb.ListSource_Stream:
		return &discovery.StreamSource{
			Address:            from.Stream.Address,
			ReconnectDelayMs:   settings.Milliseconds(from.Stream.Redial),
			HeartbeatTimeoutMs: registryHeartbeatTimeoutMs,
			MaxFrameBytes:      registryMaxFrameBytes,
			Clock:              c,
			Network:            localNetwork,
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
	return daemonCommand("proxy", "Run a simple HTTP proxy that uses the weight tables of a planner",
		func() *pb.Proxy { return &pb.Proxy{} },
		func(ctx context.Context, config *pb.Proxy, log *slog.Logger) error {
			return proxy.New(proxy.Options{Settings: config, Clock: clock.NewReal(), Network: localNetwork, Log: log}).Run(ctx)
		})
}

func serverCommand() *cobra.Command {
	return daemonCommand("server", "Run a fake server for trials, which models work, queues and slow start",
		func() *pb.Server { return &pb.Server{} },
		func(ctx context.Context, config *pb.Server, log *slog.Logger) error {
			return fake.RunServer(ctx, config, clock.NewReal(), localNetwork, log)
		})
}
