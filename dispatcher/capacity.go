package dispatcher

import "time"

// FreeCapacity is the capacity that a cell has left for a step.
type FreeCapacity struct {
	// Places is the number of tasks of the step that could start now, less the tasks of
	// its kind that have just become ready. Tasks that have waited longer aren't
	// subtracted: they found no place in this cell.
	Places int
	// LaterPlaces is the number of tasks of the step that could start once all tasks that aren't
	// long-running have ended, beside the long-running tasks that wait and fit.
	LaterPlaces int
	// Load is the share of the cell's processors that running and waiting tasks take.
	Load float64
}

// StepID identifies a step of a job. The zero value is none.
type StepID struct {
	// Job is the id of the job, Step the number of the step, from 0.
	Job  string
	Step int
}

// stepID returns the step of the task.
func (t TaskID) stepID() StepID { return StepID{Job: t.Job, Step: t.Step} }

// FreeCapacity returns the capacity that the cell has left for a step of a service. The runs of the step that the cell has
// already count towards its limit of each worker.
func (c *Cell) FreeCapacity(now time.Time, service string, id StepID, step *Step) FreeCapacity {
	var free FreeCapacity
	var capacity, taken int64
	for _, w := range c.workers {
		if !c.takesStarts(w) || w.registration.Service != service {
			continue
		}
		capacity += w.registration.Capacity.MilliProcessors
		taken += w.registration.Capacity.MilliProcessors - w.idleProcessors()
		if c.healthy(now, w) && w.hasLabel(step.Label) {
			free.Places += c.places(w, id, step)
		}
	}
	for _, t := range c.ready {
		if len(t.runs) > 0 {
			continue
		}
		taken += t.step.step.Size.MilliProcessors
		if t.step.step.kind() == step.kind() && now.Sub(t.readyAt) < tickInterval {
			free.Places--
		}
	}
	free.Places, free.LaterPlaces = max(0, free.Places), c.laterPlaces(now, service, id, step)
	free.Load = float64(taken) / float64(max(capacity, 1))
	return free
}

// kind is the class of tasks that compete for the same capacity.
type kind string

const (
	kindLongRunning kind = "long_running"
	kindBestEffort  kind = "best_effort"
	kindShort       kind = "short"
)

func (s *Step) kind() kind {
	switch {
	case s.LongRunning:
		return kindLongRunning
	case s.BestEffort:
		return kindBestEffort
	}
	return kindShort
}

// maxPlaces bounds the places that are counted per worker.
const maxPlaces = 100

// placeLimit returns how many more tasks of a step the worker may run at most, whatever its capacity is.
func (w *worker) placeLimit(id StepID, step *Step) int {
	if step.WorkerLimit == 0 {
		return maxPlaces
	}
	limit := step.WorkerLimit
	for _, r := range w.runs {
		if r.task.id.stepID() == id {
			limit--
		}
	}
	return min(max(limit, 0), maxPlaces)
}

// places returns the number of tasks of a step that fit on a worker.
func (c *Cell) places(w *worker, id StepID, step *Step) int {
	limit := w.placeLimit(id, step)
	if w.onTrial(nil) || w.reservedFor != nil && !step.LongRunning {
		return 0
	}
	remaining, need := w.freeCapacity(), step.Size
	if step.BestEffort {
		remaining.MilliProcessors = w.idleProcessors()
		need.MilliProcessors = int64(minIdleShare * float64(need.MilliProcessors))
		if interference := c.interference(w, step); interference > 0 {
			limit = min(limit, int(1/interference))
		}
	}
	count := 0
	for count < limit && remaining.Holds(need) {
		remaining = remaining.Minus(step.Size)
		count++
	}
	return count
}
