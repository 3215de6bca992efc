package dispatcher

import "time"

// drainStopInterval separates the stops of tasks on a draining worker.
const drainStopInterval = 200 * time.Millisecond

// drainWorkers stops the tasks that draining workers may not run to their end, one at a time
// on each worker, once another worker has capacity for them, or if none of the cell could run them.
func (c *Cell) drainWorkers(now time.Time) {
	for _, w := range c.workers {
		if w.registration.Phase != PhaseDraining || now.Sub(w.drainStoppedAt) < drainStopInterval {
			continue
		}
		for _, r := range w.sortedRuns() {
			if r.mayOutliveWorker(now) && c.canLeave(now, r.task) {
				w.drainStoppedAt = now
				c.stop(r)
				break
			}
		}
	}
}

// canLeave reports whether a task on a draining worker can continue on another one or, if no worker of
// the cell could run it, in another cell. Tasks that can be delegated are stopped once a cell has
// capacity for them.
func (c *Cell) canLeave(now time.Time, t *task) bool {
	return c.selectWorker(now, t) != nil || !t.movable() && !c.capable(t) && c.storeAnswers(now)
}

// mayOutliveWorker reports whether a run on a draining worker could be moved and is expected to
// last until the worker may exit.
func (r *run) mayOutliveWorker(now time.Time) bool {
	step := r.task.step.step
	if r.phase != phaseConfirmed || step.Gang {
		return false
	}
	return step.LongRunning || now.Add(r.expectedRest(now)).After(r.worker.exitsAfter)
}

// expectedRest returns how much longer a run is expected to last, by the estimate of its
// step and the progress that the worker last listed.
func (r *run) expectedRest(now time.Time) time.Duration {
	rest := r.task.step.step.Estimate * time.Duration(fullPercent-r.percent) / fullPercent
	since := r.confirmedAt
	if r.listedAt.After(since) {
		since = r.listedAt
	}
	return max(rest-now.Sub(since), 0)
}
