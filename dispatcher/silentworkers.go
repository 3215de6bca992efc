package dispatcher

import "time"

// LeasesOfSilentWorkers returns the workers that may have stopped answering, each with how long leases on runs
// there still last if the holder stops acting now: 0 if nothing runs there. A worker of which that isn't known is
// left out. It is nil unless the holder is active, and no other one is known to have begun a term.
func (c *Cell) LeasesOfSilentWorkers(now time.Time) map[string]time.Duration {
	if !c.active || c.superseded {
		return nil
	}
	left := map[string]time.Duration{}
	for id, w := range c.workers {
		if end, known := c.leasesEnd(now, w); known && c.mayBeSilent(now, w) {
			left[id] = max(0, end.Sub(now))
		}
	}
	return left
}

// mayBeSilent reports whether the worker may have stopped answering: its last poll went unanswered, or is overdue.
func (c *Cell) mayBeSilent(now time.Time, w *worker) bool {
	return !w.answeredAt.After(w.unansweredAt) || now.Sub(w.answeredAt) > unresponsiveTimeout+c.Limits.PollWait
}

// leasesEnd returns when the leases that any holder so far has granted on runs of the worker have certainly
// expired. It reports false if that isn't known.
func (c *Cell) leasesEnd(now time.Time, w *worker) (time.Time, bool) {
	idle := len(w.runs) == 0 && len(w.orphanedRuns) == 0
	switch {
	case !w.epochAccepted && (!w.restored || !idle):
		return time.Time{}, false // it has restarted, or wasn't used
	case !w.epochAccepted:
		return c.earlierLeaseEnd(w), true
	case idle && !w.mayHaveEarlierLeases():
		return now, true
	}
	end := w.leaseExpiry(now)
	if w.mayHaveEarlierLeases() {
		end = latest(end, c.earlierLeaseEnd(w))
	}
	for _, r := range w.runs {
		end = latest(end, r.lastsUntil)
	}
	return end, true
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
