package weighttable

import "slices"

// Entry is a server and its weight.
type Entry struct {
	Server string
	Weight float64 // positive; the server's share of requests is its weight divided by the sum of the table's weights
}

// Table is one weight table of the policy. P is the type by which the caller identifies a proxy. Callers may read the fields
// but must not change them.
type Table[P comparable] struct {
	Number  int     // number by which the policy identifies the table
	Entries []Entry // one entry per server, in insertion order
	Proxies []P     // proxies that use the table for at least one traffic class, without duplicates
}

// Index returns the index of a server's entry, or -1 if the server has no entry.
func (t *Table[P]) Index(server string) int {
	return slices.IndexFunc(t.Entries, func(entry Entry) bool { return entry.Server == server })
}

// Weight returns a server's weight, or 0 if the server has no entry.
func (t *Table[P]) Weight(server string) float64 {
	index := t.Index(server)
	if index < 0 {
		return 0
	}
	return t.Entries[index].Weight
}

// Set sets a server's weight and adds an entry if there is none. A weight of 0 or less removes the entry.
func (t *Table[P]) Set(server string, weight float64) {
	index := t.Index(server)
	switch {
	case index < 0 && weight > 0:
		t.Entries = append(t.Entries, Entry{Server: server, Weight: weight})
	case index < 0:
		// There is no entry to remove.
	case weight <= 0:
		t.Entries = slices.Delete(t.Entries, index, index+1)
	default:
		t.Entries[index].Weight = weight
	}
}

func (t *Table[P]) addProxy(proxy P) {
	if !slices.Contains(t.Proxies, proxy) {
		t.Proxies = append(t.Proxies, proxy)
	}
}

func (t *Table[P]) removeProxy(proxy P) {
	t.Proxies = slices.DeleteFunc(t.Proxies, func(other P) bool { return other == proxy })
}
