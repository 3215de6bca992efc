package archiver_test

import (
	"errors"
	"slices"
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
		Cell: otherCell, Job: dispatcher.Job{ID: jobID, Occurrences: 1, Steps: []dispatcher.Step{{Count: 3, LongRunning: true}}, Part: part},
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
		ID: jobID, Own: true, Progress: dispatcher.Progress{State: dispatcher.StateQueued}, TakenBack: []dispatcher.TakenBack{{Cell: otherCell, Revision: loaded.Jobs[0].Returned[0].Revision}},
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

// returnTasksBatch returns some tasks of a part to the home cell.
func returnTasksBatch(rest []dispatcher.TaskID, part ...dispatcher.TaskID) *dispatcher.Batch {
	batch := returnBatch(part...)
	batch.Return.Rest = rest
	return batch
}

// partOf returns the tasks of the job that a cell has in the store.
func partOf(t *testing.T, archive *archiver.CellArchive) []dispatcher.TaskID {
	t.Helper()
	loaded, err := archive.Load(t.Context())
	if err != nil || len(loaded.Jobs) != 1 {
		t.Fatalf("the cell loads %+v (%v), want one job", loaded.Jobs, err)
	}
	return loaded.Jobs[0].Job.Part
}

// TestReturnedTasks guards against a task that two cells have, or none: it goes back alone, the answer to that save is
// lost, and it is delegated again, or another task of the part goes back, before the save is repeated.
func TestReturnedTasks(t *testing.T) {
	first, second, third := dispatcher.TaskID{Job: jobID}, dispatcher.TaskID{Job: jobID, Index: 1}, dispatcher.TaskID{Job: jobID, Index: 2}
	a, store := newArchiver(t)
	acceptPlain(t, a)
	home := startTerm(t, a, store)
	if err := delegatePart(t, home, first, second, third); err != nil {
		t.Fatal(err)
	}
	other := startTermOf(t, a, store, otherCell)
	back := returnTasksBatch([]dispatcher.TaskID{first}, second, third)
	mustSave(t, other, back)
	if got := partOf(t, other); !slices.Equal(got, []dispatcher.TaskID{first}) {
		t.Errorf("the part is %v, want %s", got, first)
	}
	mustSave(t, other, back)
	if err := other.Save(t.Context(), returnBatch(first)); !errors.Is(err, dispatcher.ErrRelocationRefused) {
		t.Errorf("giving back more before that is taken back: %v, want %v", err, dispatcher.ErrRelocationRefused)
	}
	loaded, err := home.Load(t.Context())
	if err != nil || len(loaded.Jobs) != 1 || len(loaded.Jobs[0].Returned) != 1 || !slices.Equal(loaded.Jobs[0].Returned[0].Tasks, back.Return.Part) {
		t.Fatalf("the home cell loads %+v (%v), want two returned tasks", loaded.Jobs, err)
	}
	takeBack := &dispatcher.Batch{Jobs: []dispatcher.BatchJob{{
		ID: jobID, Own: true, Progress: dispatcher.Progress{State: dispatcher.StateRunning},
		TakenBack: []dispatcher.TakenBack{{Cell: otherCell, Revision: loaded.Jobs[0].Returned[0].Revision}},
	}}}
	mustSave(t, home, takeBack)
	if err := delegatePart(t, home, first, second); err != nil {
		t.Fatal(err)
	}
	mustSave(t, other, back)
	if got := partOf(t, other); !slices.Equal(got, []dispatcher.TaskID{first, second}) {
		t.Errorf("after the repeated save the part is %v, want %s and %s", got, first, second)
	}
	mustSave(t, other, returnTasksBatch([]dispatcher.TaskID{second}, first))
	mustSave(t, home, takeBack)
	if loaded, err = home.Load(t.Context()); err != nil || len(loaded.Jobs[0].Returned) != 1 {
		t.Errorf("the home cell loads %+v (%v): a repeated save has removed a newer record", loaded.Jobs, err)
	}
}
