package evacuator_test

import (
	"slices"
	"testing"

	"zinniashore.example/dispatcher"
	"zinniashore.example/evacuator"
	"zinniashore.example/platform"
)

// TestTracker checks which failure domains are evacuated after lists and changes of the operators' keys.
func TestTracker(t *testing.T) {
	put := func(key string) platform.Event { return platform.Event{Item: platform.Item{Key: key}} }
	removed := func(key string) platform.Event {
		return platform.Event{Item: platform.Item{Key: key}, Removed: true}
	}
	tests := map[string]struct {
		listed  []platform.Item
		events  []platform.Event
		want    []string
		changes int
	}{
		"nothing": {},
		"listed at the start": {
			listed: []platform.Item{{Key: "op/config"}, {Key: "op/evacuate/graz-a"}}, want: []string{"graz-a"}, changes: 1,
		},
		"two overlap": {
			events: []platform.Event{put("op/evacuate/graz-b"), put("op/evacuate/graz-a"), put("op/evacuate/graz-a")},
			want:   []string{"graz-a", "graz-b"}, changes: 2,
		},
		"taken back": {
			listed: []platform.Item{{Key: "op/evacuate/graz-a"}},
			events: []platform.Event{removed("op/evacuate/graz-a"), removed("op/evacuate/graz-b")}, changes: 2,
		},
		"other keys": {
			events: []platform.Event{put("op/wave/1"), put("op/evacuate/"), put("op/config")},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got dispatcher.FailureDomains
			changes := 0
			tracker := evacuator.Tracker{Changed: func(domains dispatcher.FailureDomains) {
				got = domains
				changes++
			}}
			tracker.Replace(test.listed)
			for _, event := range test.events {
				tracker.Apply(event)
			}
			if !slices.Equal(got.Names(), test.want) || changes != test.changes {
				t.Errorf("evacuated %v after %d changes, want %v after %d", got.Names(), changes, test.want, test.changes)
			}
		})
	}
}

// TestRemovedWhileUnwatched guards against a failure domain that stays evacuated: its key was removed
// while the history of the watch was compacted.
func TestRemovedWhileUnwatched(t *testing.T) {
	var got dispatcher.FailureDomains
	tracker := evacuator.Tracker{Changed: func(domains dispatcher.FailureDomains) { got = domains }}
	tracker.Replace([]platform.Item{{Key: "op/evacuate/graz-a"}})
	tracker.Replace([]platform.Item{{Key: "op/config"}})
	if got.Contains("graz-a") {
		t.Error("graz-a is evacuated although its key has been removed")
	}
}
