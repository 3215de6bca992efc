package dispatcher_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/dispatcher"
)

// promptWorkers answer each poll after a time of their own.
type promptWorkers struct {
	idleWorkers
	booted time.Time
}

func (w *promptWorkers) Poll(_ context.Context, order dispatcher.PollOrder) (dispatcher.Listing, dispatcher.Answer, error) {
	time.Sleep(5*time.Millisecond + time.Duration(len(order.Worker.Address))*time.Millisecond/3)
	return dispatcher.Listing{Clock: time.Since(w.booted), Boot: 1}, dispatcher.AnswerAccepted, nil
}

// planCountingClock counts the plans of a runner, which measures each once.
type planCountingClock struct {
	clockwork.Clock
	plans int
}

// Since implements clockwork.Clock.
func (c *planCountingClock) Since(t time.Time) time.Duration {
	c.plans++
	return c.Clock.Since(t)
}

// TestPlansOfBusyCell guards against a holder that is behind because it plans after each answer
// of a worker: with 120 workers and 900 waiting tasks that takes most of its processor.
func TestPlansOfBusyCell(t *testing.T) {
	const workers, maxPlansPerSecond = 120, 210
	synctest.Test(t, func(t *testing.T) {
		loaded := make(chan struct{})
		close(loaded)
		clock := &planCountingClock{Clock: clockwork.NewRealClock()}
		runner := dispatcher.NewRunner(
			dispatcher.NewCell("graz-a", 1, limits, &events{}), clock,
			&promptWorkers{booted: time.Now()}, &slowArchive{released: loaded},
		)
		runner.OtherCells = noCells{}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- runner.Run(ctx) }()
		var registrations []dispatcher.Registration
		for i := range workers {
			registrations = append(registrations, dispatcher.Registration{
				ID: fmt.Sprintf("w%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 7000+i*97), Service: testService,
				Phase: dispatcher.PhaseReady, Boot: 1, Capacity: fullCapacity,
			})
		}
		runner.SetWorkers(registrations)
		time.Sleep(time.Second)
		cancel()
		<-ended
		if clock.plans == 0 || clock.plans > maxPlansPerSecond {
			t.Errorf("%d plans in 1 s, want 1 to %d", clock.plans, maxPlansPerSecond)
		}
	})
}

// TestPlanPause guards against a holder with a slow processor that does little but plan.
func TestPlanPause(t *testing.T) {
	tests := map[string]struct{ took, least, most time.Duration }{
		"small cell":                 {took: 0, least: time.Millisecond, most: 5 * time.Millisecond},
		"large cell":                 {took: time.Millisecond, least: 8 * time.Millisecond, most: 20 * time.Millisecond},
		"large cell, slow processor": {took: 5 * time.Millisecond, least: 40 * time.Millisecond, most: 50 * time.Millisecond},
		"holder that was paused":     {took: 3 * time.Second, least: 50 * time.Millisecond, most: 50 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := dispatcher.PlanPause(test.took); got < test.least || got > test.most {
				t.Errorf("the pause is %v, want %v to %v", got, test.least, test.most)
			}
		})
	}
}
