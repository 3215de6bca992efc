package dispatcher

import "time"

// drainStopInterval separates the stops of tasks on a draining worker.
const drainStopInterval = 200 * time.Millisecond

// drainWorkers stops the tasks that draining workers may not run to their end, one at a time
// on each worker, once another worker has capacity for them.
func (c *Cell) drainWorkers(now time.Time) {
	for _, w := range c.workers {
		if w.registration.Phase != PhaseDraining || now.Sub(w.drainStoppedAt) < drainStopInterval {
			continue
		}
		for _, r := range w.sortedRuns() {
			if r.mayOutliveWorker(now) && c.selectWorker(now, r.task) != nil {
				w.drainStoppedAt = now
				c.stop(r)
				break
			}
		}
	}
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

// expectedRest returns for how much longer a run is expected to last, by the estimate of its
// step and the progress that the worker last listed.
func (r *run) expectedRest(now time.Time) time.Duration {
	rest := r.task.step.step.Estimate * time.Duration(fullPercent-r.percent) / fullPercent
	since := r.confirmedAt
	if r.listedAt.After(since) {
		since = r.listedAt
	}
	return max(rest-now.Sub(since), 0)
}
