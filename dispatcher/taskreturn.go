package dispatcher

import (
	"slices"
	"time"

	"zinniashore.example/recorder"
)

// maxPlaceWait is how long a task of a part waits for short tasks to end, which may take longer than estimated, before it
// may go to a cell with a free place. The move takes up to 3 s, and a long-running task may have no run for 10 s.
const maxPlaceWait = 5 * time.Second

// NextTaskToReturn returns a task of a part, with its job, that has no place in this cell, and gets none as short tasks end,
// or not in time: it may go back to the home cell without the rest of the part. Of several it is the one whose last offer is
// longest ago.
func (c *Cell) NextTaskToReturn(now time.Time) (TaskID, Job, bool) {
	if c.pendingReturn != nil || !c.mayAct(now) {
		return TaskID{}, Job{}, false
	}
	return c.longestUnoffered(func(t *task) bool { return c.returnable(now, t) })
}

// returnable reports whether a task of a part may go back to the home cell alone.
func (c *Cell) returnable(now time.Time, t *task) bool {
	if !c.waitsInPart(now, t) || now.Sub(t.readyAt) < relocationDelay || t.hasUnconfirmedCrash() || t.awaitsCrashReview() {
		return false
	}
	return c.unplaceablePart(now, t) || c.outwaited(now, t)
}

// outwaited reports whether a task of a part has no place here and has waited for one for maxPlaceWait. How long one has
// waited that an earlier holder got isn't known.
func (c *Cell) outwaited(now time.Time, t *task) bool {
	known := t.readyAt.After(t.job().loadedAt)
	return t.step.step.LongRunning && (!known || now.Sub(t.readyAt) >= maxPlaceWait) && !t.notBefore.After(now) &&
		c.selectWorker(now, t) == nil && !c.pendingStopsFreeCapacity(now, t)
}

// ReturnTasks begins to return a task of a part and the other returnable tasks of its step to the home cell, places tasks
// at most. The next batch stores that. It reports whether it has begun.
func (c *Cell) ReturnTasks(now time.Time, id TaskID, places int) bool {
	first := c.task(now, id)
	if first == nil || c.pendingReturn != nil || !c.returnable(now, first) {
		return false
	}
	j := first.job()
	back := []*task{first}
	for _, t := range first.step.tasks {
		if t != first && len(back) < places && t.queued && c.returnable(now, t) {
			back = append(back, t)
		}
	}
	r := &PartReturn{Job: id.Job, Progress: j.progress()}
	for _, t := range back {
		t.remote = true
		r.Part = append(r.Part, t.id)
		c.record(recorder.Event{Kind: KindRelocated, Task: t.id.String(), Key: id.Job, Detail: "task returned: no place here"})
	}
	for _, task := range j.job.Part {
		if !slices.Contains(r.Part, task) {
			r.Rest = append(r.Rest, task)
		}
	}
	if len(r.Rest) == 0 {
		j.relocating = true
	}
	c.pendingReturn = r
	return true
}

// dropFinalReturn drops a return of tasks whose job has become final meanwhile.
func (c *Cell) dropFinalReturn() {
	if r := c.pendingReturn; r != nil && len(r.Rest) > 0 {
		if j := c.jobs[r.Job]; j == nil || j.state.Final() {
			c.pendingReturn = nil
		}
	}
}
