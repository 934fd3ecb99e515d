package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version of the program", Args: exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(command.OutOrStdout(), "lichenpick", version())
			return err
		},
	}
}

// revisionLength is the length, in characters, of the shortened commit hash in a version.
const revisionLength = 12

// version returns the commit that the program was built from, or the module's version if the build has no commit.
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
