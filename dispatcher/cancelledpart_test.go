package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestPartOfFinalJob guards against a delegated task that starts after its job was cancelled or
// has failed: one save stored the part and its cancellation, and the other cell read the latter
// first.
func TestPartOfFinalJob(t *testing.T) {
	tests := map[string]func(c *dispatcher.Cell, now time.Time){
		"cancelled":                     func(c *dispatcher.Cell, now time.Time) { c.Cancel(now, jobID) },
		"a part in a third cell failed": func(c *dispatcher.Cell, now time.Time) { c.FailPart(now, jobID, "graz-c", "") },
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			p := newCells(1, 2)
			p.home.submit(longRunningJob(jobID, 2, 3000))
			p.home.runFor(time.Second)
			p.delegate()
			if len(p.delegated) != 1 {
				t.Fatalf("%d tasks are delegated, want 1", len(p.delegated))
			}
			end(p.home.cell, p.home.now)
			p.home.runFor(100 * time.Millisecond)
			p.passCancellations()
			p.passParts()
			p.other.runFor(time.Second)
			if runs := p.other.running[p.delegated[0]]; runs != 0 {
				t.Errorf("the delegated task has %d runs, want none", runs)
			}
		})
	}
}

// TestPartStoredBeforeCancellation guards against a delegated task that runs on after its job
// was cancelled: the part was stored, but the answer of the store was lost.
func TestPartStoredBeforeCancellation(t *testing.T) {
	p := newCells(1, 2)
	p.home.submit(longRunningJob(jobID, 2, 3000))
	p.home.runFor(time.Second)
	p.delegate()
	batch := p.home.cell.NextBatch(p.home.now, 4)
	p.home.archive.save(p.home.cell.Epoch, batch)
	p.home.cell.BatchFailed(batch)
	p.passParts()
	p.home.cell.Cancel(p.home.now, jobID)
	p.home.runFor(100 * time.Millisecond)
	p.passParts()
	p.passCancellations()
	p.other.runFor(time.Second)
	if runs := p.other.running[p.delegated[0]]; p.cancelled == 0 || runs != 0 {
		t.Errorf("the delegated task has %d runs after %d cancellations, want none after one", runs, p.cancelled)
	}
}
