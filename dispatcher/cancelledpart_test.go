package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

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
	p.home.archive.save(p.home.cell, batch)
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

// TestRefusedPart guards against a cancelled job that runs on, and a cell that stores nothing any more: the
// store refuses each save with a part of the job, which was cancelled through the store.
func TestRefusedPart(t *testing.T) {
	p := newCells(1, 2)
	p.home.submit(longRunningJob(jobID, 2, 3000))
	p.home.runFor(time.Second)
	p.delegate()
	batch := p.home.cell.NextBatch(p.home.now, 4)
	if batch == nil || batch.Part == nil {
		t.Fatal("no part is to be stored")
	}
	p.home.cell.BatchFailed(batch)
	p.home.cell.PartRefused(p.home.now, batch)
	p.home.submit(longRunningJob(otherID, 1, 500))
	p.home.runFor(2 * time.Second)
	requireState(t, p.home, jobID, dispatcher.StateCancelled)
	requireState(t, p.home, otherID, dispatcher.StateRunning)
	if parts, told := len(p.home.archive.parts), p.home.archive.cancelIn[partCell]; parts > 0 || len(told) != 1 {
		t.Errorf("%d parts and the cancellations %v are stored, want no part and one cancellation", parts, told)
	}
	for task, runs := range p.home.running {
		if task.Job == jobID && runs > 0 {
			t.Errorf("%s still runs", task)
		}
	}
}

// partMoves are what may happen to jobs of which another cell runs a part, and to both holders.
var partMoves = []string{"cancel in store", "refuse home holder", "pause home holder", "heal", "take home", "take other", "restart worker", "leave", "large"}

// movePart makes a random change among partMoves.
func (n *network) movePart(t *rapid.T, number int) {
	w := n.other.workers[rapid.IntRange(0, len(n.other.workers)-1).Draw(t, "worker")]
	switch move := rapid.SampledFrom(partMoves).Draw(t, "part move"); move {
	case "cancel in store":
		n.cancelSome(t)
	case "refuse home holder":
		n.holder().storeRefuses = true
	case "pause home holder":
		n.holder().pause(drawSpan(t, "holder pause", 1, 80), false)
	case "heal":
		n.holder().storeRefuses = false
	case "take home":
		n.moveControl(t, "take")
	case "take other":
		n.other.moveControl(t, "take")
	case "restart worker":
		w.restart(drawSpan(t, "away", 0, 30))
	case "leave":
		w.leave(drawSpan(t, "drain", 20, 50), drawSpan(t, "linger", 0, 40), rapid.Bool().Draw(t, "successor"))
	case "large":
		n.submit(longRunningJob(fmt.Sprintf("%016x", 0xb00+number), rapid.IntRange(1, 3).Draw(t, "count"), 2500))
	}
}

// TestRandomCancelledParts guards against cancelled jobs that the holder of a cell with a part of them starts again,
// while the holder of the home cell is paused or refused by the store, and holders change.
func TestRandomCancelledParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetworkPair(1, rapid.IntRange(3, 5).Draw(t, "other workers"), rapid.Uint64().Draw(t, "seed"))
		n.slow = float64(rapid.IntRange(0, 10).Draw(t, "slow")) / 10
		n.other.slow = n.slow
		n.advancePair(300 * time.Millisecond)
		for i := range 2 {
			n.submit(longRunningJob(fmt.Sprintf("%016x", 0xa00+i), 3, 2500))
		}
		n.advancePair(3 * time.Second)
		for i := range rapid.IntRange(2, 12).Draw(t, "moves") {
			n.movePart(t, i)
			n.advancePair(time.Duration(rapid.IntRange(1, 80).Draw(t, "pause")) * 50 * time.Millisecond)
			n.requireKept(t)
			n.other.requireKept(t)
		}
		n.requireSettled(t)
	})
}
