package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestAddressTakenWhileRunsLast guards against two runs of a task: a worker that shuts down has taken its
// registration back and released its address, which another worker has taken, while its runs last.
func TestAddressTakenWhileRunsLast(t *testing.T) {
	for name, change := range drainingCutTests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(3)
			s.submit(plainJob(jobID, 9, 12*time.Second, 1))
			s.runFor(500 * time.Millisecond)
			leaving := s.workers[0]
			if len(leaving.running) == 0 {
				t.Fatal("nothing runs on the worker")
			}
			leaving.registration.Phase, leaving.registration.Remaining = dispatcher.PhaseDraining, 20*time.Second
			s.register(leaving)
			s.runFor(500 * time.Millisecond)
			leaving.replaced = true
			s.unregister(leaving)
			change(s, leaving)
			s.runFor(30 * time.Second)
			requireState(t, s, jobID, dispatcher.StateCompleted)
			requireNoViolations(t, s)
		})
	}
}
