package dispatcher

import (
	"fmt"
	"slices"
	"time"

	"zinniashore.example/recorder"
)

// CrashSign is what the crash of a worker was concluded from.
type CrashSign string

// Signs of a crash.
const (
	// SignRefused: the address of the worker refused connections.
	SignRefused CrashSign = "connections refused"
	// SignLost: the lease had expired, and the worker was missing from the registry, or another one
	// answered at its address.
	SignLost CrashSign = "lost"
	// SignForgotten: the cell has forgotten the worker, which was silent and missing from the registry.
	SignForgotten CrashSign = "forgotten"
	// SignClosed: the cell has forgotten the worker, which refused connections and was missing from the
	// registry.
	SignClosed CrashSign = "closed"
	// SignReplaced: the cell has forgotten the worker, as another one has its address.
	SignReplaced CrashSign = "replaced"
	// SignRestarted: another boot of the worker answered, or has registered.
	SignRestarted CrashSign = "started anew"
)

// Crash is the crash of a worker under a run that had just been started there.
type Crash struct {
	// Run is the number of the run.
	Run int64
	// Worker is the id of the worker, Boot the boot that the run was for, in Unix milliseconds, 0 if
	// unknown.
	Worker string
	Boot   int64
	// Sign is the last sign of the crash. It is empty if an earlier build recorded the crash.
	Sign CrashSign
	// Attributed is true if the worker almost certainly had the run. Other starts may not have reached it.
	Attributed bool
	// Confirmed is true once the boot has certainly ended, or the worker is forgotten. Until then the
	// worker may have been unreachable only.
	Confirmed bool
	// Elsewhere is true if another cell recorded the crash, of a worker of its own.
	Elsewhere bool
	// At is when the crash was recorded, by the time of day of the holder's VM.
	At time.Time
	// Prompt is true if the worker had not listed the run at an age of promptAge or more.
	Prompt bool

	// knownAt is when the crash was recorded, or restored if that isn't known.
	knownAt time.Time
	// stored is true once the store has the crash.
	stored bool
}

const (
	// crashWindow is the age at which a run, once listed, isn't to blame for the crash of its
	// worker any more.
	crashWindow = time.Second
	// promptAge is the age before which a crash is prompt: few other runs are as young.
	promptAge = 100 * time.Millisecond
	// attributionTime is how soon after a start without an answer its worker must have refused connections
	// to have had the run.
	attributionTime = 500 * time.Millisecond
)

// startsWith reports whether the task starts together with another one: they are the same, or
// members of a gang.
func (t *task) startsWith(other *task) bool {
	return t == other || t.step == other.step && t.step.step.Gang
}

// startedTogether returns the members of the task's gang, or the task alone.
func (t *task) startedTogether() []*task {
	if t.step.step.Gang {
		return t.step.tasks
	}
	return []*task{t}
}

// anyMember reports whether a predicate holds for the task or another member of its gang.
func (t *task) anyMember(holds func(*task) bool) bool {
	return slices.ContainsFunc(t.startedTogether(), holds)
}

// outlived reports whether the worker has listed the run at an age or more.
func (r *run) outlived(age time.Duration) bool { return r.listedAt.Sub(r.sentAt) >= age }

// passedOver reports whether a poll that was sent after the start was accepted was answered
// without listing the run. A start that isn't accepted may be executed after such a poll.
func (r *run) passedOver() bool {
	return !r.observed && r.phase == phaseConfirmed && r.worker.answeredAt.After(r.confirmedAt)
}

// attributable reports whether the worker, which has crashed, almost certainly had the run: it had
// acknowledged the run, or refused connections soon after the start.
func (r *run) attributable() bool { return r.acknowledged() || r.refusedSoon }

// refusesSoon reports whether a connection that the worker refuses now follows the start of the run, with no
// answered poll in between.
func (r *run) refusesSoon(now time.Time) bool {
	return now.Sub(r.sentAt) <= attributionTime && !r.worker.answeredAt.After(r.sentAt)
}

// mayHaveCrashed reports whether the run may be the cause if its worker has crashed.
func (r *run) mayHaveCrashed() bool { return !r.outlived(crashWindow) && !r.passedOver() }

// blame records the crash of a worker for a run that may be its cause, and gives the task
// up if it has certainly crashed too many. That of a job which has left the cell isn't recorded.
func (c *Cell) blame(now time.Time, r *run, sign CrashSign) {
	t := r.task
	if c.jobs[t.id.Job] != t.job() || t.done || t.job().state.Final() || r.worker.plansExit(r.boot) || r.number < t.outlivedRun {
		return
	}
	if !t.blamedFor(r.number) {
		c.recordCrash(now, r, sign)
	}
	if sign == SignRestarted {
		c.confirmCrash(now, t, r.number, sign)
	}
}

// recordCrash records the crash of a worker for a run, which isn't confirmed yet.
func (c *Cell) recordCrash(now time.Time, r *run, sign CrashSign) {
	t := r.task
	id := r.worker.registration.ID
	t.crashes = append(t.crashes, Crash{
		Run: r.number, Worker: id, Boot: r.boot, Sign: sign, Attributed: r.attributable(), At: now,
		Prompt: !r.outlived(promptAge), knownAt: now,
	})
	c.blamed[t] = true
	if !t.avoids(id) {
		t.avoided = append(t.avoided, id)
	}
	c.dirty[t.id.Job] = true
	c.record(recorder.Event{
		Kind: KindCrash, VM: id, Task: t.id.String(), Attempt: int(r.number), Key: t.id.Job,
		Detail: fmt.Sprintf("crash %d, prompt %d: %s; %s; %s", len(t.crashes), t.promptCrashes(), sign, r.describe(now), c.describe(now, r.worker)),
	})
}

// noteCrash records the crash of a worker that refuses connections for its runs, before their
// end is certain: another holder would not know of them.
func (c *Cell) noteCrash(now time.Time, w *worker) {
	if w.registration.Phase == PhaseDraining {
		return
	}
	for _, r := range w.sortedRuns() {
		r.refusedSoon = r.refusedSoon || r.refusesSoon(now)
		if r.phase != phaseSent && r.mayHaveCrashed() {
			c.blame(now, r, SignRefused)
		}
	}
}

func (t *task) blamedFor(number int64) bool {
	return slices.ContainsFunc(t.crashes, func(crash Crash) bool { return crash.Run == number })
}

// memberToGiveUp returns the task, or the member of its gang, under which too many workers
// have crashed, or nil.
func (t *task) memberToGiveUp(now time.Time) *task {
	for _, member := range t.startedTogether() {
		if member.crashesTooMany(now) {
			return member
		}
	}
	return nil
}

// gangRuns reports whether a member of the task's gang has a run.
func (t *task) gangRuns() bool {
	return t.step.step.Gang && t.anyMember(func(member *task) bool { return len(member.runs) > 0 })
}

// giveUp fails the job of a task that crashes workers, unless the job has ended.
func (c *Cell) giveUp(now time.Time, t *task) {
	if t.job().state.Final() {
		return
	}
	cause := c.describeCrashes(now, t)
	last := t.crashes[len(t.crashes)-1]
	c.record(recorder.Event{
		Kind: KindGivenUp, VM: last.Worker, Task: t.id.String(), Attempt: int(last.Run), Key: t.id.Job, Detail: cause,
	})
	c.fail(now, t.job(), t.id.String()+": "+cause)
}

// blameCrashed blames the runs of a worker whose lease has expired, if its address refuses
// connections since it last answered, or it is lost. A worker that drains may have left as
// planned. If the worker lists a run again, or its end, the blame is taken back.
func (c *Cell) blameCrashed(now time.Time, w *worker) {
	switch {
	case w.registration.Phase == PhaseDraining:
	case w.connectionRefused:
		c.blameRuns(now, w, SignRefused)
	case c.lost(w):
		c.blameRuns(now, w, SignLost)
	}
}

// blameRuns blames the runs of a worker that has crashed. A start that has no answer yet may
// turn out not to have reached it.
func (c *Cell) blameRuns(now time.Time, w *worker, sign CrashSign) {
	runs := append(w.expiredYoung, w.sortedRuns()...)
	w.expiredYoung = nil
	for _, r := range runs {
		switch {
		case !r.mayHaveCrashed():
		case r.phase == phaseSent:
			if r.blameOnAnswer != SignRestarted {
				r.blameOnAnswer = sign
			}
		default:
			c.blame(now, r, sign)
		}
	}
}

// clearCrash takes back the blame for the crash of a worker under a run, if there is any, for a reason.
func (c *Cell) clearCrash(now time.Time, t *task, number int64, reason string) {
	i := slices.IndexFunc(t.crashes, func(crash Crash) bool { return crash.Run == number })
	if i < 0 {
		return
	}
	c.recordWithdrawal(now, t, t.crashes[i], reason)
	t.crashes = slices.DeleteFunc(t.crashes, func(crash Crash) bool { return crash.Run == number })
	c.dirty[t.id.Job] = true
}

// clearCrashes takes back all blame of a task of which a run has outlived crashWindow. The
// end of a young run doesn't show that the task crashes no worker, nor does a member of a gang
// that may still be waiting for others.
func (c *Cell) clearCrashes(now time.Time, r *run) {
	t := r.task
	blamed := t.anyMember((*task).blamed)
	if !blamed && t.outlivedRun >= r.number || t.anyMember(func(member *task) bool { return !member.hasOutlived(r.number) }) {
		return
	}
	for _, member := range t.startedTogether() {
		for _, crash := range member.crashes {
			c.recordWithdrawal(now, member, crash, fmt.Sprintf("run %d has stood its trial", r.number))
		}
		member.crashes = nil
		member.outlivedRun = max(member.outlivedRun, r.number)
	}
	if blamed {
		c.dirty[t.id.Job] = true
	}
}

// blamed reports whether the task has been blamed for a crash.
func (t *task) blamed() bool { return len(t.crashes) > 0 }

// hasOutlived reports whether the task's run of a number has outlived crashWindow.
func (t *task) hasOutlived(number int64) bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return r.number == number && r.outlived(crashWindow) })
}

// markCrashesStored notes which crashes of a job's tasks the store has.
func (c *Cell) markCrashesStored(j *jobState, p *Progress) {
	for _, stored := range p.Crashes {
		if o := j.occurrences[stored.Task.Occurrence]; o != nil {
			t := o.steps[stored.Task.Step].tasks[stored.Task.Index]
			for i, crash := range t.crashes {
				isStored := func(other Crash) bool { return other.Run == crash.Run }
				t.crashes[i].stored = crash.stored || slices.ContainsFunc(stored.Crashes, isStored)
			}
		}
	}
}
