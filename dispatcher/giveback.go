package dispatcher

import (
	"slices"
	"time"

	"zinniashore.example/recorder"
)

// NextToGiveBack returns a task of a part, with its job, that has no place in this cell and gets none when others end by
// themselves: it may go back alone if another cell has one. Of several it is the one whose last offer is longest ago.
func (c *Cell) NextToGiveBack(now time.Time) (TaskID, Job, bool) {
	if c.pendingReturn != nil || !c.mayAct(now) {
		return TaskID{}, Job{}, false
	}
	return c.longestUnoffered(func(t *task) bool { return c.mayGiveBack(now, t) })
}

func (c *Cell) mayGiveBack(now time.Time, t *task) bool {
	return c.waitsInPart(now, t) && now.Sub(t.readyAt) >= roomPatience && c.unplaceablePart(now, t) && !t.hasUnconfirmedCrash() && !t.awaitsCrashReview()
}

// GiveBack begins to give a task of a part back, and with it the tasks of its step that wait as it does, up to places
// tasks, which the next batch stores. It reports whether it has begun.
func (c *Cell) GiveBack(now time.Time, id TaskID, places int) bool {
	first := c.task(now, id)
	if first == nil || c.pendingReturn != nil || !c.mayGiveBack(now, first) {
		return false
	}
	j := first.job()
	back := []*task{first}
	for _, t := range first.step.tasks {
		if t != first && len(back) < places && t.queued && c.mayGiveBack(now, t) {
			back = append(back, t)
		}
	}
	r := &PartReturn{Job: id.Job, Progress: j.progress()}
	for _, t := range back {
		t.remote = true
		r.Part = append(r.Part, t.id)
		c.record(recorder.Event{Kind: KindRelocated, Task: t.id.String(), Key: id.Job, Detail: "given back: no place here"})
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
