package dispatcher

import (
	"fmt"
	"slices"
	"time"

	"zinniashore.example/recorder"
)

// WaitCause is why a task that the cell could run doesn't start.
type WaitCause string

// Causes of waits. A task has the first that applies, in this order.
const (
	// WaitDelegation: the task is delegated to another cell, and the store doesn't have that yet.
	WaitDelegation WaitCause = "delegation"
	// WaitRun: a run of the task, or of its gang, may still be active.
	WaitRun WaitCause = "run"
	// WaitHolder: the holder doesn't act.
	WaitHolder WaitCause = "holder"
	// WaitRelocation: the job is being relocated to another cell, or given back to its home cell.
	WaitRelocation WaitCause = "relocation"
	// WaitBackoff: a run of the task has failed.
	WaitBackoff WaitCause = "backoff"
	// WaitEarlierLeases: the task may be active under a lease that an earlier holder has granted.
	WaitEarlierLeases WaitCause = "earlier_leases"
	// WaitUnlistedEnds: a worker that hasn't listed all of its ends may have done the task.
	WaitUnlistedEnds WaitCause = "unlisted_ends"
	// WaitCrashStore: the store lacks a crash of a worker under the task.
	WaitCrashStore WaitCause = "crash_store"
	// WaitCrashReview: the task would be given up if the crashes that are still open were confirmed.
	WaitCrashReview WaitCause = "crash_review"
	// WaitTrial: the task is a suspect, and no worker takes its trial now.
	WaitTrial WaitCause = "trial"
	// WaitRack: a place in the rack of the task's data or gang is expected.
	WaitRack WaitCause = "rack"
	// WaitCapacity: no worker of the cell has a place for the task.
	WaitCapacity WaitCause = "capacity"
)

// waitCauses are all causes of waits.
var waitCauses = [...]WaitCause{
	WaitDelegation, WaitRun, WaitHolder, WaitRelocation, WaitBackoff, WaitEarlierLeases, WaitUnlistedEnds,
	WaitCrashStore, WaitCrashReview, WaitTrial, WaitRack, WaitCapacity,
}

// kind returns the kind of the events that report the cause.
func (w WaitCause) kind() recorder.Kind { return KindTasksWait + "_" + recorder.Kind(w) }

const (
	// waitScanInterval separates searches for tasks that wait.
	waitScanInterval = time.Second
	// minReportedWait is how long a task has waited at least when that is reported.
	minReportedWait = time.Second
	// waitReportInterval separates reports of the same cause.
	waitReportInterval = 2 * time.Second
)

// waitLog is what the cell has found of waiting tasks, and reported.
type waitLog struct {
	// scannedAt is when waiting tasks were last searched for.
	scannedAt time.Time
	// scannedBefore is when they were searched for the time before.
	scannedBefore time.Time
	// causes are the causes that were ever found; nil before.
	causes map[WaitCause]*causeLog
}

// causeLog is what is known of the tasks that wait for one cause.
type causeLog struct {
	// longRunning are the long-running tasks that the newest scan has found, others counts the other ones.
	longRunning []*task
	others      int
	// longest is the task that has waited longest of these, since longestSince; longestRunning the long-running one, since
	// longestRunningSince.
	longest, longestRunning           *task
	longestSince, longestRunningSince time.Time
	// since is when the first task began to wait for the cause, at the latest, and seenAt when one was last
	// found; both are zero while none waits.
	since, seenAt time.Time
	// reportedAt is when the cause was last reported, and reported is true if it was since since.
	reportedAt time.Time
	reported   bool
}

// reportWaits records, from time to time, which tasks wait that the cell could run: for what, on whose account
// and until when.
func (c *Cell) reportWaits(now time.Time) {
	scannedBefore := c.waits.scannedAt
	if now.Sub(scannedBefore) < waitScanInterval {
		return
	}
	c.waits.scannedBefore, c.waits.scannedAt = scannedBefore, now
	for _, l := range c.waits.causes {
		l.longRunning, l.others, l.longest, l.longestRunning = l.longRunning[:0], 0, nil, nil
	}
	c.scanDelegation(now)
	c.scanRuns(now)
	c.scanReady(now)
	for _, cause := range waitCauses {
		if l := c.waits.causes[cause]; l != nil {
			c.reportCause(now, scannedBefore, cause, l)
		}
	}
}

// noteWait counts a task that waits for a cause since a time, unless that is too short to be reported.
func (c *Cell) noteWait(now, since time.Time, cause WaitCause, t *task) {
	if !waitsLong(now, since) {
		return
	}
	t.addWaited(now, since, cause, c.waits.scannedBefore)
	if c.waits.causes == nil {
		c.waits.causes = map[WaitCause]*causeLog{}
	}
	l := c.waits.causes[cause]
	if l == nil {
		l = &causeLog{}
		c.waits.causes[cause] = l
	}
	if t.step.step.LongRunning {
		l.longRunning = append(l.longRunning, t)
		if l.longestRunning == nil || since.Before(l.longestRunningSince) {
			l.longestRunning, l.longestRunningSince = t, since
		}
	} else {
		l.others++
	}
	if l.longest == nil || since.Before(l.longestSince) {
		l.longest, l.longestSince = t, since
	}
}

// waitsLong reports whether a wait since a time is long enough to be reported.
func waitsLong(now, since time.Time) bool { return now.Sub(since) >= minReportedWait }

// scanDelegation notes the tasks that are being delegated.
func (c *Cell) scanDelegation(now time.Time) {
	if c.pendingPart == nil || !waitsLong(now, c.pendingPartSince) {
		return
	}
	for _, id := range c.pendingPart.Job.Part {
		if t := c.task(now, id); t != nil && t.delegatedAt.Equal(c.pendingPartSince) {
			c.noteWait(now, t.delegatedAt, WaitDelegation, t)
		}
	}
}

// scanRuns notes the tasks all of whose runs are unlikely to go on, but still count as active.
func (c *Cell) scanRuns(now time.Time) {
	for _, w := range c.workers {
		for _, r := range w.runs {
			if t := r.task; t.runs[0] == r && !t.done && !t.remote && !t.job().state.Final() && t.allRunsHeld(now) {
				c.noteWait(now, r.heldSince(now), WaitRun, t)
			}
		}
	}
}

func (t *task) allRunsHeld(now time.Time) bool {
	for _, r := range t.runs {
		if r.heldSince(now).IsZero() {
			return false
		}
	}
	return true
}

// heldSince returns since when the run is one that isn't expected to go on and keeps its task from starting
// anew, zero if it isn't.
func (r *run) heldSince(now time.Time) time.Time {
	switch {
	case !r.lastsUntil.IsZero():
		return r.worker.bootSince
	case r.phase == phaseStopping:
		return r.firstStopAt
	case r.phase == phaseSent || r.phase == phaseUnknown:
		return r.sentAt
	case !r.worker.responsive(now):
		return r.worker.heardAt
	}
	return time.Time{}
}

// scanReady notes the tasks of the ready list.
func (c *Cell) scanReady(now time.Time) {
	if !slices.ContainsFunc(c.ready, func(t *task) bool { return waitsLong(now, t.readyAt) }) {
		return
	}
	acts := c.mayAct(now)
	c.pass = c.newPlanningPass(now)
	defer func() { c.pass = nil }()
	leased := c.anyMayHoldEarlierLease(now, c.Workers())
	for _, t := range c.ready {
		if t.done || t.remote || len(t.runs) > 0 || t.job().state.Final() || !waitsLong(now, t.readyAt) {
			continue
		}
		cause := WaitHolder
		if acts {
			cause = c.waitCause(now, t, leased)
		}
		c.noteWait(now, t.readyAt, cause, t)
	}
}

// waitCause returns why a ready task doesn't start although the holder acts. leased is true if leases of earlier holders may last.
func (c *Cell) waitCause(now time.Time, t *task, leased bool) WaitCause {
	switch {
	case t.gangRuns():
		return WaitRun
	case t.job().relocating:
		return WaitRelocation
	case t.anyMember(func(member *task) bool { return member.notBefore.After(now) }):
		return WaitBackoff
	case c.mayHaveRun(now, t) && leased:
		return WaitEarlierLeases
	case c.mayHaveRun(now, t):
		return WaitUnlistedEnds
	case t.awaitsCrashStore():
		return WaitCrashStore
	case t.anyMember((*task).awaitsCrashReview):
		return WaitCrashReview
	case t.suspect() && c.hasPlace(now, t):
		return WaitTrial
	case now.Sub(t.firstMember().rackWait.decidedAt) < waitScanInterval:
		return WaitRack
	}
	return WaitCapacity
}

// reportCause reports a cause if that is due, and its end. scannedBefore is the time of the scan before.
func (c *Cell) reportCause(now, scannedBefore time.Time, cause WaitCause, l *causeLog) {
	if l.longest == nil {
		c.reportWaitEnd(now, cause, l)
		return
	}
	if l.since.IsZero() {
		l.since = l.longestSince
		if scannedBefore.After(l.since) {
			l.since = scannedBefore
		}
	}
	l.seenAt = now
	if now.Sub(l.reportedAt) < waitReportInterval {
		return
	}
	l.reportedAt, l.reported = now, true
	account, bound := c.accountFor(now, cause, l.longest)
	if t := l.longestRunning; t != nil && t != l.longest {
		other, left := c.accountFor(now, cause, t)
		account += fmt.Sprintf("; for %s: %s, %s", t.id, other, left.describe(now))
	}
	c.recordWait(cause.kind(), l.longest, fmt.Sprintf("%d long-running tasks, %d others, this one for %s%s: %s; %s",
		len(l.longRunning), l.others, age(now, l.longestSince), l.longRunningAccount(now), account, bound.describe(now)))
}

// longRunningAccount describes the long-running tasks that wait, and the last run of the one that has waited longest.
func (l *causeLog) longRunningAccount(now time.Time) string {
	if len(l.longRunning) == 0 {
		return ""
	}
	t := l.longestRunning
	last := ""
	if len(t.runs) == 0 {
		last = ", " + t.lastRunAccount(now)
	}
	return fmt.Sprintf(" (long-running: %s, of which %s for %s%s)", listTasks(l.longRunning), t.id, age(now, l.longestRunningSince), last)
}

// reportWaitEnd records that no task waits for a cause any more that was reported. The wait has ended between
// two scans.
func (c *Cell) reportWaitEnd(now time.Time, cause WaitCause, l *causeLog) {
	if l.reported {
		c.record(recorder.Event{Kind: KindTasksWaitOver, Detail: fmt.Sprintf("%s, lasted %s to %s", cause, age(l.seenAt, l.since), age(now, l.since))})
	}
	l.since, l.seenAt, l.reported = time.Time{}, time.Time{}, false
}

func (c *Cell) recordWait(kind recorder.Kind, t *task, detail string) {
	c.record(recorder.Event{Kind: kind, Task: t.id.String(), Key: t.id.Job, Detail: detail})
}
