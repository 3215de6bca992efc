package dispatcher

import (
	"errors"
	"maps"
	"time"

	"zinniashore.example/recorder"
)

// ErrRelocationRefused is the error of a batch whose relocation, or return of a part, will never be
// stored: the job has been cancelled through the store, or the part extended.
var ErrRelocationRefused = errors.New("the job to relocate has been cancelled or changed")

// Relocation is the move of a whole job to another cell.
type Relocation struct {
	// Cell is the name of the new cell.
	Cell string
	// Job is the job with its progress.
	Job Job
}

// NextToRelocate returns a task that doesn't fit in the cell, with its job, which may be relocated to another cell:
// nothing of it is active here or elsewhere. Of several it is the one whose last offer is longest ago.
func (c *Cell) NextToRelocate(now time.Time) (TaskID, Job, bool) {
	if c.pendingRelocation != nil || !c.mayAct(now) {
		return TaskID{}, Job{}, false
	}
	short := c.newShortages(now)
	return c.longestUnoffered(func(t *task) bool { return c.relocatable(now, t, short) })
}

// relocatable reports whether the job of a waiting task may be relocated, and has to be.
func (c *Cell) relocatable(now time.Time, t *task, short *shortages) bool {
	j := t.job()
	switch {
	case t.movable() || t.remote || j.job.Part != nil || j.running > 0 || j.state.Final():
		return false
	case now.Sub(t.readyAt) < delegationDelay || now.Sub(t.refusedAt) < delegationRetryDelay:
		return false
	}
	return !c.mayHaveRun(now, t) && !c.mayHaveReportedRunOf(now, j) && (short.affects(t) || !c.capable(t)) && len(j.partCells()) == 0 && !c.hasUnconfirmedCrash(j)
}

// Capable reports whether the workers of the cell could run a task if all of their capacity were free.
func (c *Cell) Capable(now time.Time, id TaskID) bool {
	t := c.task(now, id)
	return t != nil && c.capable(t)
}

// RelocationUnplaced records that no other cell could run a task. That applies to all waiting tasks that
// need as much, so that many jobs that can never run cost few questions.
func (c *Cell) RelocationUnplaced(now time.Time, id TaskID) {
	unplaced := c.task(now, id)
	if unplaced == nil {
		return
	}
	least := requirementOf(unplaced)
	for _, t := range c.ready {
		if requirementOf(t).covers(least) {
			t.refusedAt = now
		}
	}
}

// Relocate begins the relocation of a task's job, which the next batch stores. It reports false if the
// job may not be relocated any more.
func (c *Cell) Relocate(now time.Time, id TaskID, cell string) bool {
	t := c.task(now, id)
	if t == nil || c.pendingRelocation != nil || !c.relocatable(now, t, c.newShortages(now)) {
		return false
	}
	j := t.job()
	job := j.job
	progress := j.progress()
	job.Progress = &progress
	j.relocating = true
	c.pendingRelocation = &Relocation{Cell: cell, Job: job}
	c.record(recorder.Event{Kind: KindRelocated, Key: id.Job, Detail: "to " + cell + ": not enough capacity here for " + id.String()})
	return true
}

// relocated removes a job whose relocation, or the return of whose part, is stored. If it may have come
// back already, it is looked up in the store.
func (c *Cell) relocated(now time.Time, id string) {
	c.departed[id] = now
	if j := c.jobs[id]; j != nil && j.deliveredAgain {
		c.unknownJobs[id] = now.Add(-unknownJobTimeout)
	}
	delete(c.jobs, id)
	delete(c.dirty, id)
	delete(c.upcoming, id)
	maps.DeleteFunc(c.blamed, func(t *task, _ bool) bool { return t.id.Job == id })
	c.dropFromReady(func(t *task) bool { return t.id.Job == id })
}

// RelocationRefused ends the relocation, or the return of a part, of a batch, which certainly won't be
// stored. The job's cancellation, if it came meanwhile, is carried out.
func (c *Cell) RelocationRefused(now time.Time, b *Batch) {
	if b.Relocation != nil {
		c.pendingRelocation = nil
		c.resume(now, b.Relocation.Job.ID)
	}
	if b.Return != nil {
		c.returnRefused(now, b.Return)
	}
}

// resume continues a job that isn't relocated.
func (c *Cell) resume(now time.Time, id string) {
	j := c.jobs[id]
	j.relocating, j.deliveredAgain = false, false
	if j.cancelDeferred {
		c.Cancel(now, id)
	}
}
