package dispatcher

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"
)

const (
	// unknownJobTimeout is how long the job of a listed end may be on its way to this
	// cell before it is looked up in the store.
	unknownJobTimeout = 5 * time.Second
	// absentJobTTL is how long the store's answer that a job doesn't exist is used.
	absentJobTTL = time.Minute
)

// awaitsJob reports whether an end belongs to a job that isn't known yet. Such an end
// must not be acknowledged before the job has arrived, or the store has answered that
// the cell has no such job.
func (c *Cell) awaitsJob(now time.Time, id string) bool {
	if _, known := c.jobs[id]; known {
		return false
	}
	if _, absent := c.absentJobs[id]; absent {
		return false
	}
	if _, noted := c.unknownJobs[id]; !noted {
		c.unknownJobs[id] = now
	}
	return true
}

// applyListed applies what workers have listed of a job that wasn't known then, so that no
// task starts that is active or done. A worker will list it again, but only later.
func (c *Cell) applyListed(now time.Time, id string) {
	for _, w := range c.workers {
		for number, row := range w.awaitedEnds {
			if row.Task.Job == id {
				delete(w.awaitedEnds, number)
				w.handledAhead[number] = true
				c.handleEnd(now, w, row)
			}
		}
		for key := range w.orphanedRuns {
			if key.task.Job == id && c.adopt(now, w, RunningRow{Task: key.task, Run: key.run}) != nil {
				delete(w.orphanedRuns, key)
			}
		}
	}
}

// UnknownJobs returns the ids of the jobs to look up in the store.
func (c *Cell) UnknownJobs(now time.Time) []string {
	for id, at := range c.absentJobs {
		if now.Sub(at) > absentJobTTL {
			delete(c.absentJobs, id)
		}
	}
	for id, at := range c.departed {
		if now.Sub(at) > absentJobTTL {
			delete(c.departed, id)
		}
	}
	var ids []string
	for id, since := range c.unknownJobs {
		if now.Sub(since) >= unknownJobTimeout {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// SetAbsent records that the store has no job with an id in this cell.
func (c *Cell) SetAbsent(now time.Time, id string) {
	delete(c.unknownJobs, id)
	c.absentJobs[id] = now
}

// AddFound adds a job that the store has in this cell.
func (c *Cell) AddFound(now time.Time, job Job, progress *Progress) {
	delete(c.departed, job.ID)
	if j, known := c.jobs[job.ID]; known {
		delete(c.unknownJobs, job.ID)
		c.extendPart(now, j, &job, SourceLookup)
	}
	c.addJob(now, job, progress, true, c.readSource())
	c.jobs[job.ID].acceptedAfter = time.Time{}
}

// readSource returns the source of a job that was read from the store other than by the watch.
func (c *Cell) readSource() JobSource {
	if c.jobsReadAt.IsZero() {
		return SourceLoaded
	}
	return SourceLookup
}

// JobsRead records that all jobs are known that the store had in the cell at a time.
func (c *Cell) JobsRead(until time.Time) {
	if until.After(c.jobsReadAt) {
		c.jobsReadAt = until
	}
}

// JobsRead records that all jobs have been passed that the store had in the cell at a time, other
// than those that can't be decoded.
func (r *Runner) JobsRead(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Cell.JobsRead(until)
}

// findUnknownJobs looks up the jobs that aren't looked up already; the caller holds mu.
func (r *Runner) findUnknownJobs(ctx context.Context) {
	for _, id := range r.Cell.UnknownJobs(r.Clock.Now()) {
		if _, asked := r.lookups[id]; !asked {
			r.lookups[id] = true
			r.runAsync(func() { r.findJob(ctx, id) })
		}
	}
}

// outdateLookup notes that a change of a job has arrived, which the answer to a lookup that is under way
// may lack; the caller holds mu.
func (r *Runner) outdateLookup(id string) {
	if r.lookups[id] {
		r.lookups[id] = false
	}
}

// findJob looks up a job in the store and adds it to the cell. If a change of the job has arrived
// meanwhile, it is looked up again.
func (r *Runner) findJob(ctx context.Context, id string) {
	stored, found, err := r.Archive.Find(ctx, id)
	if err != nil {
		klog.InfoS("Failed to look up the job of a listed end; retrying", "job", id, "cell", r.Cell.Name, "err", err)
		r.sleep(ctx, storeRetryDelay)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.lookups[id]
	delete(r.lookups, id)
	now := r.Clock.Now()
	switch {
	case err != nil:
	case !current:
		signal(r.wake)
	case found:
		r.addStored(now, stored)
	default:
		r.Cell.SetAbsent(now, id)
	}
}

// addStored adds a stored job; the caller holds mu.
func (r *Runner) addStored(now time.Time, stored StoredJob) {
	if stored.Unaccepted {
		r.Cell.AddUnaccepted(now, stored.Job.ID)
		return
	}
	r.Cell.AddFound(now, stored.Job, stored.Progress)
	if stored.Cancelled {
		r.Cell.cancel(now, stored.Job.ID, r.Cell.readSource())
	}
	for _, returned := range stored.Returned {
		r.Cell.AddReturned(now, stored.Job.ID, returned)
	}
	if stored.FailedIn != "" {
		r.Cell.FailPart(now, stored.Job.ID, stored.FailedIn, stored.FailureCause)
	}
}
