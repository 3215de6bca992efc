package dispatcher

import (
	"context"
	"time"
)

// Confirmed reports whether a majority of the workers has recently accepted the
// holder's orders.
func (r *Runner) Confirmed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Cell.Confirmed(r.Clock.Now())
}

// FreeCapacity returns the capacity that the cell has left for a step of a service.
func (r *Runner) FreeCapacity(service string, id StepID, step Step) FreeCapacity {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Cell.FreeCapacity(r.Clock.Now(), service, id, &step)
}

// LeasesOfEarlierProcesses is Cell.LeasesOfEarlierProcesses.
func (r *Runner) LeasesOfEarlierProcesses() map[ProcessID]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Cell.LeasesOfEarlierProcesses(r.Clock.Now())
}

// ReportedRuns is Cell.ReportedRuns.
func (r *Runner) ReportedRuns() map[string][]TaskID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Cell.ReportedRuns(r.Clock.Now())
}

// LeasesOfSilentWorkers returns the workers that may have stopped answering, each with how long leases on runs
// there still last if the holder stops acting now.
func (r *Runner) LeasesOfSilentWorkers() map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Cell.LeasesOfSilentWorkers(r.Clock.Now())
}

// Add adds a job that was accepted for the cell. restored is true if an earlier holder
// may have started tasks of the job. Add waits until the stored state of the cell has
// been restored, because that may contain progress of the job.
func (r *Runner) Add(job Job, restored bool) {
	select {
	case <-r.loaded:
	case <-r.ended:
		return
	}
	r.mu.Lock()
	r.Cell.AddJob(r.Clock.Now(), job, nil, restored)
	r.outdateLookup(job.ID)
	r.mu.Unlock()
	signal(r.wake)
}

// Cancel cancels a job for a client and waits until the cancellation is stored. It reports whether the cell
// knows the job. It doesn't know one of which it only runs a part: that job belongs to another cell.
func (r *Runner) Cancel(ctx context.Context, id string) (bool, error) {
	r.mu.Lock()
	if r.Cell.RunsPart(id) {
		r.mu.Unlock()
		return false, nil
	}
	known, stored := r.cancel(id)
	r.mu.Unlock()
	signal(r.wake)
	if !known || stored == nil {
		return known, nil
	}
	select {
	case <-ctx.Done():
		return true, ctx.Err()
	case <-stored:
		return true, nil
	}
}

// CancelStored cancels a job, or the part of one, whose cancellation is in the store. It reports whether the cell
// knows the job.
func (r *Runner) CancelStored(id string) bool {
	r.mu.Lock()
	known, _ := r.cancel(id)
	r.mu.Unlock()
	signal(r.wake)
	return known
}

// cancel cancels a job or the part of one; the caller holds mu. It returns what Cell.Cancel does.
func (r *Runner) cancel(id string) (known bool, stored <-chan struct{}) {
	r.outdateLookup(id)
	return r.Cell.Cancel(r.Clock.Now(), id)
}

// State returns the state of a job, and whether it is known and was accepted for this cell.
func (r *Runner) State(id string) (State, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Cell.State(id)
}

// Pending returns the number of jobs of a queue of which no task has started.
func (r *Runner) Pending(queue string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Cell.Pending(queue)
}
