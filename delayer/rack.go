package delayer

import (
	"cmp"
	"slices"
	"time"
)

// Room is an amount of resources.
type Room struct {
	// MilliProcessors are processors that nothing has reserved, in thousandths. IdleMilliProcessors are
	// those that best-effort tasks may use, which includes reserved ones that are idle.
	MilliProcessors, IdleMilliProcessors int64
	// Megabytes is memory in MB.
	Megabytes int64
	// Accelerators is a number of accelerators.
	Accelerators int64
}

// Plus returns the sum of two amounts.
func (r Room) Plus(other Room) Room {
	return Room{
		MilliProcessors:     r.MilliProcessors + other.MilliProcessors,
		IdleMilliProcessors: r.IdleMilliProcessors + other.IdleMilliProcessors,
		Megabytes:           r.Megabytes + other.Megabytes,
		Accelerators:        r.Accelerators + other.Accelerators,
	}
}

// Minus returns the difference of two amounts.
func (r Room) Minus(other Room) Room {
	return Room{
		MilliProcessors:     r.MilliProcessors - other.MilliProcessors,
		IdleMilliProcessors: r.IdleMilliProcessors - other.IdleMilliProcessors,
		Megabytes:           r.Megabytes - other.Megabytes,
		Accelerators:        r.Accelerators - other.Accelerators,
	}
}

// holds reports whether a need fits into the room. Idle processors don't matter to a need without any.
func (r Room) holds(need Room) bool {
	return need.MilliProcessors <= r.MilliProcessors && need.Megabytes <= r.Megabytes && need.Accelerators <= r.Accelerators &&
		(need.IdleMilliProcessors == 0 || need.IdleMilliProcessors <= r.IdleMilliProcessors)
}

// End is the expected end of a run.
type End struct {
	// In is the time until the end.
	In time.Duration
	// Frees is what the end of the run frees.
	Frees Room
}

// Worker is a worker of a rack.
type Worker struct {
	// Free is what is free now.
	Free Room
	// Ends are the expected ends of the runs that end by themselves.
	Ends []End
	// Opens is the time until the worker accepts starts, 0 if it does.
	Opens time.Duration
}

// Rack is a forecast of the places of a rack. The tasks that wait for it take their places in the
// forecast in the order in which they are to start. It is not safe for concurrent use.
type Rack struct {
	workers []Worker
	// versions count the changes of each worker.
	versions []int
}

// NewRack returns the forecast of a rack for which no task waits yet. The forecast takes over the workers
// and changes them.
func NewRack(workers []Worker) *Rack {
	for _, w := range workers {
		slices.SortFunc(w.Ends, func(a, b End) int { return cmp.Compare(a.In, b.In) })
	}
	return &Rack{workers: workers, versions: make([]int, len(workers))}
}

// take adds a task that runs on a worker until a time. What the task takes counts as taken from now on.
func (r *Rack) take(worker int, end time.Duration, takes Room) {
	w := &r.workers[worker]
	w.Free = w.Free.Minus(takes)
	at, _ := slices.BinarySearchFunc(w.Ends, end, func(e End, in time.Duration) int { return cmp.Compare(e.In, in) })
	w.Ends = slices.Insert(w.Ends, at, End{In: end, Frees: takes})
	r.versions[worker]++
}

// earliest returns the time until a worker has room for a need, and whether it is expected to have it.
func (w *Worker) earliest(need Room) (time.Duration, bool) {
	room := w.Free
	if room.holds(need) {
		return w.Opens, true
	}
	for _, e := range w.Ends {
		if room = room.Plus(e.Frees); room.holds(need) {
			return max(e.In, w.Opens), true
		}
	}
	return 0, false
}

// placesAt returns how many tasks, up to a limit, a worker can start at a time.
func (w *Worker) placesAt(at time.Duration, need, takes Room, limit int) int {
	if at < w.Opens {
		return 0
	}
	room, count := w.Free, 0
	for _, e := range w.Ends {
		if e.In > at {
			break
		}
		room = room.Plus(e.Frees)
	}
	for count < limit && room.holds(need) {
		room = room.Minus(takes)
		count++
	}
	return count
}
