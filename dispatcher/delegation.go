package dispatcher

import (
	"errors"
	"slices"
	"time"

	"zinniashore.example/recorder"
)

// delegationDelay is how long a long-running task waits for capacity in its cell
// before it is offered to other cells.
const delegationDelay = 600 * time.Millisecond

// delegationRetryDelay is how long a task for which no cell had capacity isn't offered
// again.
const delegationRetryDelay = 1500 * time.Millisecond

// ErrPartRefused is the error of a batch whose part isn't stored: the job has been cancelled through the store.
var ErrPartRefused = errors.New("the job to delegate a part of has been cancelled")

// DelegationRefused records that no other cell has capacity for a task. This applies
// to all tasks of its step.
func (c *Cell) DelegationRefused(now time.Time, id TaskID) {
	if t := c.task(now, id); t != nil {
		for _, sibling := range t.step.tasks {
			sibling.refusedAt = now
		}
	}
}

// includes reports whether the cell runs a task of the job.
func (j *Job) includes(id TaskID) bool { return j.Part == nil || slices.Contains(j.Part, id) }

// RunsPart reports whether the cell runs a part of a job that belongs to another cell.
func (c *Cell) RunsPart(id string) bool {
	j, known := c.jobs[id]
	return known && j.job.Part != nil
}

// extendPart adds tasks to the delegated part of a known job. stored is true if the part was just read from the store.
// Otherwise a task that was given back is looked up there first: the record may be an old one.
func (c *Cell) extendPart(now time.Time, j *jobState, job *Job, stored bool) {
	if j.job.Part == nil || j.state.Final() {
		return
	}
	for _, id := range job.Part {
		if j.job.includes(id) {
			continue
		}
		if at, back := j.returnedTasks[id]; back && !stored && now.Sub(at) < absentJobTTL {
			c.unknownJobs[id.Job] = now.Add(-unknownJobTimeout)
			continue
		}
		delete(j.returnedTasks, id)
		j.job.Part = append(j.job.Part, id)
		if t := c.task(now, id); t != nil {
			t.remote = false
			c.addCrashes(now, t, job.PartCrashes)
			c.enqueue(now, t)
		}
	}
}

// addPartCrashes adds the crashes that the cell which has delegated the part knew of. Those
// that were cleared since come back, and are cleared once the task is seen to run.
func (c *Cell) addPartCrashes(now time.Time, j *jobState) {
	for _, id := range j.job.Part {
		if t := c.task(now, id); t != nil {
			c.addCrashes(now, t, j.job.PartCrashes)
		}
	}
}

// addCrashes adds stored crashes of workers under a task.
func (c *Cell) addCrashes(now time.Time, t *task, stored []TaskCrashes) {
	for _, s := range stored {
		for _, crash := range s.Crashes {
			if s.Task == t.id && !t.blamedFor(crash.Run) {
				crash.knownAt, crash.stored, crash.Elsewhere = now, true, true
				c.blamed[t] = true
				t.crashes = append([]Crash{crash}, t.crashes...)
			}
		}
	}
}

// partCells returns the cells that run delegated parts of the job.
func (j *jobState) partCells() []string {
	var cells []string
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.delegatedTo != "" && !slices.Contains(cells, t.delegatedTo) {
					cells = append(cells, t.delegatedTo)
				}
			}
		}
	}
	return cells
}

// NextToDelegate returns the long-running task to offer to other cells next, with its
// job. Of the tasks that have waited in this cell for delegationDelay, it is the one
// whose last offer is longest ago.
func (c *Cell) NextToDelegate(now time.Time) (TaskID, Job, bool) {
	if c.pendingPart != nil || !c.mayAct(now) {
		return TaskID{}, Job{}, false
	}
	return c.longestUnoffered(func(t *task) bool { return c.unplaceable(now, t) })
}

// longestUnoffered returns the ready task that meets a condition, with its job, whose last offer to other cells is longest
// ago.
func (c *Cell) longestUnoffered(met func(*task) bool) (TaskID, Job, bool) {
	var longest *task
	for _, t := range c.ready {
		if (longest == nil || t.refusedAt.Before(longest.refusedAt)) && met(t) {
			longest = t
		}
	}
	if longest == nil {
		return TaskID{}, Job{}, false
	}
	return longest.id, longest.job().job, true
}

// unplaceable reports whether a task that another cell may run has no place in this
// cell.
func (c *Cell) unplaceable(now time.Time, t *task) bool {
	switch {
	case !t.movable() || t.remote || len(t.runs) > 0 || t.job().state.Final() || t.job().relocating || len(t.job().unstoredReturns) > 0:
		return false
	case t.notBefore.After(now) || now.Sub(t.refusedAt) < delegationRetryDelay || now.Sub(t.readyAt) < delegationDelay:
		return false
	case t.hasUnconfirmedCrash():
		return false
	}
	return !c.mayHaveRun(now, t) && !c.hasPlace(now, t)
}

// hasPlace reports whether a task may start in this cell now, or, if it is a suspect, will
// have a worker on which it may.
func (c *Cell) hasPlace(now time.Time, t *task) bool {
	if !t.suspect() {
		return c.selectWorker(now, t) != nil
	}
	for _, w := range c.workers {
		if c.healthy(now, w) && w.eligible(t) && w.fits(t.step.step, t.requiredIdleShare(now)) {
			return true
		}
	}
	return false
}

// NextToMove returns a long-running task that has to move to another cell, with its
// job: a task on a draining worker that has no place in this cell, or a task whose
// capacity is needed for a part that another cell delegated, since a delegated part
// can't be delegated again.
func (c *Cell) NextToMove(now time.Time) (TaskID, Job, bool) {
	if !c.mayAct(now) || !c.storeAnswers(now) {
		return TaskID{}, Job{}, false
	}
	for _, id := range c.Workers() {
		w := c.workers[id]
		if w.registration.Phase != PhaseDraining {
			continue
		}
		for _, r := range w.sortedRuns() {
			if c.mayMove(now, r) && c.selectWorker(now, r.task) == nil {
				return r.task.id, r.task.job().job, true
			}
		}
	}
	for _, t := range c.ready {
		if !c.unplaceablePart(now, t) {
			continue
		}
		if r := c.runToMove(now, t); r != nil {
			return r.task.id, r.task.job().job, true
		}
	}
	return TaskID{}, Job{}, false
}

// maxStoreSilence is how long after its last answer to the watch of the registry the store counts as
// reachable. It covers the wait and the batch delay of that watch.
const maxStoreSilence = 2 * time.Second

// storeAnswers reports whether the store answers this holder, as far as the watch of the registry tells. While it
// doesn't, a task that is stopped to run in another cell runs nowhere.
func (c *Cell) storeAnswers(now time.Time) bool {
	return c.registryReadAt.IsZero() || now.Sub(c.registryReadAt) <= maxStoreSilence
}

// mayMove reports whether a run could continue in another cell. A task that other
// cells have just refused may not move.
func (c *Cell) mayMove(now time.Time, r *run) bool {
	return r.phase == phaseConfirmed && r.task.movable() && len(r.task.crashes) == 0 && now.Sub(r.task.refusedAt) >= delegationRetryDelay
}

// unplaceablePart reports whether a task that another cell delegated has no place in
// this cell.
func (c *Cell) unplaceablePart(now time.Time, t *task) bool {
	return t.job().job.Part != nil && t.step.step.LongRunning && !t.remote && len(t.runs) == 0 && !t.job().state.Final() &&
		!t.notBefore.After(now) && now.Sub(t.readyAt) >= delegationDelay && !c.mayHaveRun(now, t) &&
		c.selectWorker(now, t) == nil && !c.pendingStopsFreeCapacity(now, t) && !c.willHavePlaceAsPart(now, t)
}

// pendingStopsFreeCapacity reports whether a task will fit on a worker that takes starts once its
// stopping runs have ended.
func (c *Cell) pendingStopsFreeCapacity(now time.Time, t *task) bool {
	for _, w := range c.workers {
		if !c.healthy(now, w) {
			continue
		}
		capacity, stopping := w.freeCapacity(), false
		for _, r := range w.runs {
			if step := r.task.step.step; r.phase == phaseStopping && step.LongRunning {
				capacity, stopping = capacity.Plus(step.Size), true
			}
		}
		if stopping && w.eligible(t) && capacity.Holds(t.step.step.Size) {
			return true
		}
	}
	return false
}

// runToMove returns the smallest run that may move and whose capacity suffices for a
// task, or nil.
func (c *Cell) runToMove(now time.Time, t *task) *run {
	var best *run
	for _, id := range c.Workers() {
		w := c.workers[id]
		if !c.healthy(now, w) || !w.eligible(t) {
			continue
		}
		for _, r := range w.sortedRuns() {
			step := r.task.step.step
			if c.mayMove(now, r) && step.MaxUnavailable == 0 && w.freeCapacity().Plus(step.Size).Holds(t.step.step.Size) &&
				(best == nil || step.Size.MilliProcessors < best.task.step.step.Size.MilliProcessors) {
				best = r
			}
		}
	}
	return best
}

// movable reports whether another cell could run the task.
func (t *task) movable() bool {
	job := &t.job().job
	return t.step.step.LongRunning && !t.step.step.Gang && job.Part == nil && !job.Timed && !t.awaitsCrashReview()
}

// StopToMove stops the runs of a task so that it can be delegated.
func (c *Cell) StopToMove(now time.Time, id TaskID) {
	if t := c.task(now, id); t != nil && len(t.runs) > 0 {
		t.movedFrom, t.movedAt = t.runs[0].worker.registration.ID, now
		c.stopRuns(t)
	}
}

// Delegate marks a task as run by another cell, if the task still needs a run and no
// other delegation is pending, and with it the tasks of its step that have no place in this
// cell either, up to places tasks. The next batch stores them for the other cell. Delegate
// reports whether it has delegated anything.
func (c *Cell) Delegate(now time.Time, id TaskID, cell string, places int) bool {
	j := c.jobs[id.Job]
	if j == nil || j.state.Final() || c.pendingPart != nil || j.relocating || len(j.unstoredReturns) > 0 {
		return false
	}
	first := j.occurrences[id.Occurrence].steps[id.Step].tasks[id.Index]
	if first.remote || len(first.runs) > 0 || !first.movable() || first.hasUnconfirmedCrash() {
		return false
	}
	c.markDelegated(now, first, cell)
	for _, t := range first.step.tasks {
		if places > 1 && t.queued && c.unplaceable(now, t) {
			c.markDelegated(now, t, cell)
			places--
		}
	}
	part := j.job
	part.Progress = nil
	part.Part, part.PartCrashes = j.partOf(cell)
	c.pendingPart, c.pendingPartSince = &Part{Cell: cell, Job: part}, now
	c.dirty[id.Job] = true
	return true
}

// PartRefused cancels the job of a batch's part, which the store has as cancelled. The other cell learns of it
// as well: an earlier attempt to store the part may have succeeded without an answer.
func (c *Cell) PartRefused(now time.Time, b *Batch) {
	if c.pendingPart == b.Part {
		c.pendingPart = nil
	}
	c.Cancel(now, b.Part.Job.ID)
}

func (c *Cell) markDelegated(now time.Time, t *task, cell string) {
	t.remote, t.delegatedTo, t.delegatedAt = true, cell, now
	c.record(recorder.Event{Kind: KindDelegated, Task: t.id.String(), Key: t.id.Job, Detail: "to " + cell})
}

// partOf returns the tasks of the job that are delegated to a cell, and the crashes of workers under them. Tasks of
// repeated jobs aren't delegated.
func (j *jobState) partOf(cell string) (part []TaskID, crashes []TaskCrashes) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.delegatedTo != cell {
					continue
				}
				part = append(part, t.id)
				if len(t.crashes) > 0 {
					crashes = append(crashes, TaskCrashes{Task: t.id, Crashes: slices.Clone(t.crashes)})
				}
			}
		}
	}
	return part, crashes
}

// FailPart fails a job of which another cell has given up a delegated part, for a cause that logs tell. It
// reports whether the job is known.
func (c *Cell) FailPart(now time.Time, id, cell, cause string) bool {
	j, known := c.jobs[id]
	if known && !j.state.Final() {
		detail := "in " + cell
		if cause != "" {
			detail += ": " + cause
		}
		c.record(recorder.Event{Kind: KindPartFailed, Key: id, Detail: detail})
		c.fail(now, j, detail)
	}
	return known
}
