package dispatcher

import (
	"math"
	"time"
)

// DetectSuspension tells the cell of a runner of a suspension since the last call.
func DetectSuspension(r *Runner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detectSuspension()
}

// PlaceAndCompare places the ready tasks as Plan does. It returns the tasks for which
// the choice within a planning pass differs from the choice without one.
func PlaceAndCompare(c *Cell, now time.Time) (placed int, differing []TaskID) {
	pass := c.newPlanningPass(now)
	defer func() { c.pass = nil }()
	for _, t := range c.ready {
		if len(t.runs) > 0 {
			continue
		}
		c.pass = nil
		waits, w := c.mayHaveRun(now, t), c.selectWorker(now, t)
		c.pass = pass
		if c.mayHaveRun(now, t) != waits || !c.equallyGood(now, t, w, c.selectWorker(now, t)) {
			differing = append(differing, t.id)
		}
		if !waits {
			placed += len(c.place(now, t))
		}
	}
	return placed, differing
}

// equallyGood reports whether two choices are the same worker, or workers whose scores
// differ only by the order in which loads were summed.
func (c *Cell) equallyGood(now time.Time, t *task, a, b *worker) bool {
	if a == b {
		return true
	}
	if a == nil || b == nil {
		return false
	}
	const rounding = 1e-9
	var choiceA, choiceB choice
	c.consider(now, &choiceA, a, t)
	c.consider(now, &choiceB, b, t)
	return math.Abs(choiceA.score-choiceB.score) < rounding
}

// LearnedRunTimes reports whether a cell has learned a run time.
func LearnedRunTimes(c *Cell) bool { return !c.runTimes.Empty() }

// PlanPause returns the pause after a plan that took a time.
func PlanPause(took time.Duration) time.Duration { return planPause(took) }

// Depart makes a job one that the cell has relocated.
func Depart(c *Cell, now time.Time, id string) { c.departed[id] = now }

// RecordLeft records what the holder of a cell leaves, as when it is stopped.
func RecordLeft(c *Cell, now time.Time) { c.recordLeft(now, nil) }

// ListTaskIDs lists tasks as logs do.
func ListTaskIDs(ids []TaskID) string { return listTaskIDs(ids) }
