package dispatcher

import (
	"maps"
	"time"
)

// LeasesOfSilentWorkers returns the workers that may have stopped answering, each with how long leases on runs
// there still last if the holder stops acting now: 0 if nothing runs there. A worker of which that isn't known is
// left out. It is nil if another holder is known to have begun a term.
func (c *Cell) LeasesOfSilentWorkers(now time.Time) map[string]time.Duration {
	if c.superseded {
		return nil
	}
	if !c.active {
		return c.leasesUnderEarlierHolders(now)
	}
	left := map[string]time.Duration{}
	for id, w := range c.workers {
		if c.mayBeSilent(now, w) {
			left[id] = timeLeft(now, c.leasesEnd(now, w))
		}
	}
	return left
}

// ProcessID identifies a process of a worker, of which there is one at a time that answers.
type ProcessID struct {
	// Worker is the id of the worker, Boot when the process started, in Unix milliseconds.
	Worker string
	Boot   int64
}

// LeasesOfEarlierProcesses returns the processes of workers before which there was one that may still be shutting down,
// each with how long leases on runs of the earlier one last. It is nil if another holder is known to have begun a term.
// What was told of a process is passed on unless another one of the worker has answered since, or the worker is forgotten.
func (c *Cell) LeasesOfEarlierProcesses(now time.Time) map[ProcessID]time.Duration {
	if c.superseded {
		return nil
	}
	left := map[ProcessID]time.Duration{}
	for process, end := range c.EarlierProcessLeaseEnds {
		if w := c.workers[process.Worker]; w == nil && !c.active || w != nil && (w.boot == 0 || w.boot == process.Boot) {
			left[process] = timeLeft(now, end)
		}
	}
	for id, w := range c.workers {
		if c.active && w.epochAccepted && w.replaced {
			left[ProcessID{Worker: id, Boot: w.boot}] = timeLeft(now, c.earlierProcessLeaseEnd(w))
		}
	}
	return left
}

// leasesUnderEarlierHolders returns LeasesOfSilentWorkers of a holder that has granted no lease, as it was never active.
func (c *Cell) leasesUnderEarlierHolders(now time.Time) map[string]time.Duration {
	ends := maps.Clone(c.EarlierLeaseEnds)
	if ended := c.earlierEndedAt; !ended.IsZero() {
		if ends == nil {
			ends = map[string]time.Time{}
		}
		for id := range c.workers {
			if _, told := ends[id]; !told {
				ends[id] = ended.Add(c.longestLease())
			}
		}
	}
	left := make(map[string]time.Duration, len(ends))
	for id, end := range ends {
		left[id] = timeLeft(now, end)
	}
	return left
}

func timeLeft(now, end time.Time) time.Duration { return max(0, end.Sub(now)) }

// mayBeSilent reports whether the worker may have stopped answering: its last poll went unanswered, or is overdue.
func (c *Cell) mayBeSilent(now time.Time, w *worker) bool {
	return !w.answeredAt.After(w.unansweredAt) || now.Sub(w.answeredAt) > unresponsiveTimeout+c.Limits.PollWait
}

// leasesEnd returns when the leases that any holder so far has granted on runs of the worker have certainly
// expired.
func (c *Cell) leasesEnd(now time.Time, w *worker) time.Time {
	end := now
	if w.epochAccepted && (len(w.runs) > 0 || len(w.orphanedRuns) > 0) {
		end = w.leaseExpiry(now)
	}
	if w.mayHaveEarlierLeases() {
		end = latest(end, c.earlierLeaseEnd(w))
	}
	for _, r := range w.runs {
		end = latest(end, r.lastsUntil)
		if !w.epochAccepted {
			// The worker has restarted, and may have accepted the start since.
			end = latest(end, c.unheardRunEnd(r))
		}
	}
	return end
}

// earlierProcessLeaseEnd returns when the leases on the runs of a process of the worker have expired that may still be
// shutting down, although another one has answered.
func (c *Cell) earlierProcessLeaseEnd(w *worker) time.Time {
	var end time.Time
	if w.drainedBoot != 0 {
		end = c.earlierLeaseEnd(w)
	}
	for _, r := range w.runs {
		end = latest(end, r.lastsUntil)
	}
	return end
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
