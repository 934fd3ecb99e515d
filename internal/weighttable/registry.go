// Package weighttable stores the decisions of a planner's policy that must be sent to proxies: weight tables, the proxies
// that use each of them, ejected servers and admission rates.
//
// The package makes no decisions and sends nothing. The code that talks to proxies writes the policy's decisions to a
// Registry and reads from it what to send to a proxy. The type parameter P is the type by which that code identifies a proxy.
// A registry and its tables must not be used by several goroutines at the same time.
package weighttable

import "slices"

// AdmissionRate is the admission rate and retry mode of one traffic class. The zero value means that the policy has not
// decided yet.
type AdmissionRate struct {
	Fraction float64 // fraction of the requests that proxies admit, from 0 to 1
	Retry    int     // retry mode, such as policy.RetryOnce
	Set      bool    // whether the policy has decided on the rate and the retry mode
}

// Registry holds the current decisions of one planner's policy. Callers may write Admission directly. They may read Ejected
// but must change it through SetEjected.
type Registry[P comparable] struct {
	Ejected   map[string]bool   // set of the ejected servers; other servers have no key
	Admission []AdmissionRate   // indexed by traffic class
	tables    map[int]*Table[P] // tables of the policy by table number
}

// NewRegistry returns an empty registry for the given number of traffic classes.
func NewRegistry[P comparable](classes int) *Registry[P] {
	return &Registry[P]{
		Ejected:   map[string]bool{},
		Admission: make([]AdmissionRate, classes),
		tables:    map[int]*Table[P]{},
	}
}

// Table returns the policy's table with the given number. If there is no such table, it adds an empty one.
func (r *Registry[P]) Table(number int) *Table[P] {
	table := r.tables[number]
	if table == nil {
		table = &Table[P]{Number: number}
		r.tables[number] = table
	}
	return table
}

// SetEjected records whether a server is ejected.
func (r *Registry[P]) SetEjected(server string, ejected bool) {
	if ejected {
		r.Ejected[server] = true
		return
	}
	delete(r.Ejected, server)
}

// Assign makes a proxy use a table for the given traffic classes. The caller owns tableByClass, the proxy's current table of
// each traffic class (nil for none), and Assign updates it in place. The proxy is removed from tables that it no longer uses.
func (r *Registry[P]) Assign(proxy P, tableByClass []*Table[P], table *Table[P], classes []int) {
	for _, class := range classes {
		previous := tableByClass[class]
		tableByClass[class] = table
		if previous != nil && !slices.Contains(tableByClass, previous) {
			previous.removeProxy(proxy)
		}
	}
	table.addProxy(proxy)
}

// RemoveProxy removes a proxy from all of its tables and sets each element of tableByClass to nil.
func (r *Registry[P]) RemoveProxy(proxy P, tableByClass []*Table[P]) {
	for class, table := range tableByClass {
		if table != nil {
			table.removeProxy(proxy)
		}
		tableByClass[class] = nil
	}
}
