package dispatcher

import (
	"slices"
	"time"
)

// runPhase is how far a run has got.
type runPhase string

const (
	// phaseSent: the start was sent and not answered yet.
	phaseSent runPhase = "sent"
	// phaseConfirmed: the worker has said that it has the run.
	phaseConfirmed runPhase = "confirmed"
	// phaseUnclear: the start got no answer, and may be carried out yet.
	phaseUnclear runPhase = "unclear"
	// phaseStopping: the run is to be stopped.
	phaseStopping runPhase = "stopping"
)

// run is one start of a task that may be at work on a worker.
type run struct {
	task   *task
	number int64
	worker *worker
	phase  runPhase
	// known says that the worker has had the run.
	known bool
	// sentAt is when the start was sent, confirmedAt when it was confirmed.
	sentAt, confirmedAt time.Time
	// stopSentAt is when the last stop was sent, stopTakenAt when the worker
	// took one; from then on a look without the run shows that it is gone.
	stopSentAt, stopTakenAt time.Time
	checkpoint              string
	percent                 int
	usage                   int64
	// missing counts the looks in a row that didn't list a confirmed run.
	missing int
	// overSince is when a lasting task's tail latency passed its target.
	overSince time.Time
	// pace is the share at which the run may work, in percent; slowSince is when
	// it was last set low. paceTaken says that the worker surely has it.
	pace      int
	paceTaken bool
	slowSince time.Time
}

// task is a task of an occurrence.
type task struct {
	id   TaskID
	step *stepState
	done bool
	// failedRuns are the runs that ended failed, in the order of their listing.
	failedRuns []int64
	checkpoint string
	// runs may be at work somewhere.
	runs []*run
	// queued says that the task is in the cell's ready list.
	queued bool
	// notBefore holds the task back after a failed start.
	notBefore time.Time
	// avoided are the workers that the task failed on.
	avoided []string
	// movedFrom is the worker that the task was moved from at movedAt.
	movedFrom string
	movedAt   time.Time
	// refusedAt is when no other cell had room for the task.
	refusedAt time.Time
	// readyAt is when the task could first start.
	readyAt time.Time
	// elsewhere says that another cell runs the task; cell names it if it was
	// handed over from here.
	elsewhere bool
	cell      string
}

func (t *task) job() *jobState { return t.step.occurrence.job }

func (t *task) avoids(worker string) bool {
	return slices.Contains(t.avoided, worker)
}

// stepState is a step of an occurrence.
type stepState struct {
	step       *Step
	occurrence *occurrenceState
	tasks      []*task
	// open counts the tasks that aren't done.
	open     int
	unlocked bool
}

// occurrenceState is one repetition of a job's steps.
type occurrenceState struct {
	job    *jobState
	number int
	steps  []*stepState
	// open counts the steps that have open tasks.
	open int
}

// jobState is a job and what is known about its tasks.
type jobState struct {
	job   Job
	state State
	// running counts the runs of the job.
	running int
	// started says that a task has started.
	started bool
	// occurrences are those that have begun, by number.
	occurrences map[int]*occurrenceState
	// finished are the occurrences that are done.
	finished map[int]bool
	// nextDue is the next occurrence that hasn't begun.
	nextDue int
	// due is when the job's objective ends.
	due time.Time
	// restored says that the job may have been started by an earlier holder.
	restored bool
	// finalAt is when the job became final, shownAt when that was stored.
	finalAt time.Time
	// stored is the newest state that the store holds.
	stored State
	// waiters are told when the state has been stored.
	waiters []chan struct{}
}

// worker is a worker of the cell.
type worker struct {
	registration Registration
	// listed says that the registry has the worker, stored that the store knows
	// that tasks may be on it.
	listed, stored bool
	// restored says that an earlier holder used the worker.
	restored bool
	// boot is the life that answered last; 0 is unknown.
	boot int64
	// clock is the worker's clock as read at clockAt or later.
	clock   time.Duration
	clockAt time.Time
	// grant is the newest lease end that was sent to the worker, on its clock.
	grant time.Duration
	// fenced says that the worker has taken this holder's epoch.
	fenced bool
	// answeredAt is when the newest look that was answered was sent.
	answeredAt time.Time
	// closed says that nothing has listened at the worker's address since it last
	// answered.
	closed bool
	// unknownSince is when an end of an unknown job was first listed.
	unknownSince time.Time
	// seen is the newest end that was noted, acknowledged the newest that the
	// store knows of.
	seen, acknowledged int64
	runs               map[runKey]*run
	// used is what the runs take of the worker's room. The processors of fillers
	// don't count there; idle is used for them.
	used Size
	// fillerProcessors are the processors that the fillers want, servingProcessors
	// those that the lasting tasks with a target declare, in thousandths.
	fillerProcessors, servingProcessors int64
	// fillers and servers count the runs of fillers and of lasting tasks with a
	// target.
	fillers, servers int
	// fullUntil holds starts back after the worker had no room.
	fullUntil time.Time
	// reserved is the lasting task that the worker's room is kept for.
	reserved *task
	// quarantinedUntil holds starts back after the worker misbehaved; strikes
	// counts its recent misdeeds.
	quarantinedUntil time.Time
	strikes          int
	// strays are runs that nobody needs, by when their stop was last sent.
	strays map[runKey]time.Time
	// leftAt is when a lasting task was last stopped because the worker leaves.
	leftAt  time.Time
	pacedAt time.Time
}

type runKey struct {
	task TaskID
	run  int64
}

// lowClock returns a time that the worker's clock has surely reached.
func (w *worker) lowClock(now time.Time) time.Duration {
	return w.clock + time.Duration(float64(now.Sub(w.clockAt))*slowestClock)
}

// lapsed reports whether the lease on the worker's runs has surely ended.
func (w *worker) lapsed(now time.Time) bool {
	return w.fenced && w.lowClock(now) > w.grant+lapseMargin
}

// left reports whether the worker has left: it was draining, the registry has it
// no more, and nothing listens at its address. Either of these alone may have
// other causes.
func (w *worker) left() bool {
	return w.closed && !w.listed && w.registration.Phase == PhaseDraining
}

// has reports whether the worker has a label, which may be none.
func (w *worker) has(label string) bool { return label == "" || w.registration.HasLabel(label) }

// suits reports whether the worker may run a task at all, with room.
func (w *worker) suits(t *task) bool {
	step := t.step.step
	return w.registration.Service == t.job().job.Queue.Service && w.has(step.Label) &&
		(step.WorkerLimit == 0 || w.runsOf(t.step) < step.WorkerLimit)
}

// occupy notes that a run of a step begins (sign 1) or ends (sign -1).
func (w *worker) occupy(step *Step, sign int) {
	size := step.Size
	if step.Filler {
		w.fillers += sign
		w.fillerProcessors += int64(sign) * size.MilliProcessors
		size.MilliProcessors = 0
	}
	if step.TailTarget > 0 {
		w.servers += sign
		w.servingProcessors += int64(sign) * size.MilliProcessors
	}
	if sign > 0 {
		w.used = w.used.Plus(size)
	} else {
		w.used = w.used.Minus(size)
	}
}

// idle returns the processors that are expected to be left for more fillers, in
// thousandths. Lasting tasks use a part of what they declare.
func (w *worker) idle() int64 {
	serving := int64(servingUse * float64(w.servingProcessors))
	return w.registration.Capacity.MilliProcessors - w.used.MilliProcessors + w.servingProcessors - serving - w.fillerProcessors
}

// servingUse is the part of its declared processors that a lasting task uses.
const servingUse = 0.42

// fits reports whether a task of a step fits into the worker's room; one that
// uses only idle processors needs a share of them to be there.
func (w *worker) fits(step *Step, idleShare float64) bool {
	size := step.Size
	if step.Filler {
		if float64(w.idle()) < idleShare*float64(size.MilliProcessors) {
			return false
		}
		size.MilliProcessors = 0
	}
	return w.free().Holds(size)
}

func (w *worker) free() Size { return w.registration.Capacity.Minus(w.used) }
