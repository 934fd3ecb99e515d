package policy

import "slices"

// General helpers on slices; none of them decides anything.

func filter[T any](list []T, fits func(T) bool) []T {
	return slices.DeleteFunc(slices.Clone(list), func(x T) bool { return !fits(x) })
}

func sumBy[T any](list []T, of func(T) float64) (sum float64) {
	for _, x := range list {
		sum += of(x)
	}
	return sum
}

// appendBounded appends to the last ones, in place, as there are many.
func appendBounded[T any](list []T, last T, most int) []T {
	if drop := len(list) - most + 1; drop > 0 {
		list = slices.Delete(list, 0, drop)
	}
	return append(list, last)
}

func quantile[T any](list []T, part int, of func(T) float64) float64 {
	if len(list) == 0 {
		return 0
	}
	figures := make([]float64, len(list))
	for n, x := range list {
		figures[n] = of(x)
	}
	slices.Sort(figures)
	return figures[len(list)/part]
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

// only is a list of one recipient.
func only(recipient *proxy) []*proxy { return []*proxy{recipient} }
