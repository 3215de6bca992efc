// Package dispatcher runs the jobs of a cell: it decides which task starts on
// which worker and when, and keeps what must survive in the store.
//
// A Cell is the state and the decisions, without input or output. A Runner
// feeds it with what workers and the store say, and carries out its orders.
package dispatcher

import (
	"time"

	"zinniashore.example/estimator"
	"zinniashore.example/recorder"
)

const (
	// slowestClock is the rate of the slowest clock of a worker.
	slowestClock = 0.98
	lapseMargin  = 50 * time.Millisecond

	// runsOfEpoch is the room for run numbers below each epoch.
	runsOfEpoch = 1 << 20

	stopInterval    = 400 * time.Millisecond
	silenceInterval = 1500 * time.Millisecond
	// missingLooks is how many looks in a row must miss a run to end it.
	missingLooks = 2
)

// Kinds of events of the time line.
const (
	KindJobAdded     recorder.Kind = "job_added"
	KindJobFinal     recorder.Kind = "job_final"
	KindJobCancelled recorder.Kind = "job_cancelled"
	KindStart        recorder.Kind = "task_start"
	KindStartFailed  recorder.Kind = "task_start_failed"
	KindEnd          recorder.Kind = "task_end"
	KindStop         recorder.Kind = "task_stop"
	KindAdopted      recorder.Kind = "task_adopted"
	KindLost         recorder.Kind = "task_lost"
	KindHandOver     recorder.Kind = "task_hand_over"
	KindStray        recorder.Kind = "task_stray"
	KindWorker       recorder.Kind = "worker"
	KindCell         recorder.Kind = "cell"
)

// Recorder takes the events of decisions.
type Recorder interface {
	Record(event recorder.Event) recorder.Timestamp
}

// Limits are the times that a Cell keeps.
type Limits struct {
	// Grant is how long a worker's lease on its runs lasts. All holders of a cell
	// must keep the same.
	Grant time.Duration
	// LookWait is how long a worker may wait for an end before it answers.
	LookWait time.Duration
	// Confirmation is how old the word of the workers may be by which the holder
	// believes that it still holds the cell.
	Confirmation time.Duration
	// StateRetention is how long the state of a final job is kept.
	StateRetention time.Duration
}

// Cell is the state of a cell under one epoch. Its exported fields are set
// before the first call. It is not safe for concurrent use.
type Cell struct {
	// Name is the name of the cell.
	Name string
	// Epoch fences the orders of the holder.
	Epoch int64
	// Limits are the times to keep.
	Limits Limits
	// Recorder takes the events of decisions.
	Recorder Recorder

	jobs    map[string]*jobState
	workers map[string]*worker
	// forgotten counts the workers that the store lists although they are gone.
	forgotten int
	ready     []*task
	dirty     map[string]bool
	// timed are the jobs that have occurrences to come.
	timed map[string]*jobState
	runs  int64
	// active says that most workers have taken the epoch; activeAt is when.
	active   bool
	activeAt time.Time
	fencedBy bool
	stops    []*run
	// headrooms is what is known of lasting tasks and their neighbours.
	headrooms *estimator.Headrooms
	// part is being handed over to another cell.
	part *Part
	// storing says that a batch is on its way to the store.
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
		dirty:     map[string]bool{},
		timed:     map[string]*jobState{},
		headrooms: estimator.NewHeadrooms(),
	}
}

// Superseded reports whether a worker has seen a newer epoch.
func (c *Cell) Superseded() bool { return c.fencedBy }

// record adds an event to the time line.
func (c *Cell) record(event recorder.Event) {
	event.Cell = c.Name
	event.Epoch = c.Epoch
	c.Recorder.Record(event)
}

// AddJob adds a job that was accepted. Progress is what the store holds of it,
// or nil. Restored says that an earlier holder may have started tasks of it. A
// job that is known already stays as it is.
func (c *Cell) AddJob(now time.Time, job Job, progress *Progress, restored bool) {
	if j, known := c.jobs[job.ID]; known {
		c.extendPart(now, j, job.Part)
		return
	}
	j := &jobState{
		job:         job,
		state:       StateQueued,
		stored:      StateQueued,
		occurrences: map[int]*occurrenceState{},
		finished:    map[int]bool{},
		restored:    restored,
	}
	j.due = j.job.Accepted.Add(j.job.Queue.Target + time.Duration(j.job.Queue.Stretch*float64(chain(job.Steps))))
	c.jobs[job.ID] = j
	if progress != nil {
		c.restore(now, j, progress)
	}
	if j.state.Final() {
		return
	}
	c.record(recorder.Event{Kind: KindJobAdded, Key: job.ID, Detail: job.Queue.Name})
	c.timed[job.ID] = j
	c.beginOccurrences(now, j)
}

// chain returns the longest chain of estimated work of steps.
func chain(steps []Step) time.Duration {
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	for i, s := range steps {
		for _, before := range s.After {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// beginOccurrences begins the occurrences that are due.
func (c *Cell) beginOccurrences(now time.Time, j *jobState) {
	for j.nextDue < j.job.Occurrences && !now.Before(j.job.Due(j.nextDue)) {
		if !j.finished[j.nextDue] {
			c.beginOccurrence(now, j, j.nextDue)
		}
		j.nextDue++
	}
	if j.nextDue >= j.job.Occurrences {
		delete(c.timed, j.job.ID)
	}
}

// beginOccurrence returns the occurrence; one that hasn't begun begins.
func (c *Cell) beginOccurrence(now time.Time, j *jobState, number int) *occurrenceState {
	if o, begun := j.occurrences[number]; begun {
		return o
	}
	o := &occurrenceState{job: j, number: number, open: len(j.job.Steps)}
	for i := range j.job.Steps {
		step := &j.job.Steps[i]
		s := &stepState{step: step, occurrence: o, open: step.Count}
		for index := range step.Count {
			id := TaskID{Job: j.job.ID, Occurrence: number, Step: i, Index: index}
			s.tasks = append(s.tasks, &task{id: id, step: s, elsewhere: !j.job.has(id)})
		}
		o.steps = append(o.steps, s)
	}
	j.occurrences[number] = o
	c.unlock(now, o)
	return o
}

// unlock makes the tasks ready whose earlier steps are done.
func (c *Cell) unlock(now time.Time, o *occurrenceState) {
	for _, s := range o.steps {
		if s.unlocked || !o.stepsDone(s.step.After) {
			continue
		}
		s.unlocked = true
		for _, t := range s.tasks {
			c.enqueue(now, t)
		}
	}
}

func (o *occurrenceState) stepsDone(steps []int) bool {
	for _, s := range steps {
		if o.steps[s].open > 0 {
			return false
		}
	}
	return true
}

// enqueue puts a task that may start into the ready list.
func (c *Cell) enqueue(now time.Time, t *task) {
	if t.queued || t.done || t.elsewhere || len(t.runs) > 0 || !t.step.unlocked || t.job().state.Final() {
		return
	}
	t.queued = true
	t.readyAt = now
	c.ready = append(c.ready, t)
}

// Cancel cancels a job. It reports whether the job is known; stored is closed
// once the cancellation is in the store, and nil if it already is.
func (c *Cell) Cancel(now time.Time, id string) (known bool, stored <-chan struct{}) {
	j, known := c.jobs[id]
	if !known {
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

// finish makes a job final and stops what still runs of it.
func (c *Cell) finish(now time.Time, j *jobState, state State) {
	j.state = state
	j.finalAt = now
	c.dirty[j.job.ID] = true
	delete(c.timed, j.job.ID)
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

// stopRuns asks for the end of all runs of a task.
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
	c.stops = append(c.stops, r)
}

// State returns the state of a job that clients may see, and whether the job is
// known.
func (c *Cell) State(id string) (State, bool) {
	j, known := c.jobs[id]
	if !known {
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

// Pending returns how many jobs of a queue have no task started.
func (c *Cell) Pending(queue string) int {
	count := 0
	for _, j := range c.jobs {
		if j.job.Queue.Name == queue && !j.started && !j.state.Final() {
			count++
		}
	}
	return count
}
