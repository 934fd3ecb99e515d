// Package weighttable keeps what the module's tables hold, who goes by them, what is withdrawn and which levels are set.
// It is bookkeeping alone: the fronts that speak to proxies ask it what a proxy has to be told.
package weighttable

import "slices"

// Entry is a server with its weight, above 0.
type Entry struct {
	Server string
	Weight float64
}

// Table is a table of the module: its lines in the order of their coming, and the proxies bound to it.
type Table[P comparable] struct {
	Number  int
	Entries []Entry
	Proxies []P
}

// AdmissionRate is what is let in of a traffic group, as a share, and how proxies try again; not Set where proxies were told none.
type AdmissionRate struct {
	Fraction float64
	Retry    int
	Set      bool
}

// Registry is all of a planner's. P is a front's own proxy.
type Registry[P comparable] struct {
	tables    map[int]*Table[P]
	Ejected   map[string]bool // withdrawn servers
	Admission []AdmissionRate // by traffic group
}

// NewRegistry makes an empty one for so many traffic groups.
func NewRegistry[P comparable](groups int) *Registry[P] {
	return &Registry[P]{tables: map[int]*Table[P]{}, Ejected: map[string]bool{}, Admission: make([]AdmissionRate, groups)}
}

// Table gives the one with a number of the module, new where there is none.
func (b *Registry[P]) Table(number int) *Table[P] {
	t := b.tables[number]
	if t == nil {
		t = &Table[P]{Number: number}
		b.tables[number] = t
	}
	return t
}

// SetEjected takes down that a server is shut out, or let back.
func (b *Registry[P]) SetEjected(server string, out bool) {
	if b.Ejected[server] = out; !out {
		delete(b.Ejected, server)
	}
}

// Assign puts a proxy on a table for some groups. Held is the proxy's own record of its table by group.
func (b *Registry[P]) Assign(p P, held []*Table[P], t *Table[P], groups []int) {
	for _, g := range groups {
		old := held[g]
		if held[g] = t; old != nil && !slices.Contains(held, old) {
			old.drop(p)
		}
	}
	if !slices.Contains(t.Proxies, p) {
		t.Proxies = append(t.Proxies, p)
	}
}

// RemoveProxy takes a proxy off all tables that it held.
func (b *Registry[P]) RemoveProxy(p P, held []*Table[P]) {
	for g, t := range held {
		if t != nil {
			t.drop(p)
		}
		held[g] = nil
	}
}

func (t *Table[P]) drop(p P) {
	t.Proxies = slices.DeleteFunc(t.Proxies, func(q P) bool { return q == p })
}

// Index gives the place of a server's line, -1 where it has none.
func (t *Table[P]) Index(server string) int {
	return slices.IndexFunc(t.Entries, func(l Entry) bool { return l.Server == server })
}

// Weight is that of a server's line, 0 where it has none.
func (t *Table[P]) Weight(server string) float64 {
	if at := t.Index(server); at >= 0 {
		return t.Entries[at].Weight
	}
	return 0
}

// Set writes a line; weight 0 takes it out.
func (t *Table[P]) Set(server string, weight float64) {
	at := t.Index(server)
	switch {
	case weight <= 0 && at >= 0:
		t.Entries = slices.Delete(t.Entries, at, at+1)
	case at >= 0:
		t.Entries[at].Weight = weight
	case weight > 0:
		t.Entries = append(t.Entries, Entry{server, weight})
	}
}
