package acceptor

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"zinniashore.example/archiver"
	"zinniashore.example/platform"
)

// Outcome is the outcome of a submission.
type Outcome string

// Outcomes of a submission.
const (
	// OutcomeAccepted means that this submission stored the job in its cell.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeExists means that the job is stored, by this or another submission,
	// possibly in another cell.
	OutcomeExists Outcome = "exists"
	// OutcomeRefused means that this submission has not stored the job and never
	// will.
	OutcomeRefused Outcome = "refused"
	// OutcomeCancelled means that the job was cancelled before, is not stored, and never will be.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeUnclear means that the job may be stored now or later.
	OutcomeUnclear Outcome = "unclear"
)

const (
	// refusedRetryTimeout is the age up to which a submission that the store refuses
	// is retried.
	refusedRetryTimeout = 300 * time.Millisecond
	retryDelay          = 60 * time.Millisecond
	queueLength         = 512
)

// Archive is the subset of archiver.Archiver that an Intake uses.
type Archive interface {
	Accept(ctx context.Context, jobs []archiver.AcceptedJob) error
	Cell(ctx context.Context, id string) (string, error)
}

// Intake stores submissions in batches: those that arrive while a batch is being
// stored form the next one. Its exported fields are set before Run.
type Intake struct {
	Clock   clockwork.Clock
	Archive Archive

	queue chan *submission
}

// NewIntake returns an Intake that stores submissions in archive once Run is called.
func NewIntake(clock clockwork.Clock, archive Archive) *Intake {
	return &Intake{Clock: clock, Archive: archive, queue: make(chan *submission, queueLength)}
}

// submission is a job that waits to be stored.
type submission struct {
	job      archiver.AcceptedJob
	deadline time.Time
	arrived  time.Time
	// abandoned is closed once the client has left or its timeout has passed.
	abandoned <-chan struct{}
	// unclear is true if an earlier attempt may have stored the job, or still may.
	unclear bool
	outcome chan Outcome
}

func (s *submission) end(outcome Outcome) { s.outcome <- outcome }

// Accept submits a job and returns the outcome. If ctx ends first, the outcome is
// OutcomeUnclear. A job that finds the queue full is refused.
func (i *Intake) Accept(ctx context.Context, id, cell string, record []byte) Outcome {
	s := &submission{
		job:     archiver.AcceptedJob{ID: id, Cell: cell, Record: record},
		arrived: i.Clock.Now(), abandoned: ctx.Done(),
		outcome: make(chan Outcome, 1),
	}
	s.deadline, _ = ctx.Deadline()
	select {
	case i.queue <- s:
	default:
		return OutcomeRefused
	}
	select {
	case outcome := <-s.outcome:
		return outcome
	case <-ctx.Done():
		return OutcomeUnclear
	}
}

// Run stores submissions until ctx ends.
func (i *Intake) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-i.queue:
			i.store(ctx, i.collect(first))
		}
	}
}

// collect returns a batch of first and as many queued submissions as fit into a
// transaction. A batch ends at a second submission of the same job, which is requeued.
func (i *Intake) collect(first *submission) []*submission {
	batch := []*submission{first}
	ids := map[string]bool{first.job.ID: true}
	for len(batch) < archiver.MaxAcceptBatch {
		select {
		case s := <-i.queue:
			if ids[s.job.ID] {
				i.requeue(s)
				return batch
			}
			ids[s.job.ID] = true
			batch = append(batch, s)
		default:
			return batch
		}
	}
	return batch
}

// requeue appends a submission to the queue again, or ends it if the queue is full.
func (i *Intake) requeue(s *submission) {
	select {
	case i.queue <- s:
	default:
		s.end(s.failureOutcome())
	}
}

// failureOutcome returns the outcome of a submission that failed and is not retried.
func (s *submission) failureOutcome() Outcome {
	if s.unclear {
		return OutcomeUnclear
	}
	return OutcomeRefused
}

// store stores a batch, with retries until each submission has an outcome.
func (i *Intake) store(ctx context.Context, batch []*submission) {
	for ctx.Err() == nil {
		if batch = endAbandoned(batch); len(batch) == 0 {
			return
		}
		err := i.accept(ctx, batch)
		var exists *archiver.ExistsError
		var refused *platform.RefusedError
		switch {
		case err == nil:
			for _, s := range batch {
				s.end(OutcomeAccepted)
			}
			return
		case errors.As(err, &exists):
			batch = endStored(batch, exists)
			continue
		case errors.As(err, &refused):
			batch = i.expireRefused(batch)
		default:
			klog.InfoS("No response from the store to a write; reading the jobs back", "jobs", len(batch), "err", err)
			batch = i.readBack(ctx, batch)
		}
		if len(batch) > 0 {
			i.Clock.Sleep(retryDelay)
		}
	}
	for _, s := range batch {
		s.end(s.failureOutcome())
	}
}

// endAbandoned ends the submissions that nobody waits for any more and that nothing was written
// of, and returns the others.
func endAbandoned(batch []*submission) []*submission {
	var remaining []*submission
	for _, s := range batch {
		select {
		case <-s.abandoned:
			if !s.unclear {
				s.end(OutcomeRefused)
				continue
			}
		default:
		}
		remaining = append(remaining, s)
	}
	return remaining
}

func (i *Intake) accept(ctx context.Context, batch []*submission) error {
	jobs := make([]archiver.AcceptedJob, len(batch))
	for n, s := range batch {
		jobs[n] = s.job
	}
	return i.Archive.Accept(ctx, jobs)
}

func endStored(batch []*submission, exists *archiver.ExistsError) []*submission {
	var remaining []*submission
	for _, s := range batch {
		switch {
		case exists.IDs[s.job.ID]:
			s.end(OutcomeExists)
		case exists.Cancelled[s.job.ID]:
			s.end(OutcomeCancelled)
		default:
			remaining = append(remaining, s)
		}
	}
	return remaining
}

// expireRefused ends the submissions that are older than refusedRetryTimeout and
// returns the others.
func (i *Intake) expireRefused(batch []*submission) []*submission {
	now := i.Clock.Now()
	var remaining []*submission
	for _, s := range batch {
		if now.Sub(s.arrived) > refusedRetryTimeout {
			s.end(s.failureOutcome())
		} else {
			remaining = append(remaining, s)
		}
	}
	return remaining
}

// readBack looks up each submission after a write without a response. It ends those
// that are stored and those whose deadline has passed, and returns the others.
func (i *Intake) readBack(ctx context.Context, batch []*submission) []*submission {
	var remaining []*submission
	for _, s := range batch {
		s.unclear = true
		cell, err := i.Archive.Cell(ctx, s.job.ID)
		switch {
		case err == nil && cell != "":
			s.end(OutcomeExists)
		case !s.deadline.IsZero() && i.Clock.Now().After(s.deadline):
			s.end(OutcomeUnclear)
		default:
			remaining = append(remaining, s)
		}
	}
	return remaining
}
