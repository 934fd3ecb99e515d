package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(command.OutOrStdout(), "lichenpick", version())
			return err
		},
	}
}

// revisionLength is how many characters of a commit's hash name a version.
const revisionLength = 12

// version names the commit that the program was built from, or its module's version.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value[:min(revisionLength, len(setting.Value))]
		}
	}
	return info.Main.Version
}
