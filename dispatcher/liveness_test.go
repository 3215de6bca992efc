package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestUnreachableWorkerHoldsNoNewJob guards against a cell that stops: a registered worker
// that didn't answer the new holder held up jobs that were accepted long afterwards.
func TestUnreachableWorkerHoldsNoNewJob(t *testing.T) {
	s := newSimulation(5)
	s.changeHolder(s.workers...)
	s.runFor(200 * time.Millisecond)
	s.workers[0].reachable = false
	s.runFor(8 * time.Second)
	s.changeHolder(s.workers...)
	s.runFor(10 * time.Second)
	s.add(plainJob(jobID, 1, 200*time.Millisecond, 2), true)
	s.runFor(2 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
}
