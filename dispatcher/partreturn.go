package dispatcher

import (
	"slices"
	"time"

	"zinniashore.example/recorder"
)

// PartReturn gives a delegated part back to the home cell of its job.
type PartReturn struct {
	// Job is the id of the job.
	Job string
	// Part lists the tasks of the part, none of which is active.
	Part []TaskID
	// Progress is the progress of the part.
	Progress Progress
}

// ReturnedPart is a part that another cell has given back.
type ReturnedPart struct {
	// Cell is the name of that cell.
	Cell string
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
		waits := j.job.Part != nil && !t.remote && j.running == 0 && !j.state.Final() && !j.relocating && now.Sub(t.readyAt) >= delegationDelay
		if waits && !c.mayHaveRun(now, t) && !c.capable(t) && !c.hasUnconfirmedCrash(j) {
			return t.id.Job, true
		}
	}
	return "", false
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
	j.unstoredReturns = append(j.unstoredReturns, returned.Cell)
	c.dirty[id] = true
	if c.pendingPart != nil && c.pendingPart.Job.ID == id && c.pendingPart.Cell == returned.Cell {
		c.pendingPart = nil
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.delegatedTo == returned.Cell {
					t.remote, t.delegatedTo = false, ""
					c.addCrashes(now, t, returned.Crashes)
					c.record(recorder.Event{Kind: KindRelocated, Task: t.id.String(), Key: id, Detail: "given back by " + returned.Cell})
					c.enqueue(now, t)
				}
			}
		}
	}
	return true
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
