package dispatcher

import (
	"fmt"
	"time"

	"zinniashore.example/recorder"
)

// expireLeases handles the runs of workers whose lease has certainly expired, and removes workers
// that can't run anything any more.
func (c *Cell) expireLeases(now time.Time) {
	for id, w := range c.workers {
		c.expireKeptRuns(now, w)
		switch {
		case !w.epochAccepted:
			c.handleUnheard(now, w)
		case w.epochAccepted && w.leaseExpired(now):
			c.handleExpiredLease(now, w)
		}
		if c.removable(now, w) {
			c.confirmCrashes(now, w)
			delete(c.workers, id)
			c.forgottenToken = max(c.forgottenToken, w.fence.Token())
			c.speeds.Forget(id)
			c.workerIDs = nil
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
// done therefore waits for that list, unless the worker is lost.
func (c *Cell) handleExpiredLease(now time.Time, w *worker) {
	lost := c.lost(w)
	c.reportExpiry(now, w, lost)
	c.blameCrashed(now, w)
	for _, r := range w.sortedRuns() {
		switch {
		case !r.lastsUntil.IsZero():
		case lost || r.task.step.step.LongRunning:
			if !lost && r.mayHaveCrashed() {
				w.expiredYoung = append(w.expiredYoung, r)
			}
			c.markLost(now, r, "lease lapsed")
		case !r.endAwaited:
			r.endAwaited = true
			c.record(recorder.Event{Kind: KindEndAwaited, VM: w.registration.ID, Task: r.task.id.String(), Attempt: int(r.number), Key: r.task.id.Job, Detail: "lease lapsed"})
		}
	}
}

// reportExpiry records that the lease on runs of a worker has expired that counted as active until now.
func (c *Cell) reportExpiry(now time.Time, w *worker, lost bool) {
	expired := 0
	for _, r := range w.runs {
		if r.lastsUntil.IsZero() && (lost || !r.endAwaited) {
			expired++
		}
	}
	if expired > 0 {
		c.record(recorder.Event{Kind: KindWorker, VM: w.registration.ID, Detail: fmt.Sprintf("lease lapsed on %d runs, lost: %t; %s", expired, lost, c.describe(now, w))})
	}
}

// handleUnheard handles the runs of a worker that hasn't answered since it restarted. The
// restarted worker may have accepted a start with a lease end on the clock of the boot before,
// which it cuts to its longest lease. A task that can be done waits besides until the worker
// is lost, as it may list the end of the run.
func (c *Cell) handleUnheard(now time.Time, w *worker) {
	lost := c.lost(w)
	for _, r := range w.sortedRuns() {
		if r.lastsUntil.IsZero() && (lost || r.task.step.step.LongRunning) && now.After(c.unheardRunEnd(r)) {
			c.markLost(now, r, "worker hasn't answered since it started anew")
		}
	}
}

// unheardRunEnd returns when a run has ended that a worker may have begun after a restart. Each order with a lease
// that was sent before may have extended it.
func (c *Cell) unheardRunEnd(r *run) time.Time {
	return latest(r.sentAt, r.worker.grantedAt).Add(c.lateOrderTime() + c.longestUnheardLease())
}

// longestUnheardLease returns how long a lease lasts at most that a worker has taken from an order for the boot before.
func (c *Cell) longestUnheardLease() time.Duration {
	return time.Duration(float64(c.Limits.MaxLeaseDuration)/minClockRate) + leaseExpiryMargin
}

const (
	// maxLateOrderTime is how long after it was sent an order that got no answer is expected to be executed at most.
	maxLateOrderTime = 3 * time.Second
	// maxUnheardWait is how long a long-running task may wait for a run on a silent worker. It leaves time for the
	// next start within the 10 s that the platform allows.
	maxUnheardWait = 9500 * time.Millisecond
)

// lateOrderTime returns the part of maxLateOrderTime that waits for leases reckon with: where workers accept long
// leases, the whole of it and the lease would exceed maxUnheardWait.
func (c *Cell) lateOrderTime() time.Duration {
	return min(max(maxUnheardWait-c.longestUnheardLease(), 0), maxLateOrderTime)
}

// removable reports whether nothing can run on a worker any more: it is lost, and the leases of its
// runs have expired. One that has only exited may register again for a while.
func (c *Cell) removable(now time.Time, w *worker) bool {
	if w.registered || len(w.runs) > 0 || !c.active || w.epochAccepted && !w.leaseExpired(now) {
		return false
	}
	if w.displaced() {
		return w.epochAccepted || now.After(c.earlierLeasesEnd())
	}
	if !c.exited(w) || c.registryReadAt.Before(c.resumedAt) {
		return false // it may have registered again while the holder was suspended
	}
	unanswered := now.Sub(w.answeredAt)
	if w.answeredAt.Before(c.resumedAt) {
		unanswered = now.Sub(c.resumedAt)
	}
	if !w.epochAccepted {
		unanswered = now.Sub(c.activeAt) - c.Limits.MaxConfirmationAge
	}
	return unanswered > c.Limits.LeaseDuration+removalMargin
}

// removalMargin is added to a lease before a worker is removed.
const removalMargin = 2 * time.Second

// formerLeaseEnd returns when a lease ends at the latest, on the clock of a worker, that it has taken, or may still take, from
// an order for the boot before. Such an order was sent before the worker's clock began.
func (c *Cell) formerLeaseEnd(w *worker) time.Duration {
	if !w.replaced && !w.restored {
		return 0
	}
	return c.lateOrderTime() + c.Limits.MaxLeaseDuration
}
