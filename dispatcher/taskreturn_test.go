package dispatcher_test

import (
	"slices"
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// timeToMove is how long a long-running task has no run when it moves to another cell with a free place: the delay of the
// offer, a save, and the watch of the other cell if the delivery is lost.
const timeToMove = 1500 * time.Millisecond

// unresponsive is for how long a worker doesn't answer that gets no starts any more, within the lease on its runs.
const unresponsive = 3500 * time.Millisecond

// partOfTwo returns a job of three long-running tasks that take a worker each, of which this cell runs the last two.
func partOfTwo(id string) dispatcher.Job {
	job := longRunningJob(id, 3, fullCapacity.MilliProcessors)
	job.Steps[0].Size = fullCapacity
	job.Part, job.Home = []dispatcher.TaskID{{Job: id, Index: 1}, {Job: id, Index: 2}}, "graz-b"
	return job
}

// awaitGivenBack runs the simulation until a task is to be given back, for at most span.
func awaitGivenBack(s *simulation, span time.Duration) (dispatcher.TaskID, bool) {
	for end := s.now.Add(span); s.now.Before(end); s.step(50 * time.Millisecond) {
		if id, _, found := s.cell.NextTaskToReturn(s.now); found {
			return id, true
		}
	}
	return dispatcher.TaskID{}, false
}

// newPartWithoutPlace returns a simulation in which the worker of a task of a part has left for good, while the other task
// of the part runs on and long-running tasks take all other workers.
func newPartWithoutPlace(t *testing.T) (*simulation, dispatcher.TaskID) {
	t.Helper()
	s := newActiveSimulation(4)
	fillWithLongRunning(s, 2)
	s.submit(partOfTwo(jobID))
	s.runFor(time.Second)
	for _, f := range s.workers {
		if f.runs(jobID) {
			f.reboot()
			f.reachable = false
			s.unregister(f)
			break
		}
	}
	id, found := awaitGivenBack(s, 15*time.Second)
	if !found {
		t.Fatal("no task is to be given back")
	}
	return s, id
}

// bringBack lets all workers be reached and registered.
func (s *simulation) bringBack() {
	for _, f := range s.workers {
		f.reachable = true
		s.register(f)
	}
}

// TestTaskOfPartWithoutPlace guards against a delegated task that never runs again: its worker is lost, long-running tasks
// fill the cell, and the rest of its part runs on there.
func TestTaskOfPartWithoutPlace(t *testing.T) {
	s, id := newPartWithoutPlace(t)
	if !s.cell.ReturnTasks(s.now, id, 3) {
		t.Fatal("the task isn't given back")
	}
	if next, _, found := s.cell.NextTaskToReturn(s.now); found {
		t.Errorf("%s is to be given back before the store has the return of %s", next, id)
	}
	s.runFor(200 * time.Millisecond)
	if len(s.archive.returns) != 1 || !slices.Equal(s.archive.returns[0].Part, []dispatcher.TaskID{id}) || len(s.archive.returns[0].Rest) != 1 {
		t.Fatalf("given back: %+v, want %s, with one task that stays", s.archive.returns, id)
	}
	s.bringBack()
	s.runFor(12 * time.Second)
	if s.running[id] > 0 {
		t.Errorf("%s runs here again after it was given back", id)
	}
	if rest := s.archive.returns[0].Rest[0]; s.running[rest] != 1 {
		t.Errorf("%s, which stays, has %d runs, want 1", rest, s.running[rest])
	}
	requireNoViolations(t, s)
}

// TestTaskOfPartBesideDrainingWorker guards against a delegated task that waits in a full cell, and isn't given back, as a
// long-running task is stopped on a worker that drains and starts nothing any more.
func TestTaskOfPartBesideDrainingWorker(t *testing.T) {
	tests := map[string]func(s *simulation, f *fakeWorker){
		"it drains":         func(s *simulation, f *fakeWorker) { s.drain(f) },
		"it is gone":        func(s *simulation, f *fakeWorker) { s.unregister(f) },
		"it doesn't answer": func(s *simulation, _ *fakeWorker) { s.runFor(unresponsive) },
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			s, id := newPartWithoutPlace(t)
			i := slices.IndexFunc(s.workers, func(f *fakeWorker) bool { return f.reachable && !f.runs(jobID) })
			leaving := s.workers[i]
			leaving.reachable = false
			leave(s, leaving)
			for _, r := range leaving.running {
				s.cell.StopToMove(s.now, r.task)
			}
			if found, _ := awaitGivenBack(s, 100*time.Millisecond); found != id {
				t.Errorf("%v is to be given back, want %s", found, id)
			}
		})
	}
}

// TestPartIsKeptForShortTasks guards against delegated tasks that leave a cell in which they have a place, or get one once
// short tasks have ended.
func TestPartIsKeptForShortTasks(t *testing.T) {
	first, part := dispatcher.TaskID{Job: jobID, Index: 1}, partOfTwo(jobID)
	tests := map[string]struct {
		// before adds another part of the job to the cell before it is full.
		before func(s *simulation)
		// restored is true if the part arrives as each one does that the holder gets from a peer or the store.
		restored bool
	}{
		"a part that no earlier holder can have started": {},
		"one that a peer delivers, or the store":         {restored: true},
		"more tasks of a part that the holder has loaded": {restored: true, before: func(s *simulation) {
			earlier := part
			earlier.Part = part.Part[1:]
			s.submit(earlier)
			s.runFor(time.Second)
			s.changeHolder(s.workers...)
			s.runFor(time.Second)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(4)
			fillWithLongRunning(s, 2)
			if test.before != nil {
				test.before(s)
			}
			s.submit(wholeWorkers(otherID, 2, 5*time.Second))
			s.runFor(500 * time.Millisecond)
			s.add(part, test.restored)
			if id, found := awaitGivenBack(s, 6*time.Second); found {
				t.Errorf("%s is to be given back", id)
			}
			s.runFor(2 * time.Second)
			if got := s.running[first]; got != 1 {
				t.Errorf("the task has %d runs, want 1", got)
			}
		})
	}
}

// TestPartBehindLongShortTasks guards against delegated tasks that have no run for longer than the platform allows although
// another cell has a free place: they wait for short tasks that take longer than estimated, or for ones that take each place
// that becomes free.
func TestPartBehindLongShortTasks(t *testing.T) {
	tests := map[string]struct {
		// changesHolder is true if the cell gets a new holder while the part waits.
		changesHolder bool
	}{
		"one holder":   {},
		"a new holder": {changesHolder: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const fillers = 4
			s := newActiveSimulation(fillers)
			s.submit(wholeWorkers(otherID, fillers, time.Minute))
			s.runFor(500 * time.Millisecond)
			s.submit(partOfTwo(jobID))
			left := maxTimeWithoutRun - 2*timeToMove
			if test.changesHolder {
				s.runFor(left / 2)
				s.changeHolder(s.workers...)
				left -= left / 2
			}
			if _, found := awaitGivenBack(s, left); !found {
				t.Errorf("no task of the part is to be given back within %v", maxTimeWithoutRun-2*timeToMove)
			}
		})
	}
}

// TestRecordsOfReturnedTask guards against two runs of a task, or none: a record of the part arrives that is older than
// the return of one of its tasks, or one by which the home cell has delegated the task again.
func TestRecordsOfReturnedTask(t *testing.T) {
	tests := map[string]struct {
		// early is true if the record arrives before the answer to the save of the return.
		early bool
		// again is true if the store has the task in the part again.
		again bool
	}{
		"an old record":                       {},
		"delegated again":                     {again: true},
		"an old record before the answer":     {early: true},
		"delegated again before the answer":   {early: true, again: true},
		"delegated again, the record is late": {again: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, id := newPartWithoutPlace(t)
			s.cell.ReturnTasks(s.now, id, 1)
			batch := s.cell.NextBatch(s.now, 4)
			if batch == nil || batch.Return == nil {
				t.Fatal("nothing is given back")
			}
			s.archive.save(s.cell, batch)
			part := s.archive.jobs[jobID]
			full := partOfTwo(jobID)
			if test.again {
				part.Part = full.Part
				s.archive.jobs[jobID] = part
			}
			if test.early {
				s.cell.AddJob(s.now, full, nil, true)
			}
			s.cell.BatchStored(s.now, batch)
			if !test.early {
				s.cell.AddJob(s.now, full, nil, true)
			}
			s.bringBack()
			s.runFor(5 * time.Second)
			if got := s.running[id] > 0; got != test.again {
				t.Errorf("the task runs: %v, want %v", got, test.again)
			}
			requireNoViolations(t, s)
		})
	}
}

// TestRefusedReturnOfTask guards against a task that no cell runs: the store has refused its return.
func TestRefusedReturnOfTask(t *testing.T) {
	s, id := newPartWithoutPlace(t)
	s.cell.ReturnTasks(s.now, id, 1)
	batch := s.cell.NextBatch(s.now, 4)
	s.cell.BatchFailed(batch)
	s.cell.RelocationRefused(s.now, batch)
	if next, _, found := s.cell.NextTaskToReturn(s.now); found {
		t.Errorf("%s is to be given back again at once", next)
	}
	s.bringBack()
	s.runFor(5 * time.Second)
	if s.running[id] != 1 {
		t.Errorf("%s has %d runs, want 1", id, s.running[id])
	}
}

// TestTaskReturnedAlone guards against two runs of a task: its home cell takes back all tasks of a part of which one was
// given back. It also keeps the part that is just being delegated to the same cell, without that task.
func TestTaskReturnedAlone(t *testing.T) {
	s := newActiveSimulation(1)
	s.workers[0].registration.Phase = dispatcher.PhaseDraining
	s.register(s.workers[0])
	s.submit(longRunningJob(jobID, 3, 1500))
	s.runFor(time.Second)
	first, second, third := dispatcher.TaskID{Job: jobID}, dispatcher.TaskID{Job: jobID, Index: 1}, dispatcher.TaskID{Job: jobID, Index: 2}
	for _, id := range []dispatcher.TaskID{first, second} {
		if !s.cell.Delegate(s.now, id, "graz-b", 1) {
			t.Fatalf("%s isn't delegated", id)
		}
		s.runFor(200 * time.Millisecond)
	}
	s.cell.Delegate(s.now, third, "graz-b", 1)
	s.cell.AddReturned(s.now, jobID, dispatcher.ReturnedPart{Cell: "graz-b", Revision: 7, Tasks: []dispatcher.TaskID{second}})
	s.runFor(time.Second)
	if last := s.archive.parts[len(s.archive.parts)-1]; !slices.Equal(last.Job.Part, []dispatcher.TaskID{first, third}) {
		t.Errorf("the part of graz-b is %v, want %s and %s", last.Job.Part, first, third)
	}
	if next, _, found := s.cell.NextToDelegate(s.now); !found || next != second {
		t.Errorf("%s is to be delegated (%v), want %s", next, found, second)
	}
}
