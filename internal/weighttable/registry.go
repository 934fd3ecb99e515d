// Package weighttable keeps what the module's tables hold, who goes by them, what is withdrawn and which levels are set.
// It is bookkeeping alone: the fronts that speak to proxies ask it what a proxy has to be told.
package weighttable

import "slices"

// Line is a server with its weight, above 0.
type Line struct {
	Server string
	Weight float64
}

// Table is a table of the module: its lines in the order of their coming, and the proxies bound to it.
type Table[P comparable] struct {
	Number int
	Lines  []Line
	Users  []P
}

// Level is what is let in of a traffic group, as a share, and how proxies try again; not Set where proxies were told none.
type Level struct {
	Share float64
	Retry int
	Set   bool
}

// Book is all of a planner's. P is a front's own proxy.
type Book[P comparable] struct {
	tables map[int]*Table[P]
	Out    map[string]bool // withdrawn servers
	Levels []Level         // by traffic group
}

// NewBook makes an empty one for so many traffic groups.
func NewBook[P comparable](groups int) *Book[P] {
	return &Book[P]{tables: map[int]*Table[P]{}, Out: map[string]bool{}, Levels: make([]Level, groups)}
}

// Table gives the one with a number of the module, new where there is none.
func (b *Book[P]) Table(number int) *Table[P] {
	t := b.tables[number]
	if t == nil {
		t = &Table[P]{Number: number}
		b.tables[number] = t
	}
	return t
}

// Withdraw takes down that a server is shut out, or let back.
func (b *Book[P]) Withdraw(server string, out bool) {
	if b.Out[server] = out; !out {
		delete(b.Out, server)
	}
}

// Bind puts a proxy on a table for some groups. Held is the proxy's own record of its table by group.
func (b *Book[P]) Bind(p P, held []*Table[P], t *Table[P], groups []int) {
	for _, g := range groups {
		old := held[g]
		if held[g] = t; old != nil && !slices.Contains(held, old) {
			old.drop(p)
		}
	}
	if !slices.Contains(t.Users, p) {
		t.Users = append(t.Users, p)
	}
}

// Leave takes a proxy off all tables that it held.
func (b *Book[P]) Leave(p P, held []*Table[P]) {
	for g, t := range held {
		if t != nil {
			t.drop(p)
		}
		held[g] = nil
	}
}

func (t *Table[P]) drop(p P) { t.Users = slices.DeleteFunc(t.Users, func(q P) bool { return q == p }) }

// Find gives the place of a server's line, -1 where it has none.
func (t *Table[P]) Find(server string) int {
	return slices.IndexFunc(t.Lines, func(l Line) bool { return l.Server == server })
}

// Weight is that of a server's line, 0 where it has none.
func (t *Table[P]) Weight(server string) float64 {
	if at := t.Find(server); at >= 0 {
		return t.Lines[at].Weight
	}
	return 0
}

// Set writes a line; weight 0 takes it out.
func (t *Table[P]) Set(server string, weight float64) {
	at := t.Find(server)
	switch {
	case weight <= 0 && at >= 0:
		t.Lines = slices.Delete(t.Lines, at, at+1)
	case at >= 0:
		t.Lines[at].Weight = weight
	case weight > 0:
		t.Lines = append(t.Lines, Line{server, weight})
	}
}
