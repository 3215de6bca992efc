// Package submitter stores the records of batch jobs: their submission, cancellation and
// outcome.
package submitter

import (
	"fmt"
	"strings"
	"time"

	"zinniashore.example/placer"
)

// Prefix is the key prefix of the job records. Each job has one key.
const Prefix = "watched/jobs/"

// MaxTasks is the largest number of tasks of a job.
const MaxTasks = 4096

// maxNameBytes bounds the names of organisations, jobs, cells and templates.
const maxNameBytes = 128

// JobState is the state of a job.
type JobState string

// States of jobs.
const (
	// JobAccepted is a job that is recorded and waits or runs. Which of its tasks run is
	// known only to the owner of its cell.
	JobAccepted JobState = "accepted"
	// JobRunning is a job that has started tasks.
	JobRunning JobState = "running"
	// JobDone is a job whose tasks are all done.
	JobDone JobState = "done"
	// JobFailed is a job that has ended with at least one task that failed permanently.
	JobFailed JobState = "failed"
	// JobCancelled is a job that was cancelled and has no running task.
	JobCancelled JobState = "cancelled"
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool {
	return s == JobDone || s == JobFailed || s == JobCancelled
}

// Job is a batch job of equal tasks. It is a value and is not modified in place.
type Job struct {
	// Organisation owns the job.
	Organisation string
	// Name names the job within its organisation.
	Name string
	// Cell is the cell that runs the job.
	Cell string
	// Template names the template that the job was made from.
	Template string
	// Tasks is the number of tasks, from 1 to MaxTasks.
	Tasks int
	// Size is the declared size of each task.
	Size placer.Size
	// Priority orders jobs; a higher priority is scheduled first.
	Priority int
	// Urgent marks a job whose tasks must start within the urgent start limit.
	Urgent bool
	// FailureDomains are the failure domains where the tasks may run; empty means any.
	FailureDomains []string
	// NotBefore is the start of the time window, zero if none.
	NotBefore time.Time
	// Deadline is the end of the time window, zero if none.
	Deadline time.Time
	// Work is the declared run time of each task.
	Work time.Duration
	// State is the recorded state.
	State JobState
	// Reason is why the job cannot run or why it failed.
	Reason string
	// Cancelled is set once the cancellation was requested.
	Cancelled bool
	// Submitted is when the job was first recorded.
	Submitted time.Time
	// Finished is when the outcome was recorded. It is zero before.
	Finished time.Time
	// DoneTasks is the number of tasks that were done.
	DoneTasks int
	// FailedTasks is the number of tasks that failed permanently.
	FailedTasks int
}

// Key returns the key of the job's record in the store.
func (j Job) Key() string { return key(j.Organisation, j.Name) }

// WithOutcome returns j with a final state and its outcome.
func (j Job) WithOutcome(state JobState, reason string, done, failed int, finished time.Time) Job {
	j.State = state
	j.Reason = reason
	j.DoneTasks = done
	j.FailedTasks = failed
	j.Finished = finished
	return j
}

// WithReason returns j with the reason why it cannot run now.
func (j Job) WithReason(reason string) Job {
	j.Reason = reason
	return j
}

// sameContent reports whether two submissions request the same job. The cell is chosen
// by the scheduler and is not part of the request.
func (j Job) sameContent(o Job) bool {
	return j.Template == o.Template &&
		j.Tasks == o.Tasks &&
		j.Size == o.Size &&
		j.Priority == o.Priority &&
		j.Urgent == o.Urgent &&
		strings.Join(j.FailureDomains, "/") == strings.Join(o.FailureDomains, "/") &&
		j.NotBefore.Equal(o.NotBefore) &&
		j.Deadline.Equal(o.Deadline) &&
		j.Work == o.Work
}

// InvalidError reports a job that cannot be recorded.
type InvalidError struct {
	// Field is the invalid field, in snake case.
	Field string
	// Reason is why the field is invalid.
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string { return fmt.Sprintf("job: %s: %s", e.Field, e.Reason) }

// ConflictError reports a submission whose name belongs to a job with other content.
type ConflictError struct {
	// Stored is the job that has the name.
	Stored Job
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("job: %s/%s exists with other content", e.Stored.Organisation, e.Stored.Name)
}

// NotFoundError reports a job that has no record.
type NotFoundError struct {
	// Organisation is the organisation of the job.
	Organisation string
	// Name is the name of the job.
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("job: %s/%s is not known", e.Organisation, e.Name)
}

func (j Job) validate() error {
	names := []struct{ field, value string }{
		{"organisation", j.Organisation},
		{"name", j.Name},
		{"cell", j.Cell},
		{"template", j.Template},
	}
	for _, n := range names {
		if reason := invalidName(n.value); reason != "" {
			return &InvalidError{Field: n.field, Reason: reason}
		}
	}
	switch {
	case j.Tasks < 1 || j.Tasks > MaxTasks:
		return &InvalidError{Field: "tasks", Reason: fmt.Sprintf("%d is not between 1 and %d", j.Tasks, MaxTasks)}
	case j.Size.Processors < 0 || j.Size.Memory < 0 || j.Size.Accelerators < 0:
		return &InvalidError{Field: "size", Reason: "a resource is negative"}
	case j.Size == (placer.Size{}):
		return &InvalidError{Field: "size", Reason: "no resource is asked for"}
	case j.Work < 0:
		return &InvalidError{Field: "work", Reason: "it is negative"}
	case !j.Deadline.IsZero() && !j.NotBefore.Before(j.Deadline):
		return &InvalidError{Field: "deadline", Reason: "it is not after not_before"}
	}
	return nil
}

func invalidName(name string) string {
	switch {
	case name == "":
		return "it is empty"
	case len(name) > maxNameBytes:
		return fmt.Sprintf("it is longer than %d bytes", maxNameBytes)
	case strings.ContainsAny(name, "/ \t\r\n"):
		return "it contains a slash or white space"
	}
	return ""
}

func key(organisation, name string) string { return Prefix + organisation + "/" + name }
