package recorder

import (
	"cmp"
	"slices"
	"time"
)

// Filter selects events. A field with its zero value matches every event.
type Filter struct {
	// Kind is the kind of the events.
	Kind Kind
	// Organisation is the organisation that the events concern.
	Organisation string
	// Task is the task that the events concern.
	Task string
	// Key is the idempotency key that the events concern.
	Key string
	// Since is the earliest time that matches.
	Since time.Time
	// Until is the exclusive end of the matching times.
	Until time.Time
	// Limit is the maximum number of events, of which the newest are selected; zero
	// means no limit.
	Limit int
}

// Matches reports whether an event matches all fields except Limit.
func (f Filter) Matches(event Event) bool {
	return matches(string(f.Kind), string(event.Kind)) &&
		matches(f.Organisation, event.Organisation) &&
		matches(f.Task, event.Task) &&
		matches(f.Key, event.Key) &&
		(f.Since.IsZero() || event.Time.Wall >= f.Since.UnixNano()) &&
		(f.Until.IsZero() || event.Time.Wall < f.Until.UnixNano())
}

// Select returns the events that match, in their given order.
func (f Filter) Select(events []Event) []Event {
	var selected []Event
	for _, event := range events {
		if f.Matches(event) {
			selected = append(selected, event)
		}
	}
	if surplus := len(selected) - f.Limit; f.Limit > 0 && surplus > 0 {
		selected = selected[surplus:]
	}
	return selected
}

func matches(wanted, value string) bool { return wanted == "" || wanted == value }

// Merge returns the events of several processes in causal order: an event comes after
// every event that it may depend on. An event that is given twice appears once.
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
