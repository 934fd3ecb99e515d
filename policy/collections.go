package policy

import "slices"

// This file holds helpers for slices.

// filter returns a new slice of the elements for which keep returns true.
func filter[T any](list []T, keep func(T) bool) []T {
	return slices.DeleteFunc(slices.Clone(list), func(x T) bool { return !keep(x) })
}

// sumBy returns the sum of value over all elements, added in their order.
func sumBy[T any](list []T, value func(T) float64) float64 {
	total := 0.0
	for _, x := range list {
		total += value(x)
	}
	return total
}

// appendBounded appends an element. Before that, it removes as many of the oldest elements, in place, as the limit requires.
func appendBounded[T any](list []T, last T, limit int) []T {
	if drop := len(list) - limit + 1; drop > 0 {
		list = slices.Delete(list, 0, drop)
	}
	return append(list, last)
}

// median returns the median of value over all elements: the upper one of two values in the middle, and 0 for no elements.
func median[T any](list []T, value func(T) float64) float64 {
	if len(list) == 0 {
		return 0
	}
	values := make([]float64, len(list))
	for index, x := range list {
		values[index] = value(x)
	}
	slices.Sort(values)
	return values[len(list)/2]
}

// serverNames returns the names of the servers of entries.
func serverNames(entries []*entry) []string {
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.server.Server)
	}
	return names
}

// restoredNames returns the names of the servers of restorations.
func restoredNames(restored []restoration) []string {
	names := make([]string, 0, len(restored))
	for _, pending := range restored {
		names = append(names, pending.server.Server)
	}
	return names
}

// single returns a slice of one recipient.
func single(recipient *proxy) []*proxy { return []*proxy{recipient} }
