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

// TestReturnBeforeAnswer guards against tasks that no cell runs: a job or part that has left its cell is there again
// before the holder handles the answer to the save by which it left.
func TestReturnBeforeAnswer(t *testing.T) {
	part := longRunningJob(jobID, 2, 1500)
	part.Part, part.Home = []dispatcher.TaskID{{Job: jobID, Index: 1}}, "graz-b"
	tests := map[string]struct {
		job   dispatcher.Job
		leave func(s *simulation)
	}{
		"a part": {job: part, leave: func(s *simulation) {
			if id, found := s.cell.NextToReturn(s.now); found {
				s.cell.ReturnPart(id)
			}
		}},
		"a job": {job: plainJob(jobID, 1, 10*time.Second, 1), leave: func(s *simulation) {
			if id, _, found := s.cell.NextToRelocate(s.now); found {
				s.cell.Relocate(s.now, id, "graz-b")
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(2)
			s.submit(test.job)
			s.runFor(500 * time.Millisecond)
			leaveAll(s)
			s.runFor(10 * time.Second)
			test.leave(s)
			batch := s.cell.NextBatch(s.now, 4)
			if batch == nil || batch.Return == nil && batch.Relocation == nil {
				t.Fatal("nothing leaves the cell")
			}
			s.archive.save(s.cell, batch)
			s.archive.jobs[jobID] = s.jobs[jobID]
			s.cell.AddJob(s.now, s.jobs[jobID], nil, true)
			s.cell.BatchStored(s.now, batch)
			back := s.workers[0]
			back.reboot()
			back.registration.Phase, back.reachable, back.closed = dispatcher.PhaseReady, true, false
			s.register(back)
			s.runFor(8 * time.Second)
			if len(back.running) != 1 {
				t.Errorf("%d tasks run, want 1", len(back.running))
			}
			requireNoViolations(t, s)
		})
	}
}
