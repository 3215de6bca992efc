package dispatcher

import (
	"math"
	"time"
)

// planningPass holds what doesn't change while the ready tasks are placed, so that it
// is computed once rather than for each task.
type planningPass struct {
	// healthy are the workers to which starts may be sent.
	healthy []*worker
	// waits and longRunningWaits report whether a task of a restored job, or a
	// long-running one of which nothing is reported, may have run on a worker that hasn't answered yet.
	waits, longRunningWaits bool
	// headrooms are the remaining headrooms of the long-running tasks of a worker at its
	// current load. A worker is absent until they are needed, and after a change of its
	// runs.
	headrooms map[*worker][]runHeadroom
	// unplaced are the tasks for which no worker was found.
	unplaced unplaced
	// reserved is true once a worker is reserved for a long-running task, reservedForTrial
	// once one is for a suspect.
	reserved, reservedForTrial bool
	// racks are the forecasts of the racks that tasks wait for.
	racks rackForecasts
	// awaiting is the task that was last decided to wait for a rack.
	awaiting *task
}

// runHeadroom is the remaining headroom of a long-running task that runs an image.
type runHeadroom struct {
	image    string
	headroom float64
}

// newPlanningPass returns the state for placing the ready tasks at a time.
func (c *Cell) newPlanningPass(now time.Time) *planningPass {
	pass := &planningPass{headrooms: map[*worker][]runHeadroom{}}
	for _, w := range c.workers {
		if c.healthy(now, w) && !now.Before(w.fullUntil) {
			pass.healthy = append(pass.healthy, w)
		}
	}
	pass.waits, pass.longRunningWaits = c.unansweredWorkers(now)
	return pass
}

// runsChanged forgets what depends on the runs of a worker. It does nothing outside a
// planning pass.
func (p *planningPass) runsChanged(w *worker) {
	if p != nil {
		delete(p.headrooms, w)
	}
}

// selectHealthyWorker returns the healthy worker with the highest score for a task, as
// Cell.selectWorker does.
func (c *Cell) selectHealthyWorker(now time.Time, t *task) *worker {
	var best choice
	for _, w := range c.pass.healthy {
		if w.accepts(now, t) {
			c.consider(now, &best, w, t)
		}
	}
	return best.worker
}

// headroomsOf returns the remaining headrooms of the long-running tasks on a worker.
func (c *Cell) headroomsOf(w *worker) []runHeadroom {
	if c.pass != nil {
		if headrooms, found := c.pass.headrooms[w]; found {
			return headrooms
		}
	}
	loads := w.bestEffortLoads()
	headrooms := make([]runHeadroom, 0, w.servingRuns)
	for _, r := range w.runs {
		if step := r.task.step.step; step.TailTarget > 0 {
			headrooms = append(headrooms, runHeadroom{image: step.Image, headroom: c.remainingHeadroom(r, loads)})
		}
	}
	if c.pass != nil {
		c.pass.headrooms[w] = headrooms
	}
	return headrooms
}

// interference returns the greatest share of the remaining headroom of any
// long-running task on the worker that a best-effort task would take. It is infinite
// if that share would reach maxInterference.
func (c *Cell) interference(w *worker, step *Step) float64 {
	if w.servingRuns == 0 {
		return 0
	}
	maxShare := 0.0
	for _, r := range c.headroomsOf(w) {
		effect := w.processorShare(step.Size) * (c.headrooms.Effect(r.image, step.Image) + c.headrooms.EffectBound(r.image, step.Image)) / 2
		if effect > minEffect && effect >= maxInterference*r.headroom {
			return math.Inf(1)
		}
		if r.headroom > 0 {
			maxShare = math.Max(maxShare, effect/r.headroom)
		}
	}
	return maxShare
}
