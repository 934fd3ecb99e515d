// Command adapter runs planners for the simulator, which it talks to on standard input and output. It exits with 0 at the end
// of the input, and with 1 and one line on standard error if it cannot read, decode or answer the input.
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
