package dispatcher_test

import (
	"maps"
	"slices"
	"time"

	"zinniashore.example/dispatcher"
)

// archive is the stored state of a cell.
type archive struct {
	epoch int64
	// writes counts the writes of holders. unproven keeps their revisions from the holders, as if the store had given no answer.
	writes   int64
	unproven bool
	jobs     map[string]dispatcher.Job
	progress map[string]dispatcher.Progress
	workers  []dispatcher.Registration
	parts    []dispatcher.Part
	// relocations are the jobs that were moved to other cells.
	relocations []dispatcher.Relocation
	// returns are the parts that were given back.
	returns []dispatcher.PartReturn
	// cancelIn are the cells that have to cancel parts of jobs, failedParts the failed jobs
	// of which this cell runs a part.
	cancelIn    map[string][]string
	failedParts []string
	// failedIn are the cells that have given up a part of a job.
	failedIn map[string]string
}

func newArchive() *archive {
	return &archive{jobs: map[string]dispatcher.Job{}, progress: map[string]dispatcher.Progress{}, cancelIn: map[string][]string{}, failedIn: map[string]string{}}
}

// termRevisions is how many revisions of the store lie between two terms at least, and writeRevisions how many a write of the
// holder passes, as others write as well.
const (
	termRevisions  = 10_000
	writeRevisions = 20
)

// term returns the revision of the newest term.
func (a *archive) term() int64 { return a.epoch * termRevisions }

// write applies a write of a holder and returns its revision. It refuses that of an earlier term.
func (a *archive) write(term int64) (int64, bool) {
	if term != a.term() {
		return 0, false
	}
	a.writes++
	if a.unproven {
		return 0, true
	}
	return term + min(a.writes*writeRevisions, termRevisions-1), true
}

// save applies a batch as the store does. It refuses a holder of an earlier term, and reports the revision to any other one.
func (a *archive) save(cell *dispatcher.Cell, b *dispatcher.Batch) bool {
	revision, written := a.write(cell.Epoch)
	if !written {
		return false
	}
	cell.RevisionProven(revision)
	for _, j := range b.Jobs {
		content, err := dispatcher.EncodeProgress(j.Progress)
		if err != nil {
			panic(err)
		}
		progress, err := dispatcher.DecodeProgress(j.ID, content)
		if err != nil {
			panic(err)
		}
		a.progress[j.ID] = progress
		if progress.State.Final() {
			delete(a.jobs, j.ID)
		}
		for _, cell := range j.CancelIn {
			a.cancelIn[cell] = append(a.cancelIn[cell], j.ID)
		}
		if progress.State == dispatcher.StateFailed && !j.Own {
			a.failedParts = append(a.failedParts, j.ID)
		}
	}
	for _, id := range slices.Concat(b.Expired, b.ExpiredParts) {
		delete(a.progress, id)
	}
	if b.Workers != nil {
		a.workers = b.Workers
	}
	if b.Part != nil {
		a.parts = append(a.parts, *b.Part)
	}
	if b.Return != nil {
		a.returns = append(a.returns, *b.Return)
		if job, live := a.jobs[b.Return.Job]; live && len(b.Return.Rest) > 0 {
			job.Part = b.Return.Rest
			a.jobs[b.Return.Job] = job
		} else {
			delete(a.jobs, b.Return.Job)
			delete(a.progress, b.Return.Job)
		}
	}
	if b.Relocation != nil {
		a.relocations = append(a.relocations, *b.Relocation)
		delete(a.jobs, b.Relocation.Job.ID)
		delete(a.progress, b.Relocation.Job.ID)
	}
	return true
}

// load restores the stored state to a new holder.
func (a *archive) load(c *dispatcher.Cell, now time.Time) {
	for _, w := range a.workers {
		c.RestoreWorker(now, w)
	}
	ids := map[string]bool{}
	for id := range a.jobs {
		ids[id] = true
	}
	for id := range a.progress {
		ids[id] = true
	}
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		job, live := a.jobs[id]
		progress, begun := a.progress[id]
		if !live && !progress.State.Final() {
			continue
		}
		job.ID = id
		if begun {
			c.AddJob(now, job, &progress, true)
		} else {
			c.AddJob(now, job, nil, true)
		}
		if cell := a.failedIn[id]; cell != "" {
			c.FailPart(now, id, cell, "")
		}
	}
}
