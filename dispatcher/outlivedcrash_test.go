package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestCrashesBeforeOutlivedRun guards against a task that is given up while it runs: a later run of it has
// outlived the crash window when the workers of earlier, young runs turn out to have restarted.
func TestCrashesBeforeOutlivedRun(t *testing.T) {
	s := newActiveSimulation(9)
	s.submit(longRunningJob(jobID, 1, 1000))
	id := dispatcher.TaskID{Job: jobID}
	var silent []*fakeWorker
	for range 4 {
		f := s.awaitRun(t, id)
		f.reachable = false // the registry, which is read, lists it on
		silent = append(silent, f)
		for range 200 {
			if s.workerOf(id) != f {
				break
			}
			s.advance(50 * time.Millisecond)
		}
	}
	s.awaitRun(t, id)
	s.advance(10 * time.Second)
	requireState(t, s, jobID, dispatcher.StateRunning)
	for _, f := range silent {
		f.reboot()
		f.reachable = true
		s.register(f)
	}
	s.advance(5 * time.Second)
	requireState(t, s, jobID, dispatcher.StateRunning)
	if detail := s.events.detail(dispatcher.KindGivenUp); detail != "" {
		t.Errorf("the task was given up: %s", detail)
	}
	requireNoViolations(t, s)
}
