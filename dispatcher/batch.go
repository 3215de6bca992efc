package dispatcher

import (
	"slices"
	"time"
)

// A job takes rowsPerJob rows of a transaction unless several cells run parts of it, and
// rowsPerExpiredJob to remove what is left of it.
const (
	rowsPerJob        = 3
	rowsPerExpiredJob = 4
	// relocationRows is how many rows the relocation of a job takes.
	relocationRows = 9
)

// retentionMargin is how long final jobs are kept beyond Limits.StateRetention.
const retentionMargin = 30 * time.Second

// Batch is a set of changes to be stored in one transaction. The ends that it covers
// are acknowledged to the workers only after it is stored.
type Batch struct {
	// Jobs are the jobs that have changed.
	Jobs []BatchJob
	// Expired are the ids of final jobs whose retention has ended, ExpiredParts those of
	// jobs that another cell has delegated.
	Expired, ExpiredParts []string
	// Part is the part of a job that is delegated to another cell, or nil.
	Part *Part
	// Relocation is the move of a job to another cell, or nil.
	Relocation *Relocation
	// Return is a part that goes back to the home cell of its job, or nil.
	Return *PartReturn
	// Workers are all workers on which tasks may run; nil if they haven't changed.
	Workers []Registration
	// Active is true if the holder has become active, so that no earlier one acts.
	Active bool

	// begun is when the batch was made. The store takes it only during the holder's term.
	begun            time.Time
	acknowledgements map[string]acknowledgement
	// removedWorkers counts the workers that Workers omits for the first time.
	removedWorkers int
}

// BatchJob is a changed job.
type BatchJob struct {
	// ID is the job's id.
	ID string
	// Progress is the job's new progress.
	Progress Progress
	// Own is true if the job was accepted for this cell, and not delegated to it. The
	// cell that has delegated a part learns from the store that the part has failed.
	Own bool
	// CancelIn are the names of the cells that have to cancel delegated parts of the
	// job.
	CancelIn []string
	// TakenBack are the records by which cells have given back parts of the job, which Progress takes into
	// account.
	TakenBack []TakenBack
}

// TakenBack identifies a record by which a cell has given back a part of a job.
type TakenBack struct {
	// Cell is the name of that cell.
	Cell string
	// Revision is that of the record. The cell may have written another one since.
	Revision int64
}

// rows returns how many rows of a transaction the job takes at most: its progress, the
// removal of its description, and what other cells have to know.
func (b *BatchJob) rows() int { return max(rowsPerJob, 2+len(b.CancelIn)+len(b.TakenBack)) }

// Part is a part of a job that one cell delegates to another.
type Part struct {
	// Cell is the name of the cell that runs the part.
	Cell string
	// Job is the job; its Part lists the delegated tasks.
	Job Job
}

// acknowledgement identifies the newest end of a worker that a batch covers.
type acknowledgement struct {
	boot, lastEnd int64
}

// Changed reports whether there are changes to store. urgent is true if a client may
// be waiting for one.
func (c *Cell) Changed() (changed, urgent bool) {
	if c.unstoredWorkers() || c.pendingPart != nil || c.pendingRelocation != nil || c.pendingReturn != nil {
		return true, true
	}
	for id := range c.dirty {
		if j := c.jobs[id]; j != nil && j.state.Final() {
			return true, true
		}
	}
	return len(c.dirty) > 0, false
}

// NextBatch returns the next batch to store, with at most limit jobs, or nil. It has fewer
// jobs if they take more rows of a transaction than rowsPerJob each. BatchStored or
// BatchFailed must be called before the next batch.
func (c *Cell) NextBatch(now time.Time, limit int) *Batch {
	c.dropFinalPart()
	c.dropFinalReturn()
	b := &Batch{begun: now, Active: c.active, Relocation: c.pendingRelocation}
	if b.Relocation == nil {
		b.Return = c.pendingReturn
	}
	if b.Relocation != nil || b.Return != nil {
		limit -= relocationRows / rowsPerJob
	}
	ids := make([]string, 0, len(c.dirty))
	for id := range c.dirty {
		if !c.jobs[id].relocating {
			ids = append(ids, id)
		}
	}
	urgent := func(id string) bool {
		return c.jobs[id].state.Final() || c.pendingPart != nil && c.pendingPart.Job.ID == id
	}
	slices.SortFunc(ids, func(a, b string) int {
		urgentA, urgentB := urgent(a), urgent(b)
		switch {
		case urgentA == urgentB:
			return 0
		case urgentA:
			return -1
		}
		return 1
	})
	rows := 0
	for _, id := range ids {
		changed := c.batchJob(id)
		if rows += changed.rows(); rows > limit*rowsPerJob && len(b.Jobs) > 0 {
			break
		}
		b.Jobs = append(b.Jobs, changed)
		delete(c.dirty, id)
	}
	if c.pendingPart != nil && !c.dirty[c.pendingPart.Job.ID] && !c.returnUnstored(c.pendingPart) {
		b.Part = c.pendingPart
	}
	if len(c.dirty) == 0 {
		b.acknowledgements = map[string]acknowledgement{}
		for id, w := range c.workers {
			b.acknowledgements[id] = acknowledgement{boot: w.boot, lastEnd: w.lastEnd}
		}
	}
	if c.unstoredWorkers() {
		b.Workers = c.usedWorkers()
		b.removedWorkers = c.removedWorkers
	}
	if len(b.Jobs) == 0 {
		c.addExpired(now, b, limit*rowsPerJob/rowsPerExpiredJob)
	}
	if len(b.Jobs)+len(b.Expired)+len(b.ExpiredParts) == 0 && b.Workers == nil && b.Part == nil && b.Relocation == nil && b.Return == nil {
		return nil
	}
	c.storing = true
	return b
}

// returnUnstored reports whether the cell of a part has given tasks of the job back and the store still has them as
// delegated: it takes no part for that cell before.
func (c *Cell) returnUnstored(p *Part) bool {
	return slices.Contains(c.jobs[p.Job.ID].unstoredReturns, p.Cell)
}

// dropFinalPart drops the pending part of a job that has become final. If an earlier save
// stored it although it failed, the part is cancelled with the job.
func (c *Cell) dropFinalPart() {
	if c.pendingPart == nil {
		return
	}
	if j := c.jobs[c.pendingPart.Job.ID]; j == nil || j.state.Final() {
		c.pendingPart = nil
	}
}

func (c *Cell) batchJob(id string) BatchJob {
	j := c.jobs[id]
	changed := BatchJob{ID: id, Progress: j.progress(), Own: j.job.Part == nil}
	for _, cell := range j.unstoredReturns {
		changed.TakenBack = append(changed.TakenBack, TakenBack{Cell: cell, Revision: j.returnedAt[cell]})
	}
	if j.state == StateCancelled || j.state == StateFailed {
		changed.CancelIn = j.partCells()
	}
	return changed
}

// addExpired adds up to limit jobs whose retention has ended to a batch.
func (c *Cell) addExpired(now time.Time, b *Batch, limit int) {
	for id, j := range c.jobs {
		switch {
		case !j.state.Final() || j.stored != j.state || now.Sub(j.finalAt) <= c.Limits.StateRetention+retentionMargin:
		case len(b.Expired)+len(b.ExpiredParts) >= limit:
			return
		case j.job.Part != nil:
			b.ExpiredParts = append(b.ExpiredParts, id)
		default:
			b.Expired = append(b.Expired, id)
		}
	}
}

// BatchStored applies the successful write of a batch.
func (c *Cell) BatchStored(now time.Time, b *Batch) {
	c.storing = false
	c.TermChecked(b.begun)
	c.Renewed(b.begun)
	for _, changed := range b.Jobs {
		j := c.jobs[changed.ID]
		j.stored = changed.Progress.State
		j.unstoredReturns = slices.DeleteFunc(j.unstoredReturns, func(cell string) bool {
			return slices.Contains(changed.TakenBack, TakenBack{Cell: cell, Revision: j.returnedAt[cell]})
		})
		c.markCrashesStored(j, &changed.Progress)
		if j.stored != j.state {
			continue
		}
		for _, waiter := range j.waiters {
			close(waiter)
		}
		j.waiters = nil
		if j.state.Final() {
			j.job.Steps, j.job.Spec, j.occurrences = nil, "", nil
		}
	}
	for _, id := range slices.Concat(b.Expired, b.ExpiredParts) {
		delete(c.jobs, id)
	}
	if b.Part == c.pendingPart {
		c.pendingPart = nil
	}
	if b.Relocation != nil {
		c.relocated(now, b.Relocation.Job.ID)
		c.pendingRelocation = nil
	}
	if b.Return != nil {
		c.partReturned(now, b.Return)
	}
	c.removedWorkers -= b.removedWorkers
	for _, registration := range b.Workers {
		if w := c.workers[registration.ID]; w != nil && w.toStore().equivalent(registration) {
			w.stored = true
		}
	}
	for id, a := range b.acknowledgements {
		if w := c.workers[id]; w != nil && w.boot == a.boot {
			w.acknowledgedEnd = max(w.acknowledgedEnd, a.lastEnd)
		}
	}
}

// BatchFailed marks the jobs of a batch as changed again after its write failed or its
// outcome is unknown.
func (c *Cell) BatchFailed(b *Batch) {
	c.storing = false
	for _, changed := range b.Jobs {
		c.dirty[changed.ID] = true
	}
}

// unstoredWorkers reports whether the stored list of workers lacks a registered worker
// or still contains a removed one.
func (c *Cell) unstoredWorkers() bool {
	if c.removedWorkers > 0 {
		return true
	}
	for _, w := range c.workers {
		if w.registered && !w.stored {
			return true
		}
	}
	return false
}

func (c *Cell) usedWorkers() []Registration {
	workers := make([]Registration, 0, len(c.workers))
	for _, id := range c.Workers() {
		workers = append(workers, c.workers[id].toStore())
	}
	return workers
}
