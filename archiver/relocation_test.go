package archiver_test

import (
	"errors"
	"testing"

	"zinniashore.example/archiver"
	"zinniashore.example/dispatcher"
)

func relocationBatch() *dispatcher.Batch {
	return &dispatcher.Batch{Relocation: &dispatcher.Relocation{
		Cell: otherCell, Job: dispatcher.Job{ID: jobID, Occurrences: 1, Steps: []dispatcher.Step{{Count: 1}}},
	}}
}

func acceptPlain(t *testing.T, a *archiver.Archiver) {
	t.Helper()
	record, err := dispatcher.EncodeJob(dispatcher.Job{ID: jobID, Occurrences: 1, Steps: []dispatcher.Step{{Count: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Accept(t.Context(), []archiver.AcceptedJob{{ID: jobID, Cell: cell, Record: record}}); err != nil {
		t.Fatal(err)
	}
}

// TestRelocation checks that a job has one cell before and after its relocation, also if the
// answer to the save is lost and it is repeated after the new cell has saved progress.
func TestRelocation(t *testing.T) {
	a, store := newArchiver(t)
	acceptPlain(t, a)
	archive := startTerm(t, a, store)
	mustSave(t, archive, relocationBatch())
	if home, err := a.Cell(t.Context(), jobID); home != otherCell || err != nil {
		t.Fatalf("the job's cell is %q (%v), want %q", home, err, otherCell)
	}
	other := startTermOf(t, a, store, otherCell)
	mustSave(t, other, jobBatch(dispatcher.StateCompleted))
	mustSave(t, archive, relocationBatch())
	if state, err := a.State(t.Context(), otherCell, jobID); state != dispatcher.StateCompleted || err != nil {
		t.Errorf("state = %q, %v; want completed", state, err)
	}
	items, _, err := store.List(t.Context(), archiver.JobPrefix(cell))
	if err != nil || len(items) > 0 {
		t.Errorf("the old cell holds %d items (%v), want none", len(items), err)
	}
}

// TestRelocationOfCancelledJob guards against a cancelled job that runs in another cell: its
// cancellation was stored for the old cell before the relocation.
func TestRelocationOfCancelledJob(t *testing.T) {
	a, store := newArchiver(t)
	acceptPlain(t, a)
	archive := startTerm(t, a, store)
	if err := a.Cancel(t.Context(), jobID); err != nil {
		t.Fatal(err)
	}
	if err := archive.Save(t.Context(), relocationBatch()); !errors.Is(err, dispatcher.ErrRelocationRefused) {
		t.Errorf("Save() = %v, want %v", err, dispatcher.ErrRelocationRefused)
	}
	mustSave(t, archive, jobBatch(dispatcher.StateCancelled))
	requireState(t, a, dispatcher.StateCancelled)
}

// TestCancelAfterRelocation guards against a cancellation that is stored for a cell that the job has
// left.
func TestCancelAfterRelocation(t *testing.T) {
	a, store := newArchiver(t)
	acceptPlain(t, a)
	mustSave(t, startTerm(t, a, store), relocationBatch())
	if err := a.Cancel(t.Context(), jobID); err != nil {
		t.Fatal(err)
	}
	stored, err := startTermOf(t, a, store, otherCell).Load(t.Context())
	if err != nil || len(stored.Jobs) != 1 || !stored.Jobs[0].Cancelled {
		t.Errorf("the new cell has the jobs %+v (%v), want one that is cancelled", stored.Jobs, err)
	}
}

// TestRepeatedRelocation guards against a job that two cells run: the save of a relocation whose answer
// was lost was repeated after the new cell had relocated the job to a third one.
func TestRepeatedRelocation(t *testing.T) {
	const third = "graz-c"
	a, store := newArchiver(t)
	acceptPlain(t, a)
	archive := startTerm(t, a, store)
	mustSave(t, archive, relocationBatch())
	onward := relocationBatch()
	onward.Relocation.Cell = third
	mustSave(t, startTermOf(t, a, store, otherCell), onward)
	mustSave(t, archive, relocationBatch())
	if home, err := a.Cell(t.Context(), jobID); home != third || err != nil {
		t.Errorf("the job's cell is %q (%v), want %q", home, err, third)
	}
	items, _, err := store.List(t.Context(), archiver.JobPrefix(otherCell))
	if err != nil || len(items) > 0 {
		t.Errorf("%s holds %d items of the job (%v), want none", otherCell, len(items), err)
	}
}

// TestCancelOfUnacceptedJob guards against a cancellation that is stored for a cell without a name, which
// nobody removes: the job's state had expired, and it was cancelled again.
func TestCancelOfUnacceptedJob(t *testing.T) {
	a, store := newArchiver(t)
	if _, err := a.CancelUnaccepted(t.Context(), cell, jobID); err != nil {
		t.Fatal(err)
	}
	if err := a.Cancel(t.Context(), jobID); err != nil {
		t.Fatal(err)
	}
	items, _, err := store.List(t.Context(), archiver.JobPrefix(""))
	if err != nil || len(items) > 0 {
		t.Errorf("the store holds %d items of a cell without a name (%v), want none", len(items), err)
	}
}

// TestRelocationRepeatedAfterReturn guards against tasks that run a second time: the save of a relocation whose
// answer was lost was repeated after the new cell had relocated the job back, with its progress.
func TestRelocationRepeatedAfterReturn(t *testing.T) {
	a, store := newArchiver(t)
	acceptPlain(t, a)
	archive := startTerm(t, a, store)
	first := relocationBatch()
	mustSave(t, archive, first)
	back := relocationBatch()
	back.Relocation.Cell = cell
	back.Relocation.Job.Progress = &dispatcher.Progress{State: dispatcher.StateRunning, Finished: []int{0}}
	mustSave(t, startTermOf(t, a, store, otherCell), back)
	mustSave(t, archive, first)
	if home, err := a.Cell(t.Context(), jobID); home != cell || err != nil {
		t.Errorf("the job's cell is %q (%v), want %q", home, err, cell)
	}
	stored, found, err := archive.Find(t.Context(), jobID)
	if err != nil || !found || stored.Job.Progress == nil {
		t.Errorf("the cell finds %+v (%v, %v), want the job with its progress", stored, found, err)
	}
}
