package main

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"
)

// soakCapacity is the capacity of a worker while nothing has shrunk it.
var soakCapacity = soakSize{processors: 16000, megabytes: 32768}

// soakSize is an amount of each resource.
type soakSize struct {
	// processors is in thousandths of a processor.
	processors, megabytes int
}

func (s soakSize) plus(other soakSize) soakSize {
	return soakSize{s.processors + other.processors, s.megabytes + other.megabytes}
}

func (s soakSize) within(limit soakSize) bool {
	return s.processors <= limit.processors && s.megabytes <= limit.megabytes
}

// half returns a half of a size, halved a few times more.
func (s soakSize) half(times int) soakSize {
	return soakSize{s.processors >> (1 + times), s.megabytes >> (1 + times)}
}

// soakRegistered is a capacity that a worker has registered.
type soakRegistered struct {
	at       time.Time
	revision int64
	size     soakSize
}

// sizeOf returns the size of a task; nothing for one that nobody submitted.
func (s *soak) sizeOf(task string) soakSize {
	step := s.step(task)
	if step.Fills {
		return soakSize{megabytes: step.MemoryMB}
	}
	return soakSize{step.CPU, step.MemoryMB}
}

// checkLimits checks that no start brings a worker over its capacity, and returns how many
// starts it checked against less than the full one.
func (s *soak) checkLimits(h *soakHistory) int {
	lives := map[soakLife][]*soakRun{}
	for _, runs := range h.runs {
		for _, r := range runs {
			life := soakLife{r.worker, r.life}
			lives[life] = append(lives[life], r)
		}
	}
	shrunk := 0
	for _, runs := range lives {
		sort.Slice(runs, func(i, j int) bool { return runs[i].start.Before(runs[j].start) })
		for i, r := range runs {
			limits := s.limits(r)
			if !s.planned && !slices.Contains(limits, soakCapacity) {
				shrunk++
			}
			s.checkLimit(runs[:i], r, limits)
		}
	}
	return shrunk
}

// checkLimit checks the start of a run beside the earlier runs of the worker, which count
// until they have ended.
func (s *soak) checkLimit(earlier []*soakRun, r *soakRun, limits []soakSize) {
	used, beside := s.sizeOf(r.task), []string{r.task}
	for _, other := range earlier {
		if other.end.IsZero() || other.end.After(r.start) {
			used, beside = used.plus(s.sizeOf(other.task)), append(beside, other.task)
		}
	}
	if !slices.ContainsFunc(limits, used.within) {
		s.report(fmt.Sprintf("LIMIT: run %d of %s started at %s on %s, which then had %+v in use of %+v",
			r.run, r.task, s.since(r.start), r.worker, used, limits), beside...)
	}
}

// limits returns the capacities of a worker that the process which started a run may have
// known, the oldest first.
func (s *soak) limits(r *soakRun) []soakSize {
	process := strings.Split(r.caller, "/")[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	informed := s.undisturbed(process, r.start, soakInformed, func(soakHindrance) bool { return true })
	ordered := s.undisturbed(process, r.start, soakDelivery, func(h soakHindrance) bool { return h.delaysOrders })
	read := s.read(process, ordered)
	var limits []soakSize
	for _, registered := range s.capacities[r.worker] {
		if registered.at.Before(informed) || registered.revision <= read {
			limits = nil
		}
		if !registered.at.After(r.start) {
			limits = append(limits, registered.size)
		}
	}
	return slices.Compact(limits)
}
