package dispatcher

import (
	"slices"
	"time"

	"zinniashore.example/recorder"
)

// fullPercent is the throttle level of a run that isn't throttled, and the progress of
// a long-running task that serves, in percent.
const fullPercent = 100

// NextPoll returns the next poll of a worker, and whether the worker is known. The
// lease of a worker that has been unresponsive isn't extended, so that it can expire.
// A worker that didn't answer the last poll may have restarted under its id and counts
// its clock and its ends anew, so it gets no acknowledgement and no lease before it has
// answered again, at once; any other poll names the boot that answered.
func (c *Cell) NextPoll(now time.Time, id string) (PollOrder, bool) {
	w, known := c.workers[id]
	if !known {
		return PollOrder{}, false
	}
	order := PollOrder{Worker: w.registration}
	if w.epochAccepted && w.boot != 0 && w.established() && w.unresolvedToken == 0 && w.answeredAt.After(w.unansweredAt) {
		order.Boot = w.boot
		order.Acknowledged = w.acknowledgeable(now)
		order.Epoch = w.fence.Grant()
	} else {
		order.Epoch = c.raiseFence(w)
		order.Urgent = now.Before(w.lateStartsUntil)
	}
	if order.Boot != 0 && c.mayAct(now) && w.responsive(now) {
		order.LeaseEnd = c.extendLease(now, w)
	}
	if w.epochAccepted && w.lastEnd == w.acknowledgedEnd && len(w.heldEnds) == 0 && w.answeredAt.After(w.unansweredAt) {
		order.Wait = c.pollWait(now)
	}
	return order, true
}

// pollWait returns how long a worker may wait for a run to end before it answers a poll. Leases count from the
// answers of the workers while the store doesn't confirm the holder, so they answer sooner then.
func (c *Cell) pollWait(now time.Time) time.Duration {
	if now.Sub(c.termCheckedAt) > 2*c.Limits.FullLeaseAge {
		return c.Limits.PollWait / 2
	}
	return c.Limits.PollWait
}

// extendLease returns a new lease end on the worker's clock and records it.
func (c *Cell) extendLease(now time.Time, w *worker) time.Duration {
	end := w.minClock(now) + c.leaseDuration(now)
	w.leaseEnd = max(w.leaseEnd, end)
	w.grantedAt = now
	return end
}

// HandlePollAnswer applies the outcome of a poll that was sent at the time sent.
func (c *Cell) HandlePollAnswer(now, sent time.Time, order PollOrder, listing Listing, answer Answer) {
	w, known := c.workers[order.Worker.ID]
	if !known || w.registration.Address != order.Worker.Address {
		return
	}
	if answer == AnswerFenced && !c.handleFenced(w, order.Epoch) {
		return
	}
	if answer == AnswerConnectionRefused && !sent.Before(w.answeredAt) {
		w.connectionRefused = true
		c.noteCrash(now, w)
	}
	if answer == AnswerRestarted && !sent.Before(w.answeredAt) {
		w.addressTaken = true
	}
	if answer != AnswerAccepted {
		if sent.After(w.unansweredAt) {
			w.unansweredAt = sent
		}
		return
	}
	w.connectionRefused, w.addressTaken = false, false
	if listing.Boot != 0 && listing.Boot != w.boot {
		if !sent.After(w.bootSince) {
			c.handleEarlierBoot(now, w, listing.Ended)
			return
		}
		c.setBoot(now, w, listing.Boot)
	}
	if order.Boot == 0 && (listing.Boot != 0 || w.boot == 0) {
		c.noteFence(w, order.Epoch, listing.Boot)
	}
	c.observeEnds(now, w, listing)
	listedAt := w.latestTime(now, listing.Clock)
	if listing.Clock >= w.clock || !w.epochAccepted {
		w.clock = listing.Clock
		w.clockAt = now
	}
	if !w.epochAccepted {
		w.leaseEnd = max(w.leaseEnd, listing.Clock+c.Limits.LeaseDuration, c.formerLeaseEnd(w))
		w.noteBoot(now.Add(-listing.Clock))
	}
	w.epochAccepted = true
	w.expiredYoung = nil
	if sent.After(w.answeredAt) && sent.After(c.resumedAt) {
		w.answeredAt, w.heardAt = sent, now
	}
	w.listedIncompletely = listing.Incomplete
	w.endsListed = w.endsListed || !listing.MoreEnds && !listing.Incomplete
	c.handleEnds(now, w, listing)
	c.handleRunning(now, sent, listedAt, w, order.Epoch, listing)
	c.observeTails(now, w)
	c.activate(now)
}

// handleEarlierBoot applies a late answer of an earlier boot of a worker. What it lists as active
// may have ended since, but what was done is done.
func (c *Cell) handleEarlierBoot(now time.Time, w *worker, rows []EndedRow) {
	for _, row := range rows {
		t := c.task(now, row.Task)
		if t == nil || row.Ending != EndingDone {
			continue
		}
		c.recordEnd(w, row)
		c.taskDone(now, t)
	}
}

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

// handleRunning applies the running rows of a listing: it updates known runs, adopts
// runs of an earlier holder and handles runs that are missing. The worker answered the poll at
// listedAt at the latest, which carried a fencing token.
func (c *Cell) handleRunning(now, sent, listedAt time.Time, w *worker, token int64, listing Listing) {
	listed := make(map[runKey]bool, len(listing.Running))
	for _, row := range listing.Running {
		key := runKey{task: row.Task, run: row.Run}
		listed[key] = true
		r := w.runs[key]
		if r == nil {
			r = c.adopt(now, w, row)
		}
		if r != nil {
			delete(w.orphanedRuns, key)
			c.observeProgress(now, r, listing.Clock, row)
			r.update(now, listedAt, row)
			c.clearCrash(now, r.task, r.number, "the worker lists the run")
			c.clearCrashes(now, r)
		}
	}
	w.endTrial(now)
	if listing.MoreEnds || listing.Incomplete {
		return // a run that isn't listed may be among what is missing
	}
	for _, r := range w.sortedRuns() {
		if r.lastsUntil.IsZero() && !listed[runKey{task: r.task.id, run: r.number}] {
			c.handleUnlisted(now, sent, r, token)
		}
	}
	for key := range w.orphanedRuns {
		if !listed[key] {
			delete(w.orphanedRuns, key)
		}
	}
}

// update applies a running row to the run. The worker listed it at listedAt at the latest.
func (r *run) update(now, listedAt time.Time, row RunningRow) {
	r.missedPolls = 0
	r.observed = true
	r.task.job().started = true
	r.lastsUntil = time.Time{}
	r.blameOnAnswer = ""
	r.listedAt = listedAt
	if r.phase == phaseSent || r.phase == phaseUnknown {
		r.phase = phaseConfirmed
		r.confirmedAt = now
	}
	r.percent = row.Percent
	r.usage = row.Usage
	if row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}
}

// handleUnlisted updates a run that an answered poll with a fencing token didn't list.
func (c *Cell) handleUnlisted(now, sent time.Time, r *run, token int64) {
	if !r.observed && r.startToken < token && (r.phase == phaseUnknown || r.phase == phaseStopping) {
		c.markLost(now, r, "never started")
		return
	}
	switch r.phase {
	case phaseConfirmed:
		if sent.After(r.confirmedAt) {
			r.missedPolls++
		}
		if r.missedPolls >= missedPollsUntilLost {
			c.markLost(now, r, "no longer listed")
		}
	case phaseUnknown:
		if sent.After(r.sentAt) {
			c.stop(r)
		}
	case phaseStopping:
		if !r.stopAcceptedAt.IsZero() && sent.After(r.stopAcceptedAt) {
			c.markLost(now, r, "never started")
		}
	}
}

// adopt adds a run that this holder didn't start. The run counts as a run of its task
// even if the task needs none, so that no other run starts before it has ended. A run
// without an open task is recorded as orphaned, to be stopped.
func (c *Cell) adopt(now time.Time, w *worker, row RunningRow) *run {
	t := c.task(now, row.Task)
	if t == nil || t.done || t.job().state.Final() {
		c.recordOrphaned(now, w, row)
		return nil
	}
	surplus := len(t.runs) > 0
	c.record(recorder.Event{Kind: KindAdopted, VM: w.registration.ID, Task: row.Task.String(), Attempt: int(row.Run), Key: row.Task.Job, Detail: t.otherRuns()})
	r := c.addRun(t, w, row.Run, phaseConfirmed, now)
	t.job().started = true
	if surplus {
		c.stop(r)
	}
	return r
}

// recordOrphaned records a run that no task needs, to be stopped. The stop of a run of
// an unknown job is delayed, since the job may still be on its way to this cell.
func (c *Cell) recordOrphaned(now time.Time, w *worker, row RunningRow) {
	key := runKey{task: row.Task, run: row.Run}
	if _, recorded := w.orphanedRuns[key]; recorded {
		return
	}
	w.orphanedRuns[key] = time.Time{}
	if _, known := c.jobs[row.Task.Job]; !known {
		w.orphanedRuns[key] = now.Add(orphanedStopDelay)
	}
	c.record(recorder.Event{Kind: KindOrphaned, VM: w.registration.ID, Task: row.Task.String(), Attempt: int(row.Run), Key: row.Task.Job})
}

// orphanedStopDelay is added to stopRetryInterval before a run of an unknown job is
// stopped.
const orphanedStopDelay = 1500 * time.Millisecond
