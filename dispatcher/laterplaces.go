package dispatcher

import "time"

// laterCapacity is what the long-running tasks of a worker leave of its capacity. Tasks that
// aren't long-running end, and others take their place.
type laterCapacity struct {
	worker    *worker
	remaining Size
	// assigned are the waiting tasks that the capacity is needed for.
	assigned []*task
}

// laterCapacities returns what long-running tasks leave of each healthy worker, ordered by id.
func (c *Cell) laterCapacities(now time.Time) []*laterCapacity {
	var all []*laterCapacity
	for _, id := range c.Workers() {
		w := c.workers[id]
		if !c.healthy(now, w) {
			continue
		}
		l := &laterCapacity{worker: w, remaining: w.registration.Capacity}
		for _, r := range w.runs {
			if step := r.task.step.step; step.LongRunning {
				l.remaining = l.remaining.Minus(step.Size)
			}
		}
		all = append(all, l)
	}
	return all
}

// holds reports whether a waiting task could run in the capacity.
func (l *laterCapacity) holds(t *task) bool {
	step := t.step.step
	if !l.worker.eligible(t) || !l.remaining.Holds(step.Size) {
		return false
	}
	if step.WorkerLimit == 0 {
		return true
	}
	count := l.worker.countRuns(t.step)
	for _, assigned := range l.assigned {
		if assigned.step == t.step {
			count++
		}
	}
	return count < step.WorkerLimit
}

// assign assigns the capacity to a waiting task.
func (l *laterCapacity) assign(t *task) {
	l.remaining = l.remaining.Minus(t.step.step.Size)
	l.assigned = append(l.assigned, t)
}

// places returns the number of tasks of a step of another cell that could run in the capacity.
func (l *laterCapacity) places(id StepID, step *Step) int {
	limit := l.worker.placeLimit(id, step)
	if step.WorkerLimit > 0 {
		for _, t := range l.assigned {
			if t.id.stepID() == id {
				limit--
			}
		}
	}
	remaining, count := l.remaining, 0
	for count < limit && remaining.Holds(step.Size) {
		remaining = remaining.Minus(step.Size)
		count++
	}
	return count
}

// assignWaiting assigns capacity to the waiting long-running tasks that meet a condition, in
// the order in which they start, each where it leaves the fewest processors. It returns the
// tasks that got some. A task that fits nowhere keeps none from the others.
func (c *Cell) assignWaiting(now time.Time, all []*laterCapacity, met func(*task) bool) map[*task]bool {
	assigned := map[*task]bool{}
	unplaced := map[*stepState]bool{}
	for _, t := range c.ready {
		waits := t.step.step.LongRunning && !t.remote && len(t.runs) == 0 && !t.job().state.Final()
		if !waits || unplaced[t.step] || !met(t) || c.mayHaveRun(now, t) {
			continue
		}
		if l := tightest(all, t); l != nil {
			l.assign(t)
			assigned[t] = true
		} else {
			unplaced[t.step] = true // the capacities only shrink
		}
	}
	return assigned
}

// tightest returns the capacity that holds a task and has the fewest processors, or nil.
func tightest(all []*laterCapacity, t *task) *laterCapacity {
	var best *laterCapacity
	for _, l := range all {
		if l.holds(t) && (best == nil || l.remaining.MilliProcessors < best.remaining.MilliProcessors) {
			best = l
		}
	}
	return best
}

// WillHavePlace reports whether a waiting long-running task will have a place in this cell
// once its short tasks have ended, beside the other long-running tasks that wait here.
func (c *Cell) WillHavePlace(now time.Time, id TaskID) bool {
	t := c.task(now, id)
	return t != nil && c.assignWaiting(now, c.laterCapacities(now), func(*task) bool { return true })[t]
}

// willHavePlaceAsPart reports whether a delegated task will have a place in this cell once its
// short tasks have ended. Delegated tasks come before the cell's own.
func (c *Cell) willHavePlaceAsPart(now time.Time, t *task) bool {
	return c.assignWaiting(now, c.laterCapacities(now), func(waiting *task) bool { return waiting.job().job.Part != nil })[t]
}

// laterPlaces returns the number of tasks of a step of a service that could start once all
// tasks that aren't long-running have ended, beside the long-running tasks that wait.
func (c *Cell) laterPlaces(now time.Time, service string, id StepID, step *Step) int {
	all := c.laterCapacities(now)
	c.assignWaiting(now, all, func(*task) bool { return true })
	places := 0
	for _, l := range all {
		if l.worker.registration.Service == service && l.worker.hasLabel(step.Label) {
			places += l.places(id, step)
		}
	}
	return places
}
