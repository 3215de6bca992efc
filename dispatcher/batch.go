package dispatcher

import (
	"slices"
	"time"
)

// retentionMargin keeps final jobs longer than promised.
const retentionMargin = 30 * time.Second

// Batch is what the store has to take at once. While one is on its way, the
// ends that it holds stay unacknowledged at the workers.
type Batch struct {
	// Jobs are the jobs that have changed.
	Jobs []BatchJob
	// Expired are final jobs whose retention has ended.
	Expired []string
	// Part is a part of a job that another cell takes, or nil.
	Part *Part
	// Workers are all workers that tasks may be on; nil if that hasn't changed.
	Workers []Registration

	acknowledgements map[string]acknowledgement
	// forgotten counts the workers that Workers leaves out for the first time.
	forgotten int
}

// BatchJob is a job that has changed.
type BatchJob struct {
	// ID is the job's id.
	ID string
	// Progress is its new progress.
	Progress Progress
	// CancelIn are the cells that have parts of the job to cancel.
	CancelIn []string
}

// Part is a part of a job that a cell runs for another.
type Part struct {
	// Cell is the cell that runs the part.
	Cell string
	// Job is the job; its Part lists the tasks.
	Job Job
}

// acknowledgement is the newest end of a worker that a batch covers.
type acknowledgement struct {
	boot, seen int64
}

// Changed reports whether jobs have to be stored, and whether a client may be
// waiting for it.
func (c *Cell) Changed() (changed, urgent bool) {
	if c.unstoredWorkers() || c.part != nil {
		return true, true
	}
	for id := range c.dirty {
		if j := c.jobs[id]; j != nil && j.state.Final() {
			return true, true
		}
	}
	return len(c.dirty) > 0, false
}

// TakeBatch returns what the store has to take, at most limit jobs, or nil.
// Stored or Unstored has to follow before the next batch.
func (c *Cell) TakeBatch(now time.Time, limit int) *Batch {
	b := &Batch{}
	ids := make([]string, 0, len(c.dirty))
	for id := range c.dirty {
		ids = append(ids, id)
	}
	first := func(id string) bool {
		return c.jobs[id].state.Final() || c.part != nil && c.part.Job.ID == id
	}
	slices.SortFunc(ids, func(a, b string) int {
		finalA, finalB := first(a), first(b)
		switch {
		case finalA == finalB:
			return 0
		case finalA:
			return -1
		}
		return 1
	})
	for _, id := range ids[:min(limit, len(ids))] {
		b.Jobs = append(b.Jobs, c.batchJob(id))
		delete(c.dirty, id)
	}
	if c.part != nil && !c.dirty[c.part.Job.ID] {
		b.Part = c.part
	}
	if len(c.dirty) == 0 {
		b.acknowledgements = map[string]acknowledgement{}
		for id, w := range c.workers {
			b.acknowledgements[id] = acknowledgement{boot: w.boot, seen: w.seen}
		}
	}
	if c.unstoredWorkers() {
		b.Workers = c.usedWorkers()
		b.forgotten = c.forgotten
	}
	if len(b.Jobs) == 0 {
		b.Expired = c.expired(now, limit)
	}
	if len(b.Jobs)+len(b.Expired) == 0 && b.Workers == nil {
		return nil
	}
	c.storing = true
	return b
}

func (c *Cell) batchJob(id string) BatchJob {
	j := c.jobs[id]
	changed := BatchJob{ID: id, Progress: j.progress()}
	if j.state == StateCancelled {
		changed.CancelIn = j.partCells()
	}
	return changed
}

func (c *Cell) expired(now time.Time, limit int) []string {
	var ids []string
	for id, j := range c.jobs {
		if j.state.Final() && j.stored == j.state && len(ids) < limit &&
			now.Sub(j.finalAt) > c.Limits.StateRetention+retentionMargin {
			ids = append(ids, id)
		}
	}
	return ids
}

// Stored notes that the store has taken a batch.
func (c *Cell) Stored(b *Batch) {
	c.storing = false
	for _, changed := range b.Jobs {
		j := c.jobs[changed.ID]
		j.stored = changed.Progress.State
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
	for _, id := range b.Expired {
		delete(c.jobs, id)
	}
	if b.Part != nil {
		c.part = nil
	}
	c.forgotten -= b.forgotten
	for _, registration := range b.Workers {
		if w := c.workers[registration.ID]; w != nil && w.registration.alike(registration) {
			w.stored = true
		}
	}
	for id, a := range b.acknowledgements {
		if w := c.workers[id]; w != nil && w.boot == a.boot {
			w.acknowledged = max(w.acknowledged, a.seen)
		}
	}
}

// Unstored notes that the store has not surely taken a batch; it is due again.
func (c *Cell) Unstored(b *Batch) {
	c.storing = false
	for _, changed := range b.Jobs {
		c.dirty[changed.ID] = true
	}
}

// unstoredWorkers reports whether the store doesn't know yet of a worker that is
// ready for use, or lists one that is gone.
func (c *Cell) unstoredWorkers() bool {
	if c.forgotten > 0 {
		return true
	}
	for _, w := range c.workers {
		if w.listed && !w.stored {
			return true
		}
	}
	return false
}

func (c *Cell) usedWorkers() []Registration {
	workers := make([]Registration, 0, len(c.workers))
	for _, id := range c.Workers() {
		workers = append(workers, c.workers[id].registration)
	}
	return workers
}
