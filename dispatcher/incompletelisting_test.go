package dispatcher_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// incompleteWorkers answers each poll at once by a listing of which a row couldn't be read.
type incompleteWorkers struct {
	idleWorkers
	polls atomic.Int64
}

func (w *incompleteWorkers) Poll(context.Context, dispatcher.PollOrder) (dispatcher.Listing, dispatcher.Answer, error) {
	w.polls.Add(1)
	return dispatcher.Listing{Clock: time.Second, Boot: 7, Incomplete: true}, dispatcher.AnswerAccepted, nil
}

// TestPollsOfIncompleteListings guards against polls without a pause: a worker doesn't wait
// before it lists an end again that couldn't be read.
func TestPollsOfIncompleteListings(t *testing.T) {
	const watched, most = time.Second, 12
	archive := &slowArchive{released: make(chan struct{})}
	close(archive.released)
	workers := &incompleteWorkers{}
	runner := newTestRunner(archive)
	runner.Workers = workers
	runner.Cell.SetWorker(runner.Clock.Now(), dispatcher.Registration{ID: "i-1", Address: "127.0.0.1:1", Service: testService, Phase: dispatcher.PhaseReady, Boot: 7})
	ctx, cancel := context.WithTimeout(t.Context(), watched)
	defer cancel()
	if err := runner.Run(ctx); err != nil {
		t.Error(err)
	}
	if polls := workers.polls.Load(); polls > most {
		t.Errorf("%d polls in %v, want %d at most", polls, watched, most)
	}
}
