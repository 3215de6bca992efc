package owner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/keeper"
	"zinniashore.example/placer"
	"zinniashore.example/submitter"
)

const storedTasks = 800

// storedCell is a cell over an in-memory store, run by hand in the test's goroutine. It
// has one job of storedTasks tasks, all of which are placed.
type storedCell struct {
	*cell
	t     *testing.T
	store *memoryStore
}

// newStoredCell returns a cell with durable placements of the tasks of one job.
func newStoredCell(t *testing.T) storedCell {
	t.Helper()
	store := &memoryStore{entries: map[string]keeper.Entry{}}
	c := loadStored(t, store, 1)
	_, err := c.owner.submitter().Submit(t.Context(), submitter.Job{
		Organisation: "moka", Name: strings.Repeat("night", 20), Cell: c.spec.ID, Template: "sorting",
		Tasks: storedTasks, Size: placer.Size{Processors: 100},
	})
	if err != nil {
		t.Fatal(err)
	}
	c = loadStored(t, store, 2)
	w := c.ensureWorker("w0", "", c.now())
	for _, d := range c.waitingDemands(maxWaiting) {
		c.stageAttempt(c.createTask(d), w, d.declared, c.now())
	}
	c.commitAll()
	return c
}

// loadStored returns the cell as the owner under the given epoch loads it.
func loadStored(t *testing.T, store *memoryStore, epoch int64) storedCell {
	t.Helper()
	clock := clockwork.NewFakeClock()
	session := &fakeSession{clock: clock, until: clock.Now().Add(time.Hour)}
	writer := fmt.Sprintf("p%d", epoch)
	o := &Owner{
		Clock: clock, Session: session, Process: writer,
		Keeper: &keeper.Keeper{Store: store, Clock: immediateClock{clockwork.NewRealClock()}, Writer: writer},
	}
	o.initialise()
	c, err := o.load(t.Context(), Cell{ID: "c"}, &tenure{owner: o, epoch: epoch, validUntil: session.until}, clock.Now(), epoch-1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.cancel)
	return storedCell{cell: c, t: t, store: store}
}

// commitOnce begins one commit and handles outcomes until none is in flight.
func (c storedCell) commitOnce() {
	c.t.Helper()
	c.commit()
	for c.committing {
		select {
		case handle := <-c.inbox:
			handle()
		case <-time.After(time.Minute):
			c.t.Fatal("a commit has no outcome")
		}
	}
}

func (c storedCell) commitAll() {
	c.t.Helper()
	for len(c.staged) > 0 || c.journal.deleting != 0 {
		c.commitOnce()
	}
}

// reserveAll stages another reservation of each task.
func (c storedCell) reserveAll(size placer.Size) {
	for _, task := range c.sortedTasks() {
		c.setReserved(task, size)
	}
}

// TestEndsInSplitCommits ends so many tasks that their removals don't fit into one commit,
// and reads the store after each commit as a successor would. Guards against a removal that is durable before
// the progress: a successor would start the task again.
func TestEndsInSplitCommits(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// staged is true if the tasks have staged changes before they end.
		staged bool
		// refused is the number of the commit whose write the store refuses.
		refused int
	}{
		"nothing staged":                 {},
		"nothing staged, first refused":  {refused: 1},
		"nothing staged, second refused": {refused: 2},
		"tasks staged":                   {staged: true},
		"tasks staged, first refused":    {staged: true, refused: 1},
		"tasks staged, second refused":   {staged: true, refused: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newStoredCell(t)
			tasks := c.sortedTasks()
			if test.staged {
				c.reserveAll(placer.Size{Processors: 50})
			}
			for _, task := range tasks {
				c.handleDone(task)
			}
			for commits := 1; len(c.staged) > 0; commits++ {
				if commits == test.refused {
					c.store.refuse = 1
				}
				c.commitOnce()
				successor := loadStored(t, c.store.copy(), c.tenure.epoch+1)
				if again := successor.waitingDemands(maxWaiting); len(again) > 0 {
					t.Fatalf("after %d commits a successor would start %d of %d ended tasks again", commits, len(again), len(tasks))
				}
			}
		})
	}
}

// copy returns a store with the same entries.
func (s *memoryStore) copy() *memoryStore {
	entries := make(map[string]keeper.Entry, len(s.entries))
	for key, entry := range s.entries {
		entries[key] = entry
	}
	return &memoryStore{entries: entries, revision: s.revision}
}
