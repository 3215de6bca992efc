package dispatcher

import "time"

// reserveLimit is how long a lasting task waits before a worker is reserved for it.
const reserveLimit = 500 * time.Millisecond

// reserve keeps the worker that will soonest have room for a lasting task free of
// other starts that take room. It reports whether there is one.
func (c *Cell) reserve(t *task) bool {
	var best *worker
	var most int64
	for _, w := range c.workers {
		if w.reserved != nil || !w.listed || w.registration.Phase != PhaseReady || !w.mayHold(t) {
			continue
		}
		if room := w.free().MilliProcessors; best == nil || room > most || room == most && w.registration.ID < best.registration.ID {
			best, most = w, room
		}
	}
	if best != nil {
		best.reserved = t
	}
	return best != nil
}

// mayHold reports whether the worker has room for a task once its passing runs
// have ended.
func (w *worker) mayHold(t *task) bool {
	step := t.step.step
	if !w.suits(t) {
		return false
	}
	passing := Size{}
	for _, r := range w.runs {
		if s := r.task.step.step; !s.Lasting {
			size := s.Size
			if s.Filler {
				size.MilliProcessors = 0
			}
			passing = passing.Plus(size)
		}
	}
	return w.free().Plus(passing).Holds(step.Size)
}
