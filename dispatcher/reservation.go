package dispatcher

import "time"

// reservationDelay is how long a long-running task waits before a worker is reserved
// for it.
const reservationDelay = 500 * time.Millisecond

// reserve reserves a worker for a long-running task: the one that is expected to have
// capacity for the task first, which is the one with the most free processors. No
// other task starts there. It reports whether there is such a worker.
func (c *Cell) reserve(now time.Time, t *task) bool {
	var best *worker
	var maxFree int64
	for _, w := range c.workers {
		if w.reservedFor != nil || !c.healthy(now, w) || !w.fitsEventually(t) {
			continue
		}
		if free := w.freeCapacity().MilliProcessors; best == nil || free > maxFree || free == maxFree && w.registration.ID < best.registration.ID {
			best, maxFree = w, free
		}
	}
	if best != nil {
		best.reservedFor = t
	}
	return best != nil
}

// fitsEventually reports whether a task will fit on the worker once its runs that
// aren't long-running have ended.
func (w *worker) fitsEventually(t *task) bool {
	step := t.step.step
	if !w.eligible(t) {
		return false
	}
	finite := Size{}
	for _, r := range w.runs {
		if s := r.task.step.step; !s.LongRunning {
			size := s.Size
			if s.BestEffort {
				size.MilliProcessors = 0
			}
			finite = finite.Plus(size)
		}
	}
	return w.freeCapacity().Plus(finite).Holds(step.Size)
}
