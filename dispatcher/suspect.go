package dispatcher

import (
	"slices"
	"time"
)

// suspectCrashes is the number of crashes after which a task is a suspect. A suspect starts
// only on trial: as the only young run on its worker, so that another crash shows its cause.
const suspectCrashes = 2

// restartPause is how long after its restart a worker that crashed under a suspect isn't
// used for its next trial: it may crash for reasons of its own.
const restartPause = 10 * time.Second

// trialPause is how long after a trial its worker takes no suspect, so that tasks that have
// waited for the worker start before the next trial.
const trialPause = 2 * tickInterval

// weightBystander is the weight of each run on a worker in the worker's score for a task
// that may crash it.
const weightBystander = -1.0

// suspect reports whether the task starts only on trial, alone or with its gang.
func (t *task) suspect() bool {
	return t.anyMember(func(member *task) bool { return len(member.crashes) >= suspectCrashes })
}

// trialAge is the age at which a run of a suspect has stood its trial, and up to which other
// runs count as young.
func (t *task) trialAge() time.Duration {
	if t.anyMember(func(member *task) bool { return len(member.crashes) > member.promptCrashes() }) {
		return crashWindow
	}
	return promptAge
}

// awaitsCrashStore reports whether the store lacks crashes of the task or its gang, which
// another holder would have to know.
func (t *task) awaitsCrashStore() bool {
	return t.anyMember(func(member *task) bool {
		return slices.ContainsFunc(member.crashes, func(crash Crash) bool { return !crash.stored })
	})
}

// onTrial reports whether a run of another suspect is on trial on the worker.
// Members of a gang share their trial.
func (w *worker) onTrial(t *task) bool {
	return w.trial != nil && !w.trial.outlived(w.trial.task.trialAge()) && w.trial.task.suspect() && (t == nil || !t.triedWith(w.trial.task))
}

// triedWith reports whether the task may be tried on a worker together with another one: as
// members of a gang, or if both share their trials.
func (t *task) triedWith(other *task) bool {
	return t.startsWith(other) || t.sharesTrial() && other.sharesTrial()
}

// sharesTrial reports whether the suspect may be tried together with others: no worker
// crashed promptly under it, and after one more crash it is still tried alone.
func (t *task) sharesTrial() bool {
	return t.suspect() && !t.anyMember(func(member *task) bool {
		return len(member.crashes) > suspectCrashes || member.promptCrashes() > 0
	})
}

// trialsFull reports whether as many workers as may be are on trials that the suspect can't
// share. The others are left to tasks that aren't suspects.
func (c *Cell) trialsFull(t *task) bool {
	trials := 0
	for _, w := range c.pass.healthy {
		if w.onTrial(t) {
			trials++
		}
	}
	return trials >= max(1, len(c.pass.healthy)/2)
}

// endTrial notes that the run on trial on the worker, which an answer has listed, has stood
// its trial.
func (w *worker) endTrial(now time.Time) {
	if w.trial != nil && w.trialEndedAt.Before(w.trial.sentAt) && !w.onTrial(nil) {
		w.trialEndedAt = now
	}
}

// lastStart returns when the newest run of another task was started on the worker.
func (w *worker) lastStart(t *task) time.Time {
	var last time.Time
	for _, r := range w.runs {
		if !r.task.startsWith(t) && r.sentAt.After(last) {
			last = r.sentAt
		}
	}
	return last
}

// takesSuspect reports whether a suspect may start on the worker: as its only young run, and
// soon neither after another trial nor after the worker has restarted under another run of
// the suspect.
func (w *worker) takesSuspect(now time.Time, t *task) bool {
	if w.paused(now, t) {
		return false
	}
	for _, r := range w.runs {
		if !t.triedWith(r.task) && !r.outlived(t.trialAge()) {
			return false
		}
	}
	return true
}

// paused reports whether the worker takes no trial of the suspect yet: another trial has just
// ended there, or the worker has just restarted after a crash under the suspect.
func (w *worker) paused(now time.Time, t *task) bool {
	return now.Sub(w.trialEndedAt) < trialPause || t.crashedOn(w) && now.Sub(w.bootedAt) < restartPause
}

// crashedOn reports whether the worker has crashed under a run of the task or its gang.
func (t *task) crashedOn(w *worker) bool {
	return t.anyMember(func(member *task) bool {
		return slices.ContainsFunc(member.crashes, func(c Crash) bool { return c.Worker == w.registration.ID })
	})
}

// reserveForTrial reserves the worker for a suspect on which nothing has been started for
// longest. It reports whether there is such a worker.
func (c *Cell) reserveForTrial(now time.Time, t *task) bool {
	var best *worker
	var oldest time.Time
	for _, w := range c.pass.healthy {
		if w.reservedFor != nil || w.onTrial(t) || w.paused(now, t) || !w.eligible(t) || !w.fits(t.step.step, t.requiredIdleShare(now)) {
			continue
		}
		last := w.lastStart(t)
		if best == nil || last.Before(oldest) || last.Equal(oldest) && w.registration.ID < best.registration.ID {
			best, oldest = w, last
		}
	}
	if best != nil {
		best.reservedFor = t
	}
	return best != nil
}
