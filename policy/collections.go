package policy

import "slices"

// General helpers on slices; none of them decides anything.

// filter gives a new list of the elements that fit.
func filter[T any](list []T, keep func(T) bool) []T {
	return slices.DeleteFunc(slices.Clone(list), func(x T) bool { return !keep(x) })
}

// sumBy adds up a figure of all elements, in their order.
func sumBy[T any](list []T, value func(T) float64) float64 {
	total := 0.0
	for _, x := range list {
		total += value(x)
	}
	return total
}

// appendBounded appends to a list and drops the oldest elements beyond a limit, in place.
func appendBounded[T any](list []T, last T, limit int) []T {
	if drop := len(list) - limit + 1; drop > 0 {
		list = slices.Delete(list, 0, drop)
	}
	return append(list, last)
}

// median gives the middle of some figures, the upper of two, and 0 of none.
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

// serverNames are the names of the servers of some entries.
func serverNames(entries []*entry) []string {
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.server.Server)
	}
	return names
}

func restoredNames(restored []restoration) []string {
	names := make([]string, 0, len(restored))
	for _, pending := range restored {
		names = append(names, pending.server.Server)
	}
	return names
}

// single is a list of one recipient.
func single(recipient *proxy) []*proxy { return []*proxy{recipient} }
