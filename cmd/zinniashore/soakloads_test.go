package main

import (
	"strconv"
	"strings"
	"time"
)

const (
	// plannedPlaces is how often a task must fit for its wait to be a fault, plannedLook the time between two
	// looks at that.
	plannedPlaces = 2
	plannedLook   = 200 * time.Millisecond
)

// soakLoads holds the free capacity of the workers over time.
type soakLoads struct {
	s    *soak
	runs map[string][]*soakRun
	end  time.Time
}

func newSoakLoads(s *soak, h *soakHistory) *soakLoads {
	l := &soakLoads{s: s, runs: map[string][]*soakRun{}, end: time.Now()}
	for _, runs := range h.runs {
		for _, r := range runs {
			l.runs[r.worker] = append(l.runs[r.worker], r)
		}
	}
	return l
}

// fitsAll reports whether a task would have fitted at least plannedPlaces times all through a span, on workers that
// stay and run no other task of a step with a limit.
func (l *soakLoads) fitsAll(task string, from, to time.Time) bool {
	for at := from; at.Before(to); at = at.Add(plannedLook) {
		if l.places(task, at) < plannedPlaces {
			return false
		}
	}
	return true
}

// places returns how often a task fits at a time. A task that fills what others leave fits where no other such task
// has that.
func (l *soakLoads) places(task string, at time.Time) int {
	places := 0
	apart, fills := l.s.apart(task), l.s.fills(task)
	sizeOf := func(other string) soakSize {
		size := l.s.sizeOf(other)
		if fills && l.s.fills(other) {
			size.processors = plannedBatchProcessors
		}
		return size
	}
	for id, capacity := range l.staying(at) {
		used, taken := soakSize{}, false
		for _, r := range l.runs[id] {
			if r.start.After(at) || !r.end.IsZero() && r.end.Before(at) {
				continue
			}
			used, taken = used.plus(sizeOf(r.task)), taken || stepOf(r.task) == stepOf(task)
		}
		size := sizeOf(task)
		for used = used.plus(size); used.within(capacity) && (!apart || !taken); used = used.plus(size) {
			places++
			taken = true
		}
	}
	return places
}

// busy reports whether half of all processors or more were in use at some time of a span.
func (l *soakLoads) busy(from, to time.Time) bool {
	for at := from; at.Before(to); at = at.Add(plannedLook) {
		used, total := 0, 0
		for id, capacity := range l.staying(at) {
			total += capacity.processors
			for _, r := range l.runs[id] {
				if !r.start.After(at) && (r.end.IsZero() || r.end.After(at)) {
					used += l.s.sizeOf(r.task).processors
				}
			}
		}
		if 2*used >= total {
			return true
		}
	}
	return false
}

// staying returns the capacities of the workers that were registered and not leaving at a time.
func (l *soakLoads) staying(at time.Time) map[string]soakSize {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	staying := map[string]soakSize{}
	for _, w := range l.s.workers {
		drained, drains := l.s.notes.drains[w.id]
		if l.s.notes.joins[w.id].Before(at) && (!drains || drained.After(at)) {
			staying[w.id] = w.capacity
		}
	}
	return staying
}

// step returns the step of a task, an empty one for a task that nobody submitted.
func (s *soak) step(task string) soakStepMessage {
	fields := strings.Split(task, ".")
	job := s.job(fields[0])
	if job == nil || len(fields) != 4 {
		return soakStepMessage{}
	}
	step, err := strconv.Atoi(fields[2])
	if err != nil || step >= len(job.steps) {
		return soakStepMessage{}
	}
	return job.steps[step]
}

// apart reports whether the step of a task limits its tasks on one worker.
func (s *soak) apart(task string) bool { return s.step(task).AntiAffinity > 0 }

// fills reports whether a task gets what others leave of a worker.
func (s *soak) fills(task string) bool { return s.step(task).Fills }
