package dispatcher

import (
	"time"

	"zinniashore.example/recorder"
)

// task returns a task by its id, or nil if it is unknown or its occurrence is
// finished.
func (c *Cell) task(now time.Time, id TaskID) *task {
	j, known := c.jobs[id.Job]
	if !known || !j.job.contains(id) || j.finished[id.Occurrence] {
		return nil
	}
	o, begun := j.occurrences[id.Occurrence]
	if !begun {
		if j.state.Final() {
			return nil
		}
		o = c.beginOccurrence(now, j, id.Occurrence)
	}
	return o.steps[id.Step].tasks[id.Index]
}

// taskDone marks a task as done. A gang is done with any of its members.
func (c *Cell) taskDone(now time.Time, t *task) {
	if t.step.step.Gang {
		for _, member := range t.step.tasks {
			c.markDone(now, member)
		}
		return
	}
	c.markDone(now, t)
}

func (c *Cell) markDone(now time.Time, t *task) {
	if t.done || t.step.step.LongRunning {
		return
	}
	t.done = true
	j := t.job()
	j.started = true
	c.dirty[j.job.ID] = true
	if !t.step.step.Gang {
		c.stopRuns(t)
	}
	s := t.step
	s.openTasks--
	if s.openTasks > 0 {
		return
	}
	o := s.occurrence
	o.openSteps--
	if o.openSteps > 0 {
		c.enqueueReadySteps(now, o)
		return
	}
	j.finished[o.number] = true
	j.openOccurrences--
	if len(j.finished) == j.job.Occurrences && !j.state.Final() {
		c.finish(now, j, StateCompleted)
	}
}

func (c *Cell) taskFailed(now time.Time, t *task, w *worker, number int64) {
	if t.hasFailed(number) {
		return
	}
	t.failures = append(t.failures, failedRun{number: number, worker: w.registration.ID, at: now})
	if !t.avoids(w.registration.ID) {
		t.avoided = append(t.avoided, w.registration.ID)
	}
	t.notBefore = now.Add(min(time.Duration(len(t.failures))*failureBackoff, maxFailureBackoff))
	c.recordFailure(now, w, t)
	j := t.job()
	if t.step.step.LongRunning || j.state.Final() {
		return
	}
	c.dirty[j.job.ID] = true
	if failed := t.failedAttempts(); failed >= j.job.Queue.Attempts {
		cause := t.describeFailures(now, failed)
		c.record(recorder.Event{Kind: KindAttemptsSpent, VM: w.registration.ID, Task: t.id.String(), Attempt: int(number), Key: j.job.ID, Detail: cause})
		c.fail(now, j, t.id.String()+": "+cause)
	}
}
