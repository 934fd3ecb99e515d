package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"lichenpick/internal/settings"
	"lichenpick/internal/store"
	pb "lichenpick/proto/settings"
)

// storeCommand returns the command that creates and checks the store of a planner that shares its fleet with others. Where
// planners share a fleet, they are also called controllers.
func storeCommand() *cobra.Command {
	command := &cobra.Command{Use: "store", Short: "Create or check the store of a planner that shares its fleet with others"}
	command.AddCommand(storeInitCommand(), storeShowCommand())
	return command
}

func storeInitCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "init PLANNER-FILE",
		Short: "Create the store of a new planner",
		Long:  "Creates the store that the settings name. A planner that has lost its store must get a new name as well.",
		Args:  exactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			planner, err := loadSharingPlanner(args[0])
			if err != nil {
				return err
			}
			return store.Init(planner.Sharing.Store, planner.Name)
		},
	}
}

func storeShowCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show PLANNER-FILE",
		Short: "Check the store of a planner, and print its name and epochs",
		Args:  exactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			planner, err := loadSharingPlanner(args[0])
			if err != nil {
				return err
			}
			return showStore(command.OutOrStdout(), planner)
		},
	}
}

// loadSharingPlanner reads the settings of a planner. The settings must have a sharing block.
func loadSharingPlanner(file string) (*pb.Planner, error) {
	planner := &pb.Planner{}
	if err := settings.Load(file, planner); err != nil {
		return nil, err
	}
	if planner.Sharing == nil {
		return nil, usageError{fmt.Errorf("%s: the settings have no sharing block", file)}
	}
	return planner, nil
}

// showStore opens and thereby checks a planner's store, and prints the contents of the store.
func showStore(output io.Writer, planner *pb.Planner) error {
	opened, err := store.Open(planner.Sharing.Store, planner.Name)
	if err != nil {
		return err
	}
	_, writeErr := fmt.Fprintf(output, "controller %s, epochs reserved up to %d\n", planner.Name, opened.ReservedEpoch())
	return errors.Join(writeErr, opened.Close())
}
