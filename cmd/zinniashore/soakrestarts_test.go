package main

import (
	"fmt"
	"slices"
	"time"
)

const (
	// soakRestartBound is the time after the last fault within which a long-running task has a run again:
	// soakContact, then 4 s to catch up, then the 3 s for which it may have none.
	soakRestartBound = soakContact + 4*time.Second + 3*time.Second
	// soakRunBound is the time after its last run within which it has one: 6 s, then the 3 s for which it may
	// have none.
	soakRunBound = 6*time.Second + 3*time.Second
)

// soakWait is a span in which a long-running task had no run.
type soakWait struct {
	from, to time.Time
	// earlier is the run that ended, nil before the first one; later is the next one, nil if there is none.
	earlier, later *soakRun
}

// checkRestarts reports the long-running tasks that had no run for too long while nothing disturbed the
// system: there is capacity for all.
func (s *soak) checkRestarts(h *soakHistory) {
	for task, waits := range s.waits(h) {
		for _, wait := range waits {
			if due, broken := s.overdue(wait); broken {
				s.report(fmt.Sprintf("LOST: %s has no run from %s to %s, due at %s", task, s.since(wait.from), s.since(wait.to), s.since(due)), task)
			}
		}
	}
}

// waits returns the spans in which long-running tasks had no run, before their jobs were cancelled.
func (s *soak) waits(h *soakHistory) map[string][]soakWait {
	s.mu.Lock()
	defer s.mu.Unlock()
	waits := map[string][]soakWait{}
	for _, job := range s.jobs {
		job.mu.Lock()
		accepted, cancelled := job.accepted, job.cancelSent
		job.mu.Unlock()
		if !job.longRunning() || accepted.IsZero() {
			continue
		}
		if cancelled.IsZero() {
			cancelled = time.Now()
		}
		for _, task := range job.tasks() {
			waits[task] = waitsBetween(h.runs[task], accepted, cancelled)
		}
	}
	return waits
}

// waitsBetween returns the spans without a run from the acceptance to the cancellation of a job.
func waitsBetween(runs []*soakRun, accepted, cancelled time.Time) []soakWait {
	var waits []soakWait
	wait := soakWait{from: accepted}
	for _, r := range runs {
		if r.start.After(cancelled) {
			break
		}
		wait.to, wait.later = r.start, r
		waits = append(waits, wait)
		if r.end.IsZero() {
			return waits
		}
		wait = soakWait{from: r.end, earlier: r}
	}
	wait.to = cancelled
	waits = append(waits, wait)
	return slices.DeleteFunc(waits, func(w soakWait) bool { return !w.to.After(w.from) })
}

// overdue returns when a task had to run again, and whether it didn't.
func (s *soak) overdue(wait soakWait) (time.Time, bool) {
	sinceRun := wait.from.Add(soakRunBound)
	dues := []time.Time{sinceRun}
	s.mu.Lock()
	for _, f := range s.faults {
		if !f.to.IsZero() {
			dues = append(dues, f.to.Add(soakRestartBound))
		}
	}
	s.mu.Unlock()
	slices.SortFunc(dues, func(a, b time.Time) int { return a.Compare(b) })
	for _, due := range dues {
		if !due.Before(sinceRun) && due.Before(wait.to) && s.calm(due.Add(soakContact-soakRestartBound), due) {
			return due, true
		}
	}
	return time.Time{}, false
}

// describeRestarts tells when the long-running tasks ran again whose run ended until the longest lease after
// the loss of the holder or the return of the store.
func (s *soak) describeRestarts(h *soakHistory) string {
	var restarts []time.Duration
	never := 0
	for _, waits := range s.waits(h) {
		for _, wait := range waits {
			if wait.earlier == nil || wait.to.Before(s.loss.over) || wait.from.After(s.loss.over.Add(soakLostMaxLease)) {
				continue
			}
			if wait.later == nil {
				never++
				continue
			}
			restarts = append(restarts, wait.to.Sub(s.loss.over))
		}
	}
	slices.Sort(restarts)
	text := fmt.Sprintf("%d of %d workers leave, holder lost at %s, store answers at %s, %d long-running tasks ran again",
		s.loss.leaving, s.loss.workers, s.since(s.loss.at), s.since(s.loss.over), len(restarts))
	if len(restarts) > 0 {
		first, half, last := restarts[0], restarts[len(restarts)/2], restarts[len(restarts)-1]
		text += fmt.Sprintf(" %.2fs (first), %.2fs (half), %.2fs (last) after that", first.Seconds(), half.Seconds(), last.Seconds())
	}
	return text + fmt.Sprintf(", %d not before they were cancelled", never)
}
