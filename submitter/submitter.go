package submitter

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/keeper"
)

// errUnchanged ends an update whose result is already stored.
var errUnchanged = errors.New("job: unchanged")

// Submitter records jobs. Its exported fields are set before use. It is safe for
// concurrent use. Its methods return the errors of keeper.Keeper if the store fails.
type Submitter struct {
	// Keeper accesses the store.
	Keeper *keeper.Keeper
	// Clock gives the times of submission and outcome.
	Clock clockwork.Clock
}

// Submit records a job and returns it as stored. It is idempotent by organisation and
// name: submitting the same content again returns the stored job. It returns an
// *InvalidError for a job that can't be recorded, and a *ConflictError if the name
// belongs to a job with other content.
func (s *Submitter) Submit(ctx context.Context, job Job) (Job, error) {
	job = job.accepted(s.Clock.Now())
	if err := job.validate(); err != nil {
		return Job{}, err
	}
	return s.update(ctx, job.Organisation, job.Name, func(stored *Job) (Job, error) {
		if stored == nil {
			return job, nil
		}
		if !stored.sameContent(job) {
			return Job{}, &ConflictError{Stored: *stored}
		}
		return *stored, errUnchanged
	})
}

// Cancel records the cancellation of a job and returns the job as stored. The state
// becomes JobCancelled once none of its tasks runs. It returns a *NotFoundError if the
// job is not recorded.
func (s *Submitter) Cancel(ctx context.Context, organisation, name string) (Job, error) {
	return s.change(ctx, organisation, name, func(stored Job) (Job, error) {
		if stored.Cancelled || stored.State.Ended() {
			return stored, errUnchanged
		}
		stored.Cancelled = true
		return stored, nil
	})
}

// Finish records the outcome of a job once and returns the job as stored. An outcome
// that is already recorded is kept. It returns a *NotFoundError if the job is not
// recorded.
func (s *Submitter) Finish(ctx context.Context, organisation, name string, state JobState, reason string, done, failed int) (Job, error) {
	finished := s.Clock.Now()
	return s.change(ctx, organisation, name, func(stored Job) (Job, error) {
		if stored.State.Ended() {
			return stored, errUnchanged
		}
		return stored.WithOutcome(state, reason, done, failed, finished), nil
	})
}

// Explain records why a job cannot run now; an empty reason clears an earlier one. It
// returns a *NotFoundError if the job is not recorded.
func (s *Submitter) Explain(ctx context.Context, organisation, name, reason string) (Job, error) {
	return s.change(ctx, organisation, name, func(stored Job) (Job, error) {
		if stored.State.Ended() || stored.Reason == reason {
			return stored, errUnchanged
		}
		return stored.WithReason(reason), nil
	})
}

// Purge deletes the record of a job that ended before the given time, and reports whether
// it deleted one.
func (s *Submitter) Purge(ctx context.Context, organisation, name string, before time.Time) (bool, error) {
	purged := false
	_, err := s.Keeper.Update(ctx, key(organisation, name), func(current keeper.Document) ([]byte, error) {
		purged = false
		job, err := decodeBody(current)
		if err != nil {
			return nil, err
		}
		if !job.State.Ended() || !job.Finished.Before(before) {
			return nil, errUnchanged
		}
		purged = true
		return nil, nil
	})
	var absent *NotFoundError
	if errors.Is(err, errUnchanged) || errors.As(err, &absent) {
		return false, nil
	}
	return purged && err == nil, err
}

// Get returns a job, or a *NotFoundError if the job is not recorded.
func (s *Submitter) Get(ctx context.Context, organisation, name string) (Job, error) {
	document, err := s.Keeper.Read(ctx, key(organisation, name))
	if err != nil {
		return Job{}, err
	}
	if document.Body == nil {
		return Job{}, &NotFoundError{Organisation: organisation, Name: name}
	}
	return decodeBody(document)
}

// List returns the jobs of an organisation, or of all organisations if the name is empty,
// sorted by organisation and name.
func (s *Submitter) List(ctx context.Context, organisation string) ([]Job, error) {
	prefix := Prefix
	if organisation != "" {
		prefix += organisation + "/"
	}
	listing, err := s.Keeper.Store.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	var jobs []Job
	for _, entry := range listing.Entries {
		job, err := DecodeJob(entry)
		if err != nil {
			return nil, err
		}
		jobs = append(jobs, job)
	}
	return jobs, nil
}

// accepted returns j with the state of a new submission.
func (j Job) accepted(now time.Time) Job {
	j.State = JobAccepted
	j.Reason = ""
	j.Cancelled = false
	j.Submitted = now
	j.Finished = time.Time{}
	j.DoneTasks = 0
	j.FailedTasks = 0
	j.Work = j.Work.Truncate(time.Millisecond)
	return j
}

func (s *Submitter) change(ctx context.Context, organisation, name string, change func(Job) (Job, error)) (Job, error) {
	return s.update(ctx, organisation, name, func(stored *Job) (Job, error) {
		if stored == nil {
			return Job{}, &NotFoundError{Organisation: organisation, Name: name}
		}
		return change(*stored)
	})
}

func (s *Submitter) update(ctx context.Context, organisation, name string, change func(stored *Job) (Job, error)) (Job, error) {
	var result Job
	_, err := s.Keeper.Update(ctx, key(organisation, name), func(current keeper.Document) ([]byte, error) {
		var stored *Job
		if current.Body != nil {
			job, err := decodeBody(current)
			if err != nil {
				return nil, err
			}
			stored = &job
		}
		var err error
		result, err = change(stored)
		if err != nil {
			return nil, err
		}
		return encodeJob(result)
	})
	if errors.Is(err, errUnchanged) {
		return result, nil
	}
	if err != nil {
		return Job{}, err
	}
	return result, nil
}
