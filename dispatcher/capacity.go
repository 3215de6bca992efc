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

// FreeCapacity returns the capacity that the cell has left for a step of a service.
func (c *Cell) FreeCapacity(now time.Time, service string, step *Step) FreeCapacity {
	var free FreeCapacity
	var capacity, taken int64
	for _, w := range c.workers {
		if !c.takesStarts(w) || w.registration.Service != service {
			continue
		}
		capacity += w.registration.Capacity.MilliProcessors
		taken += w.registration.Capacity.MilliProcessors - w.idleProcessors()
		if c.healthy(now, w) && w.hasLabel(step.Label) {
			free.Places += c.places(w, step)
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
	free.Places, free.LaterPlaces = max(0, free.Places), c.laterPlaces(now, service, step)
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

// places returns the number of tasks of a step that fit on a worker.
func (c *Cell) places(w *worker, step *Step) int {
	limit := maxPlaces
	if step.WorkerLimit > 0 {
		limit = min(limit, step.WorkerLimit)
	}
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
