package dispatcher_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/dispatcher"
)

// idleWorkers answers no order.
type idleWorkers struct{}

func (idleWorkers) Start(context.Context, dispatcher.StartOrder) (dispatcher.Answer, error) {
	return dispatcher.AnswerUnsent, nil
}

func (idleWorkers) Stop(context.Context, dispatcher.StopOrder) (dispatcher.Answer, error) {
	return dispatcher.AnswerUnsent, nil
}

func (idleWorkers) Throttle(context.Context, dispatcher.ThrottleOrder) (dispatcher.Answer, error) {
	return dispatcher.AnswerUnsent, nil
}

func (idleWorkers) Poll(context.Context, dispatcher.PollOrder) (dispatcher.Listing, dispatcher.Answer, error) {
	return dispatcher.Listing{}, dispatcher.AnswerUnsent, nil
}

// slowArchive delays Load until released is closed.
type slowArchive struct {
	stored   dispatcher.StoredCell
	released chan struct{}
}

func (a *slowArchive) Load(ctx context.Context) (dispatcher.StoredCell, error) {
	select {
	case <-a.released:
		return a.stored, nil
	case <-ctx.Done():
		return dispatcher.StoredCell{}, ctx.Err()
	}
}

func (a *slowArchive) Find(context.Context, string) (dispatcher.StoredJob, bool, error) {
	return dispatcher.StoredJob{}, false, nil
}

func (a *slowArchive) Save(context.Context, *dispatcher.Batch) error { return nil }

func (a *slowArchive) ProvenRevision() int64 { return 0 }

func (a *slowArchive) Heartbeat(context.Context) error { return nil }

func (a *slowArchive) CheckTerm(context.Context) error { return nil }

// noCells knows no other cells.
type noCells struct{}

func (noCells) FindCell(context.Context, []string, string, dispatcher.StepID, dispatcher.Step, bool) (string, int) {
	return "", 0
}

func (noCells) Deliver(context.Context, dispatcher.Part) {}

func newTestRunner(archive dispatcher.Archive) *dispatcher.Runner {
	cell := dispatcher.NewCell("graz-a", 1, limits, &events{})
	runner := dispatcher.NewRunner(cell, clockwork.NewRealClock(), idleWorkers{}, archive)
	runner.OtherCells = noCells{}
	return runner
}

// TestJobDeliveredBeforeLoad guards against the second run of a task whose end is stored:
// a job that was delivered before the stored state was loaded hid its stored progress.
func TestJobDeliveredBeforeLoad(t *testing.T) {
	job := plainJob(jobID, 1, time.Second, 1)
	job.Occurrences = 1
	progress := dispatcher.Progress{State: dispatcher.StateQueued, Done: []dispatcher.TaskID{{Job: jobID}}}
	archive := &slowArchive{
		stored:   dispatcher.StoredCell{Jobs: []dispatcher.StoredJob{{Job: job, Progress: &progress}}},
		released: make(chan struct{}),
	}
	runner := newTestRunner(archive)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- runner.Run(ctx) }()
	added := make(chan struct{})
	go func() {
		runner.Add(job, true)
		close(added)
	}()
	time.Sleep(50 * time.Millisecond)
	close(archive.released)
	<-added
	<-runner.Loaded()
	deadline := time.Now().Add(5 * time.Second)
	for state := dispatcher.State(""); state != dispatcher.StateCompleted; state, _ = runner.State(jobID) {
		if time.Now().After(deadline) {
			t.Fatalf("state = %q, want completed: the task is stored as done", state)
		}
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	<-ended
}
