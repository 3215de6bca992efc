package dispatcher

import (
	"time"

	"zinniashore.example/fencer"
)

// worker is the state of a worker of the cell.
type worker struct {
	registration Registration
	// registered is true while the registry lists the worker. stored is true if the
	// store lists it as a worker on which tasks may run.
	registered, stored bool
	// left is true once the process of the worker that was last heard has drained, or has not
	// been registered, unless it has registered as ready since.
	left bool
	// absentSince is when the registry was first seen without the worker.
	absentSince time.Time
	// restored is true if an earlier holder used the worker.
	restored bool
	// drainedBoot is the boot that an earlier holder has last known, if that was draining, or one
	// that was shutting down then; 0 if there is none, it is unknown, or its leases have expired.
	// earlierBoot is that of which this holder counts runs although another boot has answered.
	drainedBoot, earlierBoot int64
	// replaced is true if the worker had another process before, as far as this holder and what is stored tell.
	replaced bool
	// drainingBoot is the boot that was last registered as draining, 0 if none is known: its exit is planned.
	drainingBoot int64
	// boot is the boot time in Unix milliseconds that the worker last reported; 0 if
	// unknown. bootSince is when this boot was first seen: an earlier poll may have been
	// answered by the boot before.
	boot      int64
	bootSince time.Time
	// bootedAt is when the worker's boot began at the latest: when its restart was seen, or,
	// for the first boot that was seen, by its monotonic clock, which may run slow.
	bootedAt time.Time
	// fence chooses the fencing tokens of the orders to the worker. unresolvedToken is the highest one of a
	// start without an answer that the worker may still execute, 0 if there is none.
	fence           fencer.Fence
	unresolvedToken int64
	// lateStartsUntil is until when the worker may execute a start that got no answer.
	lateStartsUntil time.Time
	// clock is a reading of the worker's monotonic clock, taken at clockAt or earlier.
	clock   time.Duration
	clockAt time.Time
	// leaseEnd is the latest lease end that was sent to the worker, on the worker's
	// clock.
	leaseEnd time.Duration
	// grantedAt is when the newest order with a lease was planned, to whichever boot.
	grantedAt time.Time
	// epochAccepted is true if the worker has accepted this holder's epoch.
	epochAccepted bool
	// endsListed is true once the worker's boot has listed all of its ends in one answer.
	endsListed bool
	// answeredAt is when the newest answered poll was sent, heardAt when its answer was
	// handled.
	answeredAt, heardAt time.Time
	// unansweredAt is when the newest unanswered poll was sent.
	unansweredAt time.Time
	// connectionRefused is true if the worker's address has refused a connection since
	// the worker last answered, addressTaken if another worker has answered there.
	connectionRefused, addressTaken bool
	// lastEnd is the number of the end up to which all ends were handled,
	// acknowledgedEnd that of the newest end that may be acknowledged to the worker
	// because its effect is stored.
	lastEnd, acknowledgedEnd int64
	// heldEnds are the ends that mustn't be acknowledged before a time, by number.
	heldEnds map[int64]time.Time
	// handledAhead holds the numbers of the handled ends above lastEnd.
	handledAhead map[int64]bool
	// awaitedEnds holds the listed ends of jobs that aren't known yet, by number.
	awaitedEnds map[int64]EndedRow
	// listedIncompletely is true if the newest listing was incomplete.
	listedIncompletely bool
	runs               map[runKey]*run
	// used is the capacity that runs take. It excludes the processors of best-effort
	// tasks, for which idleProcessors applies.
	used Size
	// bestEffortProcessors is what the best-effort tasks request, servingProcessors
	// what the long-running tasks with a latency target declare, in thousandths of a
	// processor.
	bestEffortProcessors, servingProcessors int64
	// bestEffortRuns counts the runs of best-effort tasks, servingRuns those of
	// long-running tasks with a latency target.
	bestEffortRuns, servingRuns int
	// speed is what planning uses of the worker's speed. movedOff is the task that last moved
	// off the worker because of it.
	speed    workerSpeed
	movedOff *task
	// fullUntil delays starts after the worker answered that it has no capacity.
	fullUntil time.Time
	// expiredYoung are the runs of long-running tasks that were young when their lease had
	// expired. They are to blame if it turns out that the worker has crashed.
	expiredYoung []*run
	// reservedFor is the long-running task that the worker's capacity is reserved for.
	reservedFor *task
	// trial is the newest run of a suspect on the worker, or nil. trialEndedAt is when one
	// was last found to have stood its trial.
	trial        *run
	trialEndedAt time.Time
	// quarantinedUntil delays starts after failures; consecutiveFailures counts the
	// failed tasks since the last success.
	quarantinedUntil    time.Time
	consecutiveFailures int
	// orphanedRuns are runs that no task needs, each with the time at which its stop
	// was last sent. For a run of an unknown job, the time is first set to
	// orphanedStopDelay ahead, which delays the first stop.
	orphanedRuns map[runKey]time.Time
	// forgotRuns is true if an earlier process of the worker had orphaned runs when it was replaced, which may last.
	forgotRuns bool
	// exitsAfter is the earliest time at which the worker exits if it drains, by its
	// registration. drainStoppedAt is when a task was last stopped because the worker drains.
	exitsAfter, drainStoppedAt time.Time
	// throttledAt is when the throttle levels of the worker's runs were last computed.
	throttledAt time.Time
}

// minClock returns a lower bound of the worker's clock.
func (w *worker) minClock(now time.Time) time.Duration {
	return w.clock + time.Duration(float64(now.Sub(w.clockAt))*minClockRate)
}

// noteBoot records that the worker's boot began at a time at the latest.
func (w *worker) noteBoot(at time.Time) {
	if at.After(w.bootedAt) {
		w.bootedAt = at
	}
}

// latestTime returns the latest time of the holder, up to now, at which the worker's clock may
// have shown a reading of its current boot.
func (w *worker) latestTime(now time.Time, clock time.Duration) time.Time {
	passed := time.Duration(float64(max(clock-w.clock, 0)) / minClockRate)
	if latest := w.clockAt.Add(passed); w.epochAccepted && latest.Before(now) {
		return latest
	}
	return now
}

// leaseExpired reports whether the lease on the worker's runs has certainly expired.
func (w *worker) leaseExpired(now time.Time) bool {
	return w.epochAccepted && w.minClock(now) > w.leaseEnd+leaseExpiryMargin
}

// responsive reports whether the worker has answered recently enough to get a longer lease.
func (w *worker) responsive(now time.Time) bool { return now.Sub(w.heardAt) < unresponsiveTimeout }

// hasLabel reports whether the worker has a label. Every worker has the empty label.
func (w *worker) hasLabel(label string) bool { return label == "" || w.registration.HasLabel(label) }

// eligible reports whether the worker meets the constraints of a task, regardless of
// its free capacity.
func (w *worker) eligible(t *task) bool {
	step := t.step.step
	return w.registration.Service == t.job().job.Queue.Service && w.hasLabel(step.Label) &&
		(step.WorkerLimit == 0 || w.countRuns(t.step) < step.WorkerLimit)
}

// addUsage adds the usage of a run of a step (sign 1) or removes it (sign -1).
func (w *worker) addUsage(step *Step, sign int) {
	size := step.Size
	if step.BestEffort {
		w.bestEffortRuns += sign
		w.bestEffortProcessors += int64(sign) * size.MilliProcessors
		size.MilliProcessors = 0
	}
	if step.TailTarget > 0 {
		w.servingRuns += sign
		w.servingProcessors += int64(sign) * size.MilliProcessors
	}
	if sign > 0 {
		w.used = w.used.Plus(size)
	} else {
		w.used = w.used.Minus(size)
	}
}

// idleProcessors returns the processors that are expected to be idle and free for more
// best-effort tasks, in thousandths of a processor. Long-running tasks use only a
// share of the processors that they declare.
func (w *worker) idleProcessors() int64 {
	serving := int64(servingUtilization * float64(w.servingProcessors))
	return w.registration.Capacity.MilliProcessors - w.used.MilliProcessors + w.servingProcessors - serving - w.bestEffortProcessors
}

// servingUtilization is the share of its declared processors that a long-running task
// with a latency target uses.
const servingUtilization = 0.42

// fits reports whether a task of a step fits into the worker's free capacity. A
// best-effort task needs idleShare of its processors to be idle.
func (w *worker) fits(step *Step, idleShare float64) bool {
	size := step.Size
	if step.BestEffort {
		if float64(w.idleProcessors()) < idleShare*float64(size.MilliProcessors) {
			return false
		}
		size.MilliProcessors = 0
	}
	return w.freeCapacity().Holds(size)
}

func (w *worker) freeCapacity() Size { return w.registration.Capacity.Minus(w.used) }

// freeCapacityKnown reports whether freeCapacity can be relied on. Runs that no task needs
// aren't included until they have ended, since their sizes aren't known. A worker that has
// restarted may have another capacity, and other labels, than it registered before.
func (w *worker) freeCapacityKnown() bool {
	registeredBoot := w.registration.Boot == w.boot || w.registration.Boot == 0 || w.boot == 0
	return registeredBoot && len(w.orphanedRuns) == 0
}
