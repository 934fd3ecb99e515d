// Package weighttable records what a planner's policy has decided and proxies are to be notified of: weight tables and which
// proxies use them, ejected servers, and admission rates.
//
// It decides and sends nothing. The front ends that speak to proxies write the policy's decisions into a Registry and read
// from it what a proxy has to be notified of; each has its own type of proxies, P. A registry and its tables are used by one
// goroutine at a time.
package weighttable

import "slices"

// AdmissionRate is what proxies are to admit of one traffic class. The zero value is that the policy has not decided.
type AdmissionRate struct {
	Fraction float64 // part of the requests that is admitted, from 0 to 1
	Retry    int     // a retry mode of package policy
	Set      bool    // whether the policy has decided
}

// Registry is all that one planner's policy has decided. Users may write Admission, and read Ejected.
type Registry[P comparable] struct {
	Ejected   map[string]bool // servers that are ejected; others have no key
	Admission []AdmissionRate // by traffic class
	tables    map[int]*Table[P]
}

// NewRegistry returns an empty registry for a number of traffic classes.
func NewRegistry[P comparable](classes int) *Registry[P] {
	return &Registry[P]{
		Ejected:   map[string]bool{},
		Admission: make([]AdmissionRate, classes),
		tables:    map[int]*Table[P]{},
	}
}

// Table returns the table with a number of the policy. It makes an empty one if there is none.
func (r *Registry[P]) Table(number int) *Table[P] {
	table := r.tables[number]
	if table == nil {
		table = &Table[P]{Number: number}
		r.tables[number] = table
	}
	return table
}

// SetEjected records that a server is ejected, or no longer.
func (r *Registry[P]) SetEjected(server string, ejected bool) {
	if ejected {
		r.Ejected[server] = true
		return
	}
	delete(r.Ejected, server)
}

// Assign has a proxy use a table for some traffic classes. The caller holds which table the proxy uses by class, nil for
// none; Assign updates that in place.
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

// RemoveProxy has a proxy use no table, and clears the caller's record of its tables by class.
func (r *Registry[P]) RemoveProxy(proxy P, tableByClass []*Table[P]) {
	for class, table := range tableByClass {
		if table != nil {
			table.removeProxy(proxy)
		}
		tableByClass[class] = nil
	}
}
