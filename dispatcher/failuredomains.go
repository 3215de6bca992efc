package dispatcher

import (
	"maps"
	"slices"
)

// FailureDomains is an immutable set of failure domains. The zero value is empty.
type FailureDomains struct{ names map[string]bool }

// NewFailureDomains returns the set of the named failure domains.
func NewFailureDomains(names ...string) FailureDomains {
	d := FailureDomains{names: map[string]bool{}}
	for _, name := range names {
		d.names[name] = true
	}
	return d
}

// Contains reports whether the set has a failure domain.
func (d FailureDomains) Contains(name string) bool { return d.names[name] }

// Equal reports whether two sets have the same failure domains.
func (d FailureDomains) Equal(other FailureDomains) bool { return maps.Equal(d.names, other.names) }

// Names returns the names of the failure domains, sorted.
func (d FailureDomains) Names() []string { return slices.Sorted(maps.Keys(d.names)) }

// With returns the set with a failure domain.
func (d FailureDomains) With(name string) FailureDomains {
	return NewFailureDomains(append(d.Names(), name)...)
}

// Without returns the set without a failure domain.
func (d FailureDomains) Without(name string) FailureDomains {
	names := maps.Clone(d.names)
	delete(names, name)
	return FailureDomains{names: names}
}
