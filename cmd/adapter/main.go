// Command adapter runs planners for the simulator. It reads the simulator's messages from standard input and writes the replies
// to standard output. Its exit code is 0 at the end of the input. If it cannot read, decode or answer the input, it writes one
// line to standard error, and its exit code is 1.
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
