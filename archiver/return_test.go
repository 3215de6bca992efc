package archiver_test

import (
	"errors"
	"testing"

	"zinniashore.example/archiver"
	"zinniashore.example/dispatcher"
)

func returnBatch(part ...dispatcher.TaskID) *dispatcher.Batch {
	return &dispatcher.Batch{Return: &dispatcher.PartReturn{
		Job: jobID, Part: part, Progress: dispatcher.Progress{State: dispatcher.StateQueued, Part: true},
	}}
}

// delegatePart makes the home cell delegate tasks of the job.
func delegatePart(t *testing.T, home *archiver.CellArchive, part ...dispatcher.TaskID) error {
	t.Helper()
	return home.Save(t.Context(), &dispatcher.Batch{Part: &dispatcher.Part{
		Cell: otherCell, Job: dispatcher.Job{ID: jobID, Occurrences: 1, Steps: []dispatcher.Step{{Count: 2, LongRunning: true}}, Part: part},
	}})
}

// TestPartReturn checks that one cell has a part before and after it is given back, also if the
// answer to that save is lost.
func TestPartReturn(t *testing.T) {
	first, second := dispatcher.TaskID{Job: jobID}, dispatcher.TaskID{Job: jobID, Index: 1}
	a, store := newArchiver(t)
	acceptPlain(t, a)
	home := startTerm(t, a, store)
	if err := delegatePart(t, home, first); err != nil {
		t.Fatal(err)
	}
	other := startTermOf(t, a, store, otherCell)
	mustSave(t, other, returnBatch(first))
	mustSave(t, other, returnBatch(first))
	if err := delegatePart(t, home, first, second); err == nil {
		t.Error("the part is delegated again before the home cell knows that it was given back")
	}
	loaded, err := home.Load(t.Context())
	if err != nil || len(loaded.Jobs) != 1 || len(loaded.Jobs[0].Returned) != 1 || loaded.Jobs[0].Returned[0].Cell != otherCell {
		t.Fatalf("the home cell loads %+v (%v), want one part that %s has given back", loaded.Jobs, err, otherCell)
	}
	mustSave(t, home, &dispatcher.Batch{Jobs: []dispatcher.BatchJob{{
		ID: jobID, Own: true, Progress: dispatcher.Progress{State: dispatcher.StateQueued}, TakenBackFrom: []string{otherCell},
	}}})
	if err := delegatePart(t, home, first, second); err != nil {
		t.Errorf("delegating the part again: %v", err)
	}
}

// TestReturnOfExtendedPart guards against tasks that no cell runs: a part is given back while its home
// cell extends it.
func TestReturnOfExtendedPart(t *testing.T) {
	first, second := dispatcher.TaskID{Job: jobID}, dispatcher.TaskID{Job: jobID, Index: 1}
	a, store := newArchiver(t)
	acceptPlain(t, a)
	home := startTerm(t, a, store)
	if err := delegatePart(t, home, first, second); err != nil {
		t.Fatal(err)
	}
	other := startTermOf(t, a, store, otherCell)
	if err := other.Save(t.Context(), returnBatch(first)); !errors.Is(err, dispatcher.ErrRelocationRefused) {
		t.Errorf("Save() = %v, want %v", err, dispatcher.ErrRelocationRefused)
	}
}
