package main

import (
	"fmt"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"lichenpick/internal/settings"
	"lichenpick/proto/script"
	pb "lichenpick/proto/settings"
)

// kinds are the files that there are, by the sub-command that reads them.
var kinds = map[string]func() proto.Message{
	"planner": func() proto.Message { return &pb.Planner{} },
	"proxy":   func() proto.Message { return &pb.Proxy{} },
	"server":  func() proto.Message { return &pb.Server{} },
	"list":    func() proto.Message { return &pb.List{} },
	"script":  func() proto.Message { return &script.Script{} },
}

func kindNames() string {
	var names []string
	for k := range kinds {
		names = append(names, k)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

func settingsCommand() *cobra.Command {
	c := &cobra.Command{Use: "settings", Short: "Check or print a settings file"}
	load := func(args []string) (proto.Message, error) {
		kind, known := kinds[args[0]]
		if !known {
			return nil, usage{fmt.Errorf("no kind of file %q; there are %s", args[0], kindNames())}
		}
		m := kind()
		return m, settings.Load(args[1], m)
	}
	c.AddCommand(&cobra.Command{
		Use: "check KIND FILE", Short: "Check a file; one line and exit 2 if it is bad", Args: exactly(2),
		RunE: func(c *cobra.Command, args []string) error {
			_, err := load(args)
			return err
		},
	}, &cobra.Command{
		Use: "print KIND FILE", Short: "Print a file with all defaults filled in", Args: exactly(2),
		RunE: func(c *cobra.Command, args []string) error {
			m, err := load(args)
			if err == nil {
				fmt.Fprint(c.OutOrStdout(), settings.Format(m))
			}
			return err
		},
	})
	return c
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			fmt.Fprintln(c.OutOrStdout(), "lichenpick", version())
			return nil
		},
	}
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(12, len(s.Value))]
		}
	}
	return info.Main.Version
}
