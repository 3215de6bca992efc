package dispatcher

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"zinniashore.example/recorder"
)

// SetWorker applies a worker's new or changed registration.
func (c *Cell) SetWorker(now time.Time, registration Registration) {
	w, known := c.workers[registration.ID]
	if !known && c.services != nil && !c.services[registration.Service] {
		c.setUnnamed(registration)
		return
	}
	if !known {
		w = c.newWorker()
		c.addWorker(registration.ID, w)
		c.record(recorder.Event{Kind: KindWorker, VM: registration.ID, Detail: "registered at " + registration.Address})
	} else if w.registration.Phase != registration.Phase {
		c.record(recorder.Event{Kind: KindWorker, VM: registration.ID, Detail: string(registration.Phase) + " at " + registration.Address})
	} else if w.registration.Address != registration.Address {
		c.record(recorder.Event{Kind: KindWorker, VM: registration.ID, Detail: "now at " + registration.Address + "; " + c.describe(now, w)})
	}
	if !w.registration.equivalent(registration) {
		w.stored = false
	}
	restarted := registration.Boot != w.registration.Boot && registration.Boot > w.boot
	switch {
	case w.boot == 0:
		c.noteUnheardProcess(now, w, registration.Boot)
	case restarted:
		c.setBoot(now, w, registration.Boot)
	}
	w.stored = w.stored && (w.registered || w.earlierBoot == 0)
	w.registration = registration
	w.registered = true
	w.noteLeaving()
	w.exitsAfter = now.Add(registration.Remaining)
	w.speed.coldUntil = now.Add(registration.Cold)
}

// RestoreWorker adds a worker on which tasks of an earlier holder may run, whether or
// not it is registered.
func (c *Cell) RestoreWorker(now time.Time, registration Registration) {
	w, known := c.workers[registration.ID]
	if !known {
		w = c.newWorker()
		w.registration = registration
		w.absentSince = now
		c.addWorker(registration.ID, w)
	}
	w.restored = true
	switch {
	case registration.EarlierBoot != 0:
		w.drainedBoot = registration.EarlierBoot
	case registration.Phase == PhaseDraining:
		w.drainedBoot = registration.Boot
	}
	w.replaced = w.replaced || w.drainedBoot != 0
	w.registration.EarlierBoot = 0
	w.stored = w.toStore().equivalent(registration)
}

func (c *Cell) newWorker() *worker {
	return &worker{
		runs: map[runKey]*run{}, orphanedRuns: map[runKey]time.Time{}, handledAhead: map[int64]bool{}, awaitedEnds: map[int64]EndedRow{},
		fence: c.newFence(),
	}
}

// RemoveWorker marks a worker as no longer registered.
func (c *Cell) RemoveWorker(now time.Time, id string) {
	delete(c.unnamed, id)
	w, known := c.workers[id]
	if !known || !w.registered {
		return
	}
	w.registered, w.left = false, true
	w.absentSince = now
	c.record(recorder.Event{Kind: KindWorker, VM: id, Detail: fmt.Sprintf("no longer registered, %d runs; %s", len(w.runs), c.describe(now, w))})
}

// RegistryRead records that all changes of the registry up to a time have been applied.
func (c *Cell) RegistryRead(until time.Time) {
	if until.Sub(c.registryReadAt) > registrationGrace {
		c.registrySteadySince = until
	}
	if until.After(c.registryReadAt) {
		c.registryReadAt = until
	}
}

func (c *Cell) addWorker(id string, w *worker) {
	c.workers[id] = w
	c.workerIDs = nil
}

// Workers returns the ids of the workers to poll, in order. The caller must not change them.
func (c *Cell) Workers() []string {
	if len(c.workerIDs) != len(c.workers) {
		c.workerIDs = slices.Sorted(maps.Keys(c.workers))
	}
	return c.workerIDs
}

// setBoot applies a boot that wasn't seen before. The worker's time of day may have been
// set back in between, so a newer boot may have an earlier boot time.
func (c *Cell) setBoot(now time.Time, w *worker, boot int64) {
	if w.boot != 0 {
		c.handleRestart(now, w)
	} else {
		c.noteUnheardProcess(now, w, boot)
	}
	w.boot = boot
	w.bootSince = now
	w.left = false
	w.noteLeaving()
}

// handleRestart resets the state of a restarted worker and marks its runs as lost, those of a process that
// may still be shutting down once their lease has expired.
func (c *Cell) handleRestart(now time.Time, w *worker) {
	c.record(recorder.Event{Kind: KindWorker, VM: w.registration.ID, Detail: fmt.Sprintf("started anew, %d runs, kept: %t; %s", len(w.runs), w.keepsRuns(), c.describe(now, w))})
	c.blameRuns(now, w, SignRestarted)
	c.keepRuns(now, w)
	w.replaced = true
	for _, r := range w.sortedRuns() {
		switch {
		case r.observed && r.lastsUntil.IsZero() && !r.mayStartLate(now):
			c.markLost(now, r, "worker started anew")
		case !r.observed || r.lastsUntil.IsZero():
			// The restarted worker may have accepted the start, or may still get it: it first
			// has to stop or refuse it.
			if r.phase == phaseSent {
				r.task.noteUnanswered(r)
			}
			r.phase, r.observed, r.acceptedStart = phaseUnknown, false, false
			r.stopAcceptedAt = time.Time{}
			c.stop(r)
		}
	}
	w.noteBoot(now)
	w.epochAccepted, w.endsListed = false, false
	w.lastEnd, w.acknowledgedEnd, w.heldEnds = 0, 0, nil
	w.leaseEnd = 0
	w.forgotRuns = w.forgotRuns || len(w.orphanedRuns) > 0
	w.orphanedRuns = map[runKey]time.Time{}
	w.handledAhead = map[int64]bool{}
	w.awaitedEnds = map[int64]EndedRow{}
}

func (w *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return int(a.number - b.number) })
	return runs
}

// markLost removes a run that has certainly ended without a listed end. An answer to its
// start comes too late from now on.
func (c *Cell) markLost(now time.Time, r *run, reason string) {
	if r.blameOnAnswer != "" {
		c.blame(now, r, r.blameOnAnswer)
	}
	c.recordRun(KindLost, r, reason+"; "+r.describe(now)+"; "+c.describe(now, r.worker))
	c.removeRun(now, r, reason)
}

// ageAtLastAnswer tells how long before the newest answered poll of its worker the run was
// started, or how long after it.
func (r *run) ageAtLastAnswer() string {
	age := r.worker.answeredAt.Sub(r.sentAt).Round(time.Millisecond)
	switch {
	case r.worker.answeredAt.IsZero():
		return "no answered poll"
	case age < 0:
		return "started " + (-age).String() + " after the last answered poll"
	}
	return "started " + age.String() + " before the last answered poll"
}

// removeRun removes a run from its worker and its task, for a reason that is empty if the run was never
// sent. The task may start again.
func (c *Cell) removeRun(now time.Time, r *run, reason string) {
	w := r.worker
	key := runKey{task: r.task.id, run: r.number}
	if w.runs[key] != r {
		return
	}
	delete(w.runs, key)
	w.addUsage(r.task.step.step, -1)
	c.pass.runsChanged(w)
	if r.checkpoint != "" {
		r.task.checkpoint = r.checkpoint
	}
	if w.trial == r {
		w.trial = nil
		if r.observed {
			w.trialEndedAt = now
		}
	}
	r.task.runs = slices.DeleteFunc(r.task.runs, func(other *run) bool { return other == r })
	r.task.job().running--
	if reason != "" {
		r.task.lastRun = removedRun{number: r.number, worker: w.registration.ID, reason: reason, at: now}
	}
	c.enqueue(now, r.task)
}

// addRun adds a run of a task to a worker.
func (c *Cell) addRun(t *task, w *worker, number int64, phase runPhase, now time.Time) *run {
	r := &run{task: t, number: number, worker: w, boot: w.boot, phase: phase, sentAt: now, confirmedAt: now, throttle: fullPercent}
	w.runs[runKey{task: t.id, run: number}] = r
	w.addUsage(t.step.step, 1)
	c.pass.runsChanged(w)
	t.runs = append(t.runs, r)
	if t.suspect() {
		w.trial = r
	}
	t.job().running++
	return r
}
