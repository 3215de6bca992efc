package placer

import (
	"cmp"
	"slices"
)

// Prioritized is a value that is registered with a priority. Values of a lower
// priority number are asked first.
type Prioritized[T any] struct {
	// Value is what is registered.
	Value T
	// Priority is its place among the others.
	Priority int
}

// sorted returns the values in the order of their priorities.
func sorted[T any](registered []Prioritized[T]) []T {
	ordered := slices.Clone(registered)
	slices.SortStableFunc(ordered, func(a, b Prioritized[T]) int {
		return cmp.Compare(a.Priority, b.Priority)
	})
	values := make([]T, len(ordered))
	for i, p := range ordered {
		values[i] = p.Value
	}
	return values
}
