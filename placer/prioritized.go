package placer

import (
	"cmp"
	"slices"
)

// Prioritized is a value that is registered with a priority. Values with a lower priority
// number are applied first.
type Prioritized[T any] struct {
	// Value is the registered value.
	Value T
	// Priority determines the position among the other values.
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
