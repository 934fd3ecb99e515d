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

// storeCommand returns the command that makes and checks the stores of controllers.
func storeCommand() *cobra.Command {
	command := &cobra.Command{Use: "store", Short: "The store of a planner that shares its fleet"}
	command.AddCommand(storeInitCommand(), storeShowCommand())
	return command
}

func storeInitCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "init PLANNER-FILE",
		Short: "Make the store of a new controller",
		Long:  "Makes the store that the settings name. For a controller that is new: one that loses its store should get a new name.",
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
		Short: "Check a store, and print whose it is",
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

// loadSharingPlanner reads a planner's settings, which must have a sharing block.
func loadSharingPlanner(file string) (*pb.Planner, error) {
	planner := &pb.Planner{}
	if err := settings.Load(file, planner); err != nil {
		return nil, err
	}
	if planner.Sharing == nil {
		return nil, usageError{fmt.Errorf("%s: has no sharing block", file)}
	}
	return planner, nil
}

// showStore opens a planner's store, which checks it, and prints what it holds.
func showStore(output io.Writer, planner *pb.Planner) error {
	opened, err := store.Open(planner.Sharing.Store, planner.Name)
	if err != nil {
		return err
	}
	_, writeErr := fmt.Fprintf(output, "controller %s, epochs reserved up to %d\n", planner.Name, opened.ReservedEpoch())
	return errors.Join(writeErr, opened.Close())
}
