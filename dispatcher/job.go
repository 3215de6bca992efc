package dispatcher

import (
	"fmt"
	"strconv"
	"time"
)

// TaskID identifies a task of a job.
type TaskID struct {
	// Job is the id of the job.
	Job string
	// Occurrence counts the repetitions of the job's steps from 0.
	Occurrence int
	// Step and Index are the step in the job and the task in the step, counted from 0.
	Step, Index int
}

// String returns the id in the form in which logs show it.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// Size is an amount of resources.
type Size struct {
	// MilliProcessors is a number of processors in thousandths.
	MilliProcessors int64
	// Megabytes is memory in MB.
	Megabytes int64
	// Accelerators is a number of accelerators.
	Accelerators int64
}

// Plus returns the sum of two sizes.
func (s Size) Plus(other Size) Size {
	return Size{
		MilliProcessors: s.MilliProcessors + other.MilliProcessors,
		Megabytes:       s.Megabytes + other.Megabytes,
		Accelerators:    s.Accelerators + other.Accelerators,
	}
}

// Minus returns the difference of two sizes.
func (s Size) Minus(other Size) Size {
	return Size{
		MilliProcessors: s.MilliProcessors - other.MilliProcessors,
		Megabytes:       s.Megabytes - other.Megabytes,
		Accelerators:    s.Accelerators - other.Accelerators,
	}
}

// Holds reports whether other fits into s.
func (s Size) Holds(other Size) bool {
	return other.MilliProcessors <= s.MilliProcessors &&
		other.Megabytes <= s.Megabytes &&
		other.Accelerators <= s.Accelerators
}

// Step is a set of identical tasks of a job.
type Step struct {
	// Count is the number of tasks.
	Count int
	// Size is the resources that each task needs.
	Size Size
	// Estimate is the estimated run time of a task.
	Estimate time.Duration
	// After lists the indexes of earlier steps whose tasks must all be done before this
	// step starts.
	After []int
	// Checkpoints is true if a stopped task can resume from its last checkpoint.
	Checkpoints bool
	// Gang is true if the tasks can only run all together.
	Gang bool
	// RackLocal is true if the tasks are slower when they run on several racks.
	RackLocal bool
	// Label is a label that the worker must have, or empty.
	Label string
	// DataRack is the rack that holds the step's data, or empty.
	DataRack string
	// WorkerLimit is the maximum number of the step's tasks on one worker; 0 is no
	// limit.
	WorkerLimit int
	// Copies is true if several copies of a task may run at the same time.
	Copies bool
	// LongRunning is true if the tasks are long-running: they run until the job is
	// cancelled.
	LongRunning bool
	// Image names what the tasks run. Tasks of the same image are assumed to behave
	// alike.
	Image string
	// TailTarget is the upper bound of a long-running task's tail latency; 0 is none.
	TailTarget time.Duration
	// BestEffort is true if the tasks are best-effort: they use only processors that
	// other tasks leave idle.
	BestEffort bool
	// MaxUnavailable is how many long-running tasks the scheduler may interrupt at the
	// same time.
	MaxUnavailable int
}

// Job is an accepted job.
type Job struct {
	// ID is the job's id, which the client chooses.
	ID string
	// Queue is the job's queue as it was configured when the job was accepted.
	Queue Queue
	// Spec is passed to every task unchanged.
	Spec string
	// Steps are the job's steps.
	Steps []Step
	// Occurrences is the number of times that the steps run; at least 1.
	Occurrences int
	// Timed is true if occurrences have due times.
	Timed bool
	// FirstDue is when the first occurrence is due.
	FirstDue time.Time
	// Interval is the time between the due times of consecutive occurrences.
	Interval time.Duration
	// Progress is the progress of the job in the cell from which it was relocated, or nil.
	Progress *Progress
	// Part lists the tasks of the job that this cell runs; nil means all of them.
	Part []TaskID
	// PartCrashes are the crashes of workers under tasks of the part, in the cell that has
	// delegated it.
	PartCrashes []TaskCrashes
	// Home is the cell that has delegated the part; empty if Part is nil, or an earlier
	// build stored the part.
	Home string
	// Accepted is the wall-clock time at which the job was submitted.
	Accepted time.Time
}

// contains reports whether the job has a task.
func (j *Job) contains(id TaskID) bool {
	return id.Occurrence >= 0 && id.Occurrence < j.Occurrences &&
		id.Step >= 0 && id.Step < len(j.Steps) &&
		id.Index >= 0 && id.Index < j.Steps[id.Step].Count
}

// JobRecordError reports a stored job that can't be run.
type JobRecordError struct {
	// Job is the id of the job, Step the number of the step, Dependency the step that it can't
	// depend on.
	Job              string
	Step, Dependency int
}

// Error implements error.
func (e *JobRecordError) Error() string {
	return fmt.Sprintf("job %s: step %d depends on step %d, which is not an earlier one", e.Job, e.Step, e.Dependency)
}

// validate returns a *JobRecordError if a step depends on one that isn't an earlier step.
func (j *Job) validate() error {
	for i, step := range j.Steps {
		for _, dependency := range step.After {
			if dependency < 0 || dependency >= i {
				return &JobRecordError{Job: j.ID, Step: i, Dependency: dependency}
			}
		}
	}
	return nil
}

// Due returns when an occurrence is due.
func (j *Job) Due(occurrence int) time.Time {
	if !j.Timed {
		return j.Accepted
	}
	return j.FirstDue.Add(time.Duration(occurrence) * j.Interval)
}

// Queue is the configuration of a queue that accepts jobs.
type Queue struct {
	// Name identifies the queue.
	Name string
	// Host and Prefix select the queue for a request.
	Host, Prefix string
	// Service names the service whose workers run the queue's tasks.
	Service string
	// Timeout bounds the time until a request is answered.
	Timeout time.Duration
	// Priority orders queues; 0 is the highest.
	Priority int
	// Attempts is the number of failed runs after which a task, and with it its job,
	// fails.
	Attempts int
	// Stretch and Target define the objective of a job: it should be done after Stretch
	// times its critical path, plus Target.
	Stretch float64
	Target  time.Duration
	// Advised is true if the advisor decides which workers may run a step.
	Advised bool
}

// State is the state of a job.
type State string

// States of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the state of a job is final and never changes again.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}
