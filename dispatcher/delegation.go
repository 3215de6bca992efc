package dispatcher

import (
	"slices"
	"time"

	"zinniashore.example/recorder"
)

// stuckLimit is how long a lasting task waits for room in its cell before
// another cell is asked.
const stuckLimit = 600 * time.Millisecond

// refusedPause is how long a task that found room in no cell isn't offered again.
const refusedPause = 1500 * time.Millisecond

// Refused notes that no other cell has room for a task, and so for none of its
// step.
func (c *Cell) Refused(now time.Time, id TaskID) {
	if t := c.task(now, id); t != nil {
		for _, like := range t.step.tasks {
			like.refusedAt = now
		}
	}
}

// has reports whether the cell runs a task of the job.
func (j *Job) has(id TaskID) bool { return j.Part == nil || slices.Contains(j.Part, id) }

// extendPart adds tasks to a part of a job that is known already.
func (c *Cell) extendPart(now time.Time, j *jobState, part []TaskID) {
	if j.job.Part == nil || j.state.Final() {
		return
	}
	for _, id := range part {
		if j.job.has(id) {
			continue
		}
		j.job.Part = append(j.job.Part, id)
		if t := c.task(now, id); t != nil {
			t.elsewhere = false
			c.enqueue(now, t)
		}
	}
}

// partCells returns the cells that run parts of the job.
func (j *jobState) partCells() []string {
	var cells []string
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.cell != "" && !slices.Contains(cells, t.cell) {
					cells = append(cells, t.cell)
				}
			}
		}
	}
	return cells
}

// Stuck returns the lasting task that has waited longest for an offer to another
// cell, of those that have long waited for room in this one.
func (c *Cell) Stuck(now time.Time) (TaskID, Job, bool) {
	if c.part != nil || !c.Confirmed(now) {
		return TaskID{}, Job{}, false
	}
	var longest *task
	for _, t := range c.ready {
		if (longest == nil || t.refusedAt.Before(longest.refusedAt)) && c.stuck(now, t) {
			longest = t
		}
	}
	if longest == nil {
		return TaskID{}, Job{}, false
	}
	return longest.id, longest.job().job, true
}

// stuck reports whether a task that may run elsewhere finds no room here.
func (c *Cell) stuck(now time.Time, t *task) bool {
	switch {
	case !t.movable() || t.elsewhere || len(t.runs) > 0 || t.job().state.Final():
		return false
	case t.notBefore.After(now) || now.Sub(t.refusedAt) < refusedPause || now.Sub(t.readyAt) < stuckLimit:
		return false
	}
	return !c.held(now, t.job()) && c.choose(now, t) == nil
}

// Leaving returns a lasting task that has to run in another cell: one on a
// draining worker for which its own cell has no room, or one that makes room for a
// part of another cell's job, which can't go on from here.
func (c *Cell) Leaving(now time.Time) (TaskID, Job, bool) {
	if !c.Confirmed(now) {
		return TaskID{}, Job{}, false
	}
	for _, id := range c.Workers() {
		w := c.workers[id]
		if w.registration.Phase != PhaseDraining {
			continue
		}
		for _, r := range w.sortedRuns() {
			if c.mayLeave(now, r) && c.choose(now, r.task) == nil {
				return r.task.id, r.task.job().job, true
			}
		}
	}
	for _, t := range c.ready {
		if !c.strandedPart(now, t) {
			continue
		}
		if r := c.makesRoom(now, t); r != nil {
			return r.task.id, r.task.job().job, true
		}
	}
	return TaskID{}, Job{}, false
}

// mayLeave reports whether a run could go on in another cell that hasn't just
// refused it.
func (c *Cell) mayLeave(now time.Time, r *run) bool {
	return r.phase == phaseConfirmed && r.task.movable() && now.Sub(r.task.refusedAt) >= refusedPause
}

// strandedPart reports whether a task that another cell handed over finds no room.
func (c *Cell) strandedPart(now time.Time, t *task) bool {
	return t.job().job.Part != nil && t.step.step.Lasting && !t.elsewhere && len(t.runs) == 0 && !t.job().state.Final() &&
		!t.notBefore.After(now) && now.Sub(t.readyAt) >= stuckLimit && !c.held(now, t.job()) &&
		c.choose(now, t) == nil && !c.roomComes(t)
}

// roomComes reports whether a task fits into the room of runs that are being
// stopped.
func (c *Cell) roomComes(t *task) bool {
	for _, w := range c.workers {
		room, coming := w.free(), false
		for _, r := range w.runs {
			if step := r.task.step.step; r.phase == phaseStopping && step.Lasting {
				room, coming = room.Plus(step.Size), true
			}
		}
		if coming && w.suits(t) && room.Holds(t.step.step.Size) {
			return true
		}
	}
	return false
}

// makesRoom returns the smallest run that may leave and whose room a task fits
// into, or nil.
func (c *Cell) makesRoom(now time.Time, t *task) *run {
	var best *run
	for _, id := range c.Workers() {
		w := c.workers[id]
		if !c.sound(now, w) || !w.suits(t) {
			continue
		}
		for _, r := range w.sortedRuns() {
			step := r.task.step.step
			if c.mayLeave(now, r) && step.MaxUnavailable == 0 && w.free().Plus(step.Size).Holds(t.step.step.Size) &&
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
	return t.step.step.Lasting && !t.step.step.Gang && job.Part == nil && !job.Timed
}

// StopToMove stops the runs of a task, so that it can be handed over.
func (c *Cell) StopToMove(now time.Time, id TaskID) {
	if t := c.task(now, id); t != nil && len(t.runs) > 0 {
		t.movedFrom, t.movedAt = t.runs[0].worker.registration.ID, now
		c.stopRuns(t)
	}
}

// HandOver marks a task as run by another cell, if it still needs a run and no
// other is being handed over. The next batch tells the other cell.
func (c *Cell) HandOver(id TaskID, cell string) {
	j := c.jobs[id.Job]
	if j == nil || j.state.Final() || c.part != nil {
		return
	}
	t := j.occurrences[id.Occurrence].steps[id.Step].tasks[id.Index]
	if t.elsewhere || len(t.runs) > 0 {
		return
	}
	t.elsewhere, t.cell = true, cell
	c.record(recorder.Event{Kind: KindHandOver, Task: id.String(), Key: id.Job, Detail: "to " + cell})
	part := j.job
	part.Part = nil
	for _, s := range j.occurrences[id.Occurrence].steps {
		for _, other := range s.tasks {
			if other.cell == cell {
				part.Part = append(part.Part, other.id)
			}
		}
	}
	c.part = &Part{Cell: cell, Job: part}
	c.dirty[id.Job] = true
}
