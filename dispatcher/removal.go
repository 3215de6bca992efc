package dispatcher

import (
	"time"

	"zinniashore.example/recorder"
)

// expireLeases handles the runs of workers that have exited or whose lease has certainly
// expired, and removes workers that can't run anything any more.
func (c *Cell) expireLeases(now time.Time) {
	for id, w := range c.workers {
		switch {
		case w.exited():
			c.blameCrashed(now, w)
			c.markAllLost(now, w, "another worker has the address")
		case !w.epochAccepted && c.gone(w):
			c.handleGone(now, w)
		case w.epochAccepted && w.leaseExpired(now):
			c.handleExpiredLease(now, w)
		}
		if c.removable(now, w) {
			delete(c.workers, id)
			if w.stored {
				c.removedWorkers++
			}
			c.record(recorder.Event{Kind: KindWorker, VM: id, Detail: "forgotten; " + c.absence(now, w)})
		}
	}
}

// handleExpiredLease handles the runs of a worker whose lease has certainly expired.
// None of them is active any more, but some may be done. A worker lists the ends of its
// runs until they are acknowledged, whatever happened to the lease. A task that can be
// done therefore waits for that list, unless the worker is gone.
func (c *Cell) handleExpiredLease(now time.Time, w *worker) {
	gone := c.gone(w)
	c.blameCrashed(now, w)
	for _, r := range w.sortedRuns() {
		switch {
		case gone || r.task.step.step.LongRunning:
			if !gone && r.mayHaveCrashed() {
				w.expiredYoung = append(w.expiredYoung, r)
			}
			c.markLost(now, r, "lease lapsed")
		case !r.endAwaited:
			r.endAwaited = true
			c.record(recorder.Event{Kind: KindEndAwaited, VM: w.registration.ID, Task: r.task.id.String(), Attempt: int(r.number), Key: r.task.id.Job, Detail: "lease lapsed"})
		}
	}
}

// handleGone handles the runs of a worker that is gone and hasn't answered since it
// restarted. The restarted worker may have accepted a start with a lease end on the clock
// of the boot before, which it cuts to its longest lease.
func (c *Cell) handleGone(now time.Time, w *worker) {
	longest := time.Duration(float64(c.Limits.MaxLeaseDuration)/minClockRate) + leaseExpiryMargin
	for _, r := range w.sortedRuns() {
		if now.Sub(r.sentAt) > longest {
			c.markLost(now, r, "worker is gone")
		}
	}
}

func (c *Cell) markAllLost(now time.Time, w *worker, reason string) {
	for _, r := range w.sortedRuns() {
		c.markLost(now, r, reason)
	}
}

// removable reports whether nothing can run on a worker any more: it has exited, or it
// is gone and hasn't answered for so long that the leases of its runs have expired.
func (c *Cell) removable(now time.Time, w *worker) bool {
	if w.registered || len(w.runs) > 0 || !c.active {
		return false
	}
	if w.exited() {
		return true
	}
	if !c.gone(w) || w.epochAccepted && !w.leaseExpired(now) {
		return false
	}
	unanswered := now.Sub(w.answeredAt)
	if !w.epochAccepted {
		unanswered = now.Sub(c.activeAt) - c.Limits.MaxConfirmationAge
	}
	return unanswered > c.Limits.LeaseDuration+removalMargin
}

// removalMargin is added to a lease before a worker is removed.
const removalMargin = 2 * time.Second
