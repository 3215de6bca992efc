package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
	"zinniashore.example/recorder"
)

// TestCrashDecidedByRegistration guards against a task that waits without end, as a crash of it is never decided: the
// holder that recorded it has ended, and the next one can't reach the worker, which has registered as another boot.
func TestCrashDecidedByRegistration(t *testing.T) {
	id := dispatcher.TaskID{Job: jobID}
	s := newActiveSimulation(12)
	s.deadly(id, 3*time.Second)
	s.submit(longRunningJob(jobID, 1, 1000))
	var crashed []*fakeWorker
	for s.crashes[id] < 3 {
		before := s.crashes[id]
		s.advance(50 * time.Millisecond)
		if s.crashes[id] > before {
			f := s.workerByID(s.events.worker(dispatcher.KindStart))
			crashed = append(crashed, f)
			s.backAt[f] = s.now.Add(time.Hour)
			s.dropAt[f] = s.now.Add(time.Hour)
		}
		if len(s.events.recorded) > 100000 {
			t.Fatal("no third crash")
		}
	}
	s.advance(500 * time.Millisecond)
	clear(s.backAt)
	clear(s.dropAt)
	for _, f := range crashed {
		f.reboot()
		f.closed, f.reachable = false, false // it reaches the registry, but no holder reaches it
	}
	s.changeHolder(s.workers...)
	s.advance(120 * time.Second)
	requireState(t, s, jobID, dispatcher.StateFailed)
	requireNoViolations(t, s)
}

// worker returns the worker of the newest event of a kind.
func (e *events) worker(kind recorder.Kind) string {
	worker := ""
	for _, event := range e.recorded {
		if event.Kind == kind {
			worker = event.VM
		}
	}
	return worker
}
