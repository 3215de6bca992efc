package delayer

import (
	"slices"
	"time"
)

// Request describes the tasks of a step that wait for a rack.
type Request struct {
	// Need is what a worker must have free for a task, Takes what the task then takes.
	Need, Takes Room
	// RunTime is the expected run time of a task in the rack.
	RunTime time.Duration
	// Places is, for each worker of the rack, how many tasks of the step it may still start; 0 excludes
	// the worker.
	Places []int
}

// Line is the queue of the tasks of a step that wait for a rack. They take their places in the forecast
// of the rack.
type Line struct {
	rack    *Rack
	request Request
	// earliest caches the next place of each worker; versions are the versions of the workers then.
	earliest []place
	versions []int
}

// place is the next place of a worker.
type place struct {
	// in is the time until the place. It is valid only if expected is set.
	in       time.Duration
	expected bool
}

// NewLine returns the line of a step. The line takes over the Places of the request and changes them.
func (r *Rack) NewLine(request Request) *Line {
	l := &Line{rack: r, request: request, earliest: make([]place, len(r.workers)), versions: make([]int, len(r.workers))}
	for i := range l.versions {
		l.versions[i] = -1
	}
	return l
}

// Next returns the time until the next place for a task of the step, and whether one is expected. Places
// that other tasks have taken don't count.
func (l *Line) Next() (in time.Duration, expected bool) {
	in, worker := l.next()
	return in, worker >= 0
}

// next returns the time until the next place and the index of its worker, -1 if no place is expected.
func (l *Line) next() (in time.Duration, worker int) {
	worker = -1
	for i := range l.rack.workers {
		if l.request.Places[i] <= 0 {
			continue
		}
		if l.versions[i] != l.rack.versions[i] {
			l.versions[i] = l.rack.versions[i]
			l.earliest[i].in, l.earliest[i].expected = l.rack.workers[i].earliest(l.request.Need)
		}
		if p := l.earliest[i]; p.expected && (worker < 0 || p.in < in) {
			in, worker = p.in, i
		}
	}
	return in, worker
}

// Take takes the next place for a task, if one is expected.
func (l *Line) Take() {
	if in, worker := l.next(); worker >= 0 {
		l.take(in, worker)
	}
}

// take takes a place of a worker that is free after a time.
func (l *Line) take(in time.Duration, worker int) {
	l.request.Places[worker]--
	l.rack.take(worker, in+l.request.RunTime, l.request.Takes)
}

// NextGroup returns the time until the rack has places for a group of tasks at the same time, and whether
// that is expected.
func (l *Line) NextGroup(count int) (in time.Duration, expected bool) {
	times := l.times()
	at, _ := slices.BinarySearchFunc(times, count, func(at time.Duration, count int) int {
		if l.placesAt(at, count) < count {
			return -1
		}
		return 1
	})
	if at == len(times) {
		return 0, false
	}
	return times[at], true
}

// TakeGroup takes the next places for a group of tasks, if they are expected.
func (l *Line) TakeGroup(count int) {
	in, expected := l.NextGroup(count)
	if !expected {
		return
	}
	for i := range l.rack.workers {
		places := l.rack.workers[i].placesAt(in, l.request.Need, l.request.Takes, min(count, l.request.Places[i]))
		count -= places
		for range places {
			l.take(in, i)
		}
	}
}

// times returns the times at which the rack gets more room, including now, in order.
func (l *Line) times() []time.Duration {
	times := []time.Duration{0}
	for i, w := range l.rack.workers {
		if l.request.Places[i] <= 0 {
			continue
		}
		times = append(times, w.Opens)
		for _, e := range w.Ends {
			times = append(times, max(e.In, w.Opens))
		}
	}
	slices.Sort(times)
	return slices.Compact(times)
}

// placesAt returns how many tasks, up to a limit, the rack can start at a time.
func (l *Line) placesAt(at time.Duration, limit int) int {
	count := 0
	for i := range l.rack.workers {
		if count >= limit {
			break
		}
		count += l.rack.workers[i].placesAt(at, l.request.Need, l.request.Takes, min(limit-count, l.request.Places[i]))
	}
	return count
}
