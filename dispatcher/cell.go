// Package dispatcher runs the jobs of a cell: it decides which task starts on which
// worker and when, and writes the state that must outlive the process to the store.
//
// A Cell holds the state and makes the decisions, without input or output. A Runner
// passes it the answers of workers and the store, and executes the orders that it
// returns.
package dispatcher

import (
	"time"

	"zinniashore.example/estimator"
	"zinniashore.example/rater"
	"zinniashore.example/recorder"
)

const (
	// minClockRate is the lowest rate at which a worker's clock may run, relative to
	// the holder's clock.
	minClockRate = 0.98
	// leaseExpiryMargin is added to the end of a lease before the holder treats it as
	// expired.
	leaseExpiryMargin = 50 * time.Millisecond

	// maxRunsPerEpoch is how many run numbers are available under each epoch.
	maxRunsPerEpoch = 1 << 20

	// stopRetryInterval separates repeated stop orders for a run.
	stopRetryInterval = 400 * time.Millisecond
	// unresponsiveTimeout is how long after its last answer a worker still gets a longer
	// lease. Starts are withheld for longer: this time plus Limits.PollWait after its last
	// answered poll was sent.
	unresponsiveTimeout = 1500 * time.Millisecond
	// missedPollsUntilLost is the number of consecutive polls without a confirmed run
	// after which the run is marked as lost.
	missedPollsUntilLost = 2
)

// Limits are the durations and factors that govern a Cell.
type Limits struct {
	// LeaseDuration is how long a worker's lease on its runs lasts. All holders of a
	// cell must use the same value.
	LeaseDuration time.Duration
	// MaxLeaseDuration is the longest lease that a worker accepts.
	MaxLeaseDuration time.Duration
	// PollWait is how long a worker may wait for a run to end before it answers a poll.
	PollWait time.Duration
	// MaxConfirmationAge is the age up to which the workers' answers confirm that the
	// holder still holds the cell.
	MaxConfirmationAge time.Duration
	// FullLeaseAge is the age of the newest confirmation up to which leases have their full
	// duration. An older one shortens them by the rest, so that no lease lasts longer than
	// FullLeaseAge and LeaseDuration after the holder was last confirmed.
	FullLeaseAge time.Duration
	// MaxIsolation is how long the holder acts, and its leases last, without a renewal of its authority
	// (Cell.Renewed), by its own clock; 0 is without limit. So a holder that doesn't answer any more has
	// stopped by a known time.
	MaxIsolation time.Duration
	// StateRetention is how long the state of a final job is kept.
	StateRetention time.Duration
	// RemoteFactor is how many times as long a task takes outside the rack of its data or of its
	// group; 0 if unknown. Tasks wait for a rack only if it is above 1.
	RemoteFactor float64
	// CheckpointInterval is the time between two checkpoints of a run, RestoreTime how long one
	// takes to be restored; both are 0 if unknown.
	CheckpointInterval, RestoreTime time.Duration
}

// Cell is the state of a cell under one epoch. Its exported fields are set before the
// first call. It is not safe for concurrent use.
type Cell struct {
	// Name is the name of the cell.
	Name string
	// Epoch is the fencing token of the holder's first orders to a worker.
	Epoch int64
	// Limits are the durations that govern the cell.
	Limits Limits
	// EarlierFullLeaseAge is the FullLeaseAge of the earlier holders, the longest if they differ.
	EarlierFullLeaseAge time.Duration
	// EarlierLeaseEnds are the times by which leases on runs of workers have expired, as the previous
	// holder reported when it released the cell. Of other workers nothing is known.
	EarlierLeaseEnds map[string]time.Time
	// EarlierRuns are the tasks that may have a run of an earlier holder on a worker, as the previous holder reported.
	EarlierRuns ReportedRuns
	// EarlierProcessLeaseEnds are, by process of a worker, the times by which leases on runs of the processes before it have
	// expired, which may still be shutting down, as the previous holder reported.
	EarlierProcessLeaseEnds map[ProcessID]time.Time
	// Recorder records the events of decisions.
	Recorder Recorder
	// EarlierTerms names, for logs, the holders of earlier terms that may act on.
	EarlierTerms []string

	jobs    map[string]*jobState
	workers map[string]*worker
	// workerIDs are the ids of the workers in order, nil after a change.
	workerIDs []string
	// services are the names of the configured services, nil if all are. unnamed are the
	// registrations of workers of other services that no holder has used.
	services map[string]bool
	unnamed  map[string]Registration
	// evacuated are the failure domains on whose workers nothing may start.
	evacuated FailureDomains
	// removedWorkers counts the workers that are removed here and still listed in the
	// store.
	removedWorkers int
	ready          []*task
	// dirty holds the ids of the jobs that have changed since they were last stored.
	dirty map[string]bool
	// unknownJobs are the jobs that aren't known although a worker lists one of their ends,
	// each with the time at which that was first seen. absentJobs are those that the store
	// doesn't have either, each with the time of its answer.
	unknownJobs, absentJobs map[string]time.Time
	// blamed are the tasks that have been blamed for crashes of workers.
	blamed map[*task]bool
	// upcoming are the jobs with occurrences that haven't begun.
	upcoming map[string]*jobState
	// lastRun is the number, under the epoch, of the newest run or gang of runs.
	lastRun int64
	// active is true once a majority of the workers has accepted the epoch, at
	// activeAt.
	active   bool
	activeAt time.Time
	// earlierEndedAt is a time by which all earlier holders have certainly stopped acting, zero
	// if none is known.
	earlierEndedAt time.Time
	// earlierExpiredAt is a time by which all leases that earlier holders granted have expired as well, zero if
	// that follows only from the ends of those holders.
	earlierExpiredAt time.Time
	// inactiveSince is since when the holder doesn't act, zero while it does, and
	// inactivityReportedAt when that was last reported.
	inactiveSince, inactivityReportedAt time.Time
	// waits is what was found and reported of waiting tasks.
	waits waitLog
	// resumedAt is when the holder's VM was last found to have been suspended.
	resumedAt time.Time
	// registryReadAt is the time up to which the changes of the registry are known.
	registryReadAt time.Time
	// registrySteadySince is since when the registry has been read without a long gap.
	registrySteadySince time.Time
	// jobsReadAt is the time up to which the jobs that the store has in the cell are known; zero
	// before it is known.
	jobsReadAt time.Time
	// provenRevision is the newest revision of the store that certainly precedes the next holder's term, needsRevision true if
	// a worker's fencing token can't be raised for want of a newer one.
	provenRevision int64
	needsRevision  bool
	// forgottenToken is the highest fencing token that a worker got which the cell has forgotten, 0 if there is none.
	forgottenToken int64
	// superseded is true once a worker has answered that it has seen a newer epoch.
	superseded bool
	// termCheckedAt is when the newest check of the store began that showed that no other
	// holder's term has begun.
	termCheckedAt time.Time
	// renewedAt is when the authority of the holder was last renewed.
	renewedAt time.Time
	// pendingStops are the runs to stop whose stop the worker hasn't accepted yet.
	pendingStops []*run
	// headrooms estimates the headroom of long-running tasks and the effect of
	// co-located tasks on it.
	headrooms *estimator.Headrooms
	// runTimes learns the run times of tasks if learnsRunTimes is true.
	runTimes       *estimator.Ratios
	learnsRunTimes bool
	// pendingPart is the part of a job that is being delegated to another cell, until
	// it is stored.
	pendingPart *Part
	// pendingPartSince is when pendingPart was last set.
	pendingPartSince time.Time
	// pendingRelocation is the relocation of a job, until it is stored or refused.
	pendingRelocation *Relocation
	// departed holds the jobs that were relocated, and those of which a part was given back, each
	// with the time. A record of one may still arrive late.
	departed map[string]time.Time
	// pendingReturn is the part that is being given back, until that is stored or refused.
	pendingReturn *PartReturn
	// pass is the planning pass while the ready tasks are placed, else nil.
	pass *planningPass
	// speeds learns the speeds of the workers, which were last rated at ratedAt. anySlow is true if
	// one was slow then.
	speeds  *rater.Rater
	ratedAt time.Time
	anySlow bool
	// slowMoveTriedAt is when a move off a slow worker was last tried.
	slowMoveTriedAt time.Time
	// storing is true while a batch is being written to the store.
	storing bool
}

// NewCell returns an empty Cell.
func NewCell(name string, epoch int64, limits Limits, events Recorder) *Cell {
	return &Cell{
		Name:      name,
		Epoch:     epoch,
		Limits:    limits,
		Recorder:  events,
		jobs:      map[string]*jobState{},
		workers:   map[string]*worker{},
		unnamed:   map[string]Registration{},
		departed:  map[string]time.Time{},
		dirty:     map[string]bool{},
		upcoming:  map[string]*jobState{},
		blamed:    map[*task]bool{},
		headrooms: estimator.NewHeadrooms(),
		runTimes:  estimator.NewRatios(),
		speeds:    rater.New(),

		unknownJobs: map[string]time.Time{},
		absentJobs:  map[string]time.Time{},
	}
}

// Superseded reports whether a worker has seen a newer epoch.
func (c *Cell) Superseded() bool { return c.superseded }

// AddJob adds an accepted job. progress is its stored progress, or nil. restored is
// true if an earlier holder may have started tasks of the job. A job that is already
// known is not replaced; only its delegated part is extended. One that has departed is looked up
// in the store first.
func (c *Cell) AddJob(now time.Time, job Job, progress *Progress, restored bool) {
	if j, known := c.jobs[job.ID]; known {
		j.deliveredAgain = j.deliveredAgain || j.relocating || c.pendingReturn != nil && c.pendingReturn.Job == job.ID
		c.extendPart(now, j, &job, false)
		return
	}
	if _, departed := c.departed[job.ID]; departed {
		c.unknownJobs[job.ID] = now.Add(-unknownJobTimeout)
		return
	}
	delete(c.unknownJobs, job.ID)
	delete(c.absentJobs, job.ID)
	if progress == nil {
		progress = job.Progress
	}
	j := &jobState{
		job:         job,
		state:       StateQueued,
		stored:      StateQueued,
		occurrences: map[int]*occurrenceState{},
		finished:    map[int]bool{},
		restored:    restored,

		acceptedAfter: c.jobsReadAt,
	}
	if restored && c.jobsReadAt.IsZero() {
		j.loadedAt = now
	}
	j.due = j.job.Accepted.Add(j.job.Queue.Target + time.Duration(j.job.Queue.Stretch*float64(criticalPath(job.Steps))))
	c.jobs[job.ID] = j
	if progress != nil {
		c.restore(now, j, progress)
	}
	if progress != nil && progress == job.Progress {
		c.markCrashesElsewhere(j)
	}
	if j.state.Final() {
		return
	}
	c.record(recorder.Event{Kind: KindJobAdded, Key: job.ID, Detail: job.Queue.Name})
	c.upcoming[job.ID] = j
	c.noteRacks(&j.job)
	c.beginOccurrences(now, j)
	c.addPartCrashes(now, j)
	c.applyListed(now, job.ID)
}

// Cancel cancels a job. It reports whether the job is known; one that is being relocated isn't. The
// channel stored is closed once the cancellation is in the store; it is nil if it already is.
func (c *Cell) Cancel(now time.Time, id string) (known bool, stored <-chan struct{}) {
	j, known := c.jobs[id]
	if !known {
		return false, nil
	}
	if j.relocating {
		j.cancelDeferred = true
		return false, nil
	}
	if !j.state.Final() {
		c.record(recorder.Event{Kind: KindJobCancelled, Key: id})
		c.finish(now, j, StateCancelled)
	}
	if j.stored == j.state {
		return true, nil
	}
	waiter := make(chan struct{})
	j.waiters = append(j.waiters, waiter)
	return true, waiter
}

// finish moves a job to a final state and stops its remaining runs.
func (c *Cell) finish(now time.Time, j *jobState, state State) {
	j.state = state
	j.finalAt = now
	c.dirty[j.job.ID] = true
	delete(c.upcoming, j.job.ID)
	c.headrooms.Forget(j.job.ID)
	c.record(recorder.Event{Kind: KindJobFinal, Key: j.job.ID, Detail: string(state)})
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				c.stopRuns(t)
			}
		}
	}
}

// fail moves a job to StateFailed, for a cause that logs tell.
func (c *Cell) fail(now time.Time, j *jobState, cause string) {
	j.cause = cause
	c.finish(now, j, StateFailed)
}

// stopRuns requests the stop of all runs of a task.
func (c *Cell) stopRuns(t *task) {
	for _, r := range t.runs {
		c.stop(r)
	}
}

func (c *Cell) stop(r *run) {
	if r.phase == phaseStopping {
		return
	}
	r.phase = phaseStopping
	c.pendingStops = append(c.pendingStops, r)
}

// State returns the state of a job as clients see it, and whether the job is known and was
// accepted for this cell: a part tells little of its job. A final state is visible only once
// it is stored.
func (c *Cell) State(id string) (State, bool) {
	j, known := c.jobs[id]
	if !known || j.job.Part != nil || j.unaccepted {
		return "", false
	}
	if j.state.Final() && j.stored != j.state {
		return StateRunning, true
	}
	if j.state == StateQueued && j.started {
		return StateRunning, true
	}
	return j.state, true
}

// Pending returns the number of jobs of a queue of which no task has started.
func (c *Cell) Pending(queue string) int {
	count := 0
	for _, j := range c.jobs {
		if j.job.Queue.Name == queue && !j.started && !j.state.Final() {
			count++
		}
	}
	return count
}
