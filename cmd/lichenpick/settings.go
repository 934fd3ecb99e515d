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

// settingsKinds maps the name of each kind of settings file to a function that returns an empty message of this kind.
var settingsKinds = map[string]func() proto.Message{
	"planner": func() proto.Message { return &pb.Planner{} },
	"proxy":   func() proto.Message { return &pb.Proxy{} },
	"server":  func() proto.Message { return &pb.Server{} },
	"list":    func() proto.Message { return &pb.List{} },
	"script":  func() proto.Message { return &script.Script{} },
}

// settingsKindNames returns the names of all kinds, separated by commas.
func settingsKindNames() string {
	names := slices.Sorted(maps.Keys(settingsKinds))
	return strings.Join(names, ", ")
}

// loadSettings reads a settings file of the given kind. The error is a usageError if the kind is unknown, and otherwise a
// *settings.Error.
func loadSettings(kind, path string) (proto.Message, error) {
	newMessage, known := settingsKinds[kind]
	if !known {
		return nil, usageError{fmt.Errorf("unknown kind of settings file %q; want one of %s", kind, settingsKindNames())}
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
		Use: "check KIND FILE", Short: "Check a settings file; an invalid one gives one line on standard error and exit code 2", Args: exactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			_, err := loadSettings(args[0], args[1])
			return err
		},
	}
}

func settingsPrintCommand() *cobra.Command {
	return &cobra.Command{
		Use: "print KIND FILE", Short: "Print a settings file with the defaults of all omitted fields", Args: exactArgs(2),
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
