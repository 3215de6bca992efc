package dispatcher

import (
	"slices"
	"time"

	"zinniashore.example/recorder"
)

// PartReturn gives a delegated part, or some of its tasks, back to the home cell of its job.
type PartReturn struct {
	// Job is the id of the job.
	Job string
	// Part lists the tasks that go back, none of which is active.
	Part []TaskID
	// Rest lists the tasks of the part that stay.
	Rest []TaskID
	// Progress is the progress of the part.
	Progress Progress
}

// ReturnedPart is a part that another cell has given back.
type ReturnedPart struct {
	// Cell is the name of that cell.
	Cell string
	// Tasks are the tasks that it has given back; nil if all of its part.
	Tasks []TaskID
	// Crashes are the crashes of workers that it recorded under tasks of the part.
	Crashes []TaskCrashes
	// Revision is that of the record in the store.
	Revision int64
}

// NextToReturn returns the id of a job of which this cell runs a part and of which no worker of the
// cell could run a waiting task. Nothing of the part may be active.
func (c *Cell) NextToReturn(now time.Time) (string, bool) {
	if c.pendingReturn != nil || !c.mayAct(now) {
		return "", false
	}
	for _, t := range c.ready {
		j := t.job()
		if j.running == 0 && c.waitsInPart(now, t) && !c.mayHaveReportedRunOf(now, j) && !c.capable(t) && !c.hasUnconfirmedCrash(j) {
			return t.id.Job, true
		}
	}
	return "", false
}

// waitsInPart reports whether a task of a part isn't active and has waited for long enough to be given back.
func (c *Cell) waitsInPart(now time.Time, t *task) bool {
	j := t.job()
	return j.job.Part != nil && !t.remote && len(t.runs) == 0 && !j.state.Final() && !j.relocating &&
		now.Sub(t.readyAt) >= delegationDelay && now.Sub(t.refusedAt) >= delegationRetryDelay && !c.mayHaveRun(now, t)
}

// partReturned applies a stored return. An old record of the part, with the tasks that were given back, may still
// arrive.
func (c *Cell) partReturned(now time.Time, r *PartReturn) {
	c.pendingReturn = nil
	if len(r.Rest) == 0 {
		c.relocated(now, r.Job)
		return
	}
	j := c.jobs[r.Job]
	if j == nil {
		return
	}
	if j.returnedTasks == nil {
		j.returnedTasks = map[TaskID]time.Time{}
	}
	for _, id := range r.Part {
		j.returnedTasks[id] = now
	}
	j.job.Part = slices.DeleteFunc(slices.Clone(j.job.Part), func(id TaskID) bool { return slices.Contains(r.Part, id) })
	if j.deliveredAgain {
		j.deliveredAgain = false
		c.unknownJobs[r.Job] = now.Add(-unknownJobTimeout)
	}
}

// returnRefused ends a return that certainly won't be stored.
func (c *Cell) returnRefused(now time.Time, r *PartReturn) {
	c.pendingReturn = nil
	for _, id := range r.Part {
		if t := c.task(now, id); t != nil {
			t.remote, t.refusedAt = false, now
			c.enqueue(now, t)
		}
	}
	if len(r.Rest) == 0 {
		c.resume(now, r.Job)
	} else if j := c.jobs[r.Job]; j != nil {
		j.deliveredAgain = false
	}
}

// ReturnPart begins to give a part back, which the next batch stores.
func (c *Cell) ReturnPart(id string) {
	j := c.jobs[id]
	j.relocating = true
	c.pendingReturn = &PartReturn{Job: id, Part: slices.Clone(j.job.Part), Progress: j.progress()}
	c.record(recorder.Event{Kind: KindRelocated, Key: id, Detail: "part given back: no worker here can run it"})
}

// AddReturned takes back the tasks of a job that were delegated to a cell which has given them back. It
// reports whether the job is known.
func (c *Cell) AddReturned(now time.Time, id string, returned ReturnedPart) bool {
	j, known := c.jobs[id]
	if !known {
		return false
	}
	if returned.Revision <= j.returnedAt[returned.Cell] {
		return true
	}
	if j.returnedAt == nil {
		j.returnedAt = map[string]int64{}
	}
	j.returnedAt[returned.Cell] = returned.Revision
	if !slices.Contains(j.unstoredReturns, returned.Cell) {
		j.unstoredReturns = append(j.unstoredReturns, returned.Cell)
	}
	c.dirty[id] = true
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.delegatedTo == returned.Cell && (returned.Tasks == nil || slices.Contains(returned.Tasks, t.id)) {
					t.remote, t.delegatedTo = false, ""
					c.addCrashes(now, t, returned.Crashes)
					c.record(recorder.Event{Kind: KindRelocated, Task: t.id.String(), Key: id, Detail: "given back by " + returned.Cell})
					c.enqueue(now, t)
				}
			}
		}
	}
	c.updatePendingPart(id, returned.Cell)
	return true
}

// updatePendingPart removes the tasks that a cell has just given back from the part that is being stored for it.
func (c *Cell) updatePendingPart(id, cell string) {
	p := c.pendingPart
	if p == nil || p.Job.ID != id || p.Cell != cell {
		return
	}
	c.pendingPart = nil
	part := p.Job
	part.Part, part.PartCrashes = c.jobs[id].partOf(cell)
	if len(part.Part) > 0 {
		c.pendingPart = &Part{Cell: cell, Job: part}
	}
}

// AddReturned takes back a part of a job that another cell has given back. It reports whether the
// cell knows the job.
func (r *Runner) AddReturned(id string, returned ReturnedPart) bool {
	r.mu.Lock()
	known := r.Cell.AddReturned(r.Clock.Now(), id, returned)
	r.outdateLookup(id)
	r.mu.Unlock()
	signal(r.wake)
	return known
}
