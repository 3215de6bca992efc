package archiver_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"zinniashore.example/archiver"
	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
)

// delegateTask makes the home cell delegate a task of the job, with the progress that says so.
func delegateTask(t *testing.T, home *archiver.CellArchive, task dispatcher.TaskID) error {
	t.Helper()
	progress := dispatcher.Progress{
		State: dispatcher.StateQueued, Delegated: []dispatcher.DelegatedTask{{Task: task, Cell: otherCell}},
	}
	return home.Save(t.Context(), &dispatcher.Batch{
		Jobs: []dispatcher.BatchJob{{ID: jobID, Own: true, Progress: progress}},
		Part: &dispatcher.Part{
			Cell: otherCell, Job: dispatcher.Job{ID: jobID, Occurrences: 1, Steps: []dispatcher.Step{{Count: 2, LongRunning: true}}, Part: []dispatcher.TaskID{task}},
		},
	})
}

// TestStoredCancellationReachesPart guards against a cancelled job that the next holder of a cell with a part
// of it starts again: the holder of the job's home cell couldn't be reached, and the cancellation was stored for that
// cell only, whose next holder told the other cell seconds later.
func TestStoredCancellationReachesPart(t *testing.T) {
	a, store := newArchiver(t)
	acceptPlain(t, a)
	if err := delegateTask(t, startTerm(t, a, store), dispatcher.TaskID{Job: jobID}); err != nil {
		t.Fatal(err)
	}
	if err := a.Cancel(t.Context(), jobID); err != nil {
		t.Fatal(err)
	}
	stored, err := startTermOf(t, a, store, otherCell).Load(t.Context())
	if err != nil || len(stored.Jobs) != 1 || !stored.Jobs[0].Cancelled {
		t.Errorf("the next holder of the part's cell loads %+v (%v), want one job that is cancelled", stored.Jobs, err)
	}
}

// TestDelegationOfCancelledJob guards against a cancelled job that starts in another cell: the holder of
// its home cell delegated a part before it had read the cancellation from the store.
func TestDelegationOfCancelledJob(t *testing.T) {
	a, store := newArchiver(t)
	acceptPlain(t, a)
	home := startTerm(t, a, store)
	if err := a.Cancel(t.Context(), jobID); err != nil {
		t.Fatal(err)
	}
	if err := delegateTask(t, home, dispatcher.TaskID{Job: jobID}); !errors.Is(err, dispatcher.ErrPartRefused) {
		t.Errorf("Save() = %v, want %v", err, dispatcher.ErrPartRefused)
	}
	items, _, err := store.List(t.Context(), archiver.JobPrefix(otherCell))
	if err != nil || len(items) > 0 {
		t.Errorf("the other cell has %d items of the job (%v), want none", len(items), err)
	}
}

// TestRelocationBesideRefusedPart guards against a job that two cells run: a save whose answer was lost had
// relocated it, and the repetition was refused because another job, of which it delegates a part, was cancelled.
func TestRelocationBesideRefusedPart(t *testing.T) {
	const cancelledID = "00000000000000b2"
	a, store := newArchiver(t)
	acceptPlain(t, a)
	if err := a.Accept(t.Context(), []archiver.AcceptedJob{{ID: cancelledID, Cell: cell, Record: []byte("{}")}}); err != nil {
		t.Fatal(err)
	}
	archive := startTerm(t, a, store)
	batch := relocationBatch()
	mustSave(t, archive, batch)
	if err := a.Cancel(t.Context(), cancelledID); err != nil {
		t.Fatal(err)
	}
	batch.Part = &dispatcher.Part{Cell: otherCell, Job: dispatcher.Job{ID: cancelledID, Part: []dispatcher.TaskID{{Job: cancelledID}}}}
	err := archive.Save(t.Context(), batch)
	if !errors.Is(err, dispatcher.ErrPartRefused) || errors.Is(err, dispatcher.ErrRelocationRefused) {
		t.Errorf("Save() = %v, want %v", err, dispatcher.ErrPartRefused)
	}
}

// rowCounter counts the rows of the largest transaction.
type rowCounter struct {
	archiver.Store
	most int
}

func (c *rowCounter) Commit(ctx context.Context, transaction platform.Transaction) (int64, error) {
	c.most = max(c.most, len(transaction.Expect)+len(transaction.Writes)+len(transaction.Remove))
	return c.Store.Commit(ctx, transaction)
}

// TestFullBatchWithPart guards against a cell that can store nothing any more: a part is delegated in a save
// that takes more rows than the store accepts.
func TestFullBatchWithPart(t *testing.T) {
	const otherJobs = 8
	a, store := newArchiver(t)
	home := startTerm(t, a, store)
	rows := &rowCounter{Store: store}
	a.Store = rows
	batch := &dispatcher.Batch{
		Jobs:    []dispatcher.BatchJob{{ID: jobID, Own: true, Progress: dispatcher.Progress{State: dispatcher.StateQueued}}},
		Part:    &dispatcher.Part{Cell: otherCell, Job: dispatcher.Job{ID: jobID, Part: []dispatcher.TaskID{{Job: jobID}}}},
		Workers: []dispatcher.Registration{{ID: "w1"}},
	}
	for i := range otherJobs {
		id := fmt.Sprintf("00000000000000c%d", i)
		batch.Jobs = append(batch.Jobs, dispatcher.BatchJob{
			ID: id, Own: true, Progress: dispatcher.Progress{State: dispatcher.StateCancelled}, CancelIn: []string{otherCell},
		})
	}
	mustSave(t, home, batch)
	if rows.most > platform.MaxTransactionRows {
		t.Errorf("the transaction has %d rows, want at most %d", rows.most, platform.MaxTransactionRows)
	}
}
