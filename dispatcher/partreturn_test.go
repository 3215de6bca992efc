package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestPartInEmptiedCell guards against a delegated task that never runs again: the workers of the cell
// that ran it have left, and a part couldn't change its cell.
func TestPartInEmptiedCell(t *testing.T) {
	s := newActiveSimulation(2)
	part := longRunningJob(jobID, 2, 1500)
	part.Part, part.Home = []dispatcher.TaskID{{Job: jobID, Index: 1}}, "graz-b"
	s.submit(part)
	s.runFor(500 * time.Millisecond)
	leaveAll(s)
	for end := s.now.Add(10 * time.Second); s.now.Before(end); s.step(50 * time.Millisecond) {
		if id, found := s.cell.NextToReturn(s.now); found {
			s.cell.ReturnPart(id)
		}
	}
	if len(s.archive.returns) != 1 || len(s.archive.returns[0].Part) != 1 {
		t.Errorf("the parts %+v are given back, want one of one task", s.archive.returns)
	}
	requireNoViolations(t, s)
}

// TestReturnedPart guards against a task that has been given back and doesn't start, or that is taken
// back a second time from a cell that it was delegated to again.
func TestReturnedPart(t *testing.T) {
	s := newActiveSimulation(1)
	s.workers[0].registration.Phase = dispatcher.PhaseDraining
	s.register(s.workers[0])
	s.submit(longRunningJob(jobID, 1, 1500))
	s.runFor(time.Second)
	id := dispatcher.TaskID{Job: jobID}
	returned := dispatcher.ReturnedPart{Cell: "graz-b", Revision: 7}
	for range 2 {
		if !s.cell.Delegate(s.now, id, "graz-b", 1) {
			t.Fatal("the task isn't delegated")
		}
		s.runFor(200 * time.Millisecond)
		s.cell.AddReturned(s.now, jobID, returned)
		returned.Revision++
		s.runFor(700 * time.Millisecond)
		if next, _, found := s.cell.NextToDelegate(s.now); !found || next != id {
			t.Fatalf("%s is to be delegated (%v), want %s", next, found, id)
		}
	}
	s.cell.Delegate(s.now, id, "graz-b", 1)
	s.runFor(200 * time.Millisecond)
	returned.Revision--
	s.cell.AddReturned(s.now, jobID, returned)
	s.runFor(time.Second)
	if _, _, found := s.cell.NextToDelegate(s.now); found {
		t.Error("an old record takes the task back from the cell that runs it")
	}
}
