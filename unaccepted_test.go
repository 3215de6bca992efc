package zinniashore

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"zinniashore.example/acceptor"
	"zinniashore.example/archiver"
	"zinniashore.example/claimer"
	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
	"zinniashore.example/standin"
)

const (
	testCell = "graz-a"
	testJob  = "00000000000000a1"
)

// encodeTestJob returns the record of the test job.
func encodeTestJob(t *testing.T) []byte {
	t.Helper()
	record, err := dispatcher.EncodeJob(dispatcher.Job{ID: testJob, Occurrences: 1, Steps: []dispatcher.Step{{Count: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	return record
}

// newTestRouter returns a router of calls about jobs that holds no cell.
func newTestRouter(store *platform.Store, unaccepted *rate.Limiter) *jobRouter {
	return &jobRouter{
		clock: clockwork.NewRealClock(), failureDomain: testCell, partition: &sharedPartition{}, self: "edge-1", claimer: &claimer.Claimer{}, archiver: &archiver.Archiver{Store: store},
		heldCells: testRunners{}, unaccepted: unaccepted,
	}
}

func startTestStore(t *testing.T) *platform.Store {
	t.Helper()
	address, err := standin.Listen(t.Context(), "127.0.0.1:0", &standin.PlatformStore{})
	if err != nil {
		t.Fatal(err)
	}
	return platform.NewStore(address)
}

// TestCancelBeforeAcceptance guards against a job that runs although its cancellation was answered:
// its submission, read earlier by a process that was frozen or written by a store that had lost its
// answer, was accepted later.
func TestCancelBeforeAcceptance(t *testing.T) {
	store := startTestStore(t)
	router := newTestRouter(store, rate.NewLimiter(1, 1))
	if err := router.Cancel(t.Context(), testJob); !errors.Is(err, acceptor.ErrUnknown) {
		t.Fatalf("Cancel() = %v, want %v", err, acceptor.ErrUnknown)
	}
	intake := acceptor.NewIntake(clockwork.NewRealClock(), router.archiver)
	go func() { _ = intake.Run(t.Context()) }()
	if outcome := intake.Accept(t.Context(), testJob, "graz-b", encodeTestJob(t)); outcome != acceptor.OutcomeCancelled {
		t.Errorf("the outcome of the submission is %q, want %q", outcome, acceptor.OutcomeCancelled)
	}
	items, _, err := store.List(t.Context(), archiver.JobPrefix("graz-b"))
	if err != nil || len(items) > 0 {
		t.Errorf("the store holds %d items of the job (%v), want none", len(items), err)
	}
	if state, err := router.State(t.Context(), testJob); !errors.Is(err, acceptor.ErrUnknown) {
		t.Errorf("State() = %q, %v, want %v", state, err, acceptor.ErrUnknown)
	}
}

// TestUnacceptedCancellationsAreLimited checks that callers can't fill the store with cancellations
// of jobs that don't exist, and that one that isn't stored isn't acknowledged.
func TestUnacceptedCancellationsAreLimited(t *testing.T) {
	router := newTestRouter(startTestStore(t), rate.NewLimiter(rate.Every(time.Hour), 1))
	if err := router.Cancel(t.Context(), testJob); !errors.Is(err, acceptor.ErrUnknown) {
		t.Errorf("Cancel() = %v, want %v", err, acceptor.ErrUnknown)
	}
	if err := router.Cancel(t.Context(), "00000000000000a2"); !errors.Is(err, errTooManyCancellations) {
		t.Errorf("Cancel() = %v, want %v", err, errTooManyCancellations)
	}
}

// TestAcceptanceDuringCancellation checks that a job that is accepted while its cancellation is on its
// way is cancelled as an accepted one.
func TestAcceptanceDuringCancellation(t *testing.T) {
	store := startTestStore(t)
	archive := &archiver.Archiver{Store: store}
	if err := archive.Accept(t.Context(), []archiver.AcceptedJob{{ID: testJob, Cell: testCell, Record: encodeTestJob(t)}}); err != nil {
		t.Fatal(err)
	}
	cell, err := archive.CancelUnaccepted(t.Context(), "graz-b", testJob)
	if err != nil || cell != testCell {
		t.Errorf("CancelUnaccepted() = %q, %v, want %q", cell, err, testCell)
	}
	items, _, err := store.List(t.Context(), archiver.JobPrefix("graz-b"))
	if err != nil || len(items) > 0 {
		t.Errorf("the store holds %d cancellations (%v), want none", len(items), err)
	}
}
