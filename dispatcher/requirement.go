package dispatcher

import "time"

const (
	// relocationDelay is how long a task waits that doesn't fit in the cell before its job is offered to other cells.
	relocationDelay = time.Second
	// maxWorkerSilence is how long a registered worker that doesn't answer counts as able to run tasks.
	maxWorkerSilence = 10 * time.Second
)

// requirement is what a waiting task requires to start. Tasks with the same requirement fit in the same cells.
type requirement struct {
	service, label string
	size           Size
	// bestEffort is true for tasks that take the processors which others leave unused.
	bestEffort bool
	// members is the number of tasks that have to start together, workerLimit how many of them one worker may
	// run, 0 for any number.
	members, workerLimit int
}

// requirementOf returns what a waiting task requires, with the other members of its gang.
func requirementOf(t *task) requirement {
	step := t.step.step
	q := requirement{
		service: t.job().job.Queue.Service, label: step.Label, size: step.Size, bestEffort: step.BestEffort, members: 1,
		workerLimit: step.WorkerLimit,
	}
	if step.Gang {
		q.members = t.step.openTasks
	}
	return q
}

// covers reports whether workers that meet this requirement also meet another one.
func (q requirement) covers(other requirement) bool {
	return q.service == other.service && q.label == other.label && q.size.Holds(other.size) && q.members >= other.members
}

// matches reports whether a worker may run tasks with a requirement, whatever its capacity is. Nobody knows when the
// evacuation of a failure domain ends.
func (c *Cell) matches(w *worker, q requirement) bool {
	return w.registration.Phase != PhaseDraining && !c.evacuated.Contains(w.registration.FailureDomain) &&
		w.registration.Service == q.service && w.hasLabel(q.label)
}

// meets reports whether the workers, with the given capacities, meet a requirement. A worker that may register again
// counts as able to, as its capacity may not be known.
func (c *Cell) meets(q requirement, capacityOf func(w *worker) Size) bool {
	places := 0
	for _, w := range c.workers {
		switch {
		case !c.matches(w, q):
		case w.registered:
			places += q.placesIn(capacityOf(w))
		case !c.exited(w):
			return true
		}
		if places >= q.members {
			return true
		}
	}
	return false
}

// placesIn returns how many of the members fit into a capacity.
func (q requirement) placesIn(remaining Size) int {
	limit := q.members
	if q.workerLimit > 0 {
		limit = min(limit, q.workerLimit)
	}
	count := 0
	for count < limit && remaining.Holds(q.size) {
		remaining = remaining.Minus(q.size)
		count++
	}
	return count
}

// capable reports whether the workers of the cell could run a task, with its gang, if all of their capacity were
// free.
func (c *Cell) capable(t *task) bool {
	return c.meets(requirementOf(t), func(w *worker) Size { return w.registration.Capacity })
}

// fitsBesideLongRunning reports whether the cell could run a task, with its gang, once all tasks have ended that aren't
// long-running: the others don't end by themselves.
func (c *Cell) fitsBesideLongRunning(now time.Time, q requirement) bool {
	if q.bestEffort {
		q.size.MilliProcessors = 0
	}
	return c.meets(q, func(w *worker) Size {
		if c.silentFor(now, w) > maxWorkerSilence {
			return Size{}
		}
		return w.besideLongRunning()
	})
}

// silentFor returns for how long a worker hasn't answered this holder since it became active.
func (c *Cell) silentFor(now time.Time, w *worker) time.Duration {
	return now.Sub(latest(c.activeAt, w.answeredAt))
}

// besideLongRunning returns the capacity that long-running tasks leave on the worker.
func (w *worker) besideLongRunning() Size {
	remaining := w.registration.Capacity
	for _, r := range w.runs {
		if step := r.task.step.step; step.LongRunning && !step.BestEffort {
			remaining = remaining.Minus(step.Size)
		}
	}
	return remaining
}

// shortages caches, for one search, which requirements the cell doesn't meet beside its long-running tasks.
type shortages struct {
	cell  *Cell
	now   time.Time
	known map[requirement]bool
}

func (c *Cell) newShortages(now time.Time) *shortages {
	return &shortages{cell: c, now: now, known: map[requirement]bool{}}
}

// affects reports whether a task has waited for relocationDelay and doesn't fit in the cell.
func (s *shortages) affects(t *task) bool {
	if s.now.Sub(t.readyAt) < relocationDelay {
		return false
	}
	q := requirementOf(t)
	short, known := s.known[q]
	if !known {
		short = !s.cell.fitsBesideLongRunning(s.now, q)
		s.known[q] = short
	}
	return short
}

// PlacesToRelocate returns how many places another cell must have for a task that may be relocated, and whether places
// that become free later count: no worker of this cell could ever run it.
func (c *Cell) PlacesToRelocate(now time.Time, id TaskID) (places int, later bool) {
	t := c.task(now, id)
	if t == nil {
		return 1, false
	}
	return requirementOf(t).members, !c.capable(t)
}
