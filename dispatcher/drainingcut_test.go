package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// drainingCutTests are the cases of TestDrainingWorkerCutOff: what happens once the worker is
// cut off.
var drainingCutTests = map[string]func(s *simulation, draining *fakeWorker){
	"under one holder": func(*simulation, *fakeWorker) {},
	"under a new holder": func(s *simulation, draining *fakeWorker) {
		var listed []*fakeWorker
		for _, f := range s.workers {
			if f != draining {
				listed = append(listed, f)
			}
		}
		s.changeHolder(listed...)
	},
}

// TestDrainingWorkerCutOff guards against two runs of a task: a draining worker that was no longer
// registered and refused a connection counted as exited, although it was cut off and ran on.
func TestDrainingWorkerCutOff(t *testing.T) {
	for name, change := range drainingCutTests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(3)
			s.submit(plainJob(jobID, 9, 12*time.Second, 1))
			s.runFor(500 * time.Millisecond)
			draining := s.workers[0]
			if len(draining.running) == 0 {
				t.Fatal("nothing runs on the worker")
			}
			draining.registration.Phase, draining.registration.Remaining = dispatcher.PhaseDraining, 20*time.Second
			s.register(draining)
			s.runFor(500 * time.Millisecond)
			draining.closed = true
			s.unregister(draining)
			change(s, draining)
			s.runFor(5500 * time.Millisecond)
			draining.closed = false
			s.register(draining)
			s.runFor(30 * time.Second)
			requireState(t, s, jobID, dispatcher.StateCompleted)
			requireNoViolations(t, s)
		})
	}
}
