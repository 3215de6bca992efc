package dispatcher

import (
	"math"
	"time"
)

// selectWorker returns the usable worker with the highest score for a task, or nil.
func (c *Cell) selectWorker(now time.Time, t *task) *worker {
	if w := c.boundTo(now, t); w != nil {
		if !c.usable(now, w, t) {
			return nil
		}
		return w
	}
	if c.pass != nil {
		return c.selectHealthyWorker(now, t)
	}
	var best choice
	for _, w := range c.workers {
		if c.usable(now, w, t) {
			c.consider(now, &best, w, t)
		}
	}
	return best.worker
}

// choice is the best worker found for a task so far.
type choice struct {
	worker *worker
	score  float64
}

// consider replaces the choice for a task by a usable worker if that one scores higher.
func (c *Cell) consider(now time.Time, best *choice, w *worker, t *task) {
	score := scoreWorker(w, t)
	if t.anyMember((*task).blamed) {
		score += weightBystander * float64(len(w.runs))
	}
	if t.step.step.BestEffort {
		interference := c.interference(w, t.step.step)
		if math.IsInf(interference, 1) {
			if !t.starved(now) {
				return
			}
			interference = starvedInterference
		}
		score += weightInterference * interference
	}
	if best.worker == nil || score > best.score ||
		score == best.score && w.registration.ID < best.worker.registration.ID {
		best.worker, best.score = w, score
	}
}

const (
	// starvationTimeout is how long a best-effort task of a job without any run waits
	// for a worker on which it interferes with no long-running task beyond its
	// headroom. After that it may start on any worker with some idle processors, and is
	// throttled there.
	starvationTimeout = 4 * time.Second
	// starvedInterference is the interference that the score assumes for a starved task
	// on a worker where it exceeds the headroom.
	starvedInterference = 10.0
	// minIdleShare is the share of its processors that must be idle for a best-effort
	// task to start, starvedMinIdleShare the share for a starved one.
	minIdleShare        = 0.8
	starvedMinIdleShare = 0.2
)

// starved reports whether a best-effort task has waited for longer than
// starvationTimeout while no task of its job runs.
func (t *task) starved(now time.Time) bool {
	return t.step.step.BestEffort && t.job().running == 0 && t.queued && now.Sub(t.readyAt) > starvationTimeout
}

func (t *task) requiredIdleShare(now time.Time) float64 {
	if t.starved(now) {
		return starvedMinIdleShare
	}
	return minIdleShare
}

// usable reports whether a task may start on a worker now.
func (c *Cell) usable(now time.Time, w *worker, t *task) bool {
	return c.healthy(now, w) && !now.Before(w.fullUntil) && w.accepts(now, t)
}

// accepts reports whether a task may start on a worker to which starts may be sent.
func (w *worker) accepts(now time.Time, t *task) bool {
	switch {
	case !w.fits(t.step.step, t.requiredIdleShare(now)):
		return false
	case t.movedFrom == w.registration.ID && now.Sub(t.movedAt) < returnDelay:
		return false
	case w.reservedFor != nil && w.reservedFor != t, w.onTrial(t), t.suspect() && !w.takesSuspect(now, t):
		return false
	}
	return w.eligible(t)
}

// healthy reports whether starts may be sent to a worker at all.
func (c *Cell) healthy(now time.Time, w *worker) bool {
	return c.takesStarts(w) && w.stored && w.epochAccepted && w.established() && w.freeCapacityKnown() &&
		!now.Before(w.quarantinedUntil) && c.answersOrders(now, w)
}

// answersOrders reports whether a worker has answered recently enough to get starts.
func (c *Cell) answersOrders(now time.Time, w *worker) bool {
	return now.Sub(w.answeredAt) <= unresponsiveTimeout+c.Limits.PollWait
}

// countRuns returns the number of runs of a step on the worker.
func (w *worker) countRuns(s *stepState) int {
	count := 0
	for _, r := range w.runs {
		if r.task.step == s {
			count++
		}
	}
	return count
}

// Weights of a worker's score.
const (
	weightDataRack     = 10.0
	weightAvoided      = -20.0
	weightInterference = -1.0
	weightIdle         = 1.0
	weightBestEffort   = -0.3
	weightImage        = 4.0
	weightPacked       = 1.0
	weightFreeCapacity = 1.0
)

// scoreWorker returns the score of a worker for a task; higher is better.
func scoreWorker(w *worker, t *task) float64 {
	step := t.step.step
	score := 0.0
	if w.speed.doubtfulShare > 0 {
		score += weightSlow * w.speed.lostShareOf(t)
	}
	if step.DataRack != "" && w.hasLabel(step.DataRack) {
		score += weightDataRack
	}
	if t.avoids(w.registration.ID) {
		score += weightAvoided
	}
	capacity := float64(max(w.registration.Capacity.MilliProcessors, 1))
	if step.TailTarget > 0 {
		score += weightBestEffort * float64(w.bestEffortRuns)
		score += weightImage * w.imageShare(step.Image)
		return score + weightPacked*float64(w.used.MilliProcessors)/capacity
	}
	if step.BestEffort {
		return score + weightIdle*float64(w.idleProcessors())/capacity
	}
	return score - weightFreeCapacity*float64(w.freeCapacity().MilliProcessors)/capacity
}

// imageShare returns the share of the worker's serving runs that run an image. Placing
// the same images together leaves other workers to the best-effort tasks that
// interfere with this image. A worker without serving runs scores one half.
func (w *worker) imageShare(image string) float64 {
	if w.servingRuns == 0 {
		return 0.5
	}
	matching := 0
	for _, r := range w.runs {
		if s := r.task.step.step; s.TailTarget > 0 && s.Image == image {
			matching++
		}
	}
	return float64(matching) / float64(w.servingRuns)
}
