package weighttable

import "slices"

// Entry is a server with its weight, which is above 0.
type Entry struct {
	Server string
	Weight float64 // share of requests, in relation to the other entries of the table
}

// Table is one weight table of the policy. P is a front end's own type of proxies. Users may read the fields and must not
// change them.
type Table[P comparable] struct {
	Number  int     // as in the policy
	Entries []Entry // by when they were added, one for each server
	Proxies []P     // those that use the table for any traffic class, each once
}

// Index returns the position of a server's entry, -1 if it has none.
func (t *Table[P]) Index(server string) int {
	return slices.IndexFunc(t.Entries, func(entry Entry) bool { return entry.Server == server })
}

// Weight returns a server's weight, 0 if it has no entry.
func (t *Table[P]) Weight(server string) float64 {
	index := t.Index(server)
	if index < 0 {
		return 0
	}
	return t.Entries[index].Weight
}

// Set sets a server's weight. A weight of 0 or below removes the entry.
func (t *Table[P]) Set(server string, weight float64) {
	index := t.Index(server)
	switch {
	case index < 0 && weight > 0:
		t.Entries = append(t.Entries, Entry{Server: server, Weight: weight})
	case index < 0:
		// a server without an entry stays without
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
