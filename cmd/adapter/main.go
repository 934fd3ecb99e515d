// Command adapter hosts planners on the simulator's wire, on standard input and output. It ends with the input, or with
// status 1 and one line on standard error when the input cannot be decoded.
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
