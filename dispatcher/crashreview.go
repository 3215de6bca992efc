package dispatcher

import (
	"fmt"
	"slices"
	"time"

	"zinniashore.example/recorder"
)

// livenessAge is how long after a crash was recorded the registry must still list the worker's boot to show
// that it lives. It is longer than the registry keeps a worker that has crashed.
const livenessAge = 10 * time.Second

// crashVerdict is what the review of a crash has found. The zero value changes nothing.
type crashVerdict struct {
	// confirmedBy is the sign that confirms the crash, or empty.
	confirmedBy CrashSign
	// withdrawnFor is the reason for which the crash was none, or empty.
	withdrawnFor string
}

// reviewCrashes confirms the crashes of workers that have certainly crashed, and takes back those of workers
// that haven't.
func (c *Cell) reviewCrashes(now time.Time) {
	for t := range c.blamed {
		if len(t.crashes) == 0 || t.done || t.job().state.Final() {
			delete(c.blamed, t)
			continue
		}
		for _, crash := range slices.Clone(t.crashes) {
			switch verdict := c.judgeCrash(crash); {
			case verdict.confirmedBy != "":
				c.confirmCrash(now, t, crash.Run, verdict.confirmedBy)
			case verdict.withdrawnFor != "":
				c.clearCrash(now, t, crash.Run, verdict.withdrawnFor)
			}
		}
	}
}

// judgeCrash decides on a crash. Whatever the worker looked like, it hasn't crashed if it answers under the
// boot that it had.
func (c *Cell) judgeCrash(crash Crash) crashVerdict {
	w := c.workers[crash.Worker]
	if w == nil {
		return c.judgeUnknown(crash)
	}
	answered := w.epochAccepted && w.answeredAt.After(crash.knownAt)
	sameBoot := w.boot == crash.Boot
	switch {
	case answered && sameBoot:
		return crashVerdict{withdrawnFor: "the worker has answered under the same boot"}
	case w.plansExit(crash.Boot): // the registry may have been behind
		return crashVerdict{withdrawnFor: "the worker had registered that it drains"}
	case crash.certain():
		return crashVerdict{}
	case answered && crash.Boot == 0:
		return crashVerdict{withdrawnFor: "the worker has answered, its boot at the time isn't known"}
	case c.registeredSince(w, crash):
		return crashVerdict{withdrawnFor: "the registry still lists the boot"}
	case w.boot != 0 && !sameBoot, w.registered && crash.Boot != 0 && w.registration.Boot > crash.Boot:
		return crashVerdict{confirmedBy: SignRestarted}
	}
	return crashVerdict{}
}

// judgeUnknown decides on a crash of a worker that the cell doesn't know: an earlier holder has forgotten it.
func (c *Cell) judgeUnknown(crash Crash) crashVerdict {
	if crash.Confirmed || !c.active || c.registryReadAt.IsZero() {
		return crashVerdict{}
	}
	return crashVerdict{confirmedBy: SignForgotten}
}

// registeredSince reports whether the registry, which has been read all the while, lists the boot of a
// worker long after its crash was recorded: the worker still reports to it.
func (c *Cell) registeredSince(w *worker, crash Crash) bool {
	if !w.registered || crash.Boot == 0 || w.registration.Boot != crash.Boot {
		return false
	}
	return c.registryReadFor(crash.knownAt) >= livenessAge
}

// confirmCrashes confirms the crashes of a worker that is being forgotten.
func (c *Cell) confirmCrashes(now time.Time, w *worker) {
	sign := SignForgotten
	switch {
	case w.displaced():
		sign = SignReplaced
	case w.connectionRefused:
		sign = SignClosed
	}
	for t := range c.blamed {
		for _, crash := range slices.Clone(t.crashes) {
			switch {
			case crash.Worker != w.registration.ID || crash.Confirmed:
			case w.plansExit(crash.Boot):
				c.clearCrash(now, t, crash.Run, "the worker had registered that it drains")
			default:
				c.confirmCrash(now, t, crash.Run, sign)
			}
		}
	}
}

// confirmCrash confirms the crash of a worker under a run of a task, and gives the task up if it has
// crashed too many.
func (c *Cell) confirmCrash(now time.Time, t *task, number int64, sign CrashSign) {
	i := slices.IndexFunc(t.crashes, func(crash Crash) bool { return crash.Run == number })
	if i < 0 || t.crashes[i].certain() || t.crashes[i].Confirmed && (sign == SignForgotten || sign == SignClosed) {
		return
	}
	crash := &t.crashes[i]
	crash.Confirmed, crash.Sign = true, sign
	c.dirty[t.id.Job] = true
	c.recordReview(KindCrashConfirmed, t, *crash, c.describeCrash(now, *crash))
	if t.crashesTooMany(now) && !t.gangRuns() {
		c.giveUp(now, t)
	}
}

// recordWithdrawal records that a crash doesn't count any more, and why.
func (c *Cell) recordWithdrawal(now time.Time, t *task, crash Crash, reason string) {
	c.recordReview(KindCrashWithdrawn, t, crash, fmt.Sprintf("%s; %s", reason, c.describeCrash(now, crash)))
}

func (c *Cell) recordReview(kind recorder.Kind, t *task, crash Crash, detail string) {
	c.record(recorder.Event{Kind: kind, VM: crash.Worker, Task: t.id.String(), Attempt: int(crash.Run), Key: t.id.Job, Detail: detail})
}

// restoreCrashes sets the crashes of a task that an earlier holder has stored.
func (c *Cell) restoreCrashes(now time.Time, t *task, stored []Crash) {
	t.crashes = slices.Clone(stored)
	for i := range t.crashes {
		crash := &t.crashes[i]
		crash.knownAt, crash.stored = crash.recordedBy(now), true
	}
	c.blamed[t] = true
}

// recordedBy returns a time up to now by which the crash was recorded. The times of day of two VMs may differ.
func (c Crash) recordedBy(now time.Time) time.Time {
	if c.At.IsZero() || c.At.After(now) {
		return now
	}
	return c.At
}

// markCrashesElsewhere notes that another cell recorded the crashes of a job that has moved here.
func (c *Cell) markCrashesElsewhere(j *jobState) {
	for t := range c.blamed {
		if t.job() != j {
			continue
		}
		for i := range t.crashes {
			t.crashes[i].Elsewhere = true
		}
	}
}

// hasUnconfirmedCrash reports whether a crash of the task is still open. Only this cell can decide on it.
func (t *task) hasUnconfirmedCrash() bool {
	return slices.ContainsFunc(t.crashes, func(crash Crash) bool { return !crash.Confirmed })
}

// hasUnconfirmedCrash reports whether a crash of a task of the job is still open.
func (c *Cell) hasUnconfirmedCrash(j *jobState) bool {
	for t := range c.blamed {
		if t.job() == j && t.hasUnconfirmedCrash() {
			return true
		}
	}
	return false
}
