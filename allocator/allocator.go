// Package allocator divides the processors of a cell between short and long-running tasks: it
// decides from snapshots which workers are set aside for short tasks. It uses neither the
// network nor a clock.
package allocator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// averagingTime is the time constant of the average of the demand of short tasks.
	averagingTime = 2 * time.Second
	// releaseDelay is how long no short task has waited before workers are given back.
	releaseDelay = 2 * time.Second
	// releaseInterval separates the steps in which workers are given back, a releaseShare of
	// the set in each.
	releaseInterval = 500 * time.Millisecond
	releaseShare    = 0.1
	// excessFactor is how many times its goal the room of the set may reach before a worker is
	// given back while short tasks wait.
	excessFactor = 1.25
)

// Worker is a worker on which tasks may start. Processors are in thousandths.
type Worker struct {
	// ID identifies the worker.
	ID string
	// Capacity is the number of its processors, Room what its long-running tasks leave of them.
	Capacity, Room int64
}

// Demand is the number of processors, in thousandths, that the tasks of a priority use or wait
// for.
type Demand struct {
	// Priority orders demands; 0 is the highest.
	Priority int
	// Short is the demand of short tasks, LongRunning that of long-running ones.
	Short, LongRunning int64
}

// Snapshot is the state of a cell.
type Snapshot struct {
	// At is the time of the snapshot.
	At time.Time
	// Workers are the workers on which tasks may start.
	Workers []Worker
	// Demands are the demands, one of each priority.
	Demands []Demand
	// Waits is true if a short task has waited without a place for so long that workers are to be
	// set aside.
	Waits bool
	// Largest is the number of processors, in thousandths, that the largest such task needs.
	Largest int64
}

// Allocation is the set of workers that are set aside, with what is needed to change it. The
// zero value has none. It is immutable.
type Allocation struct {
	// setAside are the ids of the workers in the order in which they were set aside.
	setAside []string
	// averages are the average demands of short tasks by priority.
	averages map[int]float64
	// updatedAt is the time of the last snapshot, waitedAt that of the last one in which a short
	// task waited, releasedAt when workers were last given back.
	updatedAt, waitedAt, releasedAt time.Time
}

// SetAside returns the ids of the workers that are set aside.
func (a Allocation) SetAside() []string { return slices.Clone(a.setAside) }

// Contains reports whether a worker is set aside.
func (a Allocation) Contains(id string) bool { return slices.Contains(a.setAside, id) }

// With returns the allocation after a snapshot. Workers that the snapshot doesn't list are no
// longer set aside.
func (a Allocation) With(s Snapshot) Allocation {
	next := a.withDemands(s)
	members := memberWorkers(a.setAside, s.Workers)
	switch {
	case s.Waits:
		next.waitedAt = s.At
		members = next.adjust(members, s)
	case s.At.Sub(a.waitedAt) >= releaseDelay && s.At.Sub(a.releasedAt) >= releaseInterval:
		next.releasedAt = s.At
		members = members[:len(members)-min(len(members), int(math.Ceil(releaseShare*float64(len(members)))))]
	}
	next.setAside = make([]string, len(members))
	for i, w := range members {
		next.setAside[i] = w.ID
	}
	return next
}

// withDemands returns the allocation with the averages of the demands of a snapshot.
func (a Allocation) withDemands(s Snapshot) Allocation {
	weight := 1 - math.Exp(-float64(s.At.Sub(a.updatedAt))/float64(averagingTime))
	averages := map[int]float64{}
	for priority, average := range a.averages {
		averages[priority] = (1 - weight) * average
	}
	for _, d := range s.Demands {
		averages[d.Priority] += weight * float64(d.Short)
	}
	a.averages, a.updatedAt = averages, s.At
	return a
}

// adjust returns the set while short tasks wait: it grows by the workers with the most room until
// its room reaches the goal, and shrinks by those with the least if it exceeds the goal by far.
// It leaves to long-running tasks the workers for their demand or half of the processors.
func (a Allocation) adjust(members []Worker, s Snapshot) []Worker {
	demands := a.averageDemands(s.Demands)
	capacity := totalCapacity(s.Workers)
	goal := ShortShare(capacity, demands) + s.Largest
	limit := capacity - min(capacity/2, longRunningDemand(demands))
	if limit == capacity {
		return nil
	}
	var room, held int64
	for i, w := range members {
		exceeds := held+w.Capacity > limit || i > 0 && float64(room) >= excessFactor*float64(goal)
		if exceeds {
			return members[:i]
		}
		room, held = room+w.Room, held+w.Capacity
	}
	for _, w := range byRoom(s.Workers) {
		if room >= goal {
			break
		}
		if held+w.Capacity <= limit && !slices.Contains(members, w) {
			members = append(members, w)
			room, held = room+w.Room, held+w.Capacity
		}
	}
	return members
}

// averageDemands returns the demands with the averages for short tasks, by priority.
func (a Allocation) averageDemands(demands []Demand) []Demand {
	var all []Demand
	for priority, average := range a.averages {
		d := Demand{Priority: priority, Short: int64(average)}
		for _, current := range demands {
			if current.Priority == priority {
				d.LongRunning = current.LongRunning
			}
		}
		all = append(all, d)
	}
	slices.SortFunc(all, func(x, y Demand) int { return cmp.Compare(x.Priority, y.Priority) })
	return all
}

// ShortShare returns the processors, in thousandths, that short tasks get of a capacity: the max-min fair share
// between the kinds of a priority, of what higher priorities leave. The demands are in the order
// of their priorities.
func ShortShare(capacity int64, demands []Demand) int64 {
	var share int64
	for _, d := range demands {
		short := min(d.Short, max(capacity/2, capacity-d.LongRunning))
		share += short
		capacity = max(0, capacity-short-d.LongRunning)
	}
	return share
}

// longRunningDemand returns the demand of long-running tasks of all priorities.
func longRunningDemand(demands []Demand) int64 {
	var sum int64
	for _, d := range demands {
		sum += d.LongRunning
	}
	return sum
}

// totalCapacity returns the number of processors of the workers, in thousandths.
func totalCapacity(workers []Worker) int64 {
	var sum int64
	for _, w := range workers {
		sum += w.Capacity
	}
	return sum
}

// memberWorkers returns the workers with the given ids that exist, ordered by room.
func memberWorkers(ids []string, workers []Worker) []Worker {
	var members []Worker
	for _, w := range workers {
		if slices.Contains(ids, w.ID) {
			members = append(members, w)
		}
	}
	return byRoom(members)
}

// byRoom returns the workers with the most room first.
func byRoom(workers []Worker) []Worker {
	return slices.SortedFunc(slices.Values(workers), func(a, b Worker) int {
		return cmp.Or(cmp.Compare(b.Room, a.Room), cmp.Compare(a.ID, b.ID))
	})
}
