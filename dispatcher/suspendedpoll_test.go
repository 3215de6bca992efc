package dispatcher_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/dispatcher"
)

// suspendingWorkers answer each poll at once. The VM of the holder is suspended while it waits for the answer
// to a poll.
type suspendingWorkers struct {
	idleWorkers
	booted time.Time

	mu sync.Mutex
	// suspendAt is when the next poll suspends the VM, suspended for how long it has been suspended in all.
	suspendAt time.Time
	suspended time.Duration
	// extended counts the leases that were extended after the suspension, before any answer that came later.
	extended, pollsAfter int
}

// Poll implements dispatcher.Workers.
func (w *suspendingWorkers) Poll(_ context.Context, order dispatcher.PollOrder) (dispatcher.Listing, dispatcher.Answer, error) {
	time.Sleep(2 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.suspended > 0:
		w.pollsAfter++
		if w.pollsAfter == 1 && order.LeaseEnd > 0 {
			w.extended++
		}
	case !time.Now().Before(w.suspendAt):
		w.suspended = 5 * time.Second
	}
	return dispatcher.Listing{Clock: time.Since(w.booted) + w.suspended, Boot: 1}, dispatcher.AnswerAccepted, nil
}

// TestPollAfterSuspension guards against two runs of a task: a holder whose VM was suspended, which its clock
// doesn't count, extends a lease before it has noticed, on a confirmation that is older than it seems.
func TestPollAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loaded := make(chan struct{})
		close(loaded)
		workers := &suspendingWorkers{booted: time.Now().Add(-time.Minute), suspendAt: time.Now().Add(time.Second)}
		runner := dispatcher.NewRunner(
			dispatcher.NewCell("graz-a", 1, limits, &events{}), clockwork.NewRealClock(), workers, &slowArchive{released: loaded},
		)
		runner.OtherCells = noCells{}
		runner.SuspendedTime = func() time.Duration {
			workers.mu.Lock()
			defer workers.mu.Unlock()
			return workers.suspended
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- runner.Run(ctx) }()
		runner.SetWorkers([]dispatcher.Registration{{
			ID: "w0", Address: "127.0.0.1:7000", Service: testService, Phase: dispatcher.PhaseReady, Boot: 1, Capacity: fullCapacity,
		}})
		time.Sleep(2 * time.Second)
		cancel()
		<-ended
		if workers.pollsAfter == 0 {
			t.Fatal("the worker wasn't polled after the suspension")
		}
		if workers.extended > 0 {
			t.Error("the first poll after the suspension extends the lease")
		}
	})
}
