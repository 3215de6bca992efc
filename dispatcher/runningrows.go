package dispatcher

import (
	"time"

	"zinniashore.example/recorder"
)

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
