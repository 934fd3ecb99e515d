package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"lichenpick/internal/settings"
	"lichenpick/proto/script"
	pb "lichenpick/proto/settings"
)

// settingsKinds are the kinds of settings files, by the sub-command that reads them.
var settingsKinds = map[string]func() proto.Message{
	"planner": func() proto.Message { return &pb.Planner{} },
	"proxy":   func() proto.Message { return &pb.Proxy{} },
	"server":  func() proto.Message { return &pb.Server{} },
	"list":    func() proto.Message { return &pb.List{} },
	"script":  func() proto.Message { return &script.Script{} },
}

// settingsKindNames lists the kinds for an error text.
func settingsKindNames() string {
	names := slices.Sorted(maps.Keys(settingsKinds))
	return strings.Join(names, ", ")
}

// loadSettings reads a file of a kind; the error is a usage error or a *settings.Error.
func loadSettings(kind, path string) (proto.Message, error) {
	newMessage, known := settingsKinds[kind]
	if !known {
		return nil, usageError{fmt.Errorf("no kind of file %q; there are %s", kind, settingsKindNames())}
	}
	message := newMessage()
	return message, settings.Load(path, message)
}

func settingsCommand() *cobra.Command {
	command := &cobra.Command{Use: "settings", Short: "Check or print a settings file"}
	command.AddCommand(settingsCheckCommand(), settingsPrintCommand())
	return command
}

func settingsCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check KIND FILE", Short: "Check a file; one line and exit 2 if it is bad", Args: exactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			_, err := loadSettings(args[0], args[1])
			return err
		},
	}
}

func settingsPrintCommand() *cobra.Command {
	return &cobra.Command{
		Use: "print KIND FILE", Short: "Print a file with all defaults filled in", Args: exactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			message, err := loadSettings(args[0], args[1])
			if err != nil {
				return err
			}
			_, err = fmt.Fprint(command.OutOrStdout(), settings.Format(message))
			return err
		},
	}
}
