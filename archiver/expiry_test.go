package archiver_test

import (
	"testing"
	"time"

	"zinniashore.example/archiver"
	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
	"zinniashore.example/recorder"
)

// noEvents drops events.
type noEvents struct{}

func (noEvents) Record(recorder.Event) recorder.Timestamp { return recorder.Timestamp{} }

// loadCell returns a new holder's cell with the stored jobs.
func loadCell(t *testing.T, archive *archiver.CellArchive, now time.Time) *dispatcher.Cell {
	t.Helper()
	c := dispatcher.NewCell(archive.Cell, archive.Epoch, dispatcher.Limits{StateRetention: time.Minute}, noEvents{})
	stored, err := archive.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, j := range stored.Jobs {
		c.AddJob(now, j.Job, j.Progress, true)
	}
	return c
}

// saveAll stores all changes of a cell.
func saveAll(t *testing.T, archive *archiver.CellArchive, c *dispatcher.Cell, now time.Time) {
	t.Helper()
	for batch := c.NextBatch(now, 9); batch != nil; batch = c.NextBatch(now, 9) {
		mustSave(t, archive, batch)
		c.BatchStored(now, batch)
	}
}

// TestExpiredPart guards against a job that is unknown, and may be accepted a second time, while
// its home cell still runs it or keeps its state, and against a part that starts anew: the cell
// that ran a part of it has removed what is left of the part.
func TestExpiredPart(t *testing.T) {
	tests := map[string]struct{ holderChanges bool }{
		"one holder":         {},
		"the holder changes": {holderChanges: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a, store := newArchiver(t)
			_, other := acceptPart(t, a, store)
			part, err := store.Get(t.Context(), archiver.JobPrefix(otherCell)+jobID)
			if err != nil {
				t.Fatal(err)
			}
			now := time.UnixMilli(1_000_000)
			c := loadCell(t, other, now)
			c.Cancel(now, jobID)
			saveAll(t, other, c, now)
			// The home cell extends the part, of which it doesn't know yet that it has ended.
			if _, err := store.Commit(t.Context(), platform.Transaction{Writes: []platform.Item{part}}); err != nil {
				t.Fatal(err)
			}
			if test.holderChanges {
				c = loadCell(t, other, now)
			}
			saveAll(t, other, c, now.Add(time.Hour))
			if home, err := a.Cell(t.Context(), jobID); err != nil || home != cell {
				t.Errorf("home cell = %q, %v; want %q", home, err, cell)
			}
			if c = loadCell(t, other, now); c.Pending("") != 0 {
				t.Error("the part that has ended starts anew")
			}
		})
	}
}

// TestUnacceptedExpires guards against cancellations of unaccepted jobs that stay in the store for
// ever, or that a new holder removes at once.
func TestUnacceptedExpires(t *testing.T) {
	a, store := newArchiver(t)
	if _, err := a.CancelUnaccepted(t.Context(), cell, jobID); err != nil {
		t.Fatal(err)
	}
	archive := startTerm(t, a, store)
	now := time.UnixMilli(1_000_000)
	c := dispatcher.NewCell(archive.Cell, archive.Epoch, dispatcher.Limits{StateRetention: time.Minute}, noEvents{})
	stored, err := archive.Load(t.Context())
	if err != nil || len(stored.Jobs) != 1 || !stored.Jobs[0].Unaccepted {
		t.Fatalf("a new holder loads %+v (%v), want one unaccepted job", stored.Jobs, err)
	}
	c.AddUnaccepted(now, stored.Jobs[0].Job.ID)
	if state, known := c.State(jobID); known {
		t.Errorf("the unaccepted job is shown as %q", state)
	}
	saveAll(t, archive, c, now.Add(time.Minute))
	accepted := []archiver.AcceptedJob{{ID: jobID, Cell: cell, Record: []byte("{}")}}
	if err := a.Accept(t.Context(), accepted); err == nil {
		t.Error("the job is accepted one minute after its cancellation")
	}
	saveAll(t, archive, c, now.Add(2*time.Minute))
	items, _, err := store.List(t.Context(), archiver.JobPrefix(cell))
	if err != nil || len(items) > 0 {
		t.Errorf("the store holds %d items (%v) after the retention, want none", len(items), err)
	}
	if err := a.Accept(t.Context(), accepted); err != nil {
		t.Errorf("Accept() after the retention = %v", err)
	}
}
