package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/dispatcher"
)

const (
	// answerTime is how long the answer to a poll takes beside the wait that the poll allows, lostPoll after what
	// time the holder gives up one that gets no answer.
	answerTime = 5 * time.Millisecond
	lostPoll   = 2 * time.Second
)

// holdingWorkers hold polls as workers do that have no end to list. One poll of w0 gets no answer.
type holdingWorkers struct {
	idleWorkers
	booted time.Time

	mu sync.Mutex
	// loseAt is when the next poll of w0 is lost, zero once it was. leaseEnd is that of w0, and lapsed for how long
	// it had lapsed when it was extended.
	loseAt   time.Time
	leaseEnd time.Duration
	lapsed   time.Duration
}

// Poll implements dispatcher.Workers.
func (w *holdingWorkers) Poll(ctx context.Context, order dispatcher.PollOrder) (dispatcher.Listing, dispatcher.Answer, error) {
	pause, answer := order.Wait+answerTime, dispatcher.AnswerAccepted
	w.mu.Lock()
	if order.Worker.ID == "w0" {
		if !w.loseAt.IsZero() && time.Now().After(w.loseAt) {
			w.loseAt = time.Time{}
			pause, answer = lostPoll, dispatcher.AnswerUnknown
		} else if order.LeaseEnd > 0 {
			if w.leaseEnd > 0 {
				w.lapsed = max(w.lapsed, time.Since(w.booted)-w.leaseEnd)
			}
			w.leaseEnd = max(w.leaseEnd, order.LeaseEnd)
		}
	}
	w.mu.Unlock()
	select {
	case <-ctx.Done():
		return dispatcher.Listing{}, dispatcher.AnswerUnknown, ctx.Err()
	case <-time.After(pause):
	}
	return dispatcher.Listing{Clock: time.Since(w.booted), Boot: 1}, answer, nil
}

// silentTermArchive is a store that is silent from a time on.
type silentTermArchive struct {
	slowArchive
	silentFrom time.Time
}

// CheckTerm implements dispatcher.Archive.
func (a *silentTermArchive) CheckTerm(context.Context) error {
	if time.Now().Before(a.silentFrom) {
		return nil
	}
	time.Sleep(1500 * time.Millisecond)
	return errors.New("no answer")
}

// TestLostPollWhileStoreIsSilent guards against runs on a sound worker whose lease expires, as a single poll is lost
// in an outage of the store.
func TestLostPollWhileStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loaded := make(chan struct{})
		close(loaded)
		began := time.Now()
		workers := &holdingWorkers{booted: began.Add(-time.Minute), loseAt: began.Add(10 * time.Second)}
		archive := &silentTermArchive{slowArchive: slowArchive{released: loaded}, silentFrom: began.Add(5 * time.Second)}
		held := limits
		held.LeaseDuration = 4800 * time.Millisecond // that of the users' small sites
		runner := dispatcher.NewRunner(dispatcher.NewCell("graz-a", 1, held, &events{}), clockwork.NewRealClock(), workers, archive)
		runner.OtherCells = noCells{}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- runner.Run(ctx) }()
		for i := range 20 {
			runner.ChangeWorkers([]dispatcher.WorkerChange{{Registration: dispatcher.Registration{
				ID: fmt.Sprintf("w%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 7000+i), Service: testService,
				Phase: dispatcher.PhaseReady, Boot: 1, Capacity: fullCapacity,
			}}})
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Until(began.Add(20 * time.Second)))
		cancel()
		<-ended
		if !workers.loseAt.IsZero() || workers.leaseEnd == 0 {
			t.Fatal("no poll was lost, or no lease extended")
		}
		if workers.lapsed > 0 {
			t.Errorf("the lease had lapsed for %v when it was extended", workers.lapsed)
		}
	})
}
