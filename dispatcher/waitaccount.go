package dispatcher

import (
	"fmt"
	"strings"
	"time"
)

// waitBound is until when a wait lasts at most.
type waitBound struct {
	// until is the time, known is false if nothing bounds the wait.
	until time.Time
	known bool
}

// noBound is the bound of a wait that nothing bounds.
var noBound = waitBound{}

func boundedBy(until time.Time) waitBound { return waitBound{until: until, known: true} }

// later returns the bound of a wait for two things.
func (b waitBound) later(other waitBound) waitBound {
	switch {
	case !b.known || !other.known:
		return noBound
	case other.until.After(b.until):
		return other
	}
	return b
}

// describe describes the bound for logs.
func (b waitBound) describe(now time.Time) string {
	if !b.known {
		return "no bound"
	}
	return "time left: " + max(b.until.Sub(now), 0).Round(absenceUnit).String()
}

// accountFor describes on whose account a task waits for a cause, and returns until when.
func (c *Cell) accountFor(now time.Time, cause WaitCause, t *task) (string, waitBound) {
	switch cause {
	case WaitDelegation:
		return "to " + t.delegatedTo + ", not stored yet", noBound
	case WaitRun:
		return c.runAccount(now, t)
	case WaitHolder:
		return fmt.Sprintf("%s; superseded: %t", c.missingVotes(now), c.superseded), noBound
	case WaitRelocation:
		return c.relocationAccount(t), noBound
	case WaitBackoff:
		return backoffAccount(now, t)
	case WaitEarlierLeases:
		return c.earlierLeasesAccount(now)
	case WaitUnlistedEnds:
		return c.unlistedEndsAccount(now)
	case WaitCrashStore:
		return fmt.Sprintf("a batch is being stored: %t; %s", c.storing, c.memberCrashes(now, t)), noBound
	case WaitCrashReview:
		return c.memberCrashes(now, t), reviewBound(now, t)
	case WaitTrial:
		return c.trialAccount(t), noBound
	case WaitRack:
		wait := t.firstMember().rackWait
		return "for " + wait.rack, boundedBy(wait.expectedAt)
	}
	return c.capacityAccount(now, t), noBound
}

// reportedWorkers collects the descriptions of the first maxReportedWorkers workers that meet a condition.
type reportedWorkers struct {
	count        int
	descriptions []string
}

func (r *reportedWorkers) add(w *worker, description string) {
	r.count++
	if len(r.descriptions) < maxReportedWorkers {
		r.descriptions = append(r.descriptions, w.registration.ID+" ("+description+")")
	}
}

func (r *reportedWorkers) String() string {
	return fmt.Sprintf("%d workers: %s", r.count, strings.Join(r.descriptions, "; "))
}

// runAccount describes the runs of a task, or of its gang, that still count as active.
func (c *Cell) runAccount(now time.Time, t *task) (string, waitBound) {
	bound := boundedBy(now)
	var runs []string
	for _, member := range t.startedTogether() {
		for _, r := range member.runs {
			left := c.runBound(now, r)
			bound = bound.later(left)
			if len(runs) < maxReportedWorkers {
				runs = append(runs, fmt.Sprintf("run %d on %s (%s, end awaited: %t; %s; %s)",
					r.number, r.worker.registration.ID, r.describe(now), r.endAwaited, c.describe(now, r.worker), left.describe(now)))
			}
		}
	}
	return strings.Join(runs, "; "), bound
}

// runBound returns until when a run counts as active if its worker doesn't answer.
func (c *Cell) runBound(now time.Time, r *run) waitBound {
	w := r.worker
	switch longRunning := r.task.step.step.LongRunning; {
	case !r.lastsUntil.IsZero():
		return boundedBy(r.lastsUntil)
	case !w.epochAccepted && (longRunning || c.lost(w)):
		return boundedBy(c.unheardRunEnd(r))
	case !w.epochAccepted, w.responsive(now):
		return noBound
	case longRunning:
		return boundedBy(w.leaseExpiry(now))
	}
	return c.listingBound(now, w)
}

// relocationAccount describes where the job of a task moves.
func (c *Cell) relocationAccount(t *task) string {
	if p := c.pendingRelocation; p != nil && p.Job.ID == t.id.Job {
		return "to " + p.Cell + ", not stored yet"
	}
	return "back to its home cell, not stored yet"
}

// backoffAccount describes the failed runs of a task, or of the member of its gang that waits longest.
func backoffAccount(now time.Time, t *task) (string, waitBound) {
	longest := t
	for _, member := range t.startedTogether() {
		if member.notBefore.After(longest.notBefore) {
			longest = member
		}
	}
	account := "a start was refused"
	if n := len(longest.failures); n > 0 {
		last := longest.failures[n-1]
		account = fmt.Sprintf("%d runs have failed, the last one run %d %s", n, last.number, last.describe(now))
	}
	return account, boundedBy(longest.notBefore)
}

// earlierLeasesAccount describes the workers on which leases of earlier holders may last, and those holders.
func (c *Cell) earlierLeasesAccount(now time.Time) (string, waitBound) {
	var leased reportedWorkers
	bound := boundedBy(now)
	for _, id := range c.Workers() {
		if w := c.workers[id]; c.mayHoldEarlierLease(now, w) {
			leased.add(w, w.earlierLeaseReason()+c.describeReportedRuns(id)+", "+c.describe(now, w))
			bound = bound.later(boundedBy(c.earlierLeaseEnd(w)))
		}
	}
	return fmt.Sprintf("%s; %s", &leased, c.describeEarlierHolders(now)), bound
}

// describeReportedRuns describes, for logs, what the previous holder has reported of the runs on a worker.
func (c *Cell) describeReportedRuns(worker string) string {
	tasks, told := c.EarlierRuns.on(worker)
	if !told {
		return ""
	}
	return fmt.Sprintf(", may run %d reported tasks only", len(tasks))
}

// earlierLeaseReason tells why leases of earlier holders may last on a worker that mayHaveEarlierLeases.
func (w *worker) earlierLeaseReason() string {
	switch {
	case !w.epochAccepted:
		return "hasn't answered this holder"
	case w.succeeded():
		return fmt.Sprintf("another process than boot %d answers", w.drainedBoot)
	}
	return "listed incompletely"
}

// describeEarlierHolders describes, for logs, what is known of the earlier holders.
func (c *Cell) describeEarlierHolders(now time.Time) string {
	names := "none that may act"
	if len(c.EarlierTerms) > 0 {
		names = strings.Join(c.EarlierTerms, ", ")
	}
	ended := "not known to have ended"
	if !c.earlierEndedAt.IsZero() {
		ended = "ended " + age(now, c.earlierEndedAt) + " ago"
	}
	return fmt.Sprintf("earlier holders: %s, %s; active for %s", names, ended, age(now, c.activeAt))
}

// unlistedEndsAccount describes the workers that haven't listed all ends of earlier runs.
func (c *Cell) unlistedEndsAccount(now time.Time) (string, waitBound) {
	var unlisted reportedWorkers
	bound := boundedBy(now)
	for _, id := range c.Workers() {
		if w := c.workers[id]; c.mayListEnds(now, w) {
			unlisted.add(w, c.describe(now, w))
			bound = bound.later(c.listingBound(now, w))
		}
	}
	return unlisted.String(), bound
}

// listingBound returns until when the holder waits for a worker that doesn't answer to list its ends: the
// registry has dropped it, and its lease has expired.
func (c *Cell) listingBound(now time.Time, w *worker) waitBound {
	if w.registered {
		return noBound
	}
	bound := boundedBy(now)
	if !c.lost(w) {
		bound = boundedBy(now.Add(registrationGrace - c.registryReadFor(w.absentSince)))
	}
	if w.epochAccepted {
		bound = bound.later(boundedBy(w.leaseExpiry(now)))
	}
	return bound
}

// memberCrashes describes the crashes of a task, or of the first member of its gang that has any.
func (c *Cell) memberCrashes(now time.Time, t *task) string {
	for _, member := range t.startedTogether() {
		if member.blamed() {
			return c.describeCrashes(now, member)
		}
	}
	return ""
}

// reviewBound returns until when the crashes of a task are decided on. Those that may still be taken back
// have no bound.
func reviewBound(now time.Time, t *task) waitBound {
	bound := boundedBy(now)
	for _, member := range t.startedTogether() {
		for _, crash := range member.crashes {
			switch {
			case !crash.Confirmed:
				return noBound
			case !crash.mayEndJob(now):
				bound = bound.later(boundedBy(crash.knownAt.Add(forgottenCrashAge)))
			}
		}
	}
	return bound
}

// trialAccount describes the trials that keep a suspect from its own.
func (c *Cell) trialAccount(t *task) string {
	var trials reportedWorkers
	for _, id := range c.Workers() {
		if w := c.workers[id]; w.onTrial(t) {
			trials.add(w, fmt.Sprintf("trial of %s, run %d", w.trial.task.id, w.trial.number))
		}
	}
	return fmt.Sprintf("after %d crashes; other trials on %s", len(t.crashes), &trials)
}

// capacityAccount describes the places for a task here and in other cells.
func (c *Cell) capacityAccount(now time.Time, t *task) string {
	healthy, service := 0, 0
	for _, w := range c.workers {
		if w.registration.Service != t.job().job.Queue.Service {
			continue
		}
		service++
		if c.healthy(now, w) {
			healthy++
		}
	}
	refused := "never"
	if !t.refusedAt.IsZero() {
		refused = age(now, t.refusedAt) + " ago"
	}
	return fmt.Sprintf("%d of %d workers of its service take starts, one could run it if all of its capacity were free: %t, or beside long-running tasks: %t%s; may move to another cell: %t, refused by the others: %s",
		healthy, service, c.capable(t), c.fitsBesideLongRunning(now, requirementOf(t)), c.laterPlaceAccount(now, t), t.movable(), refused)
}

// laterPlaceAccount describes whether a long-running task gets a place here as short tasks end, and for how many tasks a
// worker is reserved until then.
func (c *Cell) laterPlaceAccount(now time.Time, t *task) string {
	if !t.step.step.LongRunning {
		return ""
	}
	reserved := 0
	for _, w := range c.workers {
		if w.reservedFor != nil {
			reserved++
		}
	}
	return fmt.Sprintf("; part: %t, a place once short tasks end: %t, reserved workers: %d", t.job().job.Part != nil, c.WillHavePlace(now, t.id), reserved)
}
