// Command adapter hosts planners on the simulator's wire, on standard input and output.
package main

import (
	"fmt"
	"os"

	"lichenpick/internal/simulator"
)

func main() {
	if err := simulator.Serve(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
