package dispatcher

import (
	"slices"
	"time"

	"zinniashore.example/recorder"
)

// handleEnds handles the new ends of a listing, in the order of their numbers. An end of
// a job that isn't known yet keeps the later ones from being acknowledged, but not from
// being handled. So does an incomplete listing, in which any end may be missing.
func (c *Cell) handleEnds(now time.Time, w *worker, listing Listing) {
	slices.SortFunc(listing.Ended, func(a, b EndedRow) int { return int(a.Number - b.Number) })
	c.reportForgottenEnds(w, listing)
	awaiting := listing.Incomplete
	for _, row := range listing.Ended {
		if row.Number <= w.lastEnd {
			continue
		}
		handled := w.handledAhead[row.Number]
		if !handled && c.awaitsJob(now, row.Task.Job) {
			awaiting = true
			w.awaitedEnds[row.Number] = row
			continue
		}
		delete(w.awaitedEnds, row.Number)
		if !handled {
			c.handleEnd(now, w, row)
		}
		w.markEndHandled(row.Number, awaiting)
	}
	if len(c.dirty) == 0 && !c.storing {
		w.acknowledgedEnd = w.lastEnd
	}
}

// markEndHandled records that an end was handled. ahead is true if an earlier end wasn't.
func (w *worker) markEndHandled(number int64, ahead bool) {
	if ahead {
		w.handledAhead[number] = true
		return
	}
	delete(w.handledAhead, number)
	w.lastEnd = number
}

// handleEnd applies the end of a run that a worker reported. The task is nil if its job or occurrence
// has ended before.
func (c *Cell) handleEnd(now time.Time, w *worker, row EndedRow) {
	key := runKey{task: row.Task, run: row.Run}
	delete(w.orphanedRuns, key)
	r := w.runs[key]
	c.recordEnd(w, row)
	if r != nil && row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}
	if r != nil && r.mayStartLate(now) {
		w.holdEnd(row.Number, r.task.unanswered.sentAt.Add(lateStartAge))
	}
	if t := c.task(now, row.Task); t != nil {
		c.applyEnding(now, w, t, row)
	}
	if r != nil {
		c.learnRunTime(now, r, row.Ending)
		c.removeRun(now, r, string(row.Ending))
	}
}

// applyEnding applies to a task how one of its runs ended.
func (c *Cell) applyEnding(now time.Time, w *worker, t *task, row EndedRow) {
	c.clearCrash(now, t, row.Run, "the worker lists the end of the run")
	t.job().started = true
	switch row.Ending {
	case EndingDone:
		w.consecutiveFailures = 0
		c.taskDone(now, t)
	case EndingFailed:
		c.taskFailed(now, t, w, row.Run)
	}
}

// recordEnd records the end of a run that a worker listed.
func (c *Cell) recordEnd(w *worker, row EndedRow) {
	c.record(recorder.Event{Kind: KindEnd, VM: w.registration.ID, Task: row.Task.String(), Attempt: int(row.Run), Key: row.Task.Job, Detail: string(row.Ending)})
}
