package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// awaitRelocation runs the simulation until a job is to be relocated, for at most span.
func awaitRelocation(s *simulation, span time.Duration) (dispatcher.TaskID, bool) {
	for end := s.now.Add(span); s.now.Before(end); s.step(50 * time.Millisecond) {
		if id, _, found := s.cell.NextToRelocate(s.now); found {
			return id, true
		}
	}
	return dispatcher.TaskID{}, false
}

// leaveAll makes all workers drain and exit, one second apart.
func leaveAll(s *simulation) {
	for _, f := range s.workers {
		f.registration.Phase = dispatcher.PhaseDraining
		s.register(f)
		s.runFor(time.Second)
		f.reboot()
		f.reachable = false
		s.unregister(f)
	}
}

// TestRelocationFromEmptiedCell guards against jobs that wait for ever in a cell whose workers have all
// left: a cell without workers acted on nothing, and short tasks never changed their cell.
func TestRelocationFromEmptiedCell(t *testing.T) {
	s := newActiveSimulation(3)
	s.submit(plainJob(jobID, 3, 2*time.Second, 3))
	s.submit(longRunningJob(otherID, 3, 1500))
	s.runFor(2200 * time.Millisecond)
	leaveAll(s)
	id, found := awaitRelocation(s, 15*time.Second)
	if !found || id.Job != jobID {
		t.Fatalf("%s is to be relocated (%v), want a task of %s", id, found, jobID)
	}
	s.cell.Relocate(s.now, id, "graz-b")
	s.runFor(12 * time.Second)
	if _, _, delegates := s.cell.NextToDelegate(s.now); !delegates {
		t.Error("no long-running task is to be delegated")
	}
	if len(s.archive.relocations) != 1 {
		t.Fatalf("%d jobs are relocated, want 1", len(s.archive.relocations))
	}
	moved := s.archive.relocations[0]
	if moved.Cell != "graz-b" || moved.Job.Progress == nil || len(moved.Job.Progress.Done) == 0 {
		t.Errorf("the job moves to %q with the progress %+v, want its done tasks in graz-b", moved.Cell, moved.Job.Progress)
	}
	if _, known := s.cell.State(jobID); known {
		t.Error("the cell still knows the relocated job")
	}
	requireNoViolations(t, s)
}

// TestRelocationForLabel guards against a job that waits for ever in a cell that has no worker with
// the label that it requires.
func TestRelocationForLabel(t *testing.T) {
	s := newActiveSimulation(3)
	labelled := plainJob(jobID, 2, time.Second, 1)
	labelled.Steps[0].Label = "kind-b"
	s.submit(labelled)
	full := plainJob(otherID, 200, time.Hour, 1)
	s.submit(full)
	if id, found := awaitRelocation(s, 2*time.Second); !found || id.Job != jobID {
		t.Errorf("%s is to be relocated (%v), want a task of %s", id, found, jobID)
	}
}

// TestRelocationWaitsForLeases guards against two runs of a task: a job mustn't move while a run of it
// may be active on a worker that is cut off.
func TestRelocationWaitsForLeases(t *testing.T) {
	s := newActiveSimulation(1)
	s.submit(plainJob(jobID, 1, 12*time.Second, 1))
	s.runFor(500 * time.Millisecond)
	cut := s.workers[0]
	cut.reachable = false
	s.unregister(cut)
	if _, found := awaitRelocation(s, 10*time.Second); !found {
		t.Fatal("the job isn't to be relocated")
	}
	if len(cut.running) > 0 {
		t.Error("the job is to be relocated while a run of it is active")
	}
}

// TestCancellationDuringRelocation guards against a cancelled job that runs in the cell that it moves
// to: its cancellation was carried out in the old one only.
func TestCancellationDuringRelocation(t *testing.T) {
	s := newActiveSimulation(3)
	labelled := plainJob(jobID, 1, time.Second, 1)
	labelled.Steps[0].Label = "kind-b"
	s.submit(labelled)
	id, found := awaitRelocation(s, 2*time.Second)
	if !found || !s.cell.Relocate(s.now, id, "graz-b") {
		t.Fatal("the job isn't relocated")
	}
	if known, _ := s.cell.Cancel(s.now, jobID); known {
		t.Error("the cell cancels a job that may already belong to another")
	}
	batch := s.cell.NextBatch(s.now, 4)
	s.cell.BatchFailed(batch)
	s.cell.RelocationRefused(s.now, batch)
	requireState(t, s, jobID, dispatcher.StateRunning) // until the cancellation is stored
	s.runFor(200 * time.Millisecond)
	requireState(t, s, jobID, dispatcher.StateCancelled)
}

// TestRelocatedProgress guards against tasks that are done and start again in the cell that their job
// has moved to.
func TestRelocatedProgress(t *testing.T) {
	s := newActiveSimulation(2)
	job := plainJob(jobID, 2, time.Second, 2)
	job.Progress = &dispatcher.Progress{State: dispatcher.StateQueued, Done: []dispatcher.TaskID{{Job: jobID}}}
	record, err := dispatcher.EncodeJob(job)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := dispatcher.DecodeJob(record)
	if err != nil {
		t.Fatal(err)
	}
	s.submit(decoded)
	s.runFor(300 * time.Millisecond)
	if s.running[dispatcher.TaskID{Job: jobID}] != 0 || s.running[dispatcher.TaskID{Job: jobID, Index: 1}] != 1 {
		t.Errorf("running tasks: %v, want the second one of the first step only", s.running)
	}
}

// TestManyJobsThatNeverRun guards against a question to all cells for each of many jobs that no worker
// of any cell can run.
func TestManyJobsThatNeverRun(t *testing.T) {
	s := newActiveSimulation(2)
	for n := range 50 {
		job := plainJob(fmt.Sprintf("%016x", n), 2, time.Second, 1)
		job.Steps[0].Size.MilliProcessors = fullCapacity.MilliProcessors + int64(n) + 1
		s.submit(job)
	}
	s.runFor(time.Second)
	questions := 0
	for id, _, found := s.cell.NextToRelocate(s.now); found; id, _, found = s.cell.NextToRelocate(s.now) {
		s.cell.RelocationUnplaced(s.now, id)
		questions++
	}
	if questions == 0 || questions > 1 {
		t.Errorf("%d questions for 50 jobs, want 1", questions)
	}
}

// TestLateRecordOfRelocatedJob guards against a job that two cells run: a record of it, delivered late
// or listed before, arrived after it had been relocated.
func TestLateRecordOfRelocatedJob(t *testing.T) {
	s := newActiveSimulation(3)
	labelled := plainJob(jobID, 1, time.Second, 1)
	labelled.Steps[0].Label = "kind-b"
	s.submit(labelled)
	id, found := awaitRelocation(s, 2*time.Second)
	if !found || !s.cell.Relocate(s.now, id, "graz-b") {
		t.Fatal("the job isn't relocated")
	}
	s.runFor(200 * time.Millisecond)
	late := s.jobs[jobID]
	late.Steps[0].Label = ""
	s.cell.AddJob(s.now, late, nil, true)
	s.runFor(2 * time.Second)
	if s.running[dispatcher.TaskID{Job: jobID}] != 0 || s.done[dispatcher.TaskID{Job: jobID}] {
		t.Error("the relocated job runs in the old cell")
	}
	s.archive.jobs[jobID] = late
	s.cell.AddJob(s.now, late, nil, true)
	s.runFor(2 * time.Second)
	requireState(t, s, jobID, dispatcher.StateCompleted)
}

// TestCrashOfRelocatedJob guards against a holder that ends as a worker returns which it had taken for crashed
// under a job that has moved to another cell since.
func TestCrashOfRelocatedJob(t *testing.T) {
	s := newActiveSimulation(1)
	s.submit(plainJob(jobID, 1, 12*time.Second, 1))
	s.advanceToStart(time.Second)
	cut := s.workers[0]
	cut.reachable = false
	s.unregister(cut)
	id, found := awaitRelocation(s, 15*time.Second)
	if !found || !s.cell.Relocate(s.now, id, "graz-b") {
		t.Fatal("the job isn't relocated")
	}
	s.runFor(time.Second)
	moved := s.archive.relocations[0].Job.Progress
	if len(moved.Crashes) != 1 || !moved.Crashes[0].Crashes[0].Confirmed {
		t.Fatalf("the job moves with the crashes %+v, want one that is confirmed", moved.Crashes)
	}
	cut.reachable = true
	s.register(cut)
	s.runFor(5 * time.Second)
	requireNoViolations(t, s)
}
