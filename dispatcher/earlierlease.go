package dispatcher

import "time"

// mayHaveRun reports whether an earlier holder may have started a task on a worker that
// hasn't told this holder all of its runs yet, so that a run of the task may be active there or
// be done.
func (c *Cell) mayHaveRun(now time.Time, t *task) bool {
	if !c.mayBeStarted(t.job()) {
		return false
	}
	waits, longRunningWaits := c.unansweredWorkers(now)
	if !t.step.step.LongRunning {
		return waits
	}
	return longRunningWaits || t.anyMember(func(member *task) bool { return c.mayHaveReportedRun(now, member) })
}

// unansweredWorkers reports whether a task of a restored job, and whether a long-running
// one of which nothing is reported, has to wait for the answer of a worker that an earlier holder used, for the rest of its
// ends, or for the leases of a process of it that no longer answers. A worker that has answered lists
// more ends while its lease lasts, also if it isn't registered.
func (c *Cell) unansweredWorkers(now time.Time) (waits, longRunningWaits bool) {
	if c.pass != nil {
		return c.pass.waits, c.pass.longRunningWaits
	}
	for _, w := range c.workers {
		leased := c.mayHoldEarlierLease(now, w)
		_, told := c.EarlierRuns.on(w.registration.ID)
		longRunningWaits = longRunningWaits || leased && (!told || w.epochAccepted)
		waits = waits || leased || c.mayListEnds(now, w)
	}
	return waits, longRunningWaits
}

// mayHoldEarlierLease reports whether a lease that an earlier holder granted to a worker may last, with a run that
// the worker hasn't told this holder.
func (c *Cell) mayHoldEarlierLease(now time.Time, w *worker) bool {
	return w.mayHaveEarlierLeases() && !now.After(c.earlierLeaseEnd(w))
}

// mayHaveEarlierLeases reports whether leases that earlier holders granted to a worker may last until
// earlierLeaseEnd: it hasn't told this holder all of its runs.
func (w *worker) mayHaveEarlierLeases() bool {
	return w.restored && (!w.epochAccepted || w.succeeded() || w.listedIncompletely)
}

// mayListEnds reports whether a worker that an earlier holder used may list more of its ends.
func (c *Cell) mayListEnds(now time.Time, w *worker) bool {
	return w.restored && !w.endsListed && (!c.lost(w) || w.epochAccepted && !w.leaseExpired(now))
}

// mayBeStarted reports whether an earlier holder may have started a task of a job: it may have acted since
// the job was accepted. The times of day of two VMs may differ, so that of the acceptance doesn't count.
func (c *Cell) mayBeStarted(j *jobState) bool {
	return j.restored && !j.acceptedAfter.After(c.earlierOrdersEnd())
}

// earlierOrdersEnd returns when earlier holders have certainly stopped sending orders.
func (c *Cell) earlierOrdersEnd() time.Time {
	end := c.activeAt.Add(c.Limits.MaxConfirmationAge)
	if !c.earlierEndedAt.IsZero() && c.earlierEndedAt.Before(end) {
		return c.earlierEndedAt
	}
	return end
}

// earlierLeasesEnd returns when all leases that earlier holders granted have certainly
// expired. Nothing confirms an earlier holder once this one is active.
func (c *Cell) earlierLeasesEnd() time.Time {
	granted := c.activeAt.Add(max(c.Limits.FullLeaseAge, c.EarlierFullLeaseAge))
	if ended := c.earlierEndedAt; !ended.IsZero() && ended.Before(granted) {
		granted = ended
	}
	end := granted.Add(c.longestLease())
	if expired := c.earlierExpiredAt; !expired.IsZero() && expired.Before(end) {
		return expired
	}
	return end
}

// longestLease returns how long a lease lasts at most, by the holder's clock.
func (c *Cell) longestLease() time.Duration {
	return time.Duration(float64(c.Limits.LeaseDuration)/minClockRate) + leaseExpiryMargin
}

// earlierLeaseEnd returns when all leases that earlier holders granted on runs of a worker, which it hasn't told this
// holder, have certainly expired. Those of a process before the one that has told this holder its runs end on their own.
func (c *Cell) earlierLeaseEnd(w *worker) time.Time {
	id, end := w.registration.ID, c.earlierLeasesEnd()
	if told, found := c.EarlierLeaseEnds[id]; found && told.Before(end) {
		end = told
	}
	earlier, found := c.EarlierProcessLeaseEnds[ProcessID{Worker: id, Boot: w.boot}]
	if found && w.succeeded() && !w.listedIncompletely && earlier.Before(end) {
		end = earlier
	}
	return end
}
