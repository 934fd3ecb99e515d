package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"lichenpick/internal/settings"
	"lichenpick/internal/store"
	pb "lichenpick/proto/settings"
)

func storeCommand() *cobra.Command {
	c := &cobra.Command{Use: "store", Short: "The store of a planner that shares its fleet"}
	load := func(file string) (*pb.Planner, error) {
		set := &pb.Planner{}
		if err := settings.Load(file, set); err != nil {
			return nil, err
		}
		if set.Sharing == nil {
			return nil, usage{fmt.Errorf("%s: has no sharing block", file)}
		}
		return set, nil
	}
	c.AddCommand(&cobra.Command{
		Use: "init PLANNER-FILE", Short: "Make the store of a new controller", Args: exactly(1),
		Long: "Makes the store that the settings name. For a controller that is new: one that loses its store should get a new name.",
		RunE: func(_ *cobra.Command, args []string) error {
			set, err := load(args[0])
			if err != nil {
				return err
			}
			return store.Init(set.Sharing.Store, set.Name)
		},
	}, &cobra.Command{
		Use: "show PLANNER-FILE", Short: "Check a store, and print whose it is", Args: exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			set, err := load(args[0])
			if err != nil {
				return err
			}
			s, err := store.Open(set.Sharing.Store, set.Name)
			if err != nil {
				return err
			}
			defer s.Close()
			fmt.Fprintf(c.OutOrStdout(), "controller %s, epochs reserved up to %d\n", set.Name, s.ReservedEpoch())
			return nil
		},
	})
	return c
}
