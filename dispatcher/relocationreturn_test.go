package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestRelocationAfterReturn guards against a cell that can store nothing any more: a job moved to another cell while the
// record by which a part of it had been given back was still stored. Once the job is back and delegates to the cell of that
// record, the store refuses each save.
func TestRelocationAfterReturn(t *testing.T) {
	s := newActiveSimulation(1)
	s.workers[0].registration.Phase = dispatcher.PhaseDraining
	s.register(s.workers[0])
	job := longRunningJob(jobID, 1, 1500)
	labelled := plainJob(otherID, 1, time.Second, 1).Steps[0]
	labelled.Label = "kind-b"
	job.Steps = append(job.Steps, labelled)
	s.submit(job)
	s.runFor(time.Second)
	if !s.cell.Delegate(s.now, dispatcher.TaskID{Job: jobID}, "graz-b", 1) {
		t.Fatal("the long-running task isn't delegated")
	}
	s.runFor(200 * time.Millisecond)
	s.storeDown = true
	s.cell.AddReturned(s.now, jobID, dispatcher.ReturnedPart{Cell: "graz-b", Revision: 7})
	if id, found := awaitRelocation(s, 2*time.Second); found {
		t.Errorf("the job of %s is to be relocated before the store has that its part is back", id)
	}
	s.storeDown = false
	if id, found := awaitRelocation(s, 2*time.Second); !found || id.Job != jobID {
		t.Errorf("%s is to be relocated (%v), want a task of %s", id, found, jobID)
	}
}
