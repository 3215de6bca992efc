package dispatcher

import (
	"time"

	"zinniashore.example/recorder"
)

// lapse resolves the runs whose lease has surely ended, and forgets workers
// that are gone.
func (c *Cell) lapse(now time.Time) {
	for id, w := range c.workers {
		switch {
		case w.left():
			c.loseAll(now, w, "worker has left")
		case w.fenced && w.lapsed(now):
			c.loseAll(now, w, "lease lapsed")
		}
		if c.gone(now, w) {
			delete(c.workers, id)
			if w.stored {
				c.forgotten++
			}
			c.record(recorder.Event{Kind: KindWorker, VM: id, Detail: "forgotten"})
		}
	}
}

func (c *Cell) loseAll(now time.Time, w *worker, why string) {
	for _, r := range w.sortedRuns() {
		c.lose(now, r, why)
	}
}

// leaveDraining stops the lasting tasks on workers that leave, one at a time, as
// soon as another worker has room for them.
func (c *Cell) leaveDraining(now time.Time) {
	for _, w := range c.workers {
		if w.registration.Phase != PhaseDraining || now.Sub(w.leftAt) < leaveInterval {
			continue
		}
		for _, r := range w.sortedRuns() {
			if r.phase == phaseConfirmed && r.task.step.step.Lasting && !r.task.step.step.Gang && c.choose(now, r.task) != nil {
				w.leftAt = now
				c.stop(r)
				break
			}
		}
	}
}

// leaveInterval separates the stops of lasting tasks on a worker that leaves.
const leaveInterval = 200 * time.Millisecond

// gone reports whether nothing can run on a worker any more: it has left, or it
// isn't registered, hasn't answered for long, and the leases of its runs have
// ended.
func (c *Cell) gone(now time.Time, w *worker) bool {
	if w.listed || len(w.runs) > 0 || !c.active {
		return false
	}
	if w.left() {
		return true
	}
	silent := now.Sub(w.answeredAt)
	if !w.fenced {
		silent = now.Sub(c.activeAt) - c.Limits.Confirmation
	}
	return silent > c.Limits.Grant+goneMargin
}

// goneMargin is added to a lease before a worker is forgotten.
const goneMargin = 2 * time.Second
