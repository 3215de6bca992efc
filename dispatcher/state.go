package dispatcher

import (
	"slices"
	"time"

	"zinniashore.example/rater"
)

// runPhase is the phase of a run as the holder knows it.
type runPhase string

const (
	// phaseSent: the start was sent and has no answer yet.
	phaseSent runPhase = "sent"
	// phaseConfirmed: the worker has confirmed the run.
	phaseConfirmed runPhase = "confirmed"
	// phaseUnknown: the start got no answer, and the worker may still execute it.
	phaseUnknown runPhase = "unclear"
	// phaseStopping: the run is being stopped.
	phaseStopping runPhase = "stopping"
)

// run is an attempt of a task that may be running on a worker.
type run struct {
	task   *task
	number int64
	worker *worker
	// boot is the boot of the worker that the start was for, or that listed the run; 0 if unknown.
	boot  int64
	phase runPhase
	// startToken is the fencing token of the start, if this holder has sent it.
	startToken int64
	// observed is true once the worker has listed the run, acceptedStart once it has accepted the start.
	observed, acceptedStart bool
	// listedAt is when the worker last listed the run, at the latest. The holder may have
	// handled that answer later.
	listedAt time.Time
	// sentAt is when the start was sent, confirmedAt when it was confirmed.
	sentAt, confirmedAt time.Time
	// firstStopAt and stopSentAt are when the first and the last stop were sent, stopAcceptedAt when the
	// worker accepted one. A later poll that doesn't list the run shows that it has ended.
	firstStopAt, stopSentAt, stopAcceptedAt time.Time
	checkpoint                              string
	percent                                 int
	usage                                   int64
	// lastsUntil is set if an earlier process of the worker, which may still be shutting down,
	// has the run: its lease has certainly expired then.
	lastsUntil time.Time
	// endAwaited is true once the lease on the run has expired, so that the run is no
	// longer active, but may be done.
	endAwaited bool
	// missedPolls counts the consecutive polls that didn't list a confirmed run.
	missedPolls int
	// overTargetSince is when the tail latency of a long-running task exceeded its
	// target; zero while it is within the target.
	overTargetSince time.Time
	// throttle is the speed to which the run is limited, in percent of full speed.
	// throttleAccepted is false if the worker may not have received that level, which
	// is then sent again. throttledSince is when throttle last fell below
	// migrationThrottle.
	throttle         int
	throttleAccepted bool
	throttledSince   time.Time
	// refusedSoon is true once the worker has refused connections soon after the start.
	refusedSoon bool
	// blameOnAnswer is the sign of a crash of the worker since the start was sent, empty if there is none.
	// The run is to blame unless the answer shows that the start didn't reach the worker.
	blameOnAnswer CrashSign
	// startKnown is true if this holder sent the start. track measures the run's progress;
	// trackLost is true once a part of it showed nothing of the worker's speed.
	startKnown bool
	track      rater.Track
	trackLost  bool
}

// removedRun is what logs tell of a run that isn't counted any more. The zero value is none.
type removedRun struct {
	number int64
	worker string
	// reason is why the run was removed, at at.
	reason string
	at     time.Time
}

// task is a task of an occurrence.
type task struct {
	id   TaskID
	step *stepState
	done bool
	// failures are the failed runs, in the order in which they were listed.
	failures []failedRun
	// crashes are the crashes of workers that the task may have caused.
	crashes    []Crash
	checkpoint string
	// outlivedRun is the number of the newest run that has cleared the task: crashes under earlier ones don't
	// count, however late they are learned of.
	outlivedRun int64
	// runs are the runs that may be active on workers, lastRun the one that was removed last.
	runs    []*run
	lastRun removedRun
	// unanswered are the newest starts without an answer.
	unanswered unansweredStarts
	// queued is true while the task is in the cell's ready list.
	queued bool
	// notBefore is the earliest time of the next start after a failure.
	notBefore time.Time
	// avoided are the workers on which the task has failed.
	avoided []string
	// movedFrom is the worker that the task was moved from at movedAt.
	movedFrom string
	movedAt   time.Time
	slowMoves slowMoves
	// waited is for how long a long-running task without a run was found to wait for each cause, nil if for none.
	waited map[WaitCause]time.Duration
	// refusedAt is when no other cell had capacity for the task.
	refusedAt time.Time
	// readyAt is when the task was last enqueued.
	readyAt time.Time
	// rackWait is the task's wait for a rack, that of the first member for a gang.
	rackWait rackWait
	// remote is true if another cell runs the task. delegatedTo is that cell if this
	// cell delegated the task, at delegatedAt.
	remote      bool
	delegatedTo string
	delegatedAt time.Time
}

func (t *task) job() *jobState { return t.step.occurrence.job }

func (t *task) avoids(worker string) bool {
	return slices.Contains(t.avoided, worker)
}

// stepState is the state of a step of an occurrence.
type stepState struct {
	step       *Step
	occurrence *occurrenceState
	tasks      []*task
	// openTasks counts the tasks that aren't done.
	openTasks int
	// ready is true once all steps that the step depends on are done.
	ready bool
	// groupRack is the rack in which the gang was last started as a whole, empty if there is none.
	groupRack string
}

// occurrenceState is the state of one repetition of a job's steps.
type occurrenceState struct {
	job    *jobState
	number int
	steps  []*stepState
	// openSteps counts the steps that have open tasks.
	openSteps int
}

// jobState is a job with the state of its tasks.
type jobState struct {
	job   Job
	state State
	// running counts the runs of the job.
	running int
	// started is true once a worker has accepted or listed a run of the job.
	started bool
	// occurrences are the occurrences that have begun, by number.
	occurrences map[int]*occurrenceState
	// finished holds the numbers of the occurrences that are done.
	finished map[int]bool
	// nextDue is the number of the next occurrence to begin.
	nextDue int
	// openOccurrences counts the occurrences that have begun and aren't done.
	openOccurrences int
	// due is the deadline that the queue's objective sets for the job.
	due time.Time
	// restAfter holds, for each step, the estimated run time of the longest chain of steps that
	// follows it; nil until it is needed.
	restAfter []time.Duration
	// restored is true if an earlier holder may have started tasks of the job.
	restored bool
	// cause tells why the job has failed, for logs.
	cause string
	// acceptedAfter is a time at which the store didn't have the job in this cell, or nothing of it
	// ran there; zero if none is known.
	acceptedAfter time.Time
	// loadedAt is when the job was loaded with the cell, for which its tasks may have waited under earlier holders; zero
	// if this holder got it later.
	loadedAt time.Time
	// relocating is true while the job is being relocated to another cell: nothing of it starts.
	// cancelDeferred is true if it was cancelled meanwhile.
	relocating, cancelDeferred bool
	// deliveredAgain is true if a record of the job arrived while it was being relocated: the job may
	// have come back since.
	deliveredAgain bool
	// returnedAt holds the revisions of the newest records by which other cells have given parts
	// back, unstoredReturns the cells whose tasks the store still has as delegated.
	returnedAt      map[string]int64
	unstoredReturns []string
	// returnedTasks are the tasks that were given back while the rest of the part stays, each with the time.
	returnedTasks map[TaskID]time.Time
	// unaccepted is true if the job was cancelled before it was accepted.
	unaccepted bool
	// finalAt is when the job became final.
	finalAt time.Time
	// stored is the newest state in the store.
	stored State
	// waiters are closed once the current state is in the store.
	waiters []chan struct{}
}

type runKey struct {
	task TaskID
	run  int64
}
