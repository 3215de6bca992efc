package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestReservationBesideSilentWorker guards against a long-running task without a run for longer than the platform allows: the
// worker that is reserved for it is registered and empty, and starts nothing, while short tasks take each place on the others.
func TestReservationBesideSilentWorker(t *testing.T) {
	const shortTasks = 8 // as many as fit on the workers that answer
	s := newActiveSimulation(3)
	s.workers[0].reachable = false
	s.runFor(unresponsive)
	for i := range 2 * shortTasks { // chains of tasks that don't end together
		length := time.Duration(500+70*i) * time.Millisecond
		s.submit(plainJob(fmt.Sprintf("%016x", 0xc0+i), 1, length, 100))
	}
	s.runFor(4 * time.Second)
	long := longRunningJob(jobID, 1, fullCapacity.MilliProcessors)
	long.Steps[0].Size = fullCapacity
	s.submit(long)
	s.runFor(maxTimeWithoutRun)
	if id := (dispatcher.TaskID{Job: jobID}); s.running[id] != 1 {
		t.Errorf("%s has %d runs after %v, want 1", id, s.running[id], maxTimeWithoutRun)
	}
	requireNoViolations(t, s)
}
