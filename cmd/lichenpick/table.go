package main

import (
	"io"
	"text/tabwriter"
)

// writeTable writes lines of cells that are separated by tabs, with their columns aligned.
func writeTable(w io.Writer, lines string) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, lines); err != nil {
		return err
	}
	return table.Flush()
}
