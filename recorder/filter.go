package recorder

import (
	"cmp"
	"slices"
	"time"
)

// Filter selects events. Fields at their zero value let everything pass.
type Filter struct {
	// Kind is the kind of the events.
	Kind Kind
	// Organisation is the organisation that the events concern.
	Organisation string
	// Task is the task that the events concern.
	Task string
	// Key is the idempotency key that the events concern.
	Key string
	// Since is the earliest time.
	Since time.Time
	// Until is the first time that does not pass any more.
	Until time.Time
	// Limit is how many of the newest events pass, or zero for all.
	Limit int
}

// Passes reports whether an event passes, Limit aside.
func (f Filter) Passes(event Event) bool {
	return passes(string(f.Kind), string(event.Kind)) &&
		passes(f.Organisation, event.Organisation) &&
		passes(f.Task, event.Task) &&
		passes(f.Key, event.Key) &&
		(f.Since.IsZero() || event.Time.Wall >= f.Since.UnixNano()) &&
		(f.Until.IsZero() || event.Time.Wall < f.Until.UnixNano())
}

// Select returns the events that pass, in their order.
func (f Filter) Select(events []Event) []Event {
	var selected []Event
	for _, event := range events {
		if f.Passes(event) {
			selected = append(selected, event)
		}
	}
	if surplus := len(selected) - f.Limit; f.Limit > 0 && surplus > 0 {
		selected = selected[surplus:]
	}
	return selected
}

func passes(wanted, value string) bool { return wanted == "" || wanted == value }

// Merge returns the events of several processes in causal order: an event that
// another one could depend on comes first. An event given twice appears once.
func Merge(lists ...[]Event) []Event {
	events := slices.Concat(lists...)
	slices.SortStableFunc(events, compareEvents)
	return slices.CompactFunc(events, func(a, b Event) bool { return a.Time == b.Time && a.Process == b.Process })
}

func compareEvents(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Time.Wall, b.Time.Wall),
		cmp.Compare(a.Time.Counter, b.Time.Counter),
		cmp.Compare(a.Process, b.Process),
	)
}
