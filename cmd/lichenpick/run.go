package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
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

// logger makes the log that flags ask for.
func logger(level, form string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, usage{fmt.Errorf("no log level %q; debug, info, warn or error", level)}
	}
	o := &slog.HandlerOptions{Level: l}
	switch form {
	case "text":
		return slog.New(slog.NewTextHandler(os.Stderr, o)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(os.Stderr, o)), nil
	}
	return nil, usage{fmt.Errorf("no log form %q; text or json", form)}
}

// daemon makes a sub-command that reads a file and runs until a signal.
func daemon[M proto.Message](name, short string, empty func() M, run func(ctx context.Context, set M, log *slog.Logger) error) *cobra.Command {
	var file, level, form string
	c := &cobra.Command{Use: name + " -c FILE", Short: short, Args: exactly(0), RunE: func(c *cobra.Command, _ []string) error {
		log, err := logger(level, form)
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
		return run(c.Context(), set, log)
	}}
	c.Flags().StringVarP(&file, "config", "c", "", "settings file, protobuf text format")
	c.Flags().StringVar(&level, "log-level", "info", "debug, info, warn or error")
	c.Flags().StringVar(&form, "log-form", "text", "text or json")
	return c
}

var machine = clock.TCP{KeepAlive: 15 * time.Second}

func plannerCommand() *cobra.Command {
	return daemon("planner", "Run a planner until SIGTERM; proxies then keep what they hold", func() *pb.Planner { return &pb.Planner{} },
		func(ctx context.Context, set *pb.Planner, log *slog.Logger) error {
			if n := int(set.GetCores()); n > 0 {
				runtime.GOMAXPROCS(n)
			}
			c := clock.NewReal()
			return planner.Run(ctx, planner.Options{Settings: set, Clock: c, Network: machine, Log: log, Source: source(set.List, c)})
		})
}

func source(l *pb.ListSource, c clock.Clock) discovery.Source {
	switch from := l.From.(type) {
	case *pb.ListSource_Stream:
		return &discovery.StreamSource{
			Address: from.Stream.Address, ReconnectDelayMs: settings.Milliseconds(from.Stream.Redial), HeartbeatTimeoutMs: 10000, MaxFrameBytes: 16 << 20,
			Clock: c, Network: machine,
		}
	case *pb.ListSource_File:
		return &discovery.FileSource{Path: from.File.Path, PollIntervalMs: settings.Milliseconds(from.File.Poll), Clock: c}
	}
	panic("settings without a list source passed their check")
}

func proxyCommand() *cobra.Command {
	return daemon("proxy", "Run a plain proxy that obeys a planner's tables", func() *pb.Proxy { return &pb.Proxy{} },
		func(ctx context.Context, set *pb.Proxy, log *slog.Logger) error {
			return proxy.New(proxy.Options{Settings: set, Clock: clock.NewReal(), Network: machine, Log: log}).Run(ctx)
		})
}

func serverCommand() *cobra.Command {
	return daemon("server", "Run a stand-in server, for trials", func() *pb.Server { return &pb.Server{} },
		func(ctx context.Context, set *pb.Server, log *slog.Logger) error {
			return fake.RunServer(ctx, set, clock.NewReal(), machine, log)
		})
}
