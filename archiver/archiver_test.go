package archiver_test

import (
	"context"
	"errors"
	"testing"

	"zinniashore.example/archiver"
	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
	"zinniashore.example/standin"
)

const (
	cell  = "graz-a"
	jobID = "00000000000000a1"
)

func newArchiver(t *testing.T) (*archiver.Archiver, *platform.Store) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	address, err := standin.Listen(ctx, "127.0.0.1:0", &standin.PlatformStore{})
	if err != nil {
		t.Fatal(err)
	}
	store := platform.NewStore(address)
	return &archiver.Archiver{Store: store}, store
}

// startTerm writes a new term and returns the archive of its holder.
func startTerm(t *testing.T, a *archiver.Archiver, store *platform.Store) *archiver.CellArchive {
	t.Helper()
	return startTermOf(t, a, store, cell)
}

// startTermOf is startTerm for a cell.
func startTermOf(t *testing.T, a *archiver.Archiver, store *platform.Store, cell string) *archiver.CellArchive {
	t.Helper()
	epoch, err := store.Commit(t.Context(), platform.Transaction{
		Writes: []platform.Item{{Key: archiver.TermPrefix + cell, Value: []byte("term")}},
	})
	if err != nil {
		t.Fatal(err)
	}
	archive := &archiver.CellArchive{Archiver: a, Cell: cell, Epoch: epoch}
	if _, err := archive.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	return archive
}

func jobBatch(state dispatcher.State) *dispatcher.Batch {
	return &dispatcher.Batch{Jobs: []dispatcher.BatchJob{{ID: jobID, Progress: dispatcher.Progress{State: state}}}}
}

func requireState(t *testing.T, a *archiver.Archiver, want dispatcher.State) {
	t.Helper()
	state, err := a.State(t.Context(), cell, jobID)
	if err != nil || state != want {
		t.Errorf("state = %q, %v; want %q", state, err, want)
	}
}

func TestFind(t *testing.T) {
	a, store := newArchiver(t)
	archive := startTerm(t, a, store)
	if _, found, err := archive.Find(t.Context(), jobID); found || err != nil {
		t.Fatalf("a job that was never accepted: found = %v, %v", found, err)
	}
	record, err := dispatcher.EncodeJob(dispatcher.Job{ID: jobID, Steps: []dispatcher.Step{{Count: 2}}, Occurrences: 1})
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Accept(t.Context(), []archiver.AcceptedJob{{ID: jobID, Cell: cell, Record: record}}); err != nil {
		t.Fatal(err)
	}
	done := dispatcher.TaskID{Job: jobID, Index: 1}
	batch := &dispatcher.Batch{Jobs: []dispatcher.BatchJob{{ID: jobID, Progress: dispatcher.Progress{
		State: dispatcher.StateQueued, Done: []dispatcher.TaskID{done},
	}}}}
	if err := archive.Save(t.Context(), batch); err != nil {
		t.Fatal(err)
	}
	if err := a.Cancel(t.Context(), jobID); err != nil {
		t.Fatal(err)
	}
	stored, found, err := archive.Find(t.Context(), jobID)
	if err != nil || !found || !stored.Cancelled || len(stored.Job.Steps) != 1 ||
		stored.Progress == nil || len(stored.Progress.Done) != 1 || stored.Progress.Done[0] != done {
		t.Errorf("stored = %+v, found = %v, %v; want the job with one task done, cancelled", stored, found, err)
	}
}

func TestSaveThatComesLate(t *testing.T) {
	a, store := newArchiver(t)
	archive := startTerm(t, a, store)
	stale := *archive
	if err := archive.Save(t.Context(), jobBatch(dispatcher.StateCompleted)); err != nil {
		t.Fatal(err)
	}
	if err := stale.Save(t.Context(), jobBatch(dispatcher.StateRunning)); err == nil || errors.Is(err, dispatcher.ErrSuperseded) {
		t.Errorf("save after a newer save: error %v, want a conflict", err)
	}
	requireState(t, a, dispatcher.StateCompleted)
	if err := stale.Save(t.Context(), jobBatch(dispatcher.StateCompleted)); err != nil {
		t.Errorf("retry of the save: %v", err)
	}
}

func TestSaveAfterAnotherBegan(t *testing.T) {
	a, store := newArchiver(t)
	first := startTerm(t, a, store)
	second := startTerm(t, a, store)
	if err := first.Save(t.Context(), jobBatch(dispatcher.StateRunning)); !errors.Is(err, dispatcher.ErrSuperseded) {
		t.Errorf("save of the previous holder: error %v, want ErrSuperseded", err)
	}
	if err := second.Save(t.Context(), jobBatch(dispatcher.StateFailed)); err != nil {
		t.Error(err)
	}
	requireState(t, a, dispatcher.StateFailed)
}

func TestCheckTerm(t *testing.T) {
	a, store := newArchiver(t)
	first := startTerm(t, a, store)
	if err := first.CheckTerm(t.Context()); err != nil {
		t.Errorf("CheckTerm() of the holder = %v", err)
	}
	startTerm(t, a, store)
	if err := first.CheckTerm(t.Context()); !errors.Is(err, dispatcher.ErrSuperseded) {
		t.Errorf("CheckTerm() of the previous holder = %v, want ErrSuperseded", err)
	}
}

// TestHeartbeat guards against a next holder that doesn't know when an earlier one last reached the store, and against
// heartbeats that are stored after the end of their term.
func TestHeartbeat(t *testing.T) {
	a, store := newArchiver(t)
	first := startTerm(t, a, store)
	if err := first.Heartbeat(t.Context()); err != nil {
		t.Fatal(err)
	}
	second := &archiver.CellArchive{Archiver: a, Cell: cell, Epoch: first.Epoch}
	stored, err := second.Load(t.Context())
	if err != nil || stored.Earlier.LastWrite <= first.Epoch {
		t.Errorf("the last write is %d (%v), want one after the term %d", stored.Earlier.LastWrite, err, first.Epoch)
	}
	mustSave(t, first, jobBatch(dispatcher.StateRunning))
	saved, err := second.Load(t.Context())
	if err != nil || saved.Earlier.LastWrite <= stored.Earlier.LastWrite {
		t.Errorf("the last write after a save is %d (%v), want one after %d", saved.Earlier.LastWrite, err, stored.Earlier.LastWrite)
	}
	startTerm(t, a, store)
	if err := first.Heartbeat(t.Context()); !errors.Is(err, dispatcher.ErrSuperseded) {
		t.Errorf("a heartbeat of the previous holder: %v, want ErrSuperseded", err)
	}
}

// TestProvenRevision guards against fencing tokens above the term of the next holder: the revision of a write that wasn't conditional
// on the term, or was refused, counts as proven.
func TestProvenRevision(t *testing.T) {
	a, store := newArchiver(t)
	first := startTerm(t, a, store)
	if proven := first.ProvenRevision(); proven != 0 {
		t.Errorf("ProvenRevision() = %d before any write, want 0", proven)
	}
	if err := first.Heartbeat(t.Context()); err != nil {
		t.Fatal(err)
	}
	renewed := first.ProvenRevision()
	if renewed <= first.Epoch {
		t.Errorf("ProvenRevision() = %d after a heartbeat, want one above the term %d", renewed, first.Epoch)
	}
	mustSave(t, first, jobBatch(dispatcher.StateRunning))
	saved := first.ProvenRevision()
	if saved <= renewed {
		t.Errorf("ProvenRevision() = %d after a save, want one above %d", saved, renewed)
	}
	second := startTerm(t, a, store)
	if err := first.Heartbeat(t.Context()); err == nil {
		t.Error("a heartbeat of the previous holder is accepted")
	}
	if proven := first.ProvenRevision(); proven != saved || proven >= second.Epoch {
		t.Errorf("ProvenRevision() = %d in the next term %d, want %d", proven, second.Epoch, saved)
	}
}

func TestAcceptOnce(t *testing.T) {
	a, _ := newArchiver(t)
	record, err := dispatcher.EncodeJob(dispatcher.Job{ID: jobID, Occurrences: 1, Steps: []dispatcher.Step{{Count: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	jobs := []archiver.AcceptedJob{{ID: jobID, Cell: cell, Record: record}}
	if err := a.Accept(t.Context(), jobs); err != nil {
		t.Fatal(err)
	}
	jobs[0].Cell = "graz-b"
	var exists *archiver.ExistsError
	if err := a.Accept(t.Context(), jobs); !errors.As(err, &exists) || !exists.IDs[jobID] {
		t.Errorf("second submission: error %v, want an ExistsError", err)
	}
	if stored, err := a.Cell(t.Context(), jobID); err != nil || stored != cell {
		t.Errorf("cell = %q, %v; want %q", stored, err, cell)
	}
}

func TestLoad(t *testing.T) {
	a, store := newArchiver(t)
	job := dispatcher.Job{ID: jobID, Occurrences: 1, Spec: "cane", Steps: []dispatcher.Step{{Count: 2, LongRunning: true}}}
	record, err := dispatcher.EncodeJob(job)
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Accept(t.Context(), []archiver.AcceptedJob{{ID: jobID, Cell: cell, Record: record}}); err != nil {
		t.Fatal(err)
	}
	if err := a.Cancel(t.Context(), jobID); err != nil {
		t.Fatal(err)
	}
	archive := startTerm(t, a, store)
	workers := []dispatcher.Registration{{ID: "w1", Address: "127.0.0.1:1", Service: "shop"}}
	if err := archive.Save(t.Context(), &dispatcher.Batch{Workers: workers}); err != nil {
		t.Fatal(err)
	}
	stored, err := archive.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(stored.Jobs) != 1 || !stored.Jobs[0].Cancelled || stored.Jobs[0].Job.Spec != "cane" || !stored.Jobs[0].Job.Steps[0].LongRunning {
		t.Errorf("jobs = %+v", stored.Jobs)
	}
	if len(stored.Workers) != 1 || stored.Workers[0].ID != "w1" {
		t.Errorf("workers = %+v", stored.Workers)
	}
}
