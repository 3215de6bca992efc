package holder

import (
	"fmt"
	"testing"

	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
)

// countingRegistry counts the calls that a cell's runner would get, and the changes in them.
type countingRegistry struct{ lists, calls, changes, removals int }

func (r *countingRegistry) SetWorkers([]dispatcher.Registration) { r.lists++ }

func (r *countingRegistry) ChangeWorkers(changes []dispatcher.WorkerChange) {
	r.calls++
	for _, change := range changes {
		if change.Removed {
			r.removals++
		} else {
			r.changes++
		}
	}
}

// registration returns the registration of a worker.
func registration(id, failureDomain, state string) platform.Item {
	return platform.Item{Key: platform.RegistrationPrefix + id, Value: fmt.Appendf(nil,
		`{"service":"shop","address":"127.0.0.1:7000","zone":%q,"state":%q,"capacity":{"cpu":8000,"mem-mb":32000},"labels":["r1"]}`, failureDomain, state)}
}

// TestRegistrationsOfOtherCells guards against a holder that learns seconds late that its workers drain: as a
// whole fleet of 1,000 workers was replaced, each change of a worker of any cell waited for the lock of the
// cell.
func TestRegistrationsOfOtherCells(t *testing.T) {
	const others = 1000
	registry := &countingRegistry{}
	r := &registrations{cell: "graz-a", partition: undivided{}, runner: registry, passed: map[string]bool{}}
	items := []platform.Item{registration("w", "graz-a", "ready"), registration("v", "graz-a", "ready")}
	for n := range others {
		items = append(items, registration(fmt.Sprint("other-", n), "graz-b", "ready"))
	}
	r.Replace(items)
	for n := range others {
		item := registration(fmt.Sprint("other-", n), "graz-b", "draining")
		r.Apply(platform.Event{Item: item}, platform.Event{Item: item, Removed: true})
	}
	if registry.calls > 0 {
		t.Errorf("%d calls for workers of another cell, want none", registry.calls)
	}
	r.Apply(
		platform.Event{Item: registration("w", "graz-a", "draining")},
		platform.Event{Item: registration("v", "graz-a", "draining")},
		platform.Event{Item: registration("w", "graz-b", "ready")},
		platform.Event{Item: registration("w", "graz-b", "ready"), Removed: true},
	)
	if *registry != (countingRegistry{lists: 1, calls: 1, changes: 2, removals: 1}) {
		t.Errorf("calls %+v for two workers that drain and one that then registers elsewhere, want one with two changes and a removal", *registry)
	}
}
