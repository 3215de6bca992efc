package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestAbsenceBeforeOutage guards against work that is done twice: a worker left the registry just before the holder
// could no longer read it, and counted as gone at the first answer of the store, although workers may take two
// seconds from then on to register again.
func TestAbsenceBeforeOutage(t *testing.T) {
	s := newActiveSimulation(3)
	s.submit(plainJob(jobID, 1, time.Second, 1))
	s.runFor(200 * time.Millisecond)
	f := s.workerOf(dispatcher.TaskID{Job: jobID})
	f.answersLost = true
	s.unregister(f)
	s.runFor(500 * time.Millisecond)
	s.storeDown, s.registryUnread = true, true
	s.runFor(8 * time.Second)
	s.storeDown, s.registryUnread = false, false
	s.runFor(1500 * time.Millisecond)
	f.answersLost = false
	s.register(f)
	s.runFor(2 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
	if starts := len(s.events.of("task_start")); starts != 1 {
		t.Errorf("%d starts of a task that is done once, want 1", starts)
	}
	requireNoViolations(t, s)
}
