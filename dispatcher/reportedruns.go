package dispatcher

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// maxReportedRuns bounds the runs that a release reports, so that the store takes its record.
const maxReportedRuns = 1000

// ReportedRuns tells of some workers which tasks may have a run there, as a holder has reported when it released the
// cell. It is immutable; the zero value tells of no worker.
type ReportedRuns struct {
	byWorker map[string][]TaskID
	// workersByTask and workersByJob hold the workers that may have a run of a task, or of any task of a job.
	workersByTask map[TaskID][]string
	workersByJob  map[string][]string
}

// NewReportedRuns returns what a holder has reported: the tasks by the id of a worker, which are all that may have a run there.
func NewReportedRuns(byWorker map[string][]TaskID) ReportedRuns {
	r := ReportedRuns{byWorker: byWorker, workersByTask: map[TaskID][]string{}, workersByJob: map[string][]string{}}
	for worker, tasks := range byWorker {
		for _, id := range tasks {
			r.workersByTask[id] = append(r.workersByTask[id], worker)
			r.workersByJob[id.Job] = append(r.workersByJob[id.Job], worker)
		}
	}
	return r
}

// on returns the tasks that may have a run on a worker. told is false if that isn't known.
func (r ReportedRuns) on(worker string) (tasks []TaskID, told bool) {
	tasks, told = r.byWorker[worker]
	return tasks, told
}

// ReportedRuns returns what a release reports: the workers, each with all tasks that may have a run there. A worker of which that
// isn't known is left out. It is nil if another holder is known to have begun a term.
func (c *Cell) ReportedRuns(now time.Time) map[string][]TaskID {
	if c.superseded {
		return nil
	}
	if !c.active {
		return maps.Clone(c.EarlierRuns.byWorker)
	}
	workers := slices.Clone(c.Workers())
	slices.SortStableFunc(workers, func(a, b string) int {
		return trueFirst(c.mayStopAnswering(now, c.workers[a]), c.mayStopAnswering(now, c.workers[b]))
	})
	reported, count := map[string][]TaskID{}, 0
	for _, id := range workers {
		if tasks, known := c.tasksOn(now, c.workers[id]); known && count+len(tasks) <= maxReportedRuns {
			reported[id] = tasks
			count += len(tasks)
		}
	}
	return reported
}

// mayStopAnswering reports whether the next holder is unlikely to hear the worker: it may have stopped answering, or drains.
func (c *Cell) mayStopAnswering(now time.Time, w *worker) bool {
	return c.mayBeSilent(now, w) || w.registration.Phase == PhaseDraining
}

// tasksOn returns all tasks that may have a run on a worker, of any holder so far. known is false if there may be others.
func (c *Cell) tasksOn(now time.Time, w *worker) (tasks []TaskID, known bool) {
	switch earlier, told := c.EarlierRuns.on(w.registration.ID); {
	case w.forgotRuns || w.earlierBoot != 0 || w.listedIncompletely:
		return nil, false
	case !w.mayHaveEarlierLeases():
	case !told || w.epochAccepted:
		return nil, false
	default:
		tasks = slices.Clone(earlier)
	}
	for key := range w.runs {
		tasks = append(tasks, key.task)
	}
	for key := range w.orphanedRuns {
		tasks = append(tasks, key.task)
	}
	for _, t := range c.ready {
		if t.unanswered.expectedOn(now, w.registration.ID) {
			tasks = append(tasks, t.id)
		}
	}
	slices.SortFunc(tasks, func(a, b TaskID) int { return strings.Compare(a.String(), b.String()) })
	return slices.Compact(tasks), true
}

// mayHaveReportedRun reports whether a run of a task, of which an earlier holder has reported, may last on a worker that hasn't
// told this holder all of its runs.
func (c *Cell) mayHaveReportedRun(now time.Time, t *task) bool {
	return c.anyMayHoldEarlierLease(now, c.EarlierRuns.workersByTask[t.id])
}

// mayHaveReportedRunOf is mayHaveReportedRun for any task of a job.
func (c *Cell) mayHaveReportedRunOf(now time.Time, j *jobState) bool {
	return c.mayBeStarted(j) && c.anyMayHoldEarlierLease(now, c.EarlierRuns.workersByJob[j.job.ID])
}

func (c *Cell) anyMayHoldEarlierLease(now time.Time, workers []string) bool {
	return slices.ContainsFunc(workers, func(id string) bool {
		w := c.workers[id]
		return w != nil && c.mayHoldEarlierLease(now, w)
	})
}
