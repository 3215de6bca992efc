package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestCrashAfterReturnedPart guards against a process that ends by itself: a worker is found to have crashed after a
// part of a job that had run there went back to its home cell.
func TestCrashAfterReturnedPart(t *testing.T) {
	s := newEvacuableSimulation(2)
	for _, f := range s.workers {
		f.answersLost = true
	}
	part := longRunningJob(jobID, 2, 1500)
	part.Part, part.Home = []dispatcher.TaskID{{Job: jobID, Index: 1}}, "graz-b"
	s.submit(part)
	s.execute(s.cell.Plan(s.now))
	setEvacuated(s, true)
	for _, f := range s.workers {
		f.reachable = false
	}
	s.runFor(8 * time.Second) // the lease expires before the run is listed
	id, found := s.cell.NextToReturn(s.now)
	if !found {
		t.Fatal("the part isn't given back")
	}
	s.cell.ReturnPart(id)
	s.runFor(time.Second)
	if len(s.archive.returns) != 1 {
		t.Fatalf("%d parts are given back, want 1", len(s.archive.returns))
	}
	for _, f := range s.workers {
		s.unregister(f)
	}
	s.runFor(5 * time.Second)
	s.submit(plainJob(otherID, 1, time.Second, 1))
	s.runFor(time.Second)
	requireNoViolations(t, s)
}
