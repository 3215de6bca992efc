package allocator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniashore.example/allocator"
)

const capacity = 32000

// workers returns n workers of which each has 1,000 more room than the one before.
func workers(n int) []allocator.Worker {
	var all []allocator.Worker
	for i := range n {
		all = append(all, allocator.Worker{ID: fmt.Sprintf("w%02d", i), Capacity: capacity, Room: int64(1000 * i)})
	}
	return all
}

// after returns the allocation after a span of equal snapshots, one each 100 ms.
func after(a allocator.Allocation, s allocator.Snapshot, begin time.Time, span time.Duration) (allocator.Allocation, time.Time) {
	for end := begin.Add(span); begin.Before(end); begin = begin.Add(100 * time.Millisecond) {
		s.At = begin
		a = a.With(s)
	}
	return a, begin
}

// TestShortShare guards against a kind of tasks that gets less than its max-min fair share.
func TestShortShare(t *testing.T) {
	tests := map[string]struct {
		demands []allocator.Demand
		want    int64
	}{
		"both fit":                          {demands: []allocator.Demand{{Short: 300, LongRunning: 600}}, want: 300},
		"both want all":                     {demands: []allocator.Demand{{Short: 2000, LongRunning: 2000}}, want: 500},
		"few short tasks get their demand":  {demands: []allocator.Demand{{Short: 200, LongRunning: 2000}}, want: 200},
		"few long-running tasks leave more": {demands: []allocator.Demand{{Short: 2000, LongRunning: 100}}, want: 900},
		"lower long-running tasks wait":     {demands: []allocator.Demand{{Short: 800}, {Priority: 1, LongRunning: 2000}}, want: 800},
		"lower short tasks get the rest":    {demands: []allocator.Demand{{LongRunning: 900}, {Priority: 1, Short: 2000}}, want: 100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := allocator.ShortShare(1000, test.demands); got != test.want {
				t.Errorf("share = %d, want %d", got, test.want)
			}
		})
	}
}

// TestSetAside guards against workers that are set aside without need, and against a set without
// the room that waiting tasks need.
func TestSetAside(t *testing.T) {
	full := []allocator.Demand{{Short: 20000, LongRunning: 10 * capacity}}
	tests := map[string]struct {
		snapshot allocator.Snapshot
		want     []string
	}{
		"no task waits": {snapshot: allocator.Snapshot{Demands: full}},
		"the workers with the most room": {
			snapshot: allocator.Snapshot{Demands: full, Waits: true, Largest: 5000}, want: []string{"w06", "w07", "w08", "w09"},
		},
		"half of the processors stay": {
			snapshot: allocator.Snapshot{Demands: []allocator.Demand{{Short: 10 * capacity, LongRunning: 10 * capacity}}, Waits: true},
			want:     []string{"w05", "w06", "w07", "w08", "w09"},
		},
		"no long-running task": {
			snapshot: allocator.Snapshot{Demands: []allocator.Demand{{Short: 20 * capacity}}, Waits: true},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.snapshot.Workers = workers(10)
			a, _ := after(allocator.Allocation{}, test.snapshot, time.Unix(100, 0), 10*time.Second)
			if got := slices.Sorted(slices.Values(a.SetAside())); !slices.Equal(got, test.want) {
				t.Errorf("set aside: %v, want %v", got, test.want)
			}
		})
	}
}

// TestRelease guards against workers that stay set aside after the load has ended, and against a
// set that ends with the first pause of the load.
func TestRelease(t *testing.T) {
	load := allocator.Snapshot{Workers: workers(10), Demands: []allocator.Demand{{Short: 20000, LongRunning: 10 * capacity}}, Waits: true}
	a, now := after(allocator.Allocation{}, load, time.Unix(100, 0), 5*time.Second)
	before := len(a.SetAside())
	load.Waits = false
	a, now = after(a, load, now, 1500*time.Millisecond)
	if got := len(a.SetAside()); got != before {
		t.Errorf("%d workers are set aside after a pause, want %d", got, before)
	}
	a, _ = after(a, load, now, 5*time.Second)
	if got := a.SetAside(); len(got) > 0 {
		t.Errorf("still set aside after the load: %v", got)
	}
}

// TestRandomAllocations checks for random snapshots that long-running tasks keep workers for their
// share, that only known workers are set aside, and that none is without a waiting task.
func TestRandomAllocations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, now := allocator.Allocation{}, time.Unix(100, 0)
		for range rapid.IntRange(1, 40).Draw(t, "snapshots") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			s := allocator.Snapshot{At: now, Waits: rapid.Bool().Draw(t, "waits"), Largest: rapid.Int64Range(0, capacity).Draw(t, "largest")}
			for i := range rapid.IntRange(0, 12).Draw(t, "workers") {
				s.Workers = append(s.Workers, allocator.Worker{ID: fmt.Sprintf("w%d", i), Capacity: capacity, Room: rapid.Int64Range(0, capacity).Draw(t, "room")})
			}
			for p := range rapid.IntRange(0, 3).Draw(t, "priorities") {
				s.Demands = append(s.Demands, allocator.Demand{
					Priority: p, Short: rapid.Int64Range(0, 20*capacity).Draw(t, "short"), LongRunning: rapid.Int64Range(0, 20*capacity).Draw(t, "long-running"),
				})
			}
			before := a.SetAside()
			a = a.With(s)
			checkAllocation(t, a.SetAside(), before, s)
		}
	})
}

func checkAllocation(t *rapid.T, set, before []string, s allocator.Snapshot) {
	for _, id := range set {
		if !slices.ContainsFunc(s.Workers, func(w allocator.Worker) bool { return w.ID == id }) {
			t.Fatalf("%s is set aside, but isn't a worker", id)
		}
		if !s.Waits && !slices.Contains(before, id) {
			t.Fatalf("%s is set aside although no task waits", id)
		}
	}
	var longRunning int64
	for _, d := range s.Demands {
		longRunning += d.LongRunning
	}
	total := int64(len(s.Workers) * capacity)
	if s.Waits && total-int64(len(set)*capacity) < min(total/2, longRunning) {
		t.Fatalf("%d of %d workers are set aside, long-running tasks want %d", len(set), len(s.Workers), longRunning)
	}
}
