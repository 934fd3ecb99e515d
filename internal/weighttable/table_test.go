package weighttable

import (
	"slices"
	"testing"
)

// TestSetWeights states that a table has one entry for each server of a weight above 0, by when they were added.
func TestSetWeights(t *testing.T) {
	registry := NewRegistry[string](1)
	table := registry.Table(7)
	table.Set("s", 0.5)
	table.Set("r", 1)
	table.Set("s", 0.7)
	if want := []Entry{{"s", 0.7}, {"r", 1}}; !slices.Equal(table.Entries, want) {
		t.Errorf("entries %v, want %v", table.Entries, want)
	}
	if table.Weight("s") != 0.7 || table.Weight("r") != 1 {
		t.Errorf("weights %g and %g", table.Weight("s"), table.Weight("r"))
	}
	if registry.Table(7) != table {
		t.Error("the registry made another table of the same number")
	}
	table.Set("s", 0)
	if table.Index("s") != -1 || table.Weight("s") != 0 || len(table.Entries) != 1 {
		t.Errorf("entries %v after one was removed", table.Entries)
	}
	table.Set("unknown", 0)
	if len(table.Entries) != 1 {
		t.Errorf("entries %v after a weight of 0 for a server without an entry", table.Entries)
	}
}
