package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestEndsBeyondListingOfNewHolder guards against the second run of a task that is done: a new holder acts
// after the first answer of a worker, which lists only a part of its ends.
func TestEndsBeyondListingOfNewHolder(t *testing.T) {
	s := newSimulation(1)
	s.workers[0].maxListedEnds = 50
	s.workers[0].registration.Capacity = dispatcher.Size{MilliProcessors: 80000, Megabytes: 800000}
	s.changeHolder(s.workers...)
	s.runFor(200 * time.Millisecond)
	s.submit(plainJob(jobID, 70, 200*time.Millisecond, 1))
	s.step(50 * time.Millisecond)
	s.workers[0].answersLost = true
	s.runFor(time.Second)
	s.workers[0].answersLost = false
	s.changeHolder(s.workers...)
	s.runFor(5 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	if len(s.violations) > 0 {
		t.Errorf("%d violations, the first: %s", len(s.violations), s.violations[0])
	}
}
