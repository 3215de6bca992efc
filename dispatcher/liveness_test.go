package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestUnreachableWorkerHoldsNoNewJob guards against a cell that stops: a registered worker
// that didn't answer the new holder held up jobs that were accepted long afterwards.
func TestUnreachableWorkerHoldsNoNewJob(t *testing.T) {
	s := newActiveSimulation(5)
	s.workers[0].reachable = false
	s.runFor(8 * time.Second)
	s.changeHolder(s.workers...)
	s.runFor(10 * time.Second)
	s.add(plainJob(jobID, 1, 200*time.Millisecond, 2), true)
	s.runFor(2 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
}

// TestRestartedWorkerThatIsGone guards against a task that waits forever: the worker of
// its run restarted and then left the registry before it answered.
func TestRestartedWorkerThatIsGone(t *testing.T) {
	s := newActiveSimulation(3)
	s.nextFate = func() startFate { return fateLost }
	s.submit(plainJob(jobID, 3, time.Second, 1))
	s.step(50 * time.Millisecond)
	s.nextFate = func() startFate { return fateAccepted }
	f := s.workers[0]
	f.reachable = false
	f.reboot()
	s.register(f)
	s.runFor(500 * time.Millisecond)
	s.unregister(f)
	s.runFor(20 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	requireNoViolations(t, s)
}
