package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestResumedHolderConfirmsNoCrash guards against a crash that counts as certain because the holder was suspended: it
// doesn't know how long the worker hasn't answered, nor whether it is registered again.
func TestResumedHolderConfirmsNoCrash(t *testing.T) {
	s := newActiveSimulation(9)
	s.submit(longRunningJob(jobID, 1, 1000))
	f := s.awaitRun(t, dispatcher.TaskID{Job: jobID})
	f.reachable = false
	s.unregister(f)
	s.advance(4500 * time.Millisecond)
	if got := len(s.events.of("task_crash")); got != 1 {
		t.Fatalf("%d crashes are recorded, want 1", got)
	}
	s.registryUnread = true
	s.cell.Resumed(s.now)
	s.advance(8 * time.Second)
	if detail := s.events.detail(dispatcher.KindCrashConfirmed); detail != "" {
		t.Errorf("a crash is confirmed: %s", detail)
	}
	s.registryUnread = false
	f.reachable = true
	s.register(f)
	s.advance(3 * time.Second)
	if detail := s.events.detail(dispatcher.KindCrashConfirmed); detail != "" {
		t.Errorf("a crash is confirmed after the worker is back: %s", detail)
	}
}
