package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestWithdrawnCrashBeforeUnstoredOne guards against a task that starts although the store lacks a crash of it: an
// earlier crash, which the store had, was taken back.
func TestWithdrawnCrashBeforeUnstoredOne(t *testing.T) {
	tests := map[string]struct{ backBeforeCrash bool }{
		"taken back after the crash":  {},
		"taken back before the crash": {backBeforeCrash: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			id := dispatcher.TaskID{Job: jobID}
			s := newActiveSimulation(9)
			s.comesBack = time.Second
			s.submit(longRunningJob(jobID, 1, 1000))
			first := s.awaitRun(t, id)
			first.closed = true
			for s.workerOf(id) == first {
				s.advance(50 * time.Millisecond)
			}
			second := s.awaitRun(t, id)
			s.storeDown = true
			if test.backBeforeCrash {
				first.closed = false
				s.advance(100 * time.Millisecond)
			}
			s.crash(second)
			s.advance(100 * time.Millisecond)
			first.closed = false
			starts := len(s.events.of("task_start"))
			s.advance(10 * time.Second)
			if got := len(s.events.of("task_start")); got != starts {
				t.Errorf("%d starts while the store lacks the crash, want 0", got-starts)
			}
			s.storeDown = false
			s.advance(time.Second)
			if got := len(s.events.of("task_start")); got != starts+1 {
				t.Errorf("%d starts once the store has the crash, want 1", got-starts)
			}
			requireNoViolations(t, s)
		})
	}
}
