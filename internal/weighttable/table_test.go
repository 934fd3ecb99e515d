package weighttable

import (
	"slices"
	"testing"
)

// TestSetWeights checks that a table has one entry per server with a positive weight, in insertion order.
func TestSetWeights(t *testing.T) {
	registry := NewRegistry[string](1)
	table := registry.Table(7)
	table.Set("s", 0.5)
	table.Set("r", 1)
	table.Set("s", 0.7)
	if want := []Entry{{"s", 0.7}, {"r", 1}}; !slices.Equal(table.Entries, want) {
		t.Errorf("entries are %v, want %v", table.Entries, want)
	}
	if table.Weight("s") != 0.7 || table.Weight("r") != 1 {
		t.Errorf("weights of s and r are %g and %g, want 0.7 and 1", table.Weight("s"), table.Weight("r"))
	}
	if registry.Table(7) != table {
		t.Error("the registry returned a different table for the same number")
	}
	table.Set("s", 0)
	if table.Index("s") != -1 || table.Weight("s") != 0 || len(table.Entries) != 1 {
		t.Errorf("after s was removed: entries are %v, want only r", table.Entries)
	}
	table.Set("unknown", 0)
	if len(table.Entries) != 1 {
		t.Errorf("after weight 0 for a server without an entry: entries are %v, want only r", table.Entries)
	}
}
