package main

import (
	"io"
	"text/tabwriter"
)

// writeTable writes lines whose cells are separated by tabs, with aligned columns.
func writeTable(w io.Writer, lines string) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, lines); err != nil {
		return err
	}
	return table.Flush()
}
