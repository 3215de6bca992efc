package delayer_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniashore.example/delayer"
)

// processors returns a room for a number of processors.
func processors(count int64) delayer.Room {
	return delayer.Room{MilliProcessors: 1000 * count, IdleMilliProcessors: 1000 * count, Megabytes: 100 * count}
}

// ends returns the ends of runs of one processor.
func ends(in ...time.Duration) []delayer.End {
	var all []delayer.End
	for _, end := range in {
		all = append(all, delayer.End{In: end, Frees: processors(1)})
	}
	return all
}

func need(count int64) delayer.Room {
	room := processors(count)
	room.IdleMilliProcessors = 0
	return room
}

// TestLine guards against expectations that leave out the runs of a rack, or the tasks ahead.
func TestLine(t *testing.T) {
	tests := map[string]struct {
		workers []delayer.Worker
		request delayer.Request
		// want are the expected places of tasks that each take theirs.
		want []time.Duration
	}{
		"each end is a place": {
			workers: []delayer.Worker{{Ends: ends(3, 1)}, {Ends: ends(2)}},
			request: delayer.Request{Need: need(1), Takes: processors(1), RunTime: 10, Places: []int{9, 9}},
			want:    []time.Duration{1, 2, 3, 11, 12, 13},
		},
		"a large task needs several ends of a worker": {
			workers: []delayer.Worker{{Ends: ends(1, 4)}, {Ends: ends(2, 3)}},
			request: delayer.Request{Need: need(2), Takes: processors(2), RunTime: 10, Places: []int{9, 9}},
			want:    []time.Duration{3, 4, 13},
		},
		"a worker that accepts nothing yet": {
			workers: []delayer.Worker{{Free: processors(1), Opens: 5}},
			request: delayer.Request{Need: need(1), Takes: processors(1), RunTime: 10, Places: []int{9}},
			want:    []time.Duration{5, 15},
		},
		"an excluded worker and a limit": {
			workers: []delayer.Worker{{Ends: ends(1)}, {Ends: ends(2, 3)}},
			request: delayer.Request{Need: need(1), Takes: processors(1), RunTime: 10, Places: []int{0, 1}},
			want:    []time.Duration{2},
		},
		"a task that is larger than any worker": {
			workers: []delayer.Worker{{Ends: ends(1, 2)}},
			request: delayer.Request{Need: need(3), Takes: processors(3), RunTime: 10, Places: []int{9}},
		},
		"a rack without workers": {request: delayer.Request{Need: need(1), Takes: processors(1), RunTime: 10}},
		"a best-effort task takes idle processors": {
			workers: []delayer.Worker{{Free: delayer.Room{IdleMilliProcessors: -500, Megabytes: 100}, Ends: ends(2, 4)}},
			request: delayer.Request{
				Need:  delayer.Room{IdleMilliProcessors: 800, Megabytes: 100},
				Takes: delayer.Room{IdleMilliProcessors: 1000, Megabytes: 100}, RunTime: 10, Places: []int{9},
			},
			want: []time.Duration{4, 14},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			line := delayer.NewRack(test.workers).NewLine(test.request)
			for i, want := range test.want {
				in, expected := line.Next()
				if !expected || in != want {
					t.Fatalf("place %d is expected in %d (%v), want %d", i, in, expected, want)
				}
				line.Take()
			}
			if len(test.want) == 0 {
				if in, expected := line.Next(); expected {
					t.Errorf("a place is expected in %d, want none", in)
				}
			}
		})
	}
}

// TestLinesShareRack guards against steps that count on the same place.
func TestLinesShareRack(t *testing.T) {
	rack := delayer.NewRack([]delayer.Worker{{Ends: ends(1, 2, 3)}})
	request := func() delayer.Request {
		return delayer.Request{Need: need(1), Takes: processors(1), RunTime: 10, Places: []int{9}}
	}
	first, second := rack.NewLine(request()), rack.NewLine(request())
	if in, _ := second.Next(); in != 1 {
		t.Fatalf("the first place is expected in %d, want 1", in)
	}
	first.Take()
	first.Take()
	if in, expected := second.Next(); !expected || in != 3 {
		t.Errorf("the place after two tasks of another step is expected in %d (%v), want 3", in, expected)
	}
}

// TestGroupLine guards against groups for which places at different times count as places.
func TestGroupLine(t *testing.T) {
	workers := func() []delayer.Worker {
		return []delayer.Worker{{Ends: ends(1, 5)}, {Ends: ends(3)}, {Free: processors(1), Ends: ends(4)}}
	}
	tests := map[string]struct {
		count    int
		want     time.Duration
		expected bool
	}{
		"one member":        {count: 1, want: 0, expected: true},
		"two members":       {count: 2, want: 1, expected: true},
		"three members":     {count: 3, want: 3, expected: true},
		"all places":        {count: 5, want: 5, expected: true},
		"more than can run": {count: 6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			line := delayer.NewRack(workers()).NewLine(delayer.Request{Need: need(1), Takes: processors(1), RunTime: 10, Places: []int{9, 9, 9}})
			in, expected := line.NextGroup(test.count)
			if in != test.want || expected != test.expected {
				t.Fatalf("places are expected in %d (%v), want %d (%v)", in, expected, test.want, test.expected)
			}
			if line.TakeGroup(test.count); !expected {
				return
			}
			if again, _ := line.NextGroup(5); again < in+10 {
				t.Errorf("all places are expected in %d after a group that starts in %d and runs for 10", again, in)
			}
		})
	}
}

// TestForecastFitsWorkers guards against forecasts that count on more room than the workers have: at no
// time do the runs and the tasks that have taken places exceed a worker.
func TestForecastFitsWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Int64Range(1, 8).Draw(t, "capacity")
		running := rapid.SliceOfN(rapid.Int64Range(0, 50), 0, int(capacity)).Draw(t, "ends")
		var taken []interval
		worker := delayer.Worker{Free: processors(capacity - int64(len(running)))}
		for _, end := range running {
			taken = append(taken, interval{to: time.Duration(end), size: 1})
			worker.Ends = append(worker.Ends, ends(time.Duration(end))...)
		}
		rack := delayer.NewRack([]delayer.Worker{worker})
		for range rapid.IntRange(1, 20).Draw(t, "tasks") {
			size, runTime := rapid.Int64Range(1, 8).Draw(t, "size"), time.Duration(rapid.Int64Range(1, 30).Draw(t, "run time"))
			line := rack.NewLine(delayer.Request{Need: need(size), Takes: processors(size), RunTime: runTime, Places: []int{9}})
			in, expected := line.Next()
			if expected != (size <= capacity) {
				t.Fatalf("a place for %d of %d processors is expected: %v", size, capacity, expected)
			}
			if line.Take(); expected {
				taken = append(taken, interval{from: in, to: in + runTime, size: size})
			}
		}
		for _, at := range taken {
			used := int64(0)
			for _, other := range taken {
				if other.from <= at.from && at.from < other.to {
					used += other.size
				}
			}
			if used > capacity {
				t.Fatalf("%d of %d processors are taken at %d", used, capacity, at.from)
			}
		}
	})
}

// interval is the time for which processors are taken.
type interval struct {
	from, to time.Duration
	size     int64
}
